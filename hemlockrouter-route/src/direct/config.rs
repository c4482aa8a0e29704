//! Settings of the dispatcher.

use std::collections::BTreeMap;

use super::budget::RepeatBound;

/// Settings of a [`Dispatcher`](super::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The unique name of this instance.
    pub name: String,
    /// The availability zone of this instance.
    pub zone: String,
    /// The region of each availability zone.
    pub zones: BTreeMap<String, String>,
    /// The bound on repeats (retries and hedges) over all instances.
    pub repeat_bound: RepeatBound,
    /// The factor applied to the rate limit of a cold (recently started) upstream, to allow for
    /// excess requests.
    pub cold_limit_factor: f64,
    /// The rate that a cold (recently started) upstream tolerates above its rate limit, in requests
    /// per second.
    pub cold_limit_extra_per_s: f64,
    /// The time for which an upstream that is shutting down may still receive requests, in
    /// milliseconds.
    pub linger_ms: u64,
    /// The time within which an upstream must stop receiving requests after it announces its
    /// shutdown in the registry, in milliseconds.
    pub drain_ms: u64,
    /// When and how searches are divided among other instances.
    pub search_division: SearchDivision,
}

/// When and how searches are divided among the instances of the availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SearchDivision {
    /// The smallest number of shards at which a search is divided among instances.
    pub shards_min: usize,
    /// The number of shards that one instance collects.
    pub shards_per_instance: usize,
}

impl SearchDivision {
    /// Returns whether a search over this many shards is divided among instances.
    pub(super) fn is_divided(&self, shards: usize) -> bool {
        shards >= self.shards_min.max(2)
    }
}
