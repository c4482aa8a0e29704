//! The instances of the tier, and how many share a bound.
//!
//! Too low a count would let all instances together pass a bound, so an instance that disappears
//! from the list is counted for a while: it may have lost nothing but its way to the registry. A list
//! that grows is not complete yet, and gives no count at all.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

/// How long an instance that left the list is counted, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// How long the list must not have grown before it counts as complete, in milliseconds.
const SETTLING_MS: u64 = 3_000;

/// The instances of the tier.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    known: BTreeMap<String, Known>,
    /// When the list last grew; `None` if it has not since it was complete.
    grown_at: Option<Time>,
    /// Grows with each change of what is counted.
    changes: u64,
}

#[derive(Clone, Debug)]
struct Known {
    entry: InstanceEntry,
    /// Since when it is gone from the list.
    gone_since: Option<Time>,
}

impl Instances {
    /// Takes over that an instance is on the list, and returns whether it was not.
    pub fn joined(&mut self, now: Time, entry: InstanceEntry) -> bool {
        let name = entry.name.clone();
        let known = Known {
            entry,
            gone_since: None,
        };
        let before = self.known.insert(name, known);
        self.changes += 1;
        if before.is_none() {
            self.grown_at = Some(now);
        }
        before.is_none_or(|before| before.gone_since.is_some())
    }

    /// Takes over that an instance is not on the list any more.
    pub fn left(&mut self, now: Time, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.gone_since.get_or_insert(now);
        }
        self.changes += 1;
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

    /// Returns a number that grows with each change of the list.
    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the names of all of an availability zone that are counted and that other ones can call.
    pub(super) fn names_of<'i>(&'i self, zone: &'i str) -> impl Iterator<Item = &'i str> + Clone {
        let of_zone = self
            .known
            .values()
            .filter(move |known| known.entry.zone == zone && known.entry.relay.is_some());
        of_zone.map(|known| known.entry.name.as_str())
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

    /// Returns who has registered the instance `name`, if it is on the list.
    pub fn registrar_of(&self, name: &str) -> Option<&str> {
        let known = self.known.get(name)?;
        let entry = &known.entry;
        let registrar = entry.registered_by.as_ref().unwrap_or(&entry.name);
        known.gone_since.is_none().then_some(registrar)
    }

    /// Returns the instances on the list that other ones can call.
    pub(super) fn with_relay(&self) -> impl Iterator<Item = &InstanceEntry> {
        let present = self.all().filter(|(_, is_present)| *is_present);
        let entries = present.map(|(entry, _)| entry);
        entries.filter(|entry| entry.relay.is_some())
    }

    pub(super) fn is_settled(&self, now: Time) -> bool {
        let grown_at = self.grown_at;
        let is_old = grown_at.is_none_or(|at| now.since(at) >= SETTLING_MS);
        is_old && !self.known.is_empty()
    }
}
