//! How one upstream has answered this instance.

use hemlockrouter_types::prelude::*;

use super::concurrency::ConcurrencyLimit;

/// The latency that is assumed of an upstream that has not answered yet, in milliseconds.
const UNKNOWN_MS: f64 = 15.0;

/// The weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// The weight of a new outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.3;

/// After this time without a try, a bad record counts for a third, in milliseconds.
const FADE_MS: f64 = 2_000.0;

/// The part of a latency that never fades.
const LATENCY_KEPT: f64 = 0.2;

/// How long an upstream that could not be connected to is avoided, in milliseconds.
const BARRED_MS: u64 = 500;

/// After so many failed connections in a row an upstream counts as unreachable; one may be chance.
const UNREACHABLE_AFTER: u32 = 2;

/// How long an upstream counts as unreachable after the last failed connection, in milliseconds.
const UNREACHABLE_MS: u64 = 1_500;

/// An upstream is silent when its oldest try waits for this many usual latencies.
const SILENT_LATENCIES: f64 = 3.0;

/// The least time after which an upstream is silent, in milliseconds.
const SILENT_MIN_MS: f64 = 40.0;

/// What a try at an upstream came to, for its record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Seen {
    /// It answered with success.
    Success,
    /// It failed.
    Failure,
    /// It rejected the request without running it.
    Rejected,
    /// It could not be connected to.
    Unreachable,
    /// The request was given up while it worked or was silent.
    GivenUp,
    /// The request was cancelled for a reason that has nothing to do with the upstream.
    Cancelled,
}

/// The record of one upstream.
#[derive(Debug)]
pub(super) struct Record {
    in_flight: u32,
    limit: ConcurrencyLimit,
    latency_ms: f64,
    failures: f64,
    /// When something was last learned of it.
    learned_at: Time,
    /// Since when it has worked without a sign of life.
    silent_since: Time,
    barred_until: Time,
    /// Failed connections since it last answered.
    unreached: u32,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            in_flight: 0,
            limit: ConcurrencyLimit::default(),
            latency_ms: UNKNOWN_MS,
            failures: 0.0,
            learned_at: Time::ZERO,
            silent_since: Time::ZERO,
            barred_until: Time::ZERO,
            unreached: 0,
        }
    }
}

impl Record {
    /// Records that a try was sent.
    pub(super) fn sent(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Records how a try ended that was sent at `sent`.
    pub(super) fn ended(&mut self, now: Time, sent: Time, seen: Seen) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        let took_ms = now.since(sent) as f64;
        match seen {
            Seen::Success => {
                self.silent_since = now;
                self.unreached = 0;
                self.fail(0.0);
                self.limit.answered(in_flight);
                self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms);
            }
            Seen::Failure => {
                self.silent_since = now;
                self.unreached = 0;
                self.fail(1.0);
            }
            Seen::Rejected => {
                self.silent_since = now;
                self.unreached = 0;
                self.fail(1.0);
                self.limit.rejected(now);
            }
            Seen::Unreachable => {
                self.fail(1.0);
                self.barred_until = now + BARRED_MS;
                self.unreached += 1;
            }
            Seen::GivenUp => {
                // It would have taken at least this long.
                let at_least_ms = took_ms.max(self.latency_ms);
                self.latency_ms += LATENCY_WEIGHT * (at_least_ms - self.latency_ms);
            }
            Seen::Cancelled => return,
        }
        self.learned_at = now;
    }

    /// Returns how many tries have not ended.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether one more request may be sent to it now.
    pub(super) fn has_room(&self) -> bool {
        self.in_flight < self.limit.get()
    }

    /// Returns how many requests a millisecond it takes at most from this instance.
    pub(super) fn per_ms(&self) -> f64 {
        f64::from(self.limit.get()) / self.latency_ms.max(1.0)
    }

    /// Returns whether it usually answers within `ms` milliseconds.
    pub(super) fn is_usually_within(&self, ms: f64) -> bool {
        self.latency_ms <= ms
    }

    /// Returns whether no connection to it came about lately.
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        let is_recent = now.since(self.learned_at) < UNREACHABLE_MS;
        self.unreached >= UNREACHABLE_AFTER && is_recent
    }

    /// Returns whether it could not be connected to a moment ago.
    pub(super) fn is_barred(&self, now: Time) -> bool {
        self.barred_until > now
    }

    /// Returns what a request is expected to cost there, in milliseconds; `failing_ms` is added for
    /// an upstream that fails always.
    pub(super) fn cost_ms(&self, now: Time, slots: u32, failing_ms: f64) -> f64 {
        let fade = (-(now.since(self.learned_at) as f64) / FADE_MS).exp();
        let latency_ms = self.latency_ms * fade.max(LATENCY_KEPT);
        let waiting = f64::from(self.in_flight) / f64::from(slots.max(1));
        let failing_ms = self.failures * fade * failing_ms;
        latency_ms * (1.0 + waiting) + failing_ms + self.silent_ms(now)
    }

    /// Returns how long it has been silent, in milliseconds, or 0 if it is not.
    fn silent_ms(&self, now: Time) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let silent_ms = now.since(self.silent_since) as f64;
        let usual_ms = (self.latency_ms * SILENT_LATENCIES).max(SILENT_MIN_MS);
        if silent_ms > usual_ms {
            silent_ms
        } else {
            0.0
        }
    }

    fn fail(&mut self, outcome: f64) {
        self.failures += FAILURE_WEIGHT * (outcome - self.failures);
    }
}
