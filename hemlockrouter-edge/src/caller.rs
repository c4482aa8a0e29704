//! Requests of callers and the errors of invalid ones.

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use http::Uri;

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method, which is passed to upstreams unchanged.
    pub method: Method,
    /// Path and query, which are passed to upstreams unchanged.
    pub uri: Uri,
    /// Host that selects the route.
    pub host: String,
    /// Id that the caller gives to this attempt and never uses again.
    pub attempt_id: Option<String>,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Headers that are passed to upstreams. Hop-by-hop headers are not included.
    pub headers: HeaderMap,
}

/// Error of a request that can't be interpreted.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum InvalidRequest {
    /// The request has no host that selects a route.
    #[display("the request names no host")]
    NoHost,
    /// The deadline is not a whole number of milliseconds.
    #[display("the deadline is not a whole number of milliseconds")]
    InvalidDeadline,
}
