//! Proof that an instance has ended.
//!
//! A quorum may shrink only by members that can't act any more, so a missing answer to probes is
//! not enough to remove an instance. Proof is one of: the instance announced its own end, another
//! instance runs at its address, its address refuses connections, or the platform's list lacks it
//! or shows it as critical. Absence from the list counts only if the instance was on the list
//! before or has been dead for longer than the list may lag. The list proves nothing while it lacks
//! this instance or shows it as critical. The dead instance is removed one lease after the proof:
//! by then no promise that it gave or received is in force.

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::PeerCondition;
use hemlockrouter_wire::member::Rumour;

use crate::command::Command;
use crate::command::ListedInstance;
use crate::command::ListedState;
use crate::membership::table::Entry;
use crate::membership::Membership;

/// How long a refused connection counts as proof, in milliseconds.
const REFUSAL_VALIDITY_MS: u64 = 10_000;

/// How long a dead instance of another zone stays in the table, in milliseconds. Quorums of this
/// zone do not count it.
const OTHER_ZONE_DEAD_RETENTION_MS: u64 = 60_000;

impl Membership {
    /// Stores the platform's list of instances.
    pub(crate) fn set_platform_list(&mut self, now: Time, list: Vec<ListedInstance>) {
        self.platform_list = list;
        self.platform_list.sort_by_key(|listed| listed.address);
        self.list_received_at = Some(now);
        for entry in self.table.iter_mut() {
            let is_listed = find_by_address(&self.platform_list, entry.peer.address).is_some();
            entry.was_listed |= is_listed;
        }
    }

    /// Records that a connection to `id` was refused, so that nothing listens at its address.
    pub(crate) fn record_refused_connection(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        // Only the zone of an instance decides whether it is alive.
        if entry.peer.zone != self.own_peer.zone || id == self.own_peer.id {
            return;
        }
        self.refusals.insert(entry.peer.address, now);
        if entry.condition == PeerCondition::Dead {
            return;
        }
        self.table.set_condition(now, id, PeerCondition::Dead);
        self.gossip.add(id, self.zone_size());
    }

    /// Returns whether a member of the zone is dead and its end is not proved yet.
    pub(crate) fn has_unproved_dead(&self) -> bool {
        self.other_members()
            .any(|entry| entry.condition == PeerCondition::Dead && entry.proved_at.is_none())
    }

    /// Records that the end of `id` is proved.
    pub(crate) fn record_proof(&mut self, now: Time, id: InstanceId) {
        if let Some(entry) = self.table.get_mut(id) {
            entry.proved_at.get_or_insert(now);
        }
    }

    /// Looks for proofs and removes the instances whose end was proved a lease ago.
    pub(crate) fn tick_proof(&mut self, now: Time, _out: &mut Vec<Command>) {
        self.refusals
            .retain(|_, refused_at| now.ms_since(*refused_at) < REFUSAL_VALIDITY_MS);
        self.table.purge_tombstones(now);
        let dead: Vec<InstanceId> = self
            .table
            .iter()
            .filter(|entry| entry.condition == PeerCondition::Dead)
            .map(|entry| entry.peer.id)
            .collect();
        for id in dead {
            self.prove_or_remove(now, id);
        }
    }

    fn prove_or_remove(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        if id == self.own_peer.id {
            return;
        }
        if entry.proved_at.is_none() && self.has_proof_of_end(now, entry) {
            self.record_proof(now, id);
            return;
        }
        let is_expired = match entry.proved_at {
            Some(proved_at) => now.ms_since(proved_at) >= self.config.lease_ms,
            None => {
                entry.peer.zone != self.own_peer.zone
                    && now.ms_since(entry.condition_since) >= OTHER_ZONE_DEAD_RETENTION_MS
            }
        };
        if is_expired {
            self.table.remove(now, id);
        }
    }

    fn has_proof_of_end(&self, now: Time, entry: &Entry) -> bool {
        entry.refutations == Rumour::FINAL_REFUTATIONS
            || self.is_replaced(entry)
            || self.is_refused(entry)
            || self.is_unlisted(now, entry)
    }

    /// Returns whether another instance was heard from at the same address later than this one.
    fn is_replaced(&self, entry: &Entry) -> bool {
        self.table.iter().any(|other| {
            other.peer.address == entry.peer.address
                && other.peer.id != entry.peer.id
                && (other.last_heard_at > entry.last_heard_at || other.peer.id == self.own_peer.id)
        })
    }

    fn is_refused(&self, entry: &Entry) -> bool {
        let refused_at = self.refusals.get(&entry.peer.address).copied();
        self.config.refusal_is_proof && refused_at.is_some() && refused_at > entry.last_heard_at
    }

    /// Returns whether the platform's list shows this instance, and not as critical.
    pub(crate) fn is_self_listed(&self) -> bool {
        let listed = self.listed_entry(self.own_peer.address);
        listed.is_some_and(|listed| listed.state != ListedState::Critical)
    }

    fn listed_entry(&self, address: SocketAddr) -> Option<&ListedInstance> {
        find_by_address(&self.platform_list, address)
    }

    /// Returns whether a list that was read after the instance was declared dead no longer shows it
    /// as running.
    fn is_unlisted(&self, now: Time, entry: &Entry) -> bool {
        if self
            .list_received_at
            .is_none_or(|received_at| received_at <= entry.condition_since)
        {
            return false;
        }
        // A list that lacks this instance or shows it as critical is out of date or cut off from
        // the zone.
        if !self.is_self_listed() {
            return false;
        }
        match self.listed_entry(entry.peer.address) {
            Some(listed) => listed.state == ListedState::Critical,
            None => {
                entry.was_listed || now.ms_since(entry.condition_since) >= self.config.list_lag_ms
            }
        }
    }
}

/// Returns the entry with an address in a list that is sorted by address.
fn find_by_address(list: &[ListedInstance], address: SocketAddr) -> Option<&ListedInstance> {
    let index = list.binary_search_by_key(&address, |listed| listed.address);
    index.ok().map(|index| &list[index])
}
