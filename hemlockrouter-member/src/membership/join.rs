//! Joining a zone: how a new instance comes to be counted in quorums.
//!
//! A joining instance introduces itself to every member of its zone that it knows or learns of. A
//! member that receives the introduction lists the instance as *joining*: from then on the member
//! needs the grants of a quorum both with and without the joining instance. The instance becomes
//! *established* once all members have answered and a further lease time has passed, so that no
//! lease from before the introduction is in force. This order guarantees that no two members rely
//! on quorums of which one counts the joining instance while the other member has not heard of the
//! instance. The same step is the joint consensus of membership changes in Raft (Ongaro and
//! Ousterhout 2014), but without a log: members do not agree on an order of joins and require
//! quorums for each subset of the joining instances.
//!
//! The very first instances of a zone have no member to ask. They rely on the platform's list once
//! it shows them as well, since every instance that registered before them is also on the list. If
//! they are seeds themselves, they rely on the seeds instead: each of the other seeds must answer
//! or refuse the connection. Relying on the seeds is sound only where they name every address that
//! instances of the zone ever have.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::MemberKind;
use rand::RngExt;

use crate::command::Command;
use crate::command::Destination;
use crate::command::ListedState;
use crate::membership::Membership;

/// Interval between the steps of a joining instance, in milliseconds, to which a jitter of the same
/// size is added.
const JOIN_STEP_INTERVAL_MS: u64 = 100;

/// Number of members that one step introduces this instance to.
const INTRODUCTIONS_PER_STEP: usize = 2;

/// How long to wait for an answer to a join or an introduction before it is sent again, in
/// milliseconds.
const JOIN_RETRY_DELAY_MS: u64 = 1_000;

/// Progress of joining the zone.
#[derive(Debug)]
pub(crate) struct Join {
    seeds: Vec<SocketAddr>,
    is_first_join: bool,
    is_complete: bool,
    acknowledged_by: BTreeSet<InstanceId>,
    /// When the last established member answered the introduction.
    last_acknowledged_at: Option<Time>,
    introduced_at: BTreeMap<InstanceId, Time>,
    join_sent_at: BTreeMap<SocketAddr, Time>,
    next_step_at: Time,
}

impl Join {
    pub(crate) fn new(now: Time, seeds: Vec<SocketAddr>) -> Join {
        Join {
            seeds,
            is_first_join: true,
            is_complete: false,
            acknowledged_by: BTreeSet::new(),
            last_acknowledged_at: None,
            introduced_at: BTreeMap::new(),
            join_sent_at: BTreeMap::new(),
            next_step_at: now,
        }
    }

    /// Returns whether this instance has never been established.
    pub(crate) fn is_first_join(&self) -> bool {
        self.is_first_join
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.next_step_at
    }
}

impl Membership {
    /// Joins the zone again. An instance that is still joining starts over with its introductions.
    pub(crate) fn rejoin(&mut self, now: Time) {
        if !self.join.is_complete {
            self.join.acknowledged_by.clear();
            self.join.last_acknowledged_at = None;
            return;
        }
        let seeds = std::mem::take(&mut self.join.seeds);
        self.join = Join::new(now, seeds);
        self.join.is_first_join = false;
        self.table.set_established(self.own_peer.id, false);
    }

    pub(crate) fn tick_join(&mut self, now: Time, out: &mut Vec<Command>) {
        if now < self.join.next_step_at {
            return;
        }
        let step_ms = if self.join.is_complete {
            JOIN_RETRY_DELAY_MS * 5
        } else {
            JOIN_STEP_INTERVAL_MS
        };
        self.join.next_step_at = now + step_ms + self.rng.random_range(0..step_ms);
        self.send_join_request(now, out);
        if self.join.is_complete || self.is_leaving {
            return;
        }
        self.send_introductions(now, out);
        self.complete_if_ready(now);
    }

    /// Asks one address at which no known instance runs for its table.
    fn send_join_request(&mut self, now: Time, out: &mut Vec<Command>) {
        let retry_ms = JOIN_RETRY_DELAY_MS * if self.join.is_complete { 10 } else { 1 };
        let address = self.unknown_addresses().into_iter().find(|address| {
            let join_sent_at = self.join.join_sent_at.get(address);
            join_sent_at.is_none_or(|join_sent_at| now.ms_since(*join_sent_at) >= retry_ms)
        });
        let Some(address) = address else {
            return;
        };
        self.join.join_sent_at.insert(address, now);
        let message = self.message(MemberKind::Join, vec![self.own_entry().rumour()]);
        let to = Destination::Address(address);
        out.push(Command::Send { to, message });
    }

    /// Returns the seeds and listed addresses at which no known instance runs.
    fn unknown_addresses(&self) -> Vec<SocketAddr> {
        let listed = self
            .platform_list
            .iter()
            .filter(|listed| listed.state != ListedState::Critical)
            .map(|listed| listed.address);
        let known_addresses = self.table.addresses();
        self.join
            .seeds
            .iter()
            .copied()
            .chain(listed)
            .filter(|address| !known_addresses.contains(address))
            .collect()
    }

    /// Returns whether an unknown instance may run at an address.
    fn may_host_unknown(&self, address: SocketAddr) -> bool {
        !self.table.knows_address(address)
            && !self.refusals.contains_key(&address)
            && !self.table.has_announced_end(address)
    }

    /// Records that a connection to an address was refused, so that no instance listens there.
    pub(crate) fn record_refused_address(&mut self, now: Time, address: SocketAddr) {
        self.refusals.insert(address, now);
    }

    /// Returns the members that have not answered an introduction and have not been proved to have
    /// ended.
    fn unacknowledged_members(&self) -> Vec<InstanceId> {
        self.other_members()
            .filter(|entry| entry.proved_at.is_none())
            .filter(|entry| !self.join.acknowledged_by.contains(&entry.peer.id))
            .map(|entry| entry.peer.id)
            .collect()
    }

    fn send_introductions(&mut self, now: Time, out: &mut Vec<Command>) {
        let digest = self.table.digest(&self.own_peer.zone);
        let mut remaining = INTRODUCTIONS_PER_STEP;
        for id in self.unacknowledged_members() {
            let introduced_at = self.join.introduced_at.get(&id);
            if remaining == 0
                || introduced_at
                    .is_some_and(|introduced_at| now.ms_since(*introduced_at) < JOIN_RETRY_DELAY_MS)
            {
                continue;
            }
            remaining -= 1;
            self.join.introduced_at.insert(id, now);
            self.send(id, MemberKind::Introduce { digest }, out);
        }
    }

    /// Answers an introduction. The rumours of the same message have already put the sender into
    /// the table.
    pub(crate) fn handle_introduce(
        &mut self,
        from: InstanceId,
        digest: u64,
        out: &mut Vec<Command>,
    ) {
        if self.table.tombstone(from).is_some() {
            self.table.clear_tombstone(from);
            return;
        }
        if self.table.get(from).is_none() {
            return;
        }
        // If two instances join at once, one introduction between them is enough for both.
        if !self.table.get(from).is_some_and(|entry| entry.established) {
            self.join.acknowledged_by.insert(from);
        }
        if self.table.digest(&self.own_peer.zone) == digest {
            self.send(from, MemberKind::Introduced, out);
            return;
        }
        let zone = self.own_peer.zone.clone();
        self.send_table(from, Some(&zone), MemberKind::Introduced, out);
    }

    pub(crate) fn handle_introduced(&mut self, now: Time, from: InstanceId) {
        if self.join.is_complete || !self.join.acknowledged_by.insert(from) {
            return;
        }
        let is_established = self.table.get(from).is_some_and(|entry| entry.established);
        if is_established || self.join.last_acknowledged_at.is_none() {
            self.join.last_acknowledged_at = Some(now);
        }
    }

    fn complete_if_ready(&mut self, now: Time) {
        if !self.unacknowledged_members().is_empty() || !self.knows_all_established() {
            return;
        }
        let last_acknowledged_at = *self.join.last_acknowledged_at.get_or_insert(now);
        if now.ms_since(last_acknowledged_at) < self.config.lease_ms {
            return;
        }
        self.join.is_complete = true;
        self.table.set_established(self.own_peer.id, true);
        self.gossip.add(self.own_peer.id, self.zone_size());
    }

    /// Returns whether this instance can know every established member of its zone: either an
    /// established member has answered, or the platform's list or the seeds are complete and the
    /// list shows no unknown instance of the zone.
    fn knows_all_established(&self) -> bool {
        let has_member_answered = self
            .other_members()
            .any(|entry| entry.established && self.join.acknowledged_by.contains(&entry.peer.id));
        let has_complete_list = self.is_self_listed() || self.have_seeds_answered();
        has_member_answered || (has_complete_list && !self.lists_unknown_instance())
    }

    /// Returns whether the platform's list shows an instance of the zone that this instance does
    /// not know.
    fn lists_unknown_instance(&self) -> bool {
        self.platform_list.iter().any(|listed| {
            listed.zone == self.own_peer.zone
                && listed.state != ListedState::Critical
                && self.may_host_unknown(listed.address)
        })
    }

    /// Returns whether this instance is one of the seeds and every other seed has answered or does
    /// not run.
    fn have_seeds_answered(&self) -> bool {
        let seeds = &self.join.seeds;
        seeds.contains(&self.own_peer.address)
            && !seeds.iter().any(|seed| self.may_host_unknown(*seed))
    }
}
