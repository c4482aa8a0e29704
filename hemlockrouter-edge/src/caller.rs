//! Requests of callers, and answers to them.

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use http::Uri;

/// A request of a caller, without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The method, which upstreams get unchanged.
    pub method: Method,
    /// The path and query, which upstreams get unchanged.
    pub uri: Uri,
    /// The host that selects the route.
    pub host: String,
    /// The caller's id of this try, which it never uses again.
    pub attempt_id: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The headers that upstreams get, without those that concern only one connection.
    pub headers: HeaderMap,
}

/// A request that can't be read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BadRequest {
    /// No host selects a route.
    #[display("the request names no host")]
    NoHost,
    /// The deadline is not a number of milliseconds.
    #[display("the deadline is not a whole number of milliseconds")]
    BadDeadline,
}
