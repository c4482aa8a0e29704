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
use hemlockrouter_types::routing::RegistryAccess;
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
        let zone_entries = self.callable_entries().filter(|entry| entry.zone == zone);
        let ranked = ranked(zone_entries).into_iter();
        ranked.take(RELAYS_PER_ZONE_MAX).cloned().collect()
    }

    /// Returns how the instance `own_entry` learns the contents of the registry: whether it reads
    /// the registry itself, and which instances it follows. `seeds` are addresses to try if no
    /// other instance is known.
    pub fn registry_access(
        &self,
        now: Time,
        own_entry: &InstanceEntry,
        seeds: &[SocketAddr],
    ) -> RegistryAccess {
        let others = self
            .callable_entries()
            .filter(|entry| entry.name != own_entry.name);
        let mut same_zone: Vec<&InstanceEntry> = Vec::new();
        let mut other_zones: BTreeMap<&str, Vec<&InstanceEntry>> = BTreeMap::new();
        for entry in ranked(others) {
            if entry.zone == own_entry.zone {
                same_zone.push(entry);
            } else {
                other_zones.entry(&entry.zone).or_default().push(entry);
            }
        }
        let is_small_zone = same_zone.len() < ALL_READ_INSTANCES_MAX && self.is_list_complete(now);
        let ranks_first = same_zone
            .first()
            .is_none_or(|first| rank(own_entry) < rank(first));
        let knows_no_peers = same_zone.is_empty() && !self.is_list_complete(now);
        let other_seeds = seeds
            .iter()
            .copied()
            .filter(|seed| Some(*seed) != own_entry.relay);
        let other_seeds: Vec<SocketAddr> = other_seeds.collect();
        let is_seed = other_seeds.len() < seeds.len();
        let waits_for_seeds = knows_no_peers && !is_seed && !other_seeds.is_empty();
        let mut relays: Vec<SocketAddr> = Vec::new();
        let higher_ranked = same_zone
            .iter()
            .filter(|entry| ranks_first || rank(entry) < rank(own_entry));
        relays.extend(
            higher_ranked
                .take(RELAYS_PER_ZONE_MAX)
                .filter_map(|entry| entry.relay),
        );
        // The first instances of all other zones come before the second ones, which may be the only
        // instances that read the registry in their zones.
        for rank_index in 0..RELAYS_PER_ZONE_MAX {
            let entries_at_rank = other_zones
                .values()
                .filter_map(|zone_entries| zone_entries.get(rank_index));
            relays.extend(entries_at_rank.filter_map(|entry| entry.relay));
        }
        for seed in rotated_seeds(other_seeds, &own_entry.name) {
            if !relays.contains(&seed) {
                relays.push(seed);
            }
        }
        RegistryAccess {
            reads_registry: is_small_zone || (ranks_first && !waits_for_seeds),
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
fn rotated_seeds(mut seeds: Vec<SocketAddr>, name: &str) -> Vec<SocketAddr> {
    if !seeds.is_empty() {
        let first = xxh3_64(name.as_bytes()) as usize % seeds.len();
        seeds.rotate_left(first);
    }
    seeds
}
