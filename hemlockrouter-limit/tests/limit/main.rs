//! Tests of the decisions per upstream.

mod common;
mod fake;
mod limiter;
mod machine;
mod measure;
mod sim;
