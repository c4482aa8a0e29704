//! Probes of peers in the own zone, which go first to the peer that was silent for longest.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Condition;
use hemlockrouter_wire::member::MemberKind;

use crate::command::Command;
use crate::membership::table::Entry;
use crate::membership::Membership;

/// How long an answer to a probe on behalf of another instance is awaited, in milliseconds.
const FORWARDED_PROBE_TIMEOUT_MS: u64 = 2_000;

/// State of the probes that are in flight.
#[derive(Debug)]
pub(crate) struct Prober {
    next_at: Time,
    seq: u32,
    pending: Option<Pending>,
    /// When the next suspicion times out.
    suspicion_at: Time,
    /// Instances that were just declared dead. Each is probed once more, since a refused connection
    /// proves its end.
    dead: Vec<InstanceId>,
    /// Probes sent on behalf of other instances, by their own sequence number.
    relayed: BTreeMap<u32, Relayed>,
}

#[derive(Debug)]
struct Pending {
    target: InstanceId,
    seq: u32,
    sent_at: Time,
    is_indirect: bool,
    helpers: Vec<InstanceId>,
}

#[derive(Debug)]
struct Relayed {
    target: InstanceId,
    origin: InstanceId,
    seq: u32,
    until: Time,
}

impl Prober {
    pub(crate) fn new(next_at: Time) -> Prober {
        Prober {
            next_at,
            seq: 0,
            pending: None,
            suspicion_at: Time::MAX,
            dead: Vec::new(),
            relayed: BTreeMap::new(),
        }
    }

    /// Ends the pending probe of `from`, since any message counts as an answer.
    pub(crate) fn heard(&mut self, from: InstanceId) {
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
            Some(pending) if !pending.is_indirect => self.next_at.min(pending.sent_at + timeout_ms),
            _ => self.next_at,
        }
    }
}

impl Membership {
    pub(crate) fn tick_probe(&mut self, now: Time, out: &mut Vec<Command>) {
        self.probe_indirectly(now, out);
        self.expire_suspicions(now);
        self.probe_dead(out);
        if now < self.prober.next_at {
            return;
        }
        let probe_every_ms = self.config.probe_every_ms;
        while self.prober.next_at <= now {
            self.prober.next_at = self.prober.next_at + probe_every_ms;
        }
        self.prober.relayed.retain(|_, relayed| relayed.until > now);
        if let Some(pending) = self.prober.pending.take() {
            self.suspect(now, pending.target);
        }
        self.probe_next(now, out);
    }

    /// Schedules a final probe of an instance of the own zone that was declared dead.
    pub(crate) fn doubt(&mut self, id: InstanceId) {
        let is_near = self
            .table
            .get(id)
            .is_some_and(|entry| entry.peer.zone == self.me.zone);
        if is_near && !self.prober.dead.contains(&id) {
            self.prober.dead.push(id);
        }
    }

    fn probe_dead(&mut self, out: &mut Vec<Command>) {
        for id in std::mem::take(&mut self.prober.dead) {
            let seq = self.prober.next_seq();
            self.send(id, MemberKind::Probe { seq }, out);
        }
    }

    fn probe_next(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(target) = self.next_target(now) else {
            return;
        };
        let seq = self.prober.next_seq();
        self.prober.pending = Some(Pending {
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
    fn next_target(&mut self, now: Time) -> Option<InstanceId> {
        let last_sign = |entry: &Entry| entry.heard_at.max(entry.probed_at);
        let stalest = self.others().map(last_sign).min()?;
        let ids = self.pick(1, |entry| last_sign(entry) == stalest);
        let id = *ids.first()?;
        if let Some(entry) = self.table.get_mut(id) {
            entry.probed_at = Some(now);
        }
        Some(id)
    }

    fn probe_indirectly(&mut self, now: Time, out: &mut Vec<Command>) {
        let timeout_ms = self.config.probe_timeout_ms;
        let Some(pending) = &mut self.prober.pending else {
            return;
        };
        if pending.is_indirect || now.since(pending.sent_at) < timeout_ms {
            return;
        }
        pending.is_indirect = true;
        let (target, seq) = (pending.target, pending.seq);
        let condition = self.table.get(target).map(|entry| entry.condition);
        if condition == Some(Condition::Dead) {
            return;
        }
        let helpers = self.pick(self.config.indirect_probes, |entry| {
            entry.peer.id != target && entry.condition == Condition::Alive
        });
        if let Some(pending) = &mut self.prober.pending {
            pending.helpers = helpers.clone();
        }
        for helper in helpers {
            self.send(helper, MemberKind::ProbeFor { seq, target }, out);
        }
    }

    pub(crate) fn probe_for(
        &mut self,
        now: Time,
        origin: InstanceId,
        seq: u32,
        target: InstanceId,
        out: &mut Vec<Command>,
    ) {
        if self.table.get(target).is_none() {
            return;
        }
        let own_seq = self.prober.next_seq();
        let until = now + FORWARDED_PROBE_TIMEOUT_MS;
        let relayed = Relayed {
            target,
            origin,
            seq,
            until,
        };
        self.prober.relayed.insert(own_seq, relayed);
        self.send(target, MemberKind::Probe { seq: own_seq }, out);
    }

    /// Handles an answer to a probe. It counts only if it comes from the probed instance or from a
    /// peer that was asked to repeat the probe, since a successor at the same address answers too.
    pub(crate) fn acknowledged(&mut self, from: InstanceId, seq: u32, out: &mut Vec<Command>) {
        let is_answered = self
            .prober
            .pending
            .as_ref()
            .is_some_and(|pending| pending.seq == seq && pending.helpers.contains(&from));
        if is_answered {
            self.prober.pending = None;
        }
        let relayed = self.prober.relayed.get(&seq);
        if relayed.is_none_or(|relayed| relayed.target != from) {
            return;
        }
        if let Some(relayed) = self.prober.relayed.remove(&seq) {
            self.send(relayed.origin, MemberKind::Ack { seq: relayed.seq }, out);
        }
    }

    fn suspect(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let condition = match entry.condition {
            Condition::Alive => Condition::Suspect,
            Condition::Leaving => Condition::Dead,
            Condition::Suspect | Condition::Dead => return,
        };
        self.table.set_condition(now, id, condition);
        self.gossip.add(id, self.zone_size());
        if condition == Condition::Suspect {
            self.plan_suspicion(now);
        }
    }

    fn expire_suspicions(&mut self, now: Time) {
        if now < self.prober.suspicion_at {
            return;
        }
        let suspicion_ms = self.config.suspicion_ms;
        let expired: Vec<InstanceId> = self
            .others()
            .filter(|entry| entry.condition == Condition::Suspect)
            .filter(|entry| now.since(entry.since) >= suspicion_ms)
            .map(|entry| entry.peer.id)
            .collect();
        for id in expired {
            self.end_suspicion(now, id);
        }
        let next = self
            .others()
            .filter(|entry| entry.condition == Condition::Suspect)
            .map(|entry| entry.since + suspicion_ms)
            .min();
        self.prober.suspicion_at = next.unwrap_or(Time::MAX);
    }

    /// Schedules the timeout of a suspicion that begins now.
    pub(crate) fn plan_suspicion(&mut self, now: Time) {
        let ends_at = now + self.config.suspicion_ms;
        self.prober.suspicion_at = self.prober.suspicion_at.min(ends_at);
    }

    /// Declares a suspect dead, or alive again if it was heard from since the suspicion began.
    fn end_suspicion(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        if entry
            .heard_at
            .is_some_and(|heard_at| heard_at > entry.since)
        {
            self.table.set_condition(now, id, Condition::Alive);
            return;
        }
        self.table.set_condition(now, id, Condition::Dead);
        self.gossip.add(id, self.zone_size());
        self.doubt(id);
    }

    /// Probes every known instance once.
    pub(crate) fn probe_all(&mut self, out: &mut Vec<Command>) {
        let ids: Vec<InstanceId> = self
            .table
            .iter()
            .map(|entry| entry.peer.id)
            .filter(|id| *id != self.me.id)
            .collect();
        for id in ids {
            let seq = self.prober.next_seq();
            self.send(id, MemberKind::Probe { seq }, out);
        }
    }
}
