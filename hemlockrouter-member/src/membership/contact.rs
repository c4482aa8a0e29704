//! Talk between zones.
//!
//! Two instances of each zone, by rendezvous hashing over the living ones, are its contacts. Each
//! talks to a contact of one other zone in turn, so the cost of a node does not grow with the fleet;
//! within its zone what it hears travels with the rumours. Digests find what rumours left out.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Condition;
use hemlockrouter_wire::member::MemberKind;
use hemlockrouter_wire::member::Rumour;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::command::Command;
use crate::membership::table::Table;
use crate::membership::Membership;

/// How many contacts a zone has.
pub(crate) const CONTACTS: usize = 2;

/// How long an instance of another zone is known before its absence from a table counts, in
/// milliseconds.
const MISSED_MS: u64 = 10_000;

/// When which zone is talked to next.
#[derive(Debug)]
pub(crate) struct Contact {
    next_at: Time,
    compare_at: Time,
    turn: usize,
}

impl Contact {
    pub(crate) fn new(next_at: Time) -> Contact {
        Contact {
            next_at,
            compare_at: next_at,
            turn: 0,
        }
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.next_at.min(self.compare_at)
    }
}

/// Returns the `max` living instances of a zone that rank highest for a role.
pub(crate) fn ranked(table: &Table, zone: &str, role: &str, max: usize) -> Vec<InstanceId> {
    let mut scored: Vec<(u64, InstanceId)> = table
        .zone(zone)
        .filter(|entry| entry.is_living())
        .map(|entry| (role_score(role, entry.peer.id), entry.peer.id))
        .collect();
    scored.sort_by(|a, b| b.cmp(a));
    scored.into_iter().take(max).map(|(_, id)| id).collect()
}

fn role_score(role: &str, id: InstanceId) -> u64 {
    let mut bytes = role.as_bytes().to_vec();
    bytes.extend_from_slice(&id.0.to_le_bytes());
    xxh3_64(&bytes)
}

impl Membership {
    /// Returns whether this instance is among the `max` of its zone that rank highest for a role.
    pub(crate) fn ranks_for(&self, role: &str, max: usize) -> bool {
        ranked(&self.table, &self.me.zone, role, max).contains(&self.me.id)
    }

    pub(crate) fn tick_contact(&mut self, now: Time, out: &mut Vec<Command>) {
        if now >= self.contact.next_at {
            let every_ms = self.config.contact_every_ms;
            self.contact.next_at = now + every_ms / 2 + self.rng.random_range(0..every_ms);
            self.talk(out);
        }
        if now >= self.contact.compare_at {
            let every_ms = self.config.compare_every_ms;
            self.contact.compare_at = now + every_ms / 2 + self.rng.random_range(0..every_ms);
            self.compare_one(out);
        }
    }

    /// Probes a contact of the zone whose turn it is, and offers both zones' digests.
    fn talk(&mut self, out: &mut Vec<Command>) {
        let contacts = ranked(&self.table, &self.me.zone, "contact", CONTACTS);
        if !contacts.contains(&self.me.id) {
            return;
        }
        let mut zones = self.table.zones();
        zones.retain(|zone| *zone != self.me.zone);
        if zones.is_empty() {
            return;
        }
        self.contact.turn = self.contact.turn.wrapping_add(1);
        let zone = &zones[self.contact.turn % zones.len()];
        let targets = ranked(&self.table, zone, "contact", CONTACTS);
        if targets.is_empty() {
            return;
        }
        let target = targets[self.rng.random_range(0..targets.len())];
        let seq = self.contact.turn as u32;
        self.send(target, MemberKind::Probe { seq }, out);
        let compared = [self.me.zone.clone(), zone.clone()];
        for zone in compared {
            self.send_compare(target, zone, out);
        }
    }

    /// Compares the table of one zone: of the own one with a random member, of another one with a
    /// contact, which has it from that zone.
    fn compare_one(&mut self, out: &mut Vec<Command>) {
        let zones = self.table.zones();
        let zone = zones[self.rng.random_range(0..zones.len())].clone();
        let is_own = zone == self.me.zone;
        let contacts = ranked(&self.table, &self.me.zone, "contact", CONTACTS);
        let asked = self.pick(1, |entry| {
            entry.is_living() && (is_own || contacts.contains(&entry.peer.id))
        });
        if let Some(id) = asked.first() {
            self.send_compare(*id, zone, out);
        }
    }

    /// Replaces what is believed of another zone by the table of one who knows better: a member of
    /// that zone, or a contact of the own zone. Rumours alone can't repair what was missed long ago.
    pub(crate) fn adopt(&mut self, now: Time, from: InstanceId, rumours: &[Rumour]) {
        let Some(zone) = rumours.first().map(|rumour| rumour.peer.zone.clone()) else {
            return;
        };
        let is_whole = rumours.iter().all(|rumour| rumour.peer.zone == zone);
        if zone == self.me.zone || !is_whole || !self.knows_better(from, &zone) {
            return;
        }
        let missed: Vec<InstanceId> = self
            .table
            .zone(&zone)
            .filter(|entry| now.since(entry.since) >= MISSED_MS)
            .map(|entry| entry.peer.id)
            .filter(|id| !rumours.iter().any(|rumour| rumour.peer.id == *id))
            .collect();
        for id in missed {
            self.table.remove(now, id);
            self.table.readmit(id);
        }
        for rumour in rumours {
            self.adopt_one(now, rumour);
        }
    }

    fn adopt_one(&mut self, now: Time, rumour: &Rumour) {
        if rumour.condition >= Condition::Dead {
            return;
        }
        let id = rumour.peer.id;
        self.table.readmit(id);
        self.table.merge(now, rumour);
        let is_older = self
            .table
            .get(id)
            .is_some_and(|entry| entry.refutations <= rumour.refutations);
        if is_older {
            self.table.set_condition(now, id, rumour.condition);
        }
    }

    /// Returns whether an instance has its table of a zone from nearer to it.
    fn knows_better(&self, id: InstanceId, zone: &str) -> bool {
        let is_member = self
            .table
            .get(id)
            .is_some_and(|entry| entry.peer.zone == zone);
        let contacts = ranked(&self.table, &self.me.zone, "contact", CONTACTS);
        is_member || (contacts.contains(&id) && !contacts.contains(&self.me.id))
    }

    fn send_compare(&mut self, to: InstanceId, zone: String, out: &mut Vec<Command>) {
        let digest = self.table.digest(&zone);
        self.send(to, MemberKind::Compare { zone, digest }, out);
    }
}
