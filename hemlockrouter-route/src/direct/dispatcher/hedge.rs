//! When a part that is slow is sent to another upstream as well.
//!
//! A hedge too early wastes the budget that all instances share; one too late brings its answer after the
//! target. The time follows the route's own latencies, and waits while other parts still come in.

use hemlockrouter_types::prelude::*;

use super::Dispatcher;
use super::Due;
use crate::direct::event::Command;
use crate::direct::event::RequestId;
use crate::direct::request::AnswerTo;
use crate::direct::request::Cause;
use crate::direct::request::Part;
use crate::direct::request::Request;
use crate::direct::table::Route;
use crate::latency::Latency;

/// The quantile of a route's latencies after which a try is hedged.
pub(super) const QUANTILE: f64 = 0.93;

/// The least time before a hedge, in milliseconds.
const HEDGE_MIN_MS: u64 = 12;

/// The largest part of the target latency that passes before a hedge.
const HEDGE_MAX_PART: f64 = 0.33;

/// A search's parts are hedged when no other part has come for this part of the target latency.
const HEDGE_QUIET_PART: f64 = 0.07;

/// The part of the target latency after which a search's parts are hedged in any case.
const HEDGE_LATEST_PART: f64 = 0.45;

/// Latencies that the quantile must rest on.
const HEDGE_SAMPLES: u32 = 32;

impl Dispatcher {
    /// Sends a second try for each part that is still waiting for its first.
    pub(super) fn hedge(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        if request.answer_to == (AnswerTo::Peer { late: false }) {
            request.answer_to = AnswerTo::Peer { late: true };
            Dispatcher::report(id, &mut request, out);
        }
        let quiet_at = self.quiet_at(&request);
        if now < quiet_at {
            self.timers.set(quiet_at, Due::Hedge(id));
        } else if request.route.entry.idempotent {
            for at in 0..request.parts.len() {
                if is_slow(now, &request.parts[at]) {
                    self.send(now, id, &mut request, at, Cause::Slow, out);
                }
            }
        }
        self.requests.insert(id, request);
    }

    /// Returns when the parts of a search that are missing count as slow. While answers come in, the
    /// instance itself is behind, and the next one may be there already.
    pub(super) fn quiet_at(&self, request: &Request) -> Time {
        if !request.route.is_gathered() {
            return request.arrived;
        }
        let target_ms = request.route.entry.target_latency_ms as f64;
        let quiet_at = request.answered_at + (target_ms * HEDGE_QUIET_PART) as u64;
        let latest = request.arrived + (target_ms * HEDGE_LATEST_PART) as u64;
        quiet_at.min(latest)
    }

    /// Returns after how long a try of `route` is hedged, in milliseconds.
    pub(super) fn hedge_ms(&self, route: &Route) -> u64 {
        let target_ms = route.entry.target_latency_ms as f64;
        let most_ms = ((target_ms * HEDGE_MAX_PART) as u64).max(HEDGE_MIN_MS);
        let latency = self.latencies.get(&route.entry.name);
        let known = latency.filter(|latency| latency.samples() >= HEDGE_SAMPLES);
        let usual_ms = known.and_then(Latency::high_ms).unwrap_or(most_ms);
        usual_ms.clamp(HEDGE_MIN_MS, most_ms)
    }
}

/// Returns whether a part still waits for its first try.
fn is_slow(now: Time, part: &Part) -> bool {
    let [only] = part.open.as_slice() else {
        return false;
    };
    let is_out_ms = now.since(only.sent);
    !part.has_answered && part.sends == 1 && is_out_ms >= HEDGE_MIN_MS
}
