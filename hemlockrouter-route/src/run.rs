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
//! - `join`: what a call finds known of its request.
//! - `forward`: requests that another instance alone may run.
//! - `answer`: what callers are told.
//! - `memory`: what is remembered of a request, and the bounds on it.
//! - `dispatch`: sending to an upstream, and the replies.

mod answer;
mod claim;
mod config;
mod dispatch;
mod event;
mod forward;
mod join;
mod memory;
mod ticket;

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
use self::forward::Forward;
use self::join::Asked;
use self::memory::Bounds;
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
        self.upstreams
            .learn_round_trip(now, sub.upstream, sub.sent_at, &reply);
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
}
