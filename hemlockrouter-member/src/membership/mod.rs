//! Membership: which instances run, with details for the own zone and rumours for other zones.
//!
//! Within a zone this is SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002): one probe a second, indirect probes
//! before suspicion, suspicion before death, refutation by the suspect. An instance that SWIM
//! declares dead is no longer chosen as an owner, but quorums still count it until its end is
//! proved ([`proof`]) or the store breaks a tie between two instances ([`tie`]). A new instance is
//! counted in quorums once every member knows it ([`join`]).

mod contact;
mod gossip;
mod join;
mod probe;
mod proof;
pub(crate) mod table;
mod tie;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::MemberKind;
use hemlockrouter_wire::member::MemberMessage;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::member::PeerCondition;
use hemlockrouter_wire::member::Rumour;
use hemlockrouter_wire::Message;
use rand::rngs::SmallRng;
use rand::RngExt;

use crate::command::Command;
use crate::command::Destination;
use crate::command::ListedInstance;
use crate::config::Config;
use crate::membership::contact::ContactSchedule;
use crate::membership::gossip::Gossip;
use crate::membership::join::Join;
use crate::membership::probe::Prober;
use crate::membership::table::Entry;
use crate::membership::table::MergeOutcome;
use crate::membership::table::Table;
use crate::membership::tie::TieBreak;

/// Shortest interval between two notices to an instance that it is called suspect or dead, in
/// milliseconds.
const DOUBT_NOTICE_INTERVAL_MS: u64 = 500;

/// Shortest interval between two replies that send the table of one zone, in milliseconds.
const TABLE_SEND_INTERVAL_MS: u64 = 500;

/// Membership state of this instance.
#[derive(Debug)]
pub(crate) struct Membership {
    config: Config,
    own_peer: Peer,
    rng: SmallRng,
    table: Table,
    gossip: Gossip,
    prober: Prober,
    join: Join,
    contact_schedule: ContactSchedule,
    tie_break: TieBreak,
    platform_list: Vec<ListedInstance>,
    list_received_at: Option<Time>,
    refusals: BTreeMap<SocketAddr, Time>,
    config_number: ConfigNumber,
    is_leaving: bool,
    notified_at: BTreeMap<InstanceId, Time>,
    /// When the table of each zone was last sent, by the name of the zone.
    table_sent_at: BTreeMap<String, Time>,
    /// When any other member of the own zone was last heard from.
    zone_last_heard_at: Time,
    last_event_at: Time,
}

impl Membership {
    pub(crate) fn new(
        config: Config,
        own_peer: Peer,
        seeds: Vec<SocketAddr>,
        now: Time,
        mut rng: SmallRng,
    ) -> Membership {
        let mut table = Table::default();
        let own_rumour = Rumour {
            peer: own_peer.clone(),
            condition: PeerCondition::Alive,
            refutations: 0,
            established: false,
        };
        table.merge(now, &own_rumour);
        let prober = Prober::new(now + rng.random_range(0..config.probe_interval_ms));
        let contact_schedule =
            ContactSchedule::new(now + rng.random_range(0..config.contact_interval_ms));
        Membership {
            join: Join::new(now, seeds),
            config,
            own_peer,
            rng,
            table,
            gossip: Gossip::default(),
            prober,
            contact_schedule,
            tie_break: TieBreak::default(),
            platform_list: Vec::new(),
            list_received_at: None,
            refusals: BTreeMap::new(),
            config_number: ConfigNumber(0),
            is_leaving: false,
            notified_at: BTreeMap::new(),
            table_sent_at: BTreeMap::new(),
            zone_last_heard_at: now,
            last_event_at: now,
        }
    }

    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    pub(crate) fn own_peer(&self) -> &Peer {
        &self.own_peer
    }

    pub(crate) fn set_config_number(&mut self, config_number: ConfigNumber) {
        self.config_number = config_number;
    }

    /// Returns whether quorums of its zone count this instance.
    pub(crate) fn is_established(&self) -> bool {
        self.own_entry().established
    }

    /// Returns whether this instance may grant leases. An instance that joins again may not: it may
    /// have been removed, so that some members still count it in quorums and others do not.
    pub(crate) fn may_grant(&self) -> bool {
        self.is_established() || self.join.is_first_join()
    }

    fn own_entry(&self) -> &Entry {
        self.table
            .get(self.own_peer.id)
            .expect("this instance is in its own table")
    }

    /// Records that time has passed. An instance that did nothing for half a lease, or that
    /// received nothing from its zone for a whole lease, may have been removed meanwhile, so it
    /// joins again.
    pub(crate) fn observe_time(&mut self, now: Time) {
        let was_inactive = now.ms_since(self.last_event_at) >= self.config.lease_ms / 2;
        self.last_event_at = now;
        if was_inactive || self.is_cut_off(now) {
            self.rejoin(now);
        }
    }

    /// Returns whether nothing was received from the zone for a whole lease, although another
    /// member may still run.
    fn is_cut_off(&self, now: Time) -> bool {
        now.ms_since(self.zone_last_heard_at) >= self.config.lease_ms
            && self.other_members().any(|entry| entry.proved_at.is_none())
    }

    /// Returns the other members of the own zone.
    pub(crate) fn other_members(&self) -> impl Iterator<Item = &Entry> {
        self.table
            .in_zone(&self.own_peer.zone)
            .filter(|entry| entry.peer.id != self.own_peer.id)
    }

    fn zone_size(&self) -> usize {
        self.table.in_zone(&self.own_peer.zone).count()
    }

    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: InstanceId,
        message: MemberMessage,
        out: &mut Vec<Command>,
    ) {
        let should_spread = self.should_spread(from, &message);
        for rumour in &message.rumours {
            self.merge_rumour(now, rumour, should_spread);
        }
        if message.is_established {
            self.table.confirm_established(from);
        }
        if message.kind == MemberKind::Table {
            self.replace_zone_entries(now, from, &message.rumours);
        }
        self.record_heard_and_notify(now, from, out);
        if let Some(entry) = self.table.get_mut(from) {
            entry.config = entry.config.max(Some(message.config));
        }
        match message.kind {
            MemberKind::Probe { seq } => self.send(from, MemberKind::Ack { seq }, out),
            MemberKind::Ack { seq } => self.handle_ack(from, seq, out),
            MemberKind::ProbeFor { seq, target } => {
                self.handle_probe_for(now, from, seq, target, out)
            }
            MemberKind::Join => self.send_table(from, None, MemberKind::Table, out),
            MemberKind::Table => {}
            MemberKind::News => {}
            MemberKind::Introduce { digest } => self.handle_introduce(from, digest, out),
            MemberKind::Introduced => self.handle_introduced(now, from),
            MemberKind::Compare { zone, digest } => {
                self.handle_compare(now, from, &zone, digest, out)
            }
        }
    }

    /// Returns whether the rumours of a message are to be spread in this zone. The rumours of a
    /// whole table from the own zone are not spread, since its members have spread them already.
    /// Those of a table from another zone are spread if this instance is established.
    fn should_spread(&self, from: InstanceId, message: &MemberMessage) -> bool {
        match message.kind {
            MemberKind::Table | MemberKind::Introduced => {
                let sender = message.rumours.iter().find(|rumour| rumour.peer.id == from);
                let is_other_zone =
                    sender.is_some_and(|sender| sender.peer.zone != self.own_peer.zone);
                is_other_zone && self.is_established()
            }
            _ => true,
        }
    }

    /// Merges one rumour into the table, and spreads it further if it changed the table and
    /// `should_spread`.
    fn merge_rumour(&mut self, now: Time, rumour: &Rumour, should_spread: bool) {
        if rumour.peer.id == self.own_peer.id {
            self.refute(now, rumour);
            return;
        }
        let is_other_zone = rumour.peer.zone != self.own_peer.zone;
        let is_unknown = self.table.get(rumour.peer.id).is_none();
        if is_other_zone && is_unknown && rumour.condition == PeerCondition::Dead {
            return;
        }
        let outcome = self.table.merge(now, rumour);
        if outcome == MergeOutcome::Unchanged {
            return;
        }
        let id = rumour.peer.id;
        match rumour.condition {
            PeerCondition::Suspect => self.schedule_suspicion_timeout(now),
            PeerCondition::Dead if rumour.refutations == Rumour::FINAL_REFUTATIONS => {
                self.record_proof(now, id)
            }
            PeerCondition::Dead => self.schedule_final_probe(id),
            PeerCondition::Alive | PeerCondition::Leaving => {}
        }
        if should_spread {
            self.gossip.add(rumour.peer.id, self.zone_size());
        }
    }

    /// Refutes a rumour that this instance is suspect, leaving or dead by raising its count of
    /// refutations.
    fn refute(&mut self, now: Time, rumour: &Rumour) {
        if rumour.condition == PeerCondition::Dead && !rumour.established {
            // A sender that calls this instance dead and not established has removed it.
            self.rejoin(now);
        }
        if self.is_leaving || rumour.condition == PeerCondition::Alive {
            return;
        }
        let own_entry = self
            .table
            .get_mut(self.own_peer.id)
            .expect("this instance is in its own table");
        if rumour.refutations < own_entry.refutations
            || rumour.refutations == Rumour::FINAL_REFUTATIONS
        {
            return;
        }
        own_entry.refutations = rumour.refutations + 1;
        self.gossip.add(self.own_peer.id, self.zone_size());
    }

    /// Records that `from` sent a message. A sender that is suspect or dead in the table is sent a
    /// notice, so that it can refute that.
    pub(crate) fn record_heard_and_notify(
        &mut self,
        now: Time,
        from: InstanceId,
        out: &mut Vec<Command>,
    ) {
        let Some(condition) = self.record_heard(now, from) else {
            self.notify_removed(now, from, out);
            return;
        };
        let is_suspect_or_dead = matches!(condition, PeerCondition::Suspect | PeerCondition::Dead);
        if is_suspect_or_dead && self.may_notify(now, from) {
            self.send(from, MemberKind::News, out);
        }
    }

    /// Records that `from` sent a message, and returns its condition if it is known.
    pub(crate) fn record_heard(&mut self, now: Time, from: InstanceId) -> Option<PeerCondition> {
        let entry = self.table.get_mut(from)?;
        entry.last_heard_at = Some(now);
        if entry.peer.zone == self.own_peer.zone {
            self.zone_last_heard_at = now;
        }
        self.prober.record_answer(from);
        Some(entry.condition)
    }

    fn may_notify(&mut self, now: Time, id: InstanceId) -> bool {
        let notified_at = self.notified_at.get(&id);
        if notified_at
            .is_some_and(|notified_at| now.ms_since(*notified_at) < DOUBT_NOTICE_INTERVAL_MS)
        {
            return false;
        }
        self.notified_at.insert(id, now);
        true
    }

    /// Notifies an instance that was removed but still runs that it has to join again.
    fn notify_removed(&mut self, now: Time, id: InstanceId, out: &mut Vec<Command>) {
        let Some(entry) = self.table.tombstone(id) else {
            return;
        };
        if entry.refutations == Rumour::FINAL_REFUTATIONS {
            return;
        }
        let mut rumour = entry.rumour();
        rumour.condition = PeerCondition::Dead;
        rumour.established = false;
        let to = Destination::Address(rumour.peer.address);
        if self.may_notify(now, id) {
            let message = self.message(MemberKind::News, vec![rumour]);
            out.push(Command::Send { to, message });
        }
    }

    fn message(&self, kind: MemberKind, rumours: Vec<Rumour>) -> Message {
        Message::Member(MemberMessage {
            config: self.config_number,
            is_established: self.is_established(),
            rumours,
            kind,
        })
    }

    /// Sends a message with as many queued rumours as one message may carry.
    fn send(&mut self, to: InstanceId, kind: MemberKind, out: &mut Vec<Command>) {
        let mut ids = self.gossip.take(self.config.rumours_per_message);
        let receiver = self.table.get(to);
        let is_suspect_or_dead =
            receiver.is_some_and(|entry| entry.condition >= PeerCondition::Suspect);
        if is_suspect_or_dead && !ids.contains(&to) {
            ids.push(to);
        }
        let needs_own_rumour = receiver.is_some_and(|entry| entry.peer.zone != self.own_peer.zone)
            || matches!(kind, MemberKind::Introduce { .. });
        if needs_own_rumour && !ids.contains(&self.own_peer.id) {
            ids.push(self.own_peer.id);
        }
        let rumours = ids
            .into_iter()
            .filter_map(|id| self.table.get(id))
            .map(Entry::rumour)
            .collect();
        let message = self.message(kind, rumours);
        let to = Destination::Instance(to);
        out.push(Command::Send { to, message });
    }

    /// Sends the whole table, or the table of one zone.
    fn send_table(
        &mut self,
        to: InstanceId,
        zone: Option<&str>,
        kind: MemberKind,
        out: &mut Vec<Command>,
    ) {
        let receiver_zone = self.table.get(to).map(|entry| entry.peer.zone.as_str());
        // Other zones can't detect that an instance was removed, so removed instances are sent to
        // them.
        let removed = self
            .table
            .all_tombstones()
            .filter(|entry| Some(entry.peer.zone.as_str()) != receiver_zone);
        let rumours = self
            .table
            .iter()
            .chain(removed)
            .filter(|entry| zone.is_none_or(|zone| entry.peer.zone == zone))
            .map(Entry::rumour)
            .collect();
        let message = self.message(kind, rumours);
        let to = Destination::Instance(to);
        out.push(Command::Send { to, message });
    }

    fn handle_compare(
        &mut self,
        now: Time,
        from: InstanceId,
        zone: &str,
        digest: u64,
        out: &mut Vec<Command>,
    ) {
        if self.table.digest(zone) == digest {
            return;
        }
        let sender = self.table.get(from);
        let is_zone_of_sender = sender.is_some_and(|entry| entry.peer.zone == zone);
        if is_zone_of_sender && zone != self.own_peer.zone {
            // The sender is a member of that zone and has the better table, so ask for it.
            let digest = self.table.digest(zone);
            let zone = zone.to_owned();
            self.send(from, MemberKind::Compare { zone, digest }, out);
            return;
        }
        let table_sent_at = self.table_sent_at.get(zone);
        if table_sent_at
            .is_some_and(|table_sent_at| now.ms_since(*table_sent_at) < TABLE_SEND_INTERVAL_MS)
        {
            return;
        }
        self.table_sent_at.insert(zone.to_owned(), now);
        self.send_table(from, Some(zone), MemberKind::Table, out);
    }

    /// Starts a graceful shutdown: other instances choose owners without this one from now on.
    pub(crate) fn start_leaving(&mut self, now: Time) {
        self.is_leaving = true;
        self.set_own_condition(now, PeerCondition::Leaving, 0);
    }

    /// Announces that this instance ends. The announcement can't be refuted or overridden.
    pub(crate) fn announce_end(&mut self, now: Time, out: &mut Vec<Command>) {
        self.set_own_condition(now, PeerCondition::Dead, Rumour::FINAL_REFUTATIONS);
        let receivers = self.pick_random_members(END_NOTICES_MAX, |entry| entry.is_living());
        self.send_own_rumour(receivers, out);
    }

    /// Sends the rumour about this instance to `receivers` directly.
    pub(crate) fn send_own_rumour(&mut self, receivers: Vec<InstanceId>, out: &mut Vec<Command>) {
        for id in receivers {
            self.gossip.add(self.own_peer.id, self.zone_size());
            self.send(id, MemberKind::News, out);
        }
    }

    fn set_own_condition(&mut self, now: Time, condition: PeerCondition, refutations: u32) {
        let id = self.own_peer.id;
        let own_entry = self
            .table
            .get_mut(id)
            .expect("this instance is in its own table");
        own_entry.refutations = refutations.max(own_entry.refutations);
        self.table.set_condition(now, id, condition);
        self.gossip.add(id, self.zone_size());
    }

    /// Picks at most `max` random other members of the zone that satisfy `wanted`.
    fn pick_random_members<F>(&mut self, max: usize, wanted: F) -> Vec<InstanceId>
    where
        F: Fn(&Entry) -> bool,
    {
        let mut ids: Vec<InstanceId> = self
            .other_members()
            .filter(|entry| wanted(entry))
            .map(|entry| entry.peer.id)
            .collect();
        let mut picked = Vec::new();
        while picked.len() < max && !ids.is_empty() {
            let index = self.rng.random_range(0..ids.len());
            picked.push(ids.swap_remove(index));
        }
        picked
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.tick_probe(now, out);
        self.tick_proof(now, out);
        self.tick_tie_break(now, out);
        self.tick_join(now, out);
        self.tick_contact(now, out);
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.prober
            .next_wake(self.config.probe_timeout_ms)
            .min(self.join.next_wake())
            .min(self.contact_schedule.next_wake())
    }
}

/// Number of members that are notified directly when this instance ends. The other members learn it
/// from their rumours.
const END_NOTICES_MAX: usize = 8;
