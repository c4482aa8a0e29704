//! Phases of a graceful shutdown.
//!
//! In the first phase the instance reports that it is not ready but still serves callers, so that
//! the platform's load balancer directs them elsewhere before any connection is refused. In the
//! second phase idle connections are closed, the callers' port is closed once callers open no more
//! connections, and the requests in flight are finished. Shortly before the end, those that are still in flight get their final answer.

use hemlockrouter_config::settings::Timing;
use hemlockrouter_types::Time;

/// Maximum time for which callers are served after readiness was turned off, in milliseconds.
const CALLER_DRAIN_MS: u64 = 2_000;

/// Time for sending the final answers before the end of a shutdown, in milliseconds.
const FINAL_ANSWERS_MS: u64 = 300;

/// State of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    close_at: Time,
    final_answers_at: Time,
    end_at: Time,
}

impl Shutdown {
    /// Starts a shutdown.
    pub(crate) fn new(now: Time, timing: &Timing) -> Shutdown {
        Shutdown {
            close_at: now + CALLER_DRAIN_MS.min(timing.shutdown_ms / 2),
            final_answers_at: now + timing.shutdown_ms.saturating_sub(FINAL_ANSWERS_MS),
            end_at: now + timing.shutdown_ms,
        }
    }

    /// Returns whether it is time to close the callers' port.
    pub(crate) fn should_close_callers(&self, now: Time) -> bool {
        now >= self.close_at
    }

    /// Returns whether it is time to give requests in flight their final answer.
    pub(crate) fn should_answer_finally(&self, now: Time) -> bool {
        now >= self.final_answers_at
    }

    /// Returns whether the shutdown has timed out.
    pub(crate) fn has_timed_out(&self, now: Time) -> bool {
        now >= self.end_at
    }

    /// Returns the time at which requests in flight get their final answer.
    pub(crate) fn final_answers_at(&self) -> Time {
        self.final_answers_at
    }

    /// Returns the time until the shutdown times out, in milliseconds.
    pub(crate) fn remaining_ms(&self, now: Time) -> u64 {
        self.end_at.remaining_ms(now)
    }
}
