//! Outcomes that are sent to callers, and the state that this instance must keep because of them.

use std::borrow::Cow;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;

use super::claim::ClaimName;
use super::memory::Caller;
use super::memory::RequestName;
use super::memory::RunState;
use super::ticket::Ticket;
use super::RunCommand;
use super::Runner;
use super::TimerAction;

impl Runner {
    pub(super) fn refuse(
        &mut self,
        now: Time,
        caller: &Caller,
        reason: RefusalReason,
        out: &mut Vec<RunCommand>,
    ) {
        let refusal = self.refusal(reason, self.config.retry_after_min_ms);
        let outcome = RunOutcome::NotRun(refusal);
        self.answer(now, caller, outcome, "refused at the start", out);
    }

    pub(super) fn refusal(&self, reason: RefusalReason, retry_after_ms: u32) -> Refusal {
        let min_ms = self.config.retry_after_min_ms;
        let max_ms = self.config.retry_after_max_ms;
        Refusal {
            reason,
            retry_after_ms: retry_after_ms.clamp(min_ms, max_ms),
        }
    }

    pub(super) fn answer(
        &mut self,
        now: Time,
        caller: &Caller,
        outcome: RunOutcome,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let id = caller.id;
        let command = match caller.forwarded_by {
            Some(to) => {
                let outcome = self.store_refusal(now, id, outcome);
                RunCommand::ForwardAnswer { to, id, outcome }
            }
            None => RunCommand::Answer {
                id,
                outcome,
                ticket: caller.ticket.clone(),
            },
        };
        let (RunCommand::Answer { outcome, .. } | RunCommand::ForwardAnswer { outcome, .. }) =
            &command
        else {
            unreachable!("one of the two was made above");
        };
        let decision = Decision {
            what: "run",
            subject: id.to_string(),
            chosen: describe_outcome(outcome),
            passed_over: "nothing".to_owned(),
            why: Cow::Borrowed(why),
            took_ms: now.ms_since(caller.started_at),
        };
        out.push(command);
        out.push(RunCommand::Decision(decision));
    }

    /// Returns the outcome for a duplicate of a refused call. The duplicate never runs the request,
    /// but another call with the same ticket may have run it since.
    pub(super) fn outcome_of_duplicate(&mut self, ticket: &str, refusal: Refusal) -> RunOutcome {
        let name = match ClaimName::parse_token(ticket) {
            Some((claim, _)) => Some(RequestName::Claim(claim)),
            None => Ticket::parse(ticket).map(|ticket| RequestName::Ticket(ticket.nonce)),
        };
        let Some(entry) = name.and_then(|name| self.requests.get_mut(name)) else {
            return RunOutcome::NotRun(refusal);
        };
        match &entry.state {
            RunState::Ended(outcome) => outcome.clone(),
            RunState::Running(_) => {
                entry.answered_unknown = true;
                RunOutcome::Unknown
            }
            _ => RunOutcome::NotRun(refusal),
        }
    }

    /// Stores a refusal of a forwarded call, so that a later duplicate of the call does not run the
    /// request. If there is no room for the refusal, the outcome becomes `Unknown`, because
    /// `NotRun` could turn false.
    pub(super) fn store_refusal(
        &mut self,
        now: Time,
        id: QueryId,
        outcome: RunOutcome,
    ) -> RunOutcome {
        let RunOutcome::NotRun(refusal) = outcome else {
            return outcome;
        };
        if self.refused_calls.len() >= self.config.max_stored_requests
            && !self.refused_calls.contains_key(&id)
        {
            return RunOutcome::Unknown;
        }
        self.refused_calls.insert(id, refusal);
        let forget_at = now + self.config.outcome_ttl_ms;
        self.timers.set(forget_at, TimerAction::ForgetRefusal(id));
        outcome
    }
}

fn describe_outcome(outcome: &RunOutcome) -> String {
    match outcome {
        RunOutcome::Done { .. } => "done".to_owned(),
        RunOutcome::NotRun(refusal) => format!("not run: {refusal}"),
        RunOutcome::Unknown => "unknown".to_owned(),
        RunOutcome::Conflict => "conflict".to_owned(),
    }
}
