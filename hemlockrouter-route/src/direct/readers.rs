//! Which instances read the registry, and whom the others follow.
//!
//! The registry bounds its calls over all instances, and each call costs. In an availability zone of
//! many instances one reads it and the others follow that one, or the next one if it is lost. Who it is
//! follows from the list of instances alone: the one with the most processor time, so that passing news
//! on does not hold it up, and of equal ones the first by the hash of its name. While lists differ, an
//! instance still follows only one that ranks before it, so nobody follows in a circle.
//!
//! When all instances start at once nobody is on the list yet. Then they follow those that the settings
//! name, and only these read.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::Reading;
use xxhash_rust::xxh3::xxh3_64;

use super::instances::Instances;

/// In an availability zone of no more instances than this, all read the registry.
const ALL_READ_MAX: usize = 2;

/// How many instances of each availability zone one may follow.
const RELAYS_MAX: usize = 2;

impl Instances {
    /// Returns the instances of an availability zone from which others read first when many start at
    /// once, the best ones first.
    pub fn first_readers(&self, zone: &str) -> Vec<InstanceEntry> {
        let of_zone = self.with_relay().filter(|entry| entry.zone == zone);
        let ranked = ranked(of_zone).into_iter();
        ranked.take(RELAYS_MAX).cloned().collect()
    }

    /// Returns how the instance `me` learns what the registry holds. `seeds` are instances that are
    /// worth a try if no other one is known.
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
        let is_small = near.len() < ALL_READ_MAX && self.is_settled(now);
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
        relays.extend(before_me.take(RELAYS_MAX).filter_map(|entry| entry.relay));
        // The first ones of all other zones come before the second ones, which may read alone.
        for place in 0..RELAYS_MAX {
            let of_place = far.values().filter_map(|of_zone| of_zone.get(place));
            relays.extend(of_place.filter_map(|entry| entry.relay));
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

/// Returns instances in the order of their rank, each of which is worked out once.
fn ranked<'a, I>(entries: I) -> Vec<&'a InstanceEntry>
where
    I: Iterator<Item = &'a InstanceEntry>,
{
    let mut ranked: Vec<&InstanceEntry> = entries.collect();
    ranked.sort_by_cached_key(|entry| rank(entry));
    ranked
}

/// Returns where an instance stands among those of its availability zone.
fn rank(entry: &InstanceEntry) -> (Reverse<u32>, u64, &str) {
    let hash = xxh3_64(entry.name.as_bytes());
    (Reverse(entry.cpu_permille), hash, &entry.name)
}

/// Returns the seeds in an order of the instance's own, so that not all call the same one.
fn turned(mut seeds: Vec<SocketAddr>, name: &str) -> Vec<SocketAddr> {
    if !seeds.is_empty() {
        let first = xxh3_64(name.as_bytes()) as usize % seeds.len();
        seeds.rotate_left(first);
    }
    seeds
}
