//! Matches a call with the stored state of its request. The call begins the request, waits for it
//! or gets its outcome.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use rand::RngExt;

use super::claim::ClaimName;
use super::memory::Caller;
use super::memory::Entry;
use super::memory::Name;
use super::memory::State;
use super::ticket::Ticket;
use super::Call;
use super::Due;
use super::Run;
use super::RunCommand;
use super::Runner;

/// Content of a call that must be the same in every repeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub(super) customer: CustomerKey,
    pub(super) operation: OperationKey,
    pub(super) body_hash: [u8; 32],
}

impl Asked {
    pub(super) fn of(run: &Run) -> Asked {
        Asked {
            customer: run.customer,
            operation: run.operation,
            body_hash: run.body_hash,
        }
    }
}

impl Runner {
    pub(super) fn caller(
        &self,
        now: Time,
        id: QueryId,
        from: Option<InstanceId>,
        ticket: Option<String>,
        deadline: Time,
    ) -> Caller {
        let margin_ms = self.config.margin_ms.min(deadline.left(now) / 10);
        // The forwarding instance must have the outcome before its own margin begins.
        let hops = match from {
            Some(_) => 2,
            None => 1,
        };
        Caller {
            id,
            from,
            ticket,
            started: now,
            answer_at: deadline.before(hops * margin_ms),
        }
    }

    pub(super) fn start_key(&mut self, now: Time, run: &Run, key: &str, out: &mut Vec<RunCommand>) {
        let caller = self.caller(now, run.id, None, None, run.deadline);
        let Some(customer) = self.catalog.customers.get(run.customer) else {
            return self.refuse(now, &caller, Reason::NotConfigured, out);
        };
        let claim = ClaimName::new(&customer.name, key);
        let name = Name::Claim(claim);
        let asked = Asked::of(run);
        if self.memory.get(name).is_some() {
            return self.join(now, name, caller, asked, out);
        }
        let nonce = self.rng.random();
        let keep_until = now + self.config.remember_ms;
        self.create(now, name, caller, Entry::new(asked, nonce, keep_until), out);
    }

    pub(super) fn join_ticket(
        &mut self,
        now: Time,
        ticket: Ticket,
        caller: Caller,
        asked: Asked,
        out: &mut Vec<RunCommand>,
    ) {
        if !self.secret.made(&ticket, asked.customer, asked.operation) {
            let why = "the ticket is for another request";
            return self.answer(now, &caller, RunOutcome::Conflict, why, out);
        }
        let name = Name::Ticket(ticket.nonce);
        if self.memory.get(name).is_some() {
            return self.join(now, name, caller, asked, out);
        }
        if ticket.expires <= now {
            return self.answer(now, &caller, RunOutcome::Unknown, "the ticket expired", out);
        }
        let keep_until = ticket.expires.max(now + self.config.remember_ms);
        let mut entry = Entry::new(asked, 0, keep_until);
        entry.claimed = true;
        self.create(now, name, caller, entry, out);
    }

    /// Handles a forwarded request whose claim the other instance read in the store.
    pub(super) fn join_claim(
        &mut self,
        now: Time,
        claim: ClaimName,
        nonce: u64,
        caller: Caller,
        asked: Asked,
        out: &mut Vec<RunCommand>,
    ) {
        let name = Name::Claim(claim);
        let Some(entry) = self
            .memory
            .get_mut(name)
            .filter(|entry| entry.nonce == nonce)
        else {
            let why = "the state of the claim was lost";
            return self.answer(now, &caller, RunOutcome::Unknown, why, out);
        };
        // The other instance read the claim, so the claim is written even if the write was not
        // confirmed here.
        entry.claimed = true;
        let claiming = matches!(entry.state, State::Claiming(_));
        self.join(now, name, caller, asked, out);
        if claiming && matches!(self.entry(name).state, State::Claiming(_)) {
            self.dispatch(now, name, out);
        }
    }

    /// Adds `caller` to the callers of a stored request, or answers it if the request has ended.
    pub(super) fn join(
        &mut self,
        now: Time,
        name: Name,
        caller: Caller,
        asked: Asked,
        out: &mut Vec<RunCommand>,
    ) {
        let most = self.config.max_callers_per_request;
        let entry = self.entry(name);
        if !entry.is_for(asked) {
            let why = "the same ticket or key was used for another request";
            return self.answer(now, &caller, RunOutcome::Conflict, why, out);
        }
        if let State::Ended(outcome) = &entry.state {
            let outcome = outcome.clone();
            return self.answer(now, &caller, outcome, "the request had already ended", out);
        }
        let running = matches!(entry.state, State::Running(_));
        if running && (entry.callers.len() >= most || caller.answer_at <= now) {
            entry.told_unknown = true;
            return self.answer(
                now,
                &caller,
                RunOutcome::Unknown,
                "the request is running",
                out,
            );
        }
        if !running && (entry.callers.len() >= most || caller.answer_at <= now) {
            return self.refuse_early(now, name, caller, out);
        }
        let idle = entry.state == State::Idle;
        self.wait(name, caller);
        if idle {
            self.begin(now, name, out);
        }
    }

    /// Stores the state of a new request and begins the request.
    pub(super) fn create(
        &mut self,
        now: Time,
        name: Name,
        caller: Caller,
        entry: Entry,
        out: &mut Vec<RunCommand>,
    ) {
        let operation = self.catalog.operations.get(entry.operation);
        if operation.is_none_or(|operation| operation.customer != entry.customer) {
            return self.refuse(now, &caller, Reason::NotConfigured, out);
        }
        if caller.answer_at <= now {
            return self.refuse(now, &caller, Reason::Deadline, out);
        }
        if !self.memory.has_room(entry.customer) {
            return self.refuse(now, &caller, Reason::Overloaded, out);
        }
        self.timers.set(entry.keep_until, Due::Forget(name));
        self.memory.insert(name, entry);
        self.wait(name, caller);
        self.begin(now, name, out);
    }

    pub(super) fn wait(&mut self, name: Name, caller: Caller) {
        self.timers.set(caller.answer_at, Due::Deadline(caller.id));
        self.calls.insert(caller.id, Call::Here(name));
        self.entry(name).callers.push(caller);
    }

    /// Answers a caller that can't wait for a request that has not been dispatched.
    pub(super) fn refuse_early(
        &mut self,
        now: Time,
        name: Name,
        caller: Caller,
        out: &mut Vec<RunCommand>,
    ) {
        let reason = match caller.answer_at <= now {
            true => Reason::Deadline,
            false => Reason::Overloaded,
        };
        if self.entry(name).state == State::Idle {
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

impl Entry {
    pub(super) fn new(asked: Asked, nonce: u64, keep_until: Time) -> Entry {
        Entry {
            customer: asked.customer,
            operation: asked.operation,
            body_hash: asked.body_hash,
            nonce,
            state: State::Idle,
            claimed: false,
            told_unknown: false,
            callers: Vec::new(),
            tries: 0,
            asked: 0,
            keep_until,
        }
    }

    pub(super) fn is_for(&self, asked: Asked) -> bool {
        self.customer == asked.customer
            && self.operation == asked.operation
            && self.body_hash == asked.body_hash
    }
}
