//! Tests of the decisions per upstream.

mod admission;
mod common;
mod fake;
mod limiter;
mod machine;
mod measure;
mod sim;
mod world;
