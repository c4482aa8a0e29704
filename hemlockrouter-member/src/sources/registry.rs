//! How the registry answers an instance, and when it is asked again.

use hemlockrouter_types::prelude::*;

use super::doubled;
use super::Call;
use super::Timing;

/// The pause of a reader after the registry first did not answer, in milliseconds. It doubles each time.
const READER_PAUSE_MIN_MS: u64 = 250;

/// How the registry answers this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Registry {
    /// Since when a call is under way.
    pub(super) asked_at: Option<Time>,
    /// The last call was answered.
    pub(super) serves: bool,
    /// The last call was not answered.
    pub(super) is_lost: bool,
    /// How many tries in a row have failed, for the pause before the next one.
    failures: u32,
    pub(super) due_at: Time,
}

impl Registry {
    /// Returns the next call if it is due and none is under way.
    pub(super) fn watch(&mut self, now: Time, timing: &Timing) -> Option<Call> {
        if self.asked_at.is_some() || now < self.due_at {
            return None;
        }
        // The first answer is to come at once: it shows that the registry answers.
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

    /// Returns for how long a call has been under way, in milliseconds; 0 if none is.
    pub(super) fn asked_ms(&self, now: Time) -> u64 {
        self.asked_at.map_or(0, |at| now.since(at))
    }

    /// Takes over an answer; the next call is due after `pace_ms`.
    pub(super) fn answered(&mut self, now: Time, pace_ms: u64) {
        *self = Registry {
            serves: true,
            due_at: now + pace_ms,
            ..Registry::default()
        };
    }

    /// Takes over that there was no answer. Whoever `reads` for others tries again sooner. Instances that
    /// differ in `spread` do not call all at once.
    pub(super) fn failed(&mut self, now: Time, reads: bool, timing: &Timing, spread: u64) {
        let (min_ms, max_ms) = match reads {
            true => (READER_PAUSE_MIN_MS, timing.reader_pause_max_ms()),
            false => (timing.pause_min_ms(), timing.pause_max_ms()),
        };
        let pause_ms = doubled(min_ms, self.failures, max_ms);
        // Up to a quarter longer.
        let pause_ms = pause_ms + spread % (pause_ms / 4).max(1);
        *self = Registry {
            asked_at: None,
            serves: false,
            is_lost: true,
            failures: self.failures + 1,
            due_at: now + pause_ms,
        };
    }

    /// Has the next call be due at `at` at the latest.
    pub(super) fn due_by(&mut self, at: Time) {
        self.due_at = self.due_at.min(at);
    }

    /// Has the next call be due at `at` at the latest, whatever has failed before.
    pub(super) fn try_again(&mut self, at: Time) {
        self.failures = 0;
        self.due_by(at);
    }
}
