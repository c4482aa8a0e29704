//! What the settings say to the dispatcher.

use std::collections::BTreeMap;

use super::budget::RepeatBound;

/// What the settings say to a [`Dispatcher`](super::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The name of this instance, unique among all.
    pub name: String,
    /// The availability zone of this instance.
    pub zone: String,
    /// The region of each availability zone.
    pub zones: BTreeMap<String, String>,
    /// The bound on repeats over all instances.
    pub repeats: RepeatBound,
    /// By how much the bound of a cold upstream may be passed.
    pub cold_overage: f64,
    /// What a cold upstream bears beyond its bound, in requests a second.
    pub cold_slack: f64,
    /// How long an upstream that is leaving is still used, in milliseconds.
    pub linger_ms: u64,
    /// How soon after it has said so in the registry an upstream that is leaving gets nothing more, in
    /// milliseconds.
    pub drain_ms: u64,
    /// When and how searches are shared with other instances.
    pub sharing: Sharing,
}

/// When and how searches are shared with other instances of the availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sharing {
    /// The fewest shards of a search that is shared.
    pub parts_min: usize,
    /// How many shards one instance collects.
    pub parts_each: usize,
}

impl Sharing {
    /// Returns whether a search over so many shards is shared.
    pub(super) fn shares(&self, shards: usize) -> bool {
        shards >= self.parts_min.max(2)
    }
}
