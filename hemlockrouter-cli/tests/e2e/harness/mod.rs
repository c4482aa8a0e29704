//! A cluster of daemon processes on the loopback interface, with simulated peers in threads of the
//! test.
//!
//! One cluster runs at a time, so that a test is not affected by the load of other tests. A timeout
//! only detects that a condition never becomes true. Tests do not assert durations.

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

/// The longest time that a test waits for a condition.
pub(crate) const LIVENESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `holds` returns true.
///
/// # Panics
///
/// Panics with the message `what` if `holds` does not return true within [`LIVENESS_TIMEOUT`].
pub(crate) fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + LIVENESS_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "never happened: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sleeps for `ms` milliseconds while load runs in other threads.
pub(crate) fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
