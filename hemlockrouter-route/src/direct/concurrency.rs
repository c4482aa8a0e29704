//! Limits the requests that this instance may have in flight to one upstream.
//!
//! Load pattern: all instances start at the same moment, and the searches that callers have held
//! back meanwhile arrive within milliseconds. If all were sent at once, their parts would overflow
//! the queues of upstreams that serve two requests at a time, and rejected requests can only be
//! sent again within the bound on repeats. No instance sees the requests of the others. Each
//! instance therefore starts with a single request in flight to an upstream and adapts its limit:
//! the limit grows by one with each round of answers, and is halved after a rejection. Requests
//! above the limit wait at the instance, where they use up no repeats.
//!
//! The same limit keeps an upstream that has become slow or silent from accumulating many requests.

use hemlockrouter_types::prelude::*;

/// The initial and minimum limit on requests in flight.
const CONCURRENCY_LIMIT_MIN: f64 = 1.0;

/// The maximum limit on requests in flight. The maximum only bounds how far the limit grows while
/// nothing is rejected.
const CONCURRENCY_LIMIT_MAX: f64 = 256.0;

/// The factor by which the limit is multiplied after a rejection.
const REJECTED_DECREASE_FACTOR: f64 = 0.5;

/// The time after a reduction of the limit within which further rejections belong to the same
/// burst, in milliseconds.
const REJECTION_BURST_MS: u64 = 50;

/// A limit on requests in flight that adapts to the number of requests that an upstream accepts.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    decreased_at: Option<Time>,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: CONCURRENCY_LIMIT_MIN,
            decreased_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the maximum number of requests in flight.
    pub(super) fn max_in_flight(&self) -> u32 {
        self.limit as u32
    }

    /// Records that a request was answered while `in_flight` requests were in flight, including
    /// itself. The limit grows by one for each round of answers, provided that the limit was
    /// reached.
    pub(super) fn record_answer(&mut self, in_flight: u32) {
        if in_flight >= self.max_in_flight() {
            self.limit = (self.limit + 1.0 / self.limit).min(CONCURRENCY_LIMIT_MAX);
        }
    }

    /// Records that the upstream rejected a request, and lowers the limit unless the rejection
    /// belongs to the same burst as the last reduction.
    pub(super) fn record_rejection(&mut self, now: Time) {
        let is_same_burst = self
            .decreased_at
            .is_some_and(|at| now.ms_since(at) < REJECTION_BURST_MS);
        if !is_same_burst {
            self.limit = (self.limit * REJECTED_DECREASE_FACTOR).max(CONCURRENCY_LIMIT_MIN);
            self.decreased_at = Some(now);
        }
    }
}
