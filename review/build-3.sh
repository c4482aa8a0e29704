#!/bin/sh
# Builds the programs of the cases 11 to 15: stand-ins for the store, the servers, the clients and the
# platform, and the checks of the rules. Only the Rust compiler is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/case_*.rs; do
	name=$(basename "$source" .rs)
	rustc --edition 2021 -O -o "target/review-3/${name#case_}" "$source"
done
