//! Real daemons on loopback, with stand-ins for all that they meet in threads of the test.
//!
//! One cluster runs at a time, so that a test sees only its own load. A liveness limit here says
//! only that something must happen at all; nothing is judged by how long it took.

pub(crate) mod client;
pub(crate) mod cluster;
pub(crate) mod instance;
pub(crate) mod layout;

use std::thread;
use std::time::Duration;
use std::time::Instant;

pub(crate) use self::client::Caller;
pub(crate) use self::cluster::Cluster;
pub(crate) use self::layout::Layout;

/// How long anything that must happen may take.
pub(crate) const LIVENESS: Duration = Duration::from_secs(60);

/// Waits until `holds` does.
///
/// # Panics
///
/// Panics with `what` if it does not within [`LIVENESS`].
pub(crate) fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + LIVENESS;
    while !holds() {
        assert!(Instant::now() < end, "never happened: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Lets load run for a while.
pub(crate) fn run_for_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
