//! Exchange of membership information between availability zones.
//!
//! Two living instances of each zone, chosen by rendezvous hashing, are its contacts. Each contact
//! probes a contact of one other zone in turn, so the cost per instance does not grow with the size
//! of the fleet. Rumours learned from another zone spread within the own zone together with its
//! other rumours. Comparing digests of the tables finds changes that the rumours missed.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::MemberKind;
use hemlockrouter_wire::member::PeerCondition;
use hemlockrouter_wire::member::Rumour;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::command::Command;
use crate::membership::table::Table;
use crate::membership::Membership;

/// Number of contacts in each zone.
pub(crate) const CONTACTS_PER_ZONE: usize = 2;

/// How long an instance of another zone must have been known in its current condition before its
/// absence from a received table counts as a removal, in milliseconds.
const MISSING_ENTRY_GRACE_MS: u64 = 10_000;

/// Schedule of the probes and table comparisons with other zones.
#[derive(Debug)]
pub(crate) struct ContactSchedule {
    next_probe_at: Time,
    next_compare_at: Time,
    probe_count: usize,
}

impl ContactSchedule {
    pub(crate) fn new(next_probe_at: Time) -> ContactSchedule {
        ContactSchedule {
            next_probe_at,
            next_compare_at: next_probe_at,
            probe_count: 0,
        }
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.next_probe_at.min(self.next_compare_at)
    }
}

/// Returns at most `max` living instances of a zone, those with the highest scores for a role.
pub(crate) fn top_ranked_for_role(
    table: &Table,
    zone: &str,
    role: &str,
    max: usize,
) -> Vec<InstanceId> {
    let mut scored: Vec<(u64, InstanceId)> = table
        .in_zone(zone)
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
    /// Returns whether this instance is among the `max` living instances of its zone with the
    /// highest scores for a role.
    pub(crate) fn is_top_ranked_for_role(&self, role: &str, max: usize) -> bool {
        top_ranked_for_role(&self.table, &self.own_peer.zone, role, max).contains(&self.own_peer.id)
    }

    pub(crate) fn tick_contact(&mut self, now: Time, out: &mut Vec<Command>) {
        if now >= self.contact_schedule.next_probe_at {
            let interval_ms = self.config.contact_interval_ms;
            self.contact_schedule.next_probe_at =
                now + interval_ms / 2 + self.rng.random_range(0..interval_ms);
            self.probe_other_zone(out);
        }
        if now >= self.contact_schedule.next_compare_at {
            let interval_ms = self.config.compare_interval_ms;
            self.contact_schedule.next_compare_at =
                now + interval_ms / 2 + self.rng.random_range(0..interval_ms);
            self.compare_random_zone(out);
        }
    }

    /// Probes a contact of the next zone in turn, and sends it the digests of the tables of both
    /// zones.
    fn probe_other_zone(&mut self, out: &mut Vec<Command>) {
        let contacts = top_ranked_for_role(
            &self.table,
            &self.own_peer.zone,
            "contact",
            CONTACTS_PER_ZONE,
        );
        if !contacts.contains(&self.own_peer.id) {
            return;
        }
        let mut zones = self.table.zones();
        zones.retain(|zone| *zone != self.own_peer.zone);
        if zones.is_empty() {
            return;
        }
        self.contact_schedule.probe_count = self.contact_schedule.probe_count.wrapping_add(1);
        let zone = &zones[self.contact_schedule.probe_count % zones.len()];
        let targets = top_ranked_for_role(&self.table, zone, "contact", CONTACTS_PER_ZONE);
        if targets.is_empty() {
            return;
        }
        let target = targets[self.rng.random_range(0..targets.len())];
        let seq = self.contact_schedule.probe_count as u32;
        self.send(target, MemberKind::Probe { seq }, out);
        let compared_zones = [self.own_peer.zone.clone(), zone.clone()];
        for zone in compared_zones {
            self.send_compare(target, zone, out);
        }
    }

    /// Sends one instance the digest of a random zone's table. The table of the own zone is
    /// compared with a random living member, that of another zone with a contact, which receives it
    /// from that zone.
    fn compare_random_zone(&mut self, out: &mut Vec<Command>) {
        let zones = self.table.zones();
        let zone = zones[self.rng.random_range(0..zones.len())].clone();
        let is_own_zone = zone == self.own_peer.zone;
        let contacts = top_ranked_for_role(
            &self.table,
            &self.own_peer.zone,
            "contact",
            CONTACTS_PER_ZONE,
        );
        let receivers = self.pick_random_members(1, |entry| {
            entry.is_living() && (is_own_zone || contacts.contains(&entry.peer.id))
        });
        if let Some(id) = receivers.first() {
            self.send_compare(*id, zone, out);
        }
    }

    /// Replaces the entries of another zone by a received table, if the sender is a better source:
    /// a member of that zone or a contact of the own zone. Rumours are sent only a few times, so
    /// they can't repair a change that was missed long ago.
    pub(crate) fn replace_zone_entries(&mut self, now: Time, from: InstanceId, rumours: &[Rumour]) {
        let Some(zone) = rumours.first().map(|rumour| rumour.peer.zone.clone()) else {
            return;
        };
        let is_single_zone = rumours.iter().all(|rumour| rumour.peer.zone == zone);
        if zone == self.own_peer.zone || !is_single_zone || !self.is_better_source(from, &zone) {
            return;
        }
        let missing: Vec<InstanceId> = self
            .table
            .in_zone(&zone)
            .filter(|entry| now.ms_since(entry.condition_since) >= MISSING_ENTRY_GRACE_MS)
            .map(|entry| entry.peer.id)
            .filter(|id| !rumours.iter().any(|rumour| rumour.peer.id == *id))
            .collect();
        for id in missing {
            self.table.remove(now, id);
            self.table.clear_tombstone(id);
        }
        for rumour in rumours {
            self.replace_entry(now, rumour);
        }
    }

    fn replace_entry(&mut self, now: Time, rumour: &Rumour) {
        if rumour.condition >= PeerCondition::Dead {
            return;
        }
        let id = rumour.peer.id;
        self.table.clear_tombstone(id);
        self.table.merge(now, rumour);
        let is_not_newer = self
            .table
            .get(id)
            .is_some_and(|entry| entry.refutations <= rumour.refutations);
        if is_not_newer {
            self.table.set_condition(now, id, rumour.condition);
        }
    }

    /// Returns whether an instance receives the table of a zone more directly than this instance:
    /// as a member of that zone, or as a contact of the own zone if this instance is no contact.
    fn is_better_source(&self, id: InstanceId, zone: &str) -> bool {
        let is_member = self
            .table
            .get(id)
            .is_some_and(|entry| entry.peer.zone == zone);
        let contacts = top_ranked_for_role(
            &self.table,
            &self.own_peer.zone,
            "contact",
            CONTACTS_PER_ZONE,
        );
        is_member || (contacts.contains(&id) && !contacts.contains(&self.own_peer.id))
    }

    fn send_compare(&mut self, to: InstanceId, zone: String, out: &mut Vec<Command>) {
        let digest = self.table.digest(&zone);
        self.send(to, MemberKind::Compare { zone, digest }, out);
    }
}
