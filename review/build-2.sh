#!/bin/bash
# Builds the stand-ins of the cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standin-2/main.rs
