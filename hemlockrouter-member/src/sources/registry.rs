//! State of the calls to the registry, and when the next one is due.

use hemlockrouter_types::prelude::*;

use super::backoff_ms;
use super::RegistryCall;
use super::RegistryTiming;

/// Delay before a reader calls the registry again after its first failed call, in milliseconds. The
/// delay doubles with each further failure.
const READER_RETRY_PAUSE_MIN_MS: u64 = 250;

/// State of the calls of this instance to the registry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegistryCalls {
    /// When the call in flight was made, if there is one.
    pub(super) call_started_at: Option<Time>,
    /// Whether the registry answered the last call.
    pub(super) is_serving: bool,
    /// Whether the last call to the registry failed or timed out.
    pub(super) has_last_call_failed: bool,
    /// Number of calls in a row that failed, which determines the delay before the next one.
    failures: u32,
    pub(super) next_call_at: Time,
}

impl RegistryCalls {
    /// Returns the next call to the registry if it is due and none is in flight.
    pub(super) fn next_watch(
        &mut self,
        now: Time,
        timing: &RegistryTiming,
    ) -> Option<RegistryCall> {
        if self.call_started_at.is_some() || now < self.next_call_at {
            return None;
        }
        // The first call does not wait for a change, so that its answer shows at once that the
        // registry is up.
        let wait_ms = match self.is_serving {
            true => timing.watch_wait_ms(),
            false => 0,
        };
        self.call_started_at = Some(now);
        Some(RegistryCall::WatchRegistry {
            wait_ms,
            timeout_ms: wait_ms + timing.watch_slack_ms(),
        })
    }

    /// Returns how long a call has been in flight, in milliseconds, or 0 if there is none.
    pub(super) fn call_duration_ms(&self, now: Time) -> u64 {
        self.call_started_at.map_or(0, |at| now.ms_since(at))
    }

    /// Records an answer. The next call is due after `pace_ms` milliseconds.
    pub(super) fn record_answer(&mut self, now: Time, pace_ms: u64) {
        *self = RegistryCalls {
            is_serving: true,
            next_call_at: now + pace_ms,
            ..RegistryCalls::default()
        };
    }

    /// Records that the registry did not answer. An instance that `reads_for_others` tries again
    /// sooner. Instances with different values of `jitter_seed` do not call at the same time.
    pub(super) fn record_failure(
        &mut self,
        now: Time,
        reads_for_others: bool,
        timing: &RegistryTiming,
        jitter_seed: u64,
    ) {
        let (min_ms, max_ms) = match reads_for_others {
            true => (
                READER_RETRY_PAUSE_MIN_MS,
                timing.reader_retry_pause_max_ms(),
            ),
            false => (
                timing.follower_retry_pause_min_ms(),
                timing.follower_retry_pause_max_ms(),
            ),
        };
        let pause_ms = backoff_ms(min_ms, self.failures, max_ms);
        // Adds a jitter of up to a quarter of the delay.
        let pause_ms = pause_ms + jitter_seed % (pause_ms / 4).max(1);
        *self = RegistryCalls {
            call_started_at: None,
            is_serving: false,
            has_last_call_failed: true,
            failures: self.failures + 1,
            next_call_at: now + pause_ms,
        };
    }

    /// Makes the next call due at `at` at the latest.
    pub(super) fn schedule_call_by(&mut self, at: Time) {
        self.next_call_at = self.next_call_at.min(at);
    }

    /// Makes the next call due at `at` at the latest, and resets the count of failures.
    pub(super) fn retry_by(&mut self, at: Time) {
        self.failures = 0;
        self.schedule_call_by(at);
    }
}
