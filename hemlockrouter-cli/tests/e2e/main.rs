//! End-to-end tests of daemons that dispatch through owners, as processes that communicate over
//! TCP.
//!
//! The daemons are the real program. Callers, operators, the platform and the upstreams are
//! simulated. Tests assert counts and results, never durations.

mod bad_requests;
mod endless;
mod failures;
mod harness;
mod leaving;
mod platform;
mod secrets;
mod serving;
mod stops;
mod versions;
mod zones;
