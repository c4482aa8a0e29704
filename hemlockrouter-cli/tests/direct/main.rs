//! Directly dispatching daemons, through real processes that talk over TCP.
//!
//! The platform's store and the upstreams are stand-ins; the daemons are the product's. Callers
//! check each answer against what upstreams have written down.

mod faults;
mod in_force;
mod notices;
mod relays;
mod replayer;
mod restored;
mod serving;
mod sharing;
mod soak;
mod torn;
mod world;
