//! What an instance calls: other instances, upstreams and the platform.
//!
//! Calls block, so each kind has threads of its own, bounded in number, that report to the node
//! when a call has ended.

pub(crate) mod peers;
pub(crate) mod platform;
pub(crate) mod upstreams;
