//! Forwarding a request to the only instance that may run it, and handling the outcome.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;

use super::memory::Caller;
use super::Call;
use super::RunCommand;
use super::RunRequest;
use super::Runner;
use super::TimerAction;

/// State of a call that was forwarded to the instance that may run it.
#[derive(Clone, Debug)]
pub(super) struct ForwardedCall {
    pub(super) to: InstanceId,
    pub(super) ticket: Option<String>,
    pub(super) started_at: Time,
    pub(super) answer_deadline: Time,
}

impl Runner {
    pub(super) fn forward(
        &mut self,
        now: Time,
        run: RunRequest,
        to: InstanceId,
        ticket: String,
        out: &mut Vec<RunCommand>,
    ) {
        let caller = self.new_caller(now, run.id, None, Some(ticket.clone()), run.deadline);
        self.send_forward(now, caller, to, ticket, out);
    }

    pub(super) fn send_forward(
        &mut self,
        now: Time,
        caller: Caller,
        to: InstanceId,
        ticket: String,
        out: &mut Vec<RunCommand>,
    ) {
        if caller.answer_deadline <= now {
            // The other instance may know the outcome, but there is no time left to ask it.
            let why = "no time is left to forward the request";
            return self.answer(now, &caller, RunOutcome::Unknown, why, out);
        }
        if self.forwards_in_flight >= self.config.max_forwards {
            return self.refuse(now, &caller, RefusalReason::Overloaded, out);
        }
        self.forwards_in_flight += 1;
        self.timers
            .set(caller.answer_deadline, TimerAction::Deadline(caller.id));
        let forward = ForwardedCall {
            to,
            ticket: caller.ticket,
            started_at: caller.started_at,
            answer_deadline: caller.answer_deadline,
        };
        let id = caller.id;
        self.calls.insert(id, Call::Forwarded(forward));
        out.push(RunCommand::Forward { id, to, ticket });
    }

    pub(super) fn end_forward(
        &mut self,
        now: Time,
        id: QueryId,
        outcome: RunOutcome,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let Some(Call::Forwarded(forward)) = self.calls.remove(&id) else {
            return;
        };
        self.forwards_in_flight -= 1;
        let caller = Caller {
            id,
            forwarded_by: None,
            ticket: forward.ticket,
            started_at: forward.started_at,
            answer_deadline: forward.answer_deadline,
        };
        self.answer(now, &caller, outcome, why, out);
    }
}
