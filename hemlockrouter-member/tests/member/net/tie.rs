//! Simulation of the tie-break records in the store, with lost answers and late writes.

use std::collections::BTreeMap;

use hemlockrouter_member::TieBreakAnswer;
use hemlockrouter_member::TieBreakCall;
use hemlockrouter_types::prelude::*;
use rand::RngExt;

use super::Event;
use super::SimulatedNetwork;

/// Tie-break record of two instances: its version, and the instance that has taken it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Record {
    version: u64,
    taken_by: Option<InstanceId>,
}

/// Tie-break records of all pairs of instances, with the lower id first in each key.
pub(super) type Records = BTreeMap<(InstanceId, InstanceId), Record>;

/// Write of a tie-break record that is on its way to the store.
pub(super) struct PendingWrite {
    node: usize,
    own_id: InstanceId,
    other: InstanceId,
    call: TieBreakCall,
    /// Tie-break record as the caller read it.
    read_record: Record,
    /// Whether the answer of the store reaches the caller.
    is_answer_delivered: bool,
}

impl SimulatedNetwork {
    /// Reads the record and schedules the write that depends on it.
    pub(super) fn call_tie(&mut self, node: usize, other: InstanceId, call: TieBreakCall) {
        let peer = &self.nodes[node].peer;
        let own_id = peer.id;
        let is_cut = self.faults.cut_from_platform.contains(&peer.zone);
        let delay_ms = self.delay_ms();
        if !self.faults.is_store_up || is_cut {
            return self.schedule_answer(node, other, TieBreakAnswer::Unavailable);
        }
        let read_record = self.tie_records.get(&ordered_pair(own_id, other)).copied();
        let read_record = read_record.unwrap_or_default();
        let is_answer_delivered = !self.happens_by_chance(self.faults.loss_percent);
        let call = PendingWrite {
            node,
            own_id,
            other,
            call,
            read_record,
            is_answer_delivered,
        };
        self.schedule(self.now + delay_ms, Event::WriteTieRecord(call));
        if !is_answer_delivered {
            self.schedule_answer(node, other, TieBreakAnswer::Unavailable);
        }
    }

    /// Writes the record if it did not change since it was read.
    pub(super) fn execute_tie_write(&mut self, call: PendingWrite) {
        let record = self
            .tie_records
            .entry(ordered_pair(call.own_id, call.other))
            .or_default();
        let is_unchanged = record.version == call.read_record.version;
        let answer = match (call.call, call.read_record.taken_by) {
            (TieBreakCall::Take, Some(holder)) if holder != call.own_id => TieBreakAnswer::Refused,
            (TieBreakCall::GiveBack, holder) if holder != Some(call.own_id) => {
                TieBreakAnswer::GivenBack
            }
            _ if !is_unchanged => TieBreakAnswer::Unavailable,
            (TieBreakCall::Take, _) => {
                record.version += 1;
                record.taken_by = Some(call.own_id);
                TieBreakAnswer::Taken
            }
            (TieBreakCall::GiveBack, _) => {
                record.version += 1;
                record.taken_by = None;
                TieBreakAnswer::GivenBack
            }
        };
        if call.is_answer_delivered {
            self.schedule_answer(call.node, call.other, answer);
        }
    }

    fn schedule_answer(&mut self, node: usize, other: InstanceId, answer: TieBreakAnswer) {
        let answer_at = self.now + self.delay_ms();
        let event = Event::TieAnswered {
            node,
            other,
            answer,
        };
        self.schedule(answer_at, event);
    }

    pub(super) fn deliver_answer(
        &mut self,
        node: usize,
        other: InstanceId,
        answer: TieBreakAnswer,
    ) {
        let frozen_until = self.nodes[node].frozen_until;
        if frozen_until > self.now {
            let event = Event::TieAnswered {
                node,
                other,
                answer,
            };
            return self.schedule(frozen_until, event);
        }
        self.call_member(node, |member, now, out| {
            member.handle_tie_break_answer(now, other, answer, out);
        });
    }

    fn delay_ms(&mut self) -> u64 {
        let (min, max) = self.faults.delay_ms;
        self.rng.random_range(min..=max)
    }
}

fn ordered_pair(a: InstanceId, b: InstanceId) -> (InstanceId, InstanceId) {
    (a.min(b), a.max(b))
}
