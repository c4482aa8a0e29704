//! State of the calls to the registry, and when the next one is due.

use hemlockrouter_types::prelude::*;

use super::doubled;
use super::Call;
use super::Timing;

/// Delay before a reader calls the registry again after its first failed call, in milliseconds. The
/// delay doubles with each further failure.
const READER_RETRY_PAUSE_MIN_MS: u64 = 250;

/// State of the calls of this instance to the registry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Registry {
    /// When the call in flight was made, if there is one.
    pub(super) asked_at: Option<Time>,
    /// Whether the last call was answered.
    pub(super) serves: bool,
    /// Whether the last call was not answered.
    pub(super) is_lost: bool,
    /// Number of calls in a row that failed, which determines the delay before the next one.
    failures: u32,
    pub(super) due_at: Time,
}

impl Registry {
    /// Returns the next call to the registry if it is due and none is in flight.
    pub(super) fn watch(&mut self, now: Time, timing: &Timing) -> Option<Call> {
        if self.asked_at.is_some() || now < self.due_at {
            return None;
        }
        // The first call does not wait for a change, so that its answer shows at once that the
        // registry is up.
        let wait_ms = match self.serves {
            true => timing.watch_ms(),
            false => 0,
        };
        self.asked_at = Some(now);
        Some(Call::Watch {
            wait_ms,
            limit_ms: wait_ms + timing.watch_slack_ms(),
        })
    }

    /// Returns how long a call has been in flight, in milliseconds, or 0 if there is none.
    pub(super) fn asked_ms(&self, now: Time) -> u64 {
        self.asked_at.map_or(0, |at| now.since(at))
    }

    /// Records an answer. The next call is due after `pace_ms` milliseconds.
    pub(super) fn answered(&mut self, now: Time, pace_ms: u64) {
        *self = Registry {
            serves: true,
            due_at: now + pace_ms,
            ..Registry::default()
        };
    }

    /// Records that the registry did not answer. An instance that `reads` for others tries again
    /// sooner. Instances with different values of `spread` do not call at the same time.
    pub(super) fn failed(&mut self, now: Time, reads: bool, timing: &Timing, spread: u64) {
        let (min_ms, max_ms) = match reads {
            true => (READER_RETRY_PAUSE_MIN_MS, timing.reader_pause_max_ms()),
            false => (timing.pause_min_ms(), timing.pause_max_ms()),
        };
        let pause_ms = doubled(min_ms, self.failures, max_ms);
        // Adds a jitter of up to a quarter of the delay.
        let pause_ms = pause_ms + spread % (pause_ms / 4).max(1);
        *self = Registry {
            asked_at: None,
            serves: false,
            is_lost: true,
            failures: self.failures + 1,
            due_at: now + pause_ms,
        };
    }

    /// Makes the next call due at `at` at the latest.
    pub(super) fn due_by(&mut self, at: Time) {
        self.due_at = self.due_at.min(at);
    }

    /// Makes the next call due at `at` at the latest, and resets the count of failures.
    pub(super) fn try_again(&mut self, at: Time) {
        self.failures = 0;
        self.due_by(at);
    }
}
