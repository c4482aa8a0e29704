//! Clients for other instances, upstreams and the platform.
//!
//! Calls block, so each kind of call has a bounded number of threads, which report to the node when
//! a call has ended.

pub(crate) mod peers;
pub(crate) mod platform;
pub(crate) mod upstreams;
