//! Tests of the limiter and of the per-customer limits.

mod admission;
mod common;
mod fake_upstream;
mod fuzz;
mod limiter;
mod measure;
mod oracle;
mod simulation;
