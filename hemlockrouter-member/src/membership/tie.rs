//! Which of a zone's last two instances goes on alone when they lose each other.
//!
//! Two instances are no majority without each other, and neither can tell a lost or frozen peer from a
//! cut between them. The platform's store breaks the tie: it keeps one record for the two, and
//! whichever takes it first goes on alone. The other one can't take it until it has joined anew and
//! the first has given the record back, so it never owns anything in the meantime.
//!
//! This is sound because the upstreams of such a zone are owned by grants of both: what the other one
//! still owns rests on promises that this instance gave and keeps. It is limited to established
//! instances that know of no third one, since a third could give the other one a majority. With the
//! store away nothing is decided.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Condition;

use crate::command::Command;
use crate::command::TieAnswer;
use crate::command::TieCall;
use crate::membership::Membership;

/// When a call that brought no answer is repeated, in milliseconds.
const AGAIN_MS: u64 = 500;

/// What this instance has to do with the record in the store.
#[derive(Debug, Default)]
pub(crate) struct Tie {
    /// Whether a call has not ended. There is one at a time, so that none undoes a later one.
    is_calling: bool,
    /// The instance against which this one has, or may have, taken the record.
    taken_against: Option<InstanceId>,
    next_at: Time,
}

impl Membership {
    pub(crate) fn tick_tie(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.tie.is_calling || now < self.tie.next_at {
            return;
        }
        if let Some(other) = self.lost_partner() {
            self.tie.taken_against = Some(other);
            self.call_tie(other, TieCall::Take, out);
        } else if let Some(other) = self.returned_partner() {
            self.call_tie(other, TieCall::GiveBack, out);
        }
    }

    fn call_tie(&mut self, other: InstanceId, call: TieCall, out: &mut Vec<Command>) {
        self.tie.is_calling = true;
        out.push(Command::Tie { other, call });
    }

    /// Takes in how a call about the record shared with `other` ended.
    pub(crate) fn tie_answered(
        &mut self,
        now: Time,
        other: InstanceId,
        answer: TieAnswer,
        out: &mut Vec<Command>,
    ) {
        self.tie.is_calling = false;
        self.tie.next_at = now + AGAIN_MS;
        match answer {
            TieAnswer::Taken => self.go_on_without(now, other, out),
            TieAnswer::Refused | TieAnswer::GivenBack => self.tie.taken_against = None,
            TieAnswer::Unavailable => {}
        }
    }

    /// Removes the other instance, unless it is back by now.
    fn go_on_without(&mut self, now: Time, other: InstanceId, out: &mut Vec<Command>) {
        if self.lost_partner() != Some(other) {
            return;
        }
        let lost_at = self.table.get(other).map_or(now, |entry| entry.since);
        self.table.remove(now, other);
        out.push(Command::Decision(Decision {
            what: "tie_break",
            subject: self.me.zone.clone(),
            chosen: self.me.id.to_string(),
            passed_over: other.to_string(),
            why: "the other of two instances is lost, and the store gave this one the zone".into(),
            took_ms: now.since(lost_at),
        }));
    }

    /// Returns the only other instance of the zone if it is lost and nothing proves its end.
    fn lost_partner(&self) -> Option<InstanceId> {
        let mut others = self.others();
        let only = others.next()?;
        if others.next().is_some() || self.leaving || !self.is_established() {
            return None;
        }
        let is_lost = only.condition == Condition::Dead && only.proved_at.is_none();
        (is_lost && only.established).then_some(only.peer.id)
    }

    /// Returns the instance against which the record was taken, if it is a member again.
    fn returned_partner(&self) -> Option<InstanceId> {
        let other = self.tie.taken_against?;
        let entry = self.table.get(other)?;
        (entry.established && entry.is_living()).then_some(other)
    }
}
