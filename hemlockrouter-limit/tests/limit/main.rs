//! Tests of the limiter and of the per-customer limits.

mod admission;
mod common;
mod fake;
mod limiter;
mod machine;
mod measure;
mod sim;
mod world;
