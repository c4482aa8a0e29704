//! The steps of a graceful shutdown.
//!
//! First readiness is off while callers are still served, so that the platform's balancer sends them
//! elsewhere before any connection is refused. Then the callers' port is closed, and the requests
//! under way are finished.

use hemlockrouter_config::settings::Timing;
use hemlockrouter_types::Time;

/// How long callers are served after readiness went off, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// The state of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    close_at: Time,
    end_at: Time,
}

impl Shutdown {
    /// Starts a shutdown.
    pub(crate) fn new(now: Time, timing: &Timing) -> Shutdown {
        Shutdown {
            close_at: now + DRAIN_MS.min(timing.shutdown_ms / 2),
            end_at: now + timing.shutdown_ms,
        }
    }

    /// Returns whether the callers' port is to be closed.
    pub(crate) fn closes_callers(&self, now: Time) -> bool {
        now >= self.close_at
    }

    /// Returns whether the time for the shutdown is over.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        now >= self.end_at
    }

    /// Returns how much time is left, in milliseconds.
    pub(crate) fn left_ms(&self, now: Time) -> u64 {
        self.end_at.left(now)
    }
}
