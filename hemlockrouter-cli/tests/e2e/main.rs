//! The whole path, through real daemons that talk over TCP.
//!
//! Callers, operators, the platform and the upstreams are stand-ins; the daemons are the product's.
//! Tests judge counts and truths, never how long something took.

mod bad_requests;
mod failures;
mod harness;
mod leaving;
mod platform;
mod secrets;
mod serving;
mod versions;
mod zones;
