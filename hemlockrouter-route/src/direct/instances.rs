//! The instances of the tier: how many share a bound, and who reads the registry for whom.
//!
//! Too low a count would let all instances together pass a bound, so an instance that disappears
//! from the list is counted for a while: it may have lost nothing but its way to the registry. A list
//! that grows is not complete yet, and gives no count at all.
//!
//! The registry bounds its calls over all instances, and each call costs. In an availability zone of
//! many instances only a few read it, the same ones in everybody's view, and the others follow them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use xxhash_rust::xxh3::xxh3_64;

/// How long an instance that left the list is counted, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// How long the list must not have grown before it counts as complete, in milliseconds.
const SETTLING_MS: u64 = 3_000;

/// In an availability zone of no more instances than this, all read the registry.
const ALL_READ_MAX: usize = 4;

/// How many instances of a larger availability zone read the registry.
const READERS: usize = 2;

/// How an instance learns what the registry holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reading {
    /// It reads the registry for itself.
    Alone,
    /// It reads the registry, and others follow it.
    ForOthers,
    /// It follows another instance.
    Following(SocketAddr),
}

/// The instances of the tier.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    known: BTreeMap<String, Known>,
    /// When the list last grew; `None` if it has not since it was complete.
    grown_at: Option<Time>,
}

#[derive(Clone, Debug)]
struct Known {
    entry: InstanceEntry,
    /// Since when it is gone from the list.
    gone_since: Option<Time>,
}

impl Instances {
    /// Takes over that an instance is on the list.
    pub fn joined(&mut self, now: Time, entry: InstanceEntry) {
        let known = Known {
            entry: entry.clone(),
            gone_since: None,
        };
        if self.known.insert(entry.name, known).is_none() {
            self.grown_at = Some(now);
        }
    }

    /// Takes over that an instance is not on the list any more.
    pub fn left(&mut self, now: Time, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.gone_since.get_or_insert(now);
        }
        self.known.retain(|_, known| {
            let gone_since = known.gone_since;
            gone_since.is_none_or(|since| now.since(since) <= KEPT_MS)
        });
    }

    /// Takes over that only the instances of `names` are on the list.
    pub fn keep_only<'n, I>(&mut self, now: Time, names: I)
    where
        I: Iterator<Item = &'n str>,
    {
        let names: Vec<&str> = names.collect();
        let known = self.known.keys();
        let gone = known.filter(|name| !names.contains(&name.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        for name in gone {
            self.left(now, &name);
        }
    }

    /// Takes over that the list was read whole for the first time. If it holds the instance `me`, that
    /// one has only started again, and the list is as complete as it was before.
    pub fn first_read(&mut self, me: &str) {
        if self.known.contains_key(me) {
            self.grown_at = None;
        }
    }

    /// Returns the names of all that are counted.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.known.keys().map(String::as_str)
    }

    /// Returns how many are counted, at least one.
    pub fn count(&self) -> u32 {
        u32::try_from(self.known.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns how many share a bound, if the list is complete.
    pub fn sharing(&self, now: Time) -> Option<u32> {
        self.is_settled(now).then(|| self.count())
    }

    /// Returns all that are counted, and whether they are on the list.
    pub(super) fn all(&self) -> impl Iterator<Item = (&InstanceEntry, bool)> {
        let known = self.known.values();
        known.map(|known| (&known.entry, known.gone_since.is_none()))
    }

    /// Returns the instances on the list that take batches.
    pub(super) fn collectors(&self) -> impl Iterator<Item = &InstanceEntry> {
        let present = self.all().filter(|(_, is_present)| *is_present);
        let entries = present.map(|(entry, _)| entry);
        entries.filter(|entry| entry.relay.is_some())
    }

    /// Returns how the instance `me` learns what the registry holds.
    pub fn reading(&self, now: Time, me: &str) -> Reading {
        let Some(zone) = self.known.get(me).map(|known| known.entry.zone.as_str()) else {
            return Reading::Alone;
        };
        let present = self
            .known
            .values()
            .filter(|known| known.gone_since.is_none());
        let in_zone = present.filter(|known| known.entry.zone == zone);
        let mut ranked: Vec<&InstanceEntry> = in_zone.map(|known| &known.entry).collect();
        if !self.is_settled(now) || ranked.len() <= ALL_READ_MAX {
            return Reading::Alone;
        }
        ranked.sort_by_key(|entry| (xxh3_64(entry.name.as_bytes()), entry.name.as_str()));
        let mut readers = ranked
            .iter()
            .filter(|entry| entry.relay.is_some())
            .take(READERS);
        if readers.clone().any(|entry| entry.name == me) {
            return Reading::ForOthers;
        }
        let which = xxh3_64(me.as_bytes()) as usize % READERS;
        let reader = readers.clone().nth(which).or_else(|| readers.next());
        let relay = reader.and_then(|entry| entry.relay);
        relay.map_or(Reading::Alone, Reading::Following)
    }

    fn is_settled(&self, now: Time) -> bool {
        let grown_at = self.grown_at;
        let is_old = grown_at.is_none_or(|at| now.since(at) >= SETTLING_MS);
        is_old && !self.known.is_empty()
    }
}
