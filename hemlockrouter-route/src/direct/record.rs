//! Statistics on how one upstream has answered this instance.

use hemlockrouter_types::prelude::*;

use super::concurrency::ConcurrencyLimit;

/// The latency assumed for an upstream that has not answered yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 15.0;

/// The weight of a new latency in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;

/// The weight of a new outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.3;

/// The time constant with which bad statistics fade while nothing new is learned, in milliseconds:
/// after this time they count for about a third.
const FADE_TIME_CONSTANT_MS: f64 = 2_000.0;

/// The fraction of a latency that never fades.
const LATENCY_UNFADED_FRACTION: f64 = 0.2;

/// How long an upstream is avoided after a connection to it has failed, in milliseconds.
const CONNECT_FAILURE_AVOIDED_MS: u64 = 500;

/// The number of consecutive failed connections after which an upstream counts as unreachable. A
/// single failure may be chance.
const UNREACHABLE_FAILURES_MIN: u32 = 2;

/// How long an upstream counts as unreachable after the last failed connection, in milliseconds.
const UNREACHABLE_DURATION_MS: u64 = 1_500;

/// The time without an answer after which a busy upstream counts as silent, in multiples of its
/// usual latency.
const SILENT_LATENCY_MULTIPLE: f64 = 3.0;

/// The minimum time without an answer after which a busy upstream counts as silent, in
/// milliseconds.
const SILENT_MIN_MS: f64 = 40.0;

/// The outcome of an attempt, for the statistics of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The upstream answered successfully.
    Success,
    /// The upstream answered with a failure, or its answer was lost.
    Failure,
    /// The upstream rejected the request without running it.
    Rejected,
    /// No connection to the upstream could be established.
    Unreachable,
    /// The attempt was dropped while the upstream was still working or silent.
    GivenUp,
    /// The attempt was cancelled for a reason unrelated to the upstream.
    Cancelled,
}

/// The statistics of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamStats {
    in_flight: u32,
    concurrency_limit: ConcurrencyLimit,
    latency_ms: f64,
    failure_rate: f64,
    /// When the statistics were last updated by an outcome.
    updated_at: Time,
    /// When the upstream last answered, or when it received a request after having none in flight.
    silent_since: Time,
    avoided_until: Time,
    /// Failed connections since the upstream last answered.
    connect_failures: u32,
}

impl Default for UpstreamStats {
    fn default() -> UpstreamStats {
        UpstreamStats {
            in_flight: 0,
            concurrency_limit: ConcurrencyLimit::default(),
            latency_ms: INITIAL_LATENCY_MS,
            failure_rate: 0.0,
            updated_at: Time::ZERO,
            silent_since: Time::ZERO,
            avoided_until: Time::ZERO,
            connect_failures: 0,
        }
    }
}

impl UpstreamStats {
    /// Records that an attempt was sent.
    pub(super) fn record_sent(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Records the outcome of an attempt that was sent at `sent`.
    pub(super) fn record_ended(&mut self, now: Time, sent: Time, outcome: Outcome) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        let took_ms = now.ms_since(sent) as f64;
        match outcome {
            Outcome::Success => {
                self.silent_since = now;
                self.connect_failures = 0;
                self.update_failure_rate(0.0);
                self.concurrency_limit.record_answer(in_flight);
                self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms);
            }
            Outcome::Failure => {
                self.silent_since = now;
                self.connect_failures = 0;
                self.update_failure_rate(1.0);
            }
            Outcome::Rejected => {
                self.silent_since = now;
                self.connect_failures = 0;
                self.update_failure_rate(1.0);
                self.concurrency_limit.record_rejection(now);
            }
            Outcome::Unreachable => {
                self.update_failure_rate(1.0);
                self.avoided_until = now + CONNECT_FAILURE_AVOIDED_MS;
                self.connect_failures += 1;
            }
            Outcome::GivenUp => {
                // The dropped attempt would have taken at least this long.
                let latency_min_ms = took_ms.max(self.latency_ms);
                self.latency_ms += LATENCY_WEIGHT * (latency_min_ms - self.latency_ms);
            }
            Outcome::Cancelled => return,
        }
        self.updated_at = now;
    }

    /// Returns the number of attempts in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the concurrency limit allows one more request.
    pub(super) fn has_capacity(&self) -> bool {
        self.in_flight < self.concurrency_limit.max_in_flight()
    }

    /// Returns the maximum throughput of this instance's requests to the upstream, in requests per
    /// millisecond.
    pub(super) fn throughput_per_ms(&self) -> f64 {
        f64::from(self.concurrency_limit.max_in_flight()) / self.latency_ms.max(1.0)
    }

    /// Returns whether the average latency of the upstream is at most `ms` milliseconds.
    pub(super) fn is_latency_within(&self, ms: f64) -> bool {
        self.latency_ms <= ms
    }

    /// Returns whether recent connections to the upstream have failed repeatedly.
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        let is_recent = now.ms_since(self.updated_at) < UNREACHABLE_DURATION_MS;
        self.connect_failures >= UNREACHABLE_FAILURES_MIN && is_recent
    }

    /// Returns whether a connection to the upstream has just failed.
    pub(super) fn has_recent_connect_failure(&self, now: Time) -> bool {
        self.avoided_until > now
    }

    /// Returns the expected cost of a request to the upstream, in milliseconds. `failing_ms` is the
    /// cost added for an upstream that always fails.
    pub(super) fn cost_ms(&self, now: Time, slots: u32, failing_ms: f64) -> f64 {
        let fade_factor = (-(now.ms_since(self.updated_at) as f64) / FADE_TIME_CONSTANT_MS).exp();
        let latency_ms = self.latency_ms * fade_factor.max(LATENCY_UNFADED_FRACTION);
        let load = f64::from(self.in_flight) / f64::from(slots.max(1));
        let failing_ms = self.failure_rate * fade_factor * failing_ms;
        latency_ms * (1.0 + load) + failing_ms + self.silent_ms(now)
    }

    /// Returns how long the upstream has been silent, in milliseconds; 0 if it is not silent.
    fn silent_ms(&self, now: Time) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let silent_ms = now.ms_since(self.silent_since) as f64;
        let usual_ms = (self.latency_ms * SILENT_LATENCY_MULTIPLE).max(SILENT_MIN_MS);
        if silent_ms > usual_ms {
            silent_ms
        } else {
            0.0
        }
    }

    fn update_failure_rate(&mut self, sample: f64) {
        self.failure_rate += FAILURE_WEIGHT * (sample - self.failure_rate);
    }
}
