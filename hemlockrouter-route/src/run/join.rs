//! Matches a call with the stored state of its request. The call begins the request, waits for it
//! or gets its outcome.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use rand::RngExt;

use super::claim::ClaimName;
use super::memory::Caller;
use super::memory::RequestEntry;
use super::memory::RequestName;
use super::memory::RunState;
use super::ticket::Ticket;
use super::Call;
use super::RunCommand;
use super::RunRequest;
use super::Runner;
use super::TimerAction;

/// Content of a call that must be the same in every repeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallContent {
    pub(super) customer: CustomerKey,
    pub(super) operation: OperationKey,
    pub(super) body_hash: [u8; 32],
}

impl CallContent {
    pub(super) fn from_run(run: &RunRequest) -> CallContent {
        CallContent {
            customer: run.customer,
            operation: run.operation,
            body_hash: run.body_hash,
        }
    }
}

impl Runner {
    pub(super) fn new_caller(
        &self,
        now: Time,
        id: QueryId,
        forwarded_by: Option<InstanceId>,
        ticket: Option<String>,
        deadline: Time,
    ) -> Caller {
        let margin_ms = self
            .config
            .answer_margin_ms
            .min(deadline.remaining_ms(now) / 10);
        // The forwarding instance must have the outcome before its own margin begins.
        let margin_count = match forwarded_by {
            Some(_) => 2,
            None => 1,
        };
        Caller {
            id,
            forwarded_by,
            ticket,
            started_at: now,
            answer_deadline: deadline.minus_ms(margin_count * margin_ms),
        }
    }

    pub(super) fn start_with_key(
        &mut self,
        now: Time,
        run: &RunRequest,
        key: &str,
        out: &mut Vec<RunCommand>,
    ) {
        let caller = self.new_caller(now, run.id, None, None, run.deadline);
        let Some(customer) = self.catalog.customers.get(run.customer) else {
            return self.refuse(now, &caller, RefusalReason::NotConfigured, out);
        };
        let claim = ClaimName::new(&customer.name, key);
        let name = RequestName::Claim(claim);
        let content = CallContent::from_run(run);
        if self.requests.get(name).is_some() {
            return self.join_request(now, name, caller, content, out);
        }
        let nonce = self.rng.random();
        let keep_until = now + self.config.outcome_ttl_ms;
        self.create_request(
            now,
            name,
            caller,
            RequestEntry::new(content, nonce, keep_until),
            out,
        );
    }

    pub(super) fn join_ticket(
        &mut self,
        now: Time,
        ticket: Ticket,
        caller: Caller,
        content: CallContent,
        out: &mut Vec<RunCommand>,
    ) {
        if !self
            .ticket_secret
            .verify(&ticket, content.customer, content.operation)
        {
            let why = "the ticket is for another request";
            return self.answer(now, &caller, RunOutcome::Conflict, why, out);
        }
        let name = RequestName::Ticket(ticket.nonce);
        if self.requests.get(name).is_some() {
            return self.join_request(now, name, caller, content, out);
        }
        if ticket.expires_at <= now {
            return self.answer(now, &caller, RunOutcome::Unknown, "the ticket expired", out);
        }
        let keep_until = ticket.expires_at.max(now + self.config.outcome_ttl_ms);
        let mut entry = RequestEntry::new(content, 0, keep_until);
        entry.claim_written = true;
        self.create_request(now, name, caller, entry, out);
    }

    /// Handles a forwarded request whose claim the other instance read in the store.
    pub(super) fn join_claim(
        &mut self,
        now: Time,
        claim: ClaimName,
        nonce: u64,
        caller: Caller,
        content: CallContent,
        out: &mut Vec<RunCommand>,
    ) {
        let name = RequestName::Claim(claim);
        let Some(entry) = self
            .requests
            .get_mut(name)
            .filter(|entry| entry.nonce == nonce)
        else {
            let why = "the state of the claim was lost";
            return self.answer(now, &caller, RunOutcome::Unknown, why, out);
        };
        // The other instance read the claim, so the claim is written even if the write was not
        // confirmed here.
        entry.claim_written = true;
        let was_claiming = matches!(entry.state, RunState::Claiming(_));
        self.join_request(now, name, caller, content, out);
        if was_claiming && matches!(self.entry_mut(name).state, RunState::Claiming(_)) {
            self.dispatch(now, name, out);
        }
    }

    /// Adds `caller` to the callers of a stored request, or answers it if the request has ended.
    pub(super) fn join_request(
        &mut self,
        now: Time,
        name: RequestName,
        caller: Caller,
        content: CallContent,
        out: &mut Vec<RunCommand>,
    ) {
        let max_callers = self.config.max_callers_per_request;
        let entry = self.entry_mut(name);
        if !entry.has_content(content) {
            let why = "the same ticket or key was used for another request";
            return self.answer(now, &caller, RunOutcome::Conflict, why, out);
        }
        if let RunState::Ended(outcome) = &entry.state {
            let outcome = outcome.clone();
            return self.answer(now, &caller, outcome, "the request had already ended", out);
        }
        let is_running = matches!(entry.state, RunState::Running(_));
        if is_running && (entry.callers.len() >= max_callers || caller.answer_deadline <= now) {
            entry.answered_unknown = true;
            return self.answer(
                now,
                &caller,
                RunOutcome::Unknown,
                "the request is running",
                out,
            );
        }
        if !is_running && (entry.callers.len() >= max_callers || caller.answer_deadline <= now) {
            return self.refuse_before_dispatch(now, name, caller, out);
        }
        let is_idle = entry.state == RunState::Idle;
        self.add_caller(name, caller);
        if is_idle {
            self.begin_request(now, name, out);
        }
    }

    /// Stores the state of a new request and begins the request.
    pub(super) fn create_request(
        &mut self,
        now: Time,
        name: RequestName,
        caller: Caller,
        entry: RequestEntry,
        out: &mut Vec<RunCommand>,
    ) {
        let operation = self.catalog.operations.get(entry.operation);
        if operation.is_none_or(|operation| operation.customer != entry.customer) {
            return self.refuse(now, &caller, RefusalReason::NotConfigured, out);
        }
        if caller.answer_deadline <= now {
            return self.refuse(now, &caller, RefusalReason::Deadline, out);
        }
        if !self.requests.has_room(entry.customer) {
            return self.refuse(now, &caller, RefusalReason::Overloaded, out);
        }
        self.timers.set(entry.keep_until, TimerAction::Forget(name));
        self.requests.insert(name, entry);
        self.add_caller(name, caller);
        self.begin_request(now, name, out);
    }

    pub(super) fn add_caller(&mut self, name: RequestName, caller: Caller) {
        self.timers
            .set(caller.answer_deadline, TimerAction::Deadline(caller.id));
        self.calls.insert(caller.id, Call::Local(name));
        self.entry_mut(name).callers.push(caller);
    }

    /// Answers a caller that can't wait for a request that has not been dispatched.
    pub(super) fn refuse_before_dispatch(
        &mut self,
        now: Time,
        name: RequestName,
        caller: Caller,
        out: &mut Vec<RunCommand>,
    ) {
        let reason = match caller.answer_deadline <= now {
            true => RefusalReason::Deadline,
            false => RefusalReason::Overloaded,
        };
        if self.entry_mut(name).state == RunState::Idle {
            return self.refuse(now, &caller, reason, out);
        }
        // The request may still run for its other callers, so `NotRun` could become false.
        self.answer(
            now,
            &caller,
            RunOutcome::Unknown,
            "the request may still run",
            out,
        );
    }
}

impl RequestEntry {
    pub(super) fn new(content: CallContent, nonce: u64, keep_until: Time) -> RequestEntry {
        RequestEntry {
            customer: content.customer,
            operation: content.operation,
            body_hash: content.body_hash,
            nonce,
            state: RunState::Idle,
            claim_written: false,
            answered_unknown: false,
            callers: Vec::new(),
            tries: 0,
            tried_upstreams: 0,
            keep_until,
        }
    }

    pub(super) fn has_content(&self, content: CallContent) -> bool {
        self.customer == content.customer
            && self.operation == content.operation
            && self.body_hash == content.body_hash
    }
}
