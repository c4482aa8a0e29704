//! End-to-end tests of daemons that dispatch directly, as processes that communicate over TCP.
//!
//! The daemons are the real program. The platform's store and the upstreams are simulated.
//! Simulated callers check each answer against the requests that the upstreams recorded.

mod behind;
mod caller_connection;
mod caller_limits;
mod departures_soak;
mod deployment;
mod faults;
mod in_force;
mod memory;
mod notices;
mod odd_entries;
mod odd_statuses;
mod relays;
mod repeating_proxy;
mod restored;
mod returns;
mod serving;
mod settings;
mod sharing;
mod soak;
mod stops;
mod stops_soak;
mod torn;
