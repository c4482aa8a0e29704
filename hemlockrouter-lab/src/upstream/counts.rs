//! Counters of a simulated upstream.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Counters of a simulated upstream since it was started.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Requests that arrived, including refused requests.
    pub arrived: u64,
    /// Requests whose service was completed.
    pub served: u64,
    /// Maximum number of requests in flight at once, including queued requests.
    pub peak_in_flight: usize,
    /// Maximum number of requests in flight at once while the upstream was cold.
    pub peak_cold_in_flight: usize,
    /// Number of times that requests in flight exceeded the cold limit, upon which the upstream failed
    /// them all. Requests sent before the router could know of the cold state do not count.
    pub cold_bound_passed: u64,
    /// Requests in flight at some of the overloads in `cold_bound_passed`, each with its age.
    pub overloads: Vec<String>,
    /// Number of times that each run took effect, by run id.
    pub runs: BTreeMap<String, u64>,
    /// Number of times that each request of a run took effect, by the `id` field of the request.
    pub requests: BTreeMap<String, u64>,
    /// Connections that were opened.
    pub connections: u64,
    /// Maximum number of connections open at once.
    pub peak_connections: usize,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests for a snapshot or a map version that the upstream does not have.
    pub wrong_version: u64,
    /// Requests that failed by an injected fault or by an overload while cold.
    pub failed: u64,
    /// Answers that were lost by an injected fault.
    pub answers_lost: u64,
    /// Requests that arrived after the upstream began to leave.
    pub work_after_leaving: u64,
    /// Answers that stated that the upstream is leaving.
    pub answers_stating_leaving: u64,
    /// Time from the start of leaving until the last request arrived, in milliseconds.
    pub last_after_leaving_ms: u64,
    /// Whether the upstream is cold.
    pub cold: bool,
    /// Whether the upstream is cold and the router can know that, so that the cold limit is enforced.
    pub known_cold: bool,
}

impl UpstreamCounts {
    /// Returns how often the run with this request `id` field took effect.
    pub fn effect_count(&self, request: &str) -> u64 {
        self.requests.get(request).copied().unwrap_or(0)
    }
}
