//! Decides which instances read the registry, and which instances the others follow.
//!
//! The registry limits the calls of all instances together, and each call is costly. In an
//! availability zone with many instances one instance reads the registry. The others follow that
//! instance, or the next one if the first is lost. The choice depends on the list of instances
//! alone: the instance with the most CPU time comes first, so that relaying changes does not slow
//! it down, and ties are broken by a hash of the name. Even if the lists of two instances differ,
//! an instance only follows an instance that ranks higher, so no cycle can form.
//!
//! When all instances start at once, the list is still empty. Then the instances follow the seeds
//! named in the settings, and only the seeds read the registry.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::Reading;
use xxhash_rust::xxh3::xxh3_64;

use super::instances::Instances;

/// The largest number of instances in an availability zone at which all of them read the registry.
const ALL_READ_INSTANCES_MAX: usize = 2;

/// The maximum number of instances that one instance follows in each availability zone.
const RELAYS_PER_ZONE_MAX: usize = 2;

impl Instances {
    /// Returns the highest-ranked instances of an availability zone, from which the others first
    /// read when many instances start at once.
    pub fn first_readers(&self, zone: &str) -> Vec<InstanceEntry> {
        let of_zone = self.with_relay().filter(|entry| entry.zone == zone);
        let ranked = ranked(of_zone).into_iter();
        ranked.take(RELAYS_PER_ZONE_MAX).cloned().collect()
    }

    /// Returns how the instance `me` learns the contents of the registry: whether it reads the
    /// registry itself, and which instances it follows. `seeds` are addresses to try if no other
    /// instance is known.
    pub fn reading(&self, now: Time, me: &InstanceEntry, seeds: &[SocketAddr]) -> Reading {
        let others = self.with_relay().filter(|entry| entry.name != me.name);
        let mut near: Vec<&InstanceEntry> = Vec::new();
        let mut far: BTreeMap<&str, Vec<&InstanceEntry>> = BTreeMap::new();
        for entry in ranked(others) {
            if entry.zone == me.zone {
                near.push(entry);
            } else {
                far.entry(&entry.zone).or_default().push(entry);
            }
        }
        let is_small = near.len() < ALL_READ_INSTANCES_MAX && self.is_settled(now);
        let is_first = near.first().is_none_or(|first| rank(me) < rank(first));
        let is_alone = near.is_empty() && !self.is_settled(now);
        let other_seeds = seeds.iter().copied().filter(|seed| Some(*seed) != me.relay);
        let other_seeds: Vec<SocketAddr> = other_seeds.collect();
        let is_seed = other_seeds.len() < seeds.len();
        let waits_for_seeds = is_alone && !is_seed && !other_seeds.is_empty();
        let mut relays: Vec<SocketAddr> = Vec::new();
        let before_me = near
            .iter()
            .filter(|entry| is_first || rank(entry) < rank(me));
        relays.extend(
            before_me
                .take(RELAYS_PER_ZONE_MAX)
                .filter_map(|entry| entry.relay),
        );
        // The first instances of all other zones come before the second ones, which may be the only
        // instances that read the registry in their zones.
        for place in 0..RELAYS_PER_ZONE_MAX {
            let of_shard = far.values().filter_map(|of_zone| of_zone.get(place));
            relays.extend(of_shard.filter_map(|entry| entry.relay));
        }
        for seed in turned(other_seeds, &me.name) {
            if !relays.contains(&seed) {
                relays.push(seed);
            }
        }
        Reading {
            reads: is_small || (is_first && !waits_for_seeds),
            relays,
        }
    }
}

/// Returns the instances sorted by rank. Each rank is computed once.
fn ranked<'a, I>(entries: I) -> Vec<&'a InstanceEntry>
where
    I: Iterator<Item = &'a InstanceEntry>,
{
    let mut ranked: Vec<&InstanceEntry> = entries.collect();
    ranked.sort_by_cached_key(|entry| rank(entry));
    ranked
}

/// Returns the sort key by which the instances of an availability zone are ranked.
fn rank(entry: &InstanceEntry) -> (Reverse<u32>, u64, &str) {
    let hash = xxh3_64(entry.name.as_bytes());
    (Reverse(entry.cpu_permille), hash, &entry.name)
}

/// Returns the seeds in an order that differs between instances, so that not all instances call the
/// same seed first.
fn turned(mut seeds: Vec<SocketAddr>, name: &str) -> Vec<SocketAddr> {
    if !seeds.is_empty() {
        let first = xxh3_64(name.as_bytes()) as usize % seeds.len();
        seeds.rotate_left(first);
    }
    seeds
}
