//! Counts of what an upstream's stand-in did.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// What an upstream did since its start.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived, refused ones included.
    pub arrived: u64,
    /// Requests that were served to the end.
    pub served: u64,
    /// Most requests in flight at once, waiting ones included.
    pub peak_in_flight: usize,
    /// Most requests in flight at once while it was cold.
    pub peak_cold_in_flight: usize,
    /// How often more were in flight while it was cold than it can bear, so that it fell over. What
    /// was sent before the other end could know that it turned cold does not count.
    pub cold_bound_passed: u64,
    /// What was in flight at some of these overloads, each with its age.
    pub overloads: Vec<String>,
    /// How often each run took effect.
    pub runs: BTreeMap<String, u64>,
    /// How often each request of a run took effect, by the `id` field of the request.
    pub requests: BTreeMap<String, u64>,
    /// Connections that were opened.
    pub connections: u64,
    /// Most connections open at once.
    pub peak_connections: usize,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests that were asked for at a snapshot or map that it doesn't have.
    pub wrong_version: u64,
    /// Requests that failed on purpose or because it fell over.
    pub failed: u64,
    /// Answers that were lost on purpose.
    pub answers_lost: u64,
    /// Requests that arrived after it began to leave.
    pub work_after_leaving: u64,
    /// When the last of these arrived, in milliseconds since it began to leave.
    pub last_after_leaving_ms: u64,
    /// Whether it is cold now.
    pub cold: bool,
    /// Whether it is cold now and the other end can know it, so that its cold bound counts.
    pub known_cold: bool,
}

impl Counts {
    /// Returns how often the run whose request has this `id` field took effect.
    pub fn effects(&self, request: &str) -> u64 {
        self.requests.get(request).copied().unwrap_or(0)
    }
}
