//! Requests that must not be repeated, such as a booking.
//!
//! One instance alone may run a request: the one that issued its ticket, or the one whose claim on
//! its idempotency key stands in the platform's store. Every other instance forwards to it. What
//! that instance knows of a request decides whether a repeat runs it, waits for it or is told how
//! it ended; once a reply to a dispatch is lost, the request may have run and is never dispatched
//! again.
//!
//! [`NotRun`](RunOutcome::NotRun) is true of the call that it answers, and of every earlier call
//! that this instance knows of. An instance that can't reach the store knows nothing of a claim by
//! another: a caller that repeats an idempotency key keeps to the same key until it gets another
//! outcome.
//!
//! - `ticket`: names that an instance gives out.
//! - `claim`: names that callers choose.
//! - `memory`: what is remembered of a request, and the bounds on it.
//! - `dispatch`: sending to an upstream, and the replies.

mod claim;
mod config;
mod dispatch;
mod event;
mod memory;
mod ticket;

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::SubReply;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

pub use self::claim::Claim;
use self::claim::ClaimName;
pub use self::config::RunConfig;
pub use self::event::ClaimResult;
pub use self::event::Run;
pub use self::event::RunCommand;
pub use self::event::Via;
use self::memory::Bounds;
use self::memory::Caller;
use self::memory::Entry;
use self::memory::Memory;
use self::memory::Name;
use self::memory::State;
use self::ticket::Secret;
use self::ticket::Ticket;
use crate::choose::Upstreams;
use crate::timer::Timers;

/// Sequence numbers of sub-requests begin here, so that they differ from those of searches.
const FIRST_SEQ: u64 = 1 << 63;

/// Decides the requests that must not be repeated at one instance.
#[derive(Debug)]
pub struct Runner {
    config: RunConfig,
    origin: InstanceId,
    catalog: Arc<Catalog>,
    upstreams: Upstreams,
    rng: StdRng,
    secret: Secret,
    memory: Memory,
    calls: BTreeMap<QueryId, Call>,
    forwards: usize,
    /// Calls that other instances forwarded and that were told that they did not run.
    refused: BTreeMap<QueryId, Refusal>,
    subs: BTreeMap<u64, Sub>,
    next_seq: u64,
    timers: Timers<Due>,
    late_replies: u64,
}

/// Where a call that has no answer yet is waited for.
#[derive(Clone, Debug)]
enum Call {
    /// At a request of this instance.
    Here(Name),
    /// At another instance.
    There(Forward),
}

/// A call that was forwarded to the instance that may run it.
#[derive(Clone, Debug)]
struct Forward {
    to: InstanceId,
    ticket: Option<String>,
    started: Time,
    answer_at: Time,
}

/// A dispatch whose reply is waited for.
#[derive(Clone, Copy, Debug)]
struct Sub {
    name: Name,
    upstream: UpstreamKey,
    sent_at: Time,
}

/// What is due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    /// The call must be answered.
    Deadline(QueryId),
    /// A request that every upstream refused may be tried again.
    Retry(Name),
    /// A request may be forgotten.
    Forget(Name),
    /// A refusal of a forwarded call may be forgotten.
    ForgetRefusal(QueryId),
}

impl Runner {
    /// Makes a runner for the instance `origin` that draws its random numbers from `seed`.
    ///
    /// Tickets can't be forged by whoever doesn't know the seed, so it must be drawn at random
    /// at each start.
    pub fn new(config: RunConfig, origin: InstanceId, seed: u64) -> Runner {
        let mut rng = StdRng::seed_from_u64(seed);
        let secret = Secret::new(rng.random());
        let bounds = Bounds {
            entries: config.max_remembered,
            entries_per_customer: config.max_remembered_per_customer,
            body_bytes: config.max_body_bytes,
        };
        Runner {
            config,
            origin,
            catalog: Arc::new(Catalog::default()),
            upstreams: Upstreams::new(0.98),
            rng,
            secret,
            memory: Memory::new(bounds),
            calls: BTreeMap::new(),
            forwards: 0,
            refused: BTreeMap::new(),
            subs: BTreeMap::new(),
            next_seq: FIRST_SEQ,
            timers: Timers::new(),
            late_replies: 0,
        }
    }

    /// Takes a catalogue into force.
    pub fn configure(&mut self, _now: Time, catalog: Arc<Catalog>, _out: &mut Vec<RunCommand>) {
        self.upstreams.configure(&catalog, &self.config.zone);
        self.catalog = catalog;
    }

    /// Issues a ticket for one request of `customer`, good at every instance and run by this one.
    pub fn issue(&mut self, now: Time, customer: CustomerKey, operation: OperationKey) -> String {
        let nonce = self.rng.random();
        let expires = now + self.config.ticket_ms;
        let ticket = self
            .secret
            .issue(self.origin, nonce, expires, customer, operation);
        ticket.text()
    }

    /// Starts a request, or finds out how it ended if it is a repeat.
    pub fn start(&mut self, now: Time, run: Run, out: &mut Vec<RunCommand>) {
        if self.calls.contains_key(&run.id) {
            return;
        }
        match &run.via {
            Via::Ticket(text) => match Ticket::parse(text) {
                Some(ticket) if ticket.issuer == self.origin => {
                    let caller = self.caller(now, run.id, None, Some(text.clone()), run.deadline);
                    self.join_ticket(now, ticket, caller, Asked::of(&run), out);
                }
                Some(ticket) => self.forward(now, run.clone(), ticket.issuer, text.clone(), out),
                None => {
                    let caller = self.caller(now, run.id, None, Some(text.clone()), run.deadline);
                    self.answer(now, &caller, RunOutcome::Conflict, "no ticket of ours", out);
                }
            },
            Via::Key(key) => self.start_key(now, &run, key, out),
        }
    }

    /// Takes a request that another instance forwarded: `ticket` names it here.
    #[expect(
        clippy::too_many_arguments,
        reason = "one for each field of the message"
    )]
    pub fn forwarded(
        &mut self,
        now: Time,
        from: InstanceId,
        id: QueryId,
        customer: CustomerKey,
        operation: OperationKey,
        ticket: String,
        body_hash: [u8; 32],
        deadline: Time,
        out: &mut Vec<RunCommand>,
    ) {
        if self.calls.contains_key(&id) {
            return;
        }
        let asked = Asked {
            customer,
            operation,
            body_hash,
        };
        let caller = self.caller(now, id, Some(from), None, deadline);
        if let Some(refusal) = self.refused.get(&id).copied() {
            let outcome = self.outcome_of_copy(&ticket, refusal);
            return self.answer(now, &caller, outcome, "it was refused before", out);
        }
        if let Some((name, nonce)) = ClaimName::parse_token(&ticket) {
            return self.join_claim(now, name, nonce, caller, asked, out);
        }
        match Ticket::parse(&ticket) {
            Some(ticket) if ticket.issuer == self.origin => {
                self.join_ticket(now, ticket, caller, asked, out);
            }
            // It was meant for an earlier start of this instance, which is gone.
            Some(_) => self.answer(now, &caller, RunOutcome::Unknown, "issuer is gone", out),
            None => self.answer(now, &caller, RunOutcome::Conflict, "no ticket", out),
        }
    }

    /// Takes what came of the claim that was asked for `id`. It is dropped if `id` has its answer.
    pub fn claimed(
        &mut self,
        now: Time,
        id: QueryId,
        result: ClaimResult,
        out: &mut Vec<RunCommand>,
    ) {
        let Some(Call::Here(name)) = self.calls.get(&id) else {
            return;
        };
        let name = *name;
        let entry = self.entry(name);
        if entry.state != State::Claiming(id) {
            return;
        }
        match result {
            ClaimResult::Won => self.claim_won(now, name, out),
            ClaimResult::Taken(claim) => self.claim_taken(now, name, claim, out),
            ClaimResult::Unavailable => {
                let refusal = self.refusal(Reason::StoreDown, self.config.retry_after_min_ms);
                self.end_not_run(now, name, refusal, "the store does not answer", out);
            }
        }
    }

    /// Takes the reply to a dispatch. One that is not waited for is counted and dropped.
    pub fn reply(&mut self, now: Time, reply: SubReply, out: &mut Vec<RunCommand>) {
        let ours = reply.id.origin == self.origin;
        let Some(sub) = ours.then(|| self.subs.remove(&reply.id.seq)).flatten() else {
            self.late_replies += 1;
            return;
        };
        self.take_outcome(now, sub, reply.outcome, out);
    }

    /// Takes how a request ended that was forwarded. It is dropped if the request has its answer.
    pub fn forward_ended(
        &mut self,
        now: Time,
        id: QueryId,
        outcome: RunOutcome,
        out: &mut Vec<RunCommand>,
    ) {
        if matches!(self.calls.get(&id), Some(Call::There(_))) {
            self.end_forward(now, id, outcome, "the other instance answered", out);
        }
    }

    /// Takes that the instance `to` is gone, and with it what it knew of the requests that were
    /// forwarded to it.
    pub fn unreachable(&mut self, now: Time, to: InstanceId, out: &mut Vec<RunCommand>) {
        let mut ids = Vec::new();
        for (id, call) in &self.calls {
            if matches!(call, Call::There(forward) if forward.to == to) {
                ids.push(*id);
            }
        }
        for id in ids {
            self.end_forward(now, id, RunOutcome::Unknown, "the instance is gone", out);
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<RunCommand>) {
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Deadline(id) => self.deadline_due(now, id, out),
                Due::Retry(name) => self.retry_due(now, name, out),
                Due::Forget(name) => self.forget_due(now, name),
                Due::ForgetRefusal(id) => drop(self.refused.remove(&id)),
            }
        }
    }

    /// Returns when [`tick`](Runner::tick) must be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| at)
    }

    /// Returns how many calls have no answer yet, those of other instances included.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns how many requests are remembered.
    pub fn remembered(&self) -> usize {
        self.memory.len()
    }

    /// Returns how many replies came that were not waited for.
    pub fn late_replies(&self) -> u64 {
        self.late_replies
    }

    /// Returns whether `id` names a sub-request of a runner rather than one of a
    /// [`Searcher`](crate::Searcher) of the same instance.
    pub fn sent(id: SubId) -> bool {
        id.seq >= FIRST_SEQ
    }

    fn caller(
        &self,
        now: Time,
        id: QueryId,
        from: Option<InstanceId>,
        ticket: Option<String>,
        deadline: Time,
    ) -> Caller {
        let margin_ms = self.config.margin_ms.min(deadline.left(now) / 10);
        // The instance that forwarded it must have the outcome before its own margin begins.
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

    fn start_key(&mut self, now: Time, run: &Run, key: &str, out: &mut Vec<RunCommand>) {
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

    fn join_ticket(
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

    /// Takes a forwarded request whose claim the other instance read in the store.
    fn join_claim(
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
            let why = "the claim is not remembered";
            return self.answer(now, &caller, RunOutcome::Unknown, why, out);
        };
        // That it was read there proves that it is written, whatever the write was answered.
        entry.claimed = true;
        let claiming = matches!(entry.state, State::Claiming(_));
        self.join(now, name, caller, asked, out);
        if claiming && matches!(self.entry(name).state, State::Claiming(_)) {
            self.dispatch(now, name, out);
        }
    }

    /// Lets `caller` wait for a request that is remembered, or tells it how the request ended.
    fn join(
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
            let why = "the same name was used for another request";
            return self.answer(now, &caller, RunOutcome::Conflict, why, out);
        }
        if let State::Ended(outcome) = &entry.state {
            let outcome = outcome.clone();
            return self.answer(now, &caller, outcome, "it had ended", out);
        }
        let running = matches!(entry.state, State::Running(_));
        if running && (entry.callers.len() >= most || caller.answer_at <= now) {
            entry.told_unknown = true;
            return self.answer(now, &caller, RunOutcome::Unknown, "it is running", out);
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

    /// Remembers a new request and begins it.
    fn create(
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

    fn wait(&mut self, name: Name, caller: Caller) {
        self.timers.set(caller.answer_at, Due::Deadline(caller.id));
        self.calls.insert(caller.id, Call::Here(name));
        self.entry(name).callers.push(caller);
    }

    /// Begins a request that is idle: claims it if it needs a claim, or else dispatches it.
    fn begin(&mut self, now: Time, name: Name, out: &mut Vec<RunCommand>) {
        let origin = self.origin;
        let entry = self.entry(name);
        entry.tries = 0;
        entry.asked = 0;
        let (Name::Claim(claim_name), false) = (name, entry.claimed) else {
            return self.dispatch(now, name, out);
        };
        let first = entry.callers.first();
        let id = first.expect("a request begins for a caller").id;
        entry.state = State::Claiming(id);
        let claim = Claim {
            instance: origin,
            nonce: entry.nonce,
            body_hash: entry.body_hash,
            operation: entry.operation,
        };
        let key = claim_name.text();
        out.push(RunCommand::Claim { id, key, claim });
    }

    fn claim_won(&mut self, now: Time, name: Name, out: &mut Vec<RunCommand>) {
        self.entry(name).claimed = true;
        self.dispatch(now, name, out);
    }

    fn claim_taken(&mut self, now: Time, name: Name, claim: Claim, out: &mut Vec<RunCommand>) {
        let origin = self.origin;
        let entry = self.entry(name);
        if claim.instance == origin && claim.nonce == entry.nonce {
            return self.claim_won(now, name, out);
        }
        let other_request =
            claim.body_hash != entry.body_hash || claim.operation != entry.operation;
        let entry = self.forget(name);
        for caller in entry.callers {
            self.calls.remove(&caller.id);
            if other_request {
                let why = "the key was used for another request";
                self.answer(now, &caller, RunOutcome::Conflict, why, out);
                continue;
            }
            let Name::Claim(claim_name) = name else {
                unreachable!("only claims are claimed");
            };
            if claim.instance == origin || caller.from.is_some() {
                let why = "the claim is not remembered";
                self.answer(now, &caller, RunOutcome::Unknown, why, out);
                continue;
            }
            let token = claim_name.token(claim.nonce);
            self.send_forward(now, caller, claim.instance, token, out);
        }
    }

    fn forward(
        &mut self,
        now: Time,
        run: Run,
        to: InstanceId,
        ticket: String,
        out: &mut Vec<RunCommand>,
    ) {
        let caller = self.caller(now, run.id, None, Some(ticket.clone()), run.deadline);
        self.send_forward(now, caller, to, ticket, out);
    }

    fn send_forward(
        &mut self,
        now: Time,
        caller: Caller,
        to: InstanceId,
        ticket: String,
        out: &mut Vec<RunCommand>,
    ) {
        if caller.answer_at <= now {
            // What the other instance knows can't be learnt in time.
            let why = "no time is left to ask its instance";
            return self.answer(now, &caller, RunOutcome::Unknown, why, out);
        }
        if self.forwards >= self.config.max_forwards {
            return self.refuse(now, &caller, Reason::Overloaded, out);
        }
        self.forwards += 1;
        self.timers.set(caller.answer_at, Due::Deadline(caller.id));
        let forward = Forward {
            to,
            ticket: caller.ticket,
            started: caller.started,
            answer_at: caller.answer_at,
        };
        let id = caller.id;
        self.calls.insert(id, Call::There(forward));
        out.push(RunCommand::Forward { id, to, ticket });
    }

    fn end_forward(
        &mut self,
        now: Time,
        id: QueryId,
        outcome: RunOutcome,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let Some(Call::There(forward)) = self.calls.remove(&id) else {
            return;
        };
        self.forwards -= 1;
        let caller = Caller {
            id,
            from: None,
            ticket: forward.ticket,
            started: forward.started,
            answer_at: forward.answer_at,
        };
        self.answer(now, &caller, outcome, why, out);
    }

    fn deadline_due(&mut self, now: Time, id: QueryId, out: &mut Vec<RunCommand>) {
        match self.calls.get(&id) {
            Some(Call::Here(name)) => {
                let name = *name;
                self.caller_due(now, name, id, out);
            }
            Some(Call::There(forward)) if forward.answer_at <= now => {
                let why = "the other instance did not answer in time";
                self.end_forward(now, id, RunOutcome::Unknown, why, out);
            }
            _ => (),
        }
    }

    /// Answers a caller whose time is over. If the request was not dispatched, all callers are
    /// refused: else it could run for another after this one was told that it did not.
    fn caller_due(&mut self, now: Time, name: Name, id: QueryId, out: &mut Vec<RunCommand>) {
        let entry = self.entry(name);
        let Some(place) = entry.callers.iter().position(|caller| caller.id == id) else {
            return;
        };
        if entry.callers[place].answer_at > now {
            return;
        }
        if matches!(entry.state, State::Running(_)) {
            entry.told_unknown = true;
            let caller = entry.callers.remove(place);
            self.calls.remove(&id);
            let why = "the upstream did not answer in time";
            return self.answer(now, &caller, RunOutcome::Unknown, why, out);
        }
        let reason = match entry.state {
            State::Claiming(_) => Reason::StoreDown,
            _ => Reason::Deadline,
        };
        let refusal = self.refusal(reason, self.config.retry_after_min_ms);
        self.end_not_run(now, name, refusal, "the deadline came", out);
    }

    fn forget_due(&mut self, now: Time, name: Name) {
        let Some(entry) = self.memory.get(name) else {
            return;
        };
        if entry.keep_until > now {
            self.timers.set(entry.keep_until, Due::Forget(name));
            return;
        }
        if !entry.callers.is_empty() {
            // Its callers are answered by their deadlines.
            let last = entry.callers.iter().map(|caller| caller.answer_at).max();
            let after = last.expect("there is a caller") + 1;
            self.timers.set(after, Due::Forget(name));
            return;
        }
        self.forget(name);
    }

    fn forget(&mut self, name: Name) -> Entry {
        let entry = self.memory.remove(name);
        let entry = entry.expect("a request is forgotten only once");
        if let State::Running(seq) = entry.state {
            if let Some(sub) = self.subs.remove(&seq) {
                self.upstreams.declined(sub.sent_at, sub.upstream);
            }
        }
        entry
    }

    fn entry(&mut self, name: Name) -> &mut Entry {
        let entry = self.memory.get_mut(name);
        entry.expect("a request with callers or a dispatch is remembered")
    }

    /// Refuses a caller that can't wait for a request that has not been dispatched.
    fn refuse_early(&mut self, now: Time, name: Name, caller: Caller, out: &mut Vec<RunCommand>) {
        let reason = match caller.answer_at <= now {
            true => Reason::Deadline,
            false => Reason::Overloaded,
        };
        if self.entry(name).state == State::Idle {
            return self.refuse(now, &caller, reason, out);
        }
        // The request may yet run for the others, so "not run" could turn false.
        self.answer(now, &caller, RunOutcome::Unknown, "it is about to run", out);
    }

    fn refuse(&mut self, now: Time, caller: &Caller, reason: Reason, out: &mut Vec<RunCommand>) {
        let refusal = self.refusal(reason, self.config.retry_after_min_ms);
        let outcome = RunOutcome::NotRun(refusal);
        self.answer(now, caller, outcome, "refused at the start", out);
    }

    fn refusal(&self, reason: Reason, retry_after_ms: u32) -> Refusal {
        let min_ms = self.config.retry_after_min_ms;
        let max_ms = self.config.retry_after_max_ms;
        Refusal {
            reason,
            retry_after_ms: retry_after_ms.clamp(min_ms, max_ms),
        }
    }

    fn answer(
        &mut self,
        now: Time,
        caller: &Caller,
        outcome: RunOutcome,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let id = caller.id;
        let command = match caller.from {
            Some(to) => {
                let outcome = self.vow(now, id, outcome);
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
            chosen: describe(outcome),
            passed_over: "nothing".to_owned(),
            why: Cow::Borrowed(why),
            took_ms: now.since(caller.started),
        };
        out.push(command);
        out.push(RunCommand::Decision(decision));
    }

    /// Returns how a copy of a refused call ends: it runs nothing, but another call with the same
    /// ticket may have since.
    fn outcome_of_copy(&mut self, ticket: &str, refusal: Refusal) -> RunOutcome {
        let name = match ClaimName::parse_token(ticket) {
            Some((claim, _)) => Some(Name::Claim(claim)),
            None => Ticket::parse(ticket).map(|ticket| Name::Ticket(ticket.nonce)),
        };
        let Some(entry) = name.and_then(|name| self.memory.get_mut(name)) else {
            return RunOutcome::NotRun(refusal);
        };
        match &entry.state {
            State::Ended(outcome) => outcome.clone(),
            State::Running(_) => {
                entry.told_unknown = true;
                RunOutcome::Unknown
            }
            _ => RunOutcome::NotRun(refusal),
        }
    }

    /// Remembers a refusal of a forwarded call, so that a copy of the call that comes later does
    /// not run it. Without room to remember it, the call can't be told that it will not run.
    fn vow(&mut self, now: Time, id: QueryId, outcome: RunOutcome) -> RunOutcome {
        let RunOutcome::NotRun(refusal) = outcome else {
            return outcome;
        };
        if self.refused.len() >= self.config.max_remembered && !self.refused.contains_key(&id) {
            return RunOutcome::Unknown;
        }
        self.refused.insert(id, refusal);
        let forget_at = now + self.config.remember_ms;
        self.timers.set(forget_at, Due::ForgetRefusal(id));
        outcome
    }
}

/// What a call asks for, which every repeat must ask for too.
#[derive(Clone, Copy, Debug)]
struct Asked {
    customer: CustomerKey,
    operation: OperationKey,
    body_hash: [u8; 32],
}

impl Asked {
    fn of(run: &Run) -> Asked {
        Asked {
            customer: run.customer,
            operation: run.operation,
            body_hash: run.body_hash,
        }
    }
}

impl Entry {
    fn new(asked: Asked, nonce: u64, keep_until: Time) -> Entry {
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

    fn is_for(&self, asked: Asked) -> bool {
        self.customer == asked.customer
            && self.operation == asked.operation
            && self.body_hash == asked.body_hash
    }
}

fn describe(outcome: &RunOutcome) -> String {
    match outcome {
        RunOutcome::Done { .. } => "done".to_owned(),
        RunOutcome::NotRun(refusal) => format!("not run: {refusal}"),
        RunOutcome::Unknown => "unknown".to_owned(),
        RunOutcome::Conflict => "conflict".to_owned(),
    }
}
