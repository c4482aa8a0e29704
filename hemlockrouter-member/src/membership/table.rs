//! Table of all known instances.
//!
//! An instance is removed from the table only when it is dead *and* its end is proved, since a
//! quorum may shrink only by members that can't act any more. Until then the instance stays in the
//! table as a member that does not answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::member::PeerCondition;
use hemlockrouter_wire::member::Rumour;
use xxhash_rust::xxh3::xxh3_64;

/// How long a removed instance is remembered, so that late rumours do not add it again, in
/// milliseconds.
const TOMBSTONE_RETENTION_MS: u64 = 600_000;

/// Entry of one instance in the membership table.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) peer: Peer,
    pub(crate) condition: PeerCondition,
    pub(crate) refutations: u32,
    pub(crate) established: bool,
    /// When the condition of the instance last changed.
    pub(crate) condition_since: Time,
    /// When this instance last received a message from the other one directly.
    pub(crate) last_heard_at: Option<Time>,
    /// When this instance last chose the other one as a probe target.
    pub(crate) last_probed_at: Option<Time>,
    /// Configuration number that the instance reported last.
    pub(crate) config: Option<ConfigNumber>,
    /// Whether the platform's list ever contained the instance.
    pub(crate) was_listed: bool,
    /// When the end of the instance was proved.
    pub(crate) proved_at: Option<Time>,
}

impl Entry {
    /// Returns whether the instance may own upstreams: it is alive or only suspect.
    pub(crate) fn is_living(&self) -> bool {
        matches!(
            self.condition,
            PeerCondition::Alive | PeerCondition::Suspect
        )
    }

    pub(crate) fn rumour(&self) -> Rumour {
        Rumour {
            peer: self.peer.clone(),
            condition: self.condition,
            refutations: self.refutations,
            established: self.established,
        }
    }
}

/// Result of merging a rumour into the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MergeOutcome {
    /// The rumour changed nothing.
    Unchanged,
    /// The rumour added an instance that was not known.
    Added,
    /// The rumour changed the condition of an instance or whether it is established.
    Changed,
}

/// Table of all known instances, this one included, and of recently removed ones.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<InstanceId, Entry>,
    tombstones: BTreeMap<InstanceId, (Time, Entry)>,
    /// Number of changes in each zone that affect ranking: which instances are known, living and
    /// established.
    versions: BTreeMap<String, u64>,
    version: u64,
}

impl Table {
    pub(crate) fn versions(&self) -> &BTreeMap<String, u64> {
        &self.versions
    }

    /// Returns the number of changes in all zones together.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    fn bump_version(&mut self, zone: &str) {
        self.version += 1;
        match self.versions.get_mut(zone) {
            Some(version) => *version += 1,
            None => {
                self.versions.insert(zone.to_owned(), 1);
            }
        }
    }

    pub(crate) fn get(&self, id: InstanceId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: InstanceId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    pub(crate) fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.iter().map(|entry| entry.peer.address).collect()
    }

    pub(crate) fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.iter().filter(move |entry| entry.peer.zone == zone)
    }

    pub(crate) fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.iter().map(|entry| entry.peer.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    pub(crate) fn knows_address(&self, address: SocketAddr) -> bool {
        self.iter().any(|entry| entry.peer.address == address)
    }

    /// Returns the removed instances that are still remembered.
    pub(crate) fn all_tombstones(&self) -> impl Iterator<Item = &Entry> {
        self.tombstones.values().map(|(_, entry)| entry)
    }

    /// Returns whether a removed instance at `address` announced its own end.
    pub(crate) fn has_announced_end(&self, address: SocketAddr) -> bool {
        self.tombstones.values().any(|(_, entry)| {
            entry.peer.address == address && entry.refutations == Rumour::FINAL_REFUTATIONS
        })
    }

    /// Returns the removed instance with this id, if it is still remembered.
    pub(crate) fn tombstone(&self, id: InstanceId) -> Option<&Entry> {
        self.tombstones.get(&id).map(|(_, entry)| entry)
    }

    /// Merges a rumour into the table. The higher count of refutations wins, then the worse
    /// condition.
    pub(crate) fn merge(&mut self, now: Time, rumour: &Rumour) -> MergeOutcome {
        let id = rumour.peer.id;
        if let Some((_, removed)) = self.tombstones.get(&id) {
            let is_newer = rumour.condition < PeerCondition::Leaving
                && rumour.refutations > removed.refutations;
            if !is_newer {
                return MergeOutcome::Unchanged;
            }
            self.tombstones.remove(&id);
        }
        let Some(entry) = self.entries.get_mut(&id) else {
            self.insert(now, rumour);
            return MergeOutcome::Added;
        };
        let mut outcome = MergeOutcome::Unchanged;
        if rumour.established && !entry.established {
            entry.established = true;
            outcome = MergeOutcome::Changed;
        }
        if (rumour.refutations, rumour.condition) > (entry.refutations, entry.condition) {
            entry.refutations = rumour.refutations;
            self.set_condition(now, id, rumour.condition);
            outcome = MergeOutcome::Changed;
        }
        if outcome == MergeOutcome::Changed {
            self.bump_version(&rumour.peer.zone);
        }
        outcome
    }

    fn insert(&mut self, now: Time, rumour: &Rumour) {
        let entry = Entry {
            peer: rumour.peer.clone(),
            condition: rumour.condition,
            refutations: rumour.refutations,
            established: rumour.established,
            condition_since: now,
            last_heard_at: None,
            last_probed_at: None,
            config: None,
            was_listed: false,
            proved_at: None,
        };
        self.entries.insert(rumour.peer.id, entry);
        self.bump_version(&rumour.peer.zone);
    }

    /// Changes the condition of an instance and discards a proof of its end.
    pub(crate) fn set_condition(&mut self, now: Time, id: InstanceId, condition: PeerCondition) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.condition == condition {
            return;
        }
        entry.condition = condition;
        entry.condition_since = now;
        entry.proved_at = None;
        let zone = entry.peer.zone.clone();
        self.bump_version(&zone);
    }

    /// Marks an instance as established because it said so itself.
    pub(crate) fn confirm_established(&mut self, id: InstanceId) {
        if self.get(id).is_some_and(|entry| !entry.established) {
            self.set_established(id, true);
        }
    }

    /// Sets whether an instance counts in quorums.
    pub(crate) fn set_established(&mut self, id: InstanceId, established: bool) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.established = established;
        let zone = entry.peer.zone.clone();
        self.bump_version(&zone);
    }

    /// Removes an instance from the table and remembers it as removed.
    pub(crate) fn remove(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        let zone = entry.peer.zone.clone();
        self.tombstones.insert(id, (now, entry));
        self.bump_version(&zone);
    }

    /// Forgets that an instance was removed, so that it can be added again as a joining instance.
    pub(crate) fn clear_tombstone(&mut self, id: InstanceId) {
        self.tombstones.remove(&id);
    }

    /// Forgets the instances that were removed longer ago than [`TOMBSTONE_RETENTION_MS`].
    pub(crate) fn purge_tombstones(&mut self, now: Time) {
        self.tombstones
            .retain(|_, (removed_at, _)| now.ms_since(*removed_at) < TOMBSTONE_RETENTION_MS);
    }

    /// Returns a digest of the ids of a zone's instances that are not dead, and of whether each
    /// counts in its quorums.
    pub(crate) fn digest(&self, zone: &str) -> u64 {
        let mut bytes = Vec::new();
        for entry in self.in_zone(zone) {
            if entry.condition == PeerCondition::Dead {
                continue;
            }
            bytes.extend_from_slice(&entry.peer.id.0.to_le_bytes());
            bytes.push(u8::from(entry.established));
        }
        xxh3_64(&bytes)
    }
}
