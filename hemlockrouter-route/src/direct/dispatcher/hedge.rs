//! Hedges slow parts of requests by sending them to a second upstream.
//!
//! A hedge that is sent too early wastes the budget that all instances share; a hedge that is sent
//! too late is answered after the target latency. The delay follows the latencies of the route, and
//! is extended while other parts of the search are still being answered.

use hemlockrouter_types::prelude::*;

use super::Dispatcher;
use super::TimerKind;
use crate::direct::event::Command;
use crate::direct::event::RequestId;
use crate::direct::request::AnswerTo;
use crate::direct::request::Request;
use crate::direct::request::RequestPart;
use crate::direct::request::SendReason;
use crate::direct::table::Route;
use crate::latency::LatencyHistogram;

/// The quantile of a route's latencies after which an attempt is hedged.
pub(super) const HEDGE_LATENCY_QUANTILE: f64 = 0.93;

/// The minimum delay before a hedge, in milliseconds.
const HEDGE_DELAY_MIN_MS: u64 = 12;

/// The maximum delay before a hedge, as a fraction of the target latency.
const HEDGE_DELAY_MAX_FRACTION: f64 = 0.33;

/// The time without any answer after which the missing parts of a search are hedged, as a fraction
/// of the target latency.
const HEDGE_QUIET_FRACTION: f64 = 0.07;

/// The time after which the missing parts of a search are hedged even if other answers keep
/// arriving, as a fraction of the target latency.
const HEDGE_LATEST_FRACTION: f64 = 0.45;

/// The number of latency samples from which the quantile is used.
const HEDGE_SAMPLES_MIN: u32 = 32;

impl Dispatcher {
    /// Hedges each part whose first attempt is still unanswered.
    pub(super) fn hedge(&mut self, now: Time, request_id: RequestId, commands: &mut Vec<Command>) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        if request.answer_to == (AnswerTo::Peer { immediate: false }) {
            request.answer_to = AnswerTo::Peer { immediate: true };
            Dispatcher::report(request_id, &mut request, commands);
        }
        let slow_at = self.slow_at(&request);
        if now < slow_at {
            self.timers.set(slow_at, TimerKind::Hedge(request_id));
        } else if request.route.entry.idempotent {
            for part_index in 0..request.parts.len() {
                if is_slow(now, &request.parts[part_index]) {
                    self.send(
                        now,
                        request_id,
                        &mut request,
                        part_index,
                        SendReason::Hedge,
                        commands,
                    );
                }
            }
        }
        self.requests.insert(request_id, request);
    }

    /// Returns when the missing parts of a search count as slow. While answers keep arriving, the
    /// delay is on this instance, and the missing answers may already be waiting to be read.
    pub(super) fn slow_at(&self, request: &Request) -> Time {
        if !request.route.is_search() {
            return request.arrived;
        }
        let target_ms = request.route.entry.target_latency_ms as f64;
        let slow_at = request.answered_at + (target_ms * HEDGE_QUIET_FRACTION) as u64;
        let latest_at = request.arrived + (target_ms * HEDGE_LATEST_FRACTION) as u64;
        slow_at.min(latest_at)
    }

    /// Returns the delay before an attempt of `route` is hedged, in milliseconds.
    pub(super) fn hedge_delay_ms(&self, route: &Route) -> u64 {
        let target_ms = route.entry.target_latency_ms as f64;
        let delay_max_ms = ((target_ms * HEDGE_DELAY_MAX_FRACTION) as u64).max(HEDGE_DELAY_MIN_MS);
        let latency = self.latencies.get(&route.entry.name);
        let latency_with_samples =
            latency.filter(|latency| latency.sample_count() >= HEDGE_SAMPLES_MIN);
        let quantile_ms = latency_with_samples
            .and_then(LatencyHistogram::high_quantile_ms)
            .unwrap_or(delay_max_ms);
        quantile_ms.clamp(HEDGE_DELAY_MIN_MS, delay_max_ms)
    }
}

/// Returns whether a part still waits for its first attempt.
fn is_slow(now: Time, part: &RequestPart) -> bool {
    let [attempt] = part.open_attempts.as_slice() else {
        return false;
    };
    let in_flight_ms = now.ms_since(attempt.sent);
    !part.has_answered && part.sends == 1 && in_flight_ms >= HEDGE_DELAY_MIN_MS
}
