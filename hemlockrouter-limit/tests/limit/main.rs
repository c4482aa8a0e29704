//! Tests of the decisions per upstream.

mod common;
mod limiter;
