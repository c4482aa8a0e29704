//! Tie break between the last two instances of a zone when they lose contact with each other.
//!
//! Neither of two instances is a majority without the other, and neither can distinguish a crashed
//! or frozen peer from a network partition. The platform's store breaks the tie: it keeps one
//! record for the two, and the instance that takes the record first continues alone. The other
//! instance can't take the record until it has joined again and the first one has given the record
//! back, so it owns nothing in the meantime.
//!
//! The tie break is sound because the upstreams of such a zone are owned by grants of both
//! instances: a lease that the other one still holds rests on promises that this instance gave and
//! keeps. Only established instances that know of no third member use it, since a third one could
//! give the other instance a majority. While the store is unavailable, the tie is not broken.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::PeerCondition;

use crate::command::Command;
use crate::command::TieBreakAnswer;
use crate::command::TieBreakCall;
use crate::membership::Membership;

/// Delay before a call to the store is made again after the last one ended, in milliseconds.
const TIE_BREAK_RETRY_DELAY_MS: u64 = 500;

/// State of the tie-break record in the store, as this instance knows it.
#[derive(Debug, Default)]
pub(crate) struct TieBreak {
    /// Whether a call to the store is in flight. Calls are made one at a time, so that none can
    /// undo a later one.
    is_call_in_flight: bool,
    /// The instance against which this one has taken, or may have taken, the record.
    taken_against: Option<InstanceId>,
    retry_at: Time,
}

impl Membership {
    pub(crate) fn tick_tie_break(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.tie_break.is_call_in_flight || now < self.tie_break.retry_at {
            return;
        }
        if let Some(other) = self.lost_peer() {
            self.tie_break.taken_against = Some(other);
            self.call_tie_break(other, TieBreakCall::Take, out);
        } else if let Some(other) = self.returned_peer() {
            self.call_tie_break(other, TieBreakCall::GiveBack, out);
        }
    }

    fn call_tie_break(&mut self, other: InstanceId, call: TieBreakCall, out: &mut Vec<Command>) {
        self.tie_break.is_call_in_flight = true;
        out.push(Command::BreakTie { other, call });
    }

    /// Handles the end of a call to the store about the record shared with `other`.
    pub(crate) fn handle_tie_break_answer(
        &mut self,
        now: Time,
        other: InstanceId,
        answer: TieBreakAnswer,
        out: &mut Vec<Command>,
    ) {
        self.tie_break.is_call_in_flight = false;
        self.tie_break.retry_at = now + TIE_BREAK_RETRY_DELAY_MS;
        match answer {
            TieBreakAnswer::Taken => self.continue_without(now, other, out),
            TieBreakAnswer::Refused | TieBreakAnswer::GivenBack => {
                self.tie_break.taken_against = None
            }
            TieBreakAnswer::Unavailable => {}
        }
    }

    /// Removes the other instance of the zone, unless it is back by now.
    fn continue_without(&mut self, now: Time, other: InstanceId, out: &mut Vec<Command>) {
        if self.lost_peer() != Some(other) {
            return;
        }
        let lost_at = self
            .table
            .get(other)
            .map_or(now, |entry| entry.condition_since);
        self.table.remove(now, other);
        out.push(Command::Decision(Decision {
            what: "tie_break",
            subject: self.own_peer.zone.clone(),
            chosen: self.own_peer.id.to_string(),
            passed_over: other.to_string(),
            why: "the only other instance is lost, and the store broke the tie for this one".into(),
            took_ms: now.ms_since(lost_at),
        }));
    }

    /// Returns the only other instance of the zone if it is dead and its end is not proved.
    fn lost_peer(&self) -> Option<InstanceId> {
        let mut other_members = self.other_members();
        let peer = other_members.next()?;
        if other_members.next().is_some() || self.is_leaving || !self.is_established() {
            return None;
        }
        let is_lost = peer.condition == PeerCondition::Dead && peer.proved_at.is_none();
        (is_lost && peer.established).then_some(peer.peer.id)
    }

    /// Returns the instance against which the record was taken, if it is an established member
    /// again.
    fn returned_peer(&self) -> Option<InstanceId> {
        let other = self.tie_break.taken_against?;
        let entry = self.table.get(other)?;
        (entry.established && entry.is_living()).then_some(other)
    }
}
