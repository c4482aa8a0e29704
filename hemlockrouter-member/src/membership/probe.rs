//! Probes of peers in the own zone, which go first to the peer that was silent for longest.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::MemberKind;
use hemlockrouter_wire::member::PeerCondition;

use crate::command::Command;
use crate::membership::table::Entry;
use crate::membership::Membership;

/// How long an answer to a probe on behalf of another instance is awaited, in milliseconds.
const FORWARDED_PROBE_TIMEOUT_MS: u64 = 2_000;

/// State of the probes that are in flight.
#[derive(Debug)]
pub(crate) struct Prober {
    next_probe_at: Time,
    seq: u32,
    pending: Option<PendingProbe>,
    /// When the next suspected instance is declared dead if it does not refute the suspicion.
    next_suspicion_timeout_at: Time,
    /// Instances that were just declared dead. Each is probed once more, since a refused connection
    /// proves its end.
    newly_dead: Vec<InstanceId>,
    /// Probes sent on behalf of other instances, by their own sequence number.
    forwarded: BTreeMap<u32, ForwardedProbe>,
}

#[derive(Debug)]
struct PendingProbe {
    target: InstanceId,
    seq: u32,
    sent_at: Time,
    is_indirect: bool,
    helpers: Vec<InstanceId>,
}

#[derive(Debug)]
struct ForwardedProbe {
    target: InstanceId,
    requester: InstanceId,
    seq: u32,
    expires_at: Time,
}

impl Prober {
    pub(crate) fn new(next_probe_at: Time) -> Prober {
        Prober {
            next_probe_at,
            seq: 0,
            pending: None,
            next_suspicion_timeout_at: Time::MAX,
            newly_dead: Vec::new(),
            forwarded: BTreeMap::new(),
        }
    }

    /// Ends the pending probe of `from`, since any message counts as an answer.
    pub(crate) fn record_answer(&mut self, from: InstanceId) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.target == from)
        {
            self.pending = None;
        }
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    pub(crate) fn next_wake(&self, timeout_ms: u64) -> Time {
        match &self.pending {
            Some(pending) if !pending.is_indirect => {
                self.next_probe_at.min(pending.sent_at + timeout_ms)
            }
            _ => self.next_probe_at,
        }
    }
}

impl Membership {
    pub(crate) fn tick_probe(&mut self, now: Time, out: &mut Vec<Command>) {
        self.probe_indirectly(now, out);
        self.expire_suspicions(now);
        self.send_final_probes(out);
        if now < self.prober.next_probe_at {
            return;
        }
        let probe_interval_ms = self.config.probe_interval_ms;
        while self.prober.next_probe_at <= now {
            self.prober.next_probe_at = self.prober.next_probe_at + probe_interval_ms;
        }
        self.prober
            .forwarded
            .retain(|_, forwarded| forwarded.expires_at > now);
        if let Some(pending) = self.prober.pending.take() {
            self.handle_probe_failure(now, pending.target);
        }
        self.probe_next(now, out);
    }

    /// Schedules a final probe of an instance of the own zone that was declared dead.
    pub(crate) fn schedule_final_probe(&mut self, id: InstanceId) {
        let is_own_zone = self
            .table
            .get(id)
            .is_some_and(|entry| entry.peer.zone == self.own_peer.zone);
        if is_own_zone && !self.prober.newly_dead.contains(&id) {
            self.prober.newly_dead.push(id);
        }
    }

    fn send_final_probes(&mut self, out: &mut Vec<Command>) {
        for id in std::mem::take(&mut self.prober.newly_dead) {
            let seq = self.prober.next_seq();
            self.send(id, MemberKind::Probe { seq }, out);
        }
    }

    fn probe_next(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(target) = self.next_probe_target(now) else {
            return;
        };
        let seq = self.prober.next_seq();
        self.prober.pending = Some(PendingProbe {
            target,
            seq,
            sent_at: now,
            is_indirect: false,
            helpers: Vec::new(),
        });
        self.send(target, MemberKind::Probe { seq }, out);
    }

    /// Picks the peer that was neither heard from nor probed for the longest time. A message that a
    /// peer sends by itself saves a probe, and every instance soon probes a silent peer. Dead peers
    /// are probed in turn as well, to find those that run again.
    fn next_probe_target(&mut self, now: Time) -> Option<InstanceId> {
        let last_activity = |entry: &Entry| entry.last_heard_at.max(entry.last_probed_at);
        let oldest_activity = self.other_members().map(last_activity).min()?;
        let ids = self.pick_random_members(1, |entry| last_activity(entry) == oldest_activity);
        let id = *ids.first()?;
        if let Some(entry) = self.table.get_mut(id) {
            entry.last_probed_at = Some(now);
        }
        Some(id)
    }

    fn probe_indirectly(&mut self, now: Time, out: &mut Vec<Command>) {
        let timeout_ms = self.config.probe_timeout_ms;
        let Some(pending) = &mut self.prober.pending else {
            return;
        };
        if pending.is_indirect || now.ms_since(pending.sent_at) < timeout_ms {
            return;
        }
        pending.is_indirect = true;
        let (target, seq) = (pending.target, pending.seq);
        let condition = self.table.get(target).map(|entry| entry.condition);
        if condition == Some(PeerCondition::Dead) {
            return;
        }
        let helpers = self.pick_random_members(self.config.indirect_probes, |entry| {
            entry.peer.id != target && entry.condition == PeerCondition::Alive
        });
        if let Some(pending) = &mut self.prober.pending {
            pending.helpers = helpers.clone();
        }
        for helper in helpers {
            self.send(helper, MemberKind::ProbeFor { seq, target }, out);
        }
    }

    pub(crate) fn handle_probe_for(
        &mut self,
        now: Time,
        requester: InstanceId,
        seq: u32,
        target: InstanceId,
        out: &mut Vec<Command>,
    ) {
        if self.table.get(target).is_none() {
            return;
        }
        let own_seq = self.prober.next_seq();
        let expires_at = now + FORWARDED_PROBE_TIMEOUT_MS;
        let forwarded = ForwardedProbe {
            target,
            requester,
            seq,
            expires_at,
        };
        self.prober.forwarded.insert(own_seq, forwarded);
        self.send(target, MemberKind::Probe { seq: own_seq }, out);
    }

    /// Handles an answer to a probe. An answer counts only if it comes from the probed instance or
    /// from a peer that was asked to repeat the probe, since a successor at the same address
    /// answers too.
    pub(crate) fn handle_ack(&mut self, from: InstanceId, seq: u32, out: &mut Vec<Command>) {
        let is_answered = self
            .prober
            .pending
            .as_ref()
            .is_some_and(|pending| pending.seq == seq && pending.helpers.contains(&from));
        if is_answered {
            self.prober.pending = None;
        }
        let forwarded = self.prober.forwarded.get(&seq);
        if forwarded.is_none_or(|forwarded| forwarded.target != from) {
            return;
        }
        if let Some(forwarded) = self.prober.forwarded.remove(&seq) {
            self.send(
                forwarded.requester,
                MemberKind::Ack { seq: forwarded.seq },
                out,
            );
        }
    }

    fn handle_probe_failure(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let condition = match entry.condition {
            PeerCondition::Alive => PeerCondition::Suspect,
            PeerCondition::Leaving => PeerCondition::Dead,
            PeerCondition::Suspect | PeerCondition::Dead => return,
        };
        self.table.set_condition(now, id, condition);
        self.gossip.add(id, self.zone_size());
        if condition == PeerCondition::Suspect {
            self.schedule_suspicion_timeout(now);
        }
    }

    fn expire_suspicions(&mut self, now: Time) {
        if now < self.prober.next_suspicion_timeout_at {
            return;
        }
        let suspicion_timeout_ms = self.config.suspicion_timeout_ms;
        let expired: Vec<InstanceId> = self
            .other_members()
            .filter(|entry| entry.condition == PeerCondition::Suspect)
            .filter(|entry| now.ms_since(entry.condition_since) >= suspicion_timeout_ms)
            .map(|entry| entry.peer.id)
            .collect();
        for id in expired {
            self.resolve_suspicion(now, id);
        }
        let next = self
            .other_members()
            .filter(|entry| entry.condition == PeerCondition::Suspect)
            .map(|entry| entry.condition_since + suspicion_timeout_ms)
            .min();
        self.prober.next_suspicion_timeout_at = next.unwrap_or(Time::MAX);
    }

    /// Schedules the timeout of a suspicion that begins now.
    pub(crate) fn schedule_suspicion_timeout(&mut self, now: Time) {
        let timeout_at = now + self.config.suspicion_timeout_ms;
        self.prober.next_suspicion_timeout_at =
            self.prober.next_suspicion_timeout_at.min(timeout_at);
    }

    /// Declares a suspect dead, or alive again if it was heard from since the suspicion began.
    fn resolve_suspicion(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        if entry
            .last_heard_at
            .is_some_and(|last_heard_at| last_heard_at > entry.condition_since)
        {
            self.table.set_condition(now, id, PeerCondition::Alive);
            return;
        }
        self.table.set_condition(now, id, PeerCondition::Dead);
        self.gossip.add(id, self.zone_size());
        self.schedule_final_probe(id);
    }

    /// Probes every known instance once.
    pub(crate) fn probe_all(&mut self, out: &mut Vec<Command>) {
        let ids: Vec<InstanceId> = self
            .table
            .iter()
            .map(|entry| entry.peer.id)
            .filter(|id| *id != self.own_peer.id)
            .collect();
        for id in ids {
            let seq = self.prober.next_seq();
            self.send(id, MemberKind::Probe { seq }, out);
        }
    }
}
