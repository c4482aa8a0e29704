//! HTTP servers of an instance for callers, operators and other instances.

pub(crate) mod caller_stream;
pub(crate) mod callers;
pub(crate) mod instances;
pub(crate) mod operators;
pub(crate) mod phase;
pub(crate) mod port;
pub(crate) mod request;
pub(crate) mod tiny;
