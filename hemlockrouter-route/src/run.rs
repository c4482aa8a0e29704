//! Requests that must not be repeated, such as a booking.
//!
//! Exactly one instance may run a request: the instance that issued its ticket, or the instance
//! whose claim on its idempotency key is in the platform's store. Every other instance forwards the
//! request to that instance. The state that the running instance keeps decides whether a repeat
//! runs the request, waits for it or gets its outcome. Once a reply to a dispatch is lost, the
//! request may have run and is never dispatched again.
//!
//! The outcome [`NotRun`](RunOutcome::NotRun) holds for the call that it answers, and for every
//! earlier call that this instance knows of. An instance that can't reach the store does not know
//! of a claim by another instance. So a caller that repeats an idempotency key must keep the same
//! key until it gets another outcome.
//!
//! - `ticket`: request identifiers that an instance issues.
//! - `claim`: request identifiers that callers choose.
//! - `join`: matches a call with the stored state of its request.
//! - `forward`: requests that only another instance may run.
//! - `answer`: outcomes that are sent to callers.
//! - `memory`: the stored state of requests, and its bounds.
//! - `dispatch`: sends requests to upstreams and handles the replies.

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

/// First sequence number of a runner's sub-requests, chosen so that they differ from those of
/// searches.
const FIRST_SEQ: u64 = 1 << 63;

/// State machine for the requests of one instance that must not be repeated.
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
    /// Forwarded calls of other instances that were answered with `NotRun`.
    refused: BTreeMap<QueryId, Refusal>,
    subs: BTreeMap<u64, Sub>,
    next_seq: u64,
    timers: Timers<Due>,
    late_replies: u64,
}

/// State of a call that has not been answered yet.
#[derive(Clone, Debug)]
enum Call {
    /// The call waits for a request of this instance.
    Here(Name),
    /// The call was forwarded to another instance.
    There(Forward),
}

/// A dispatch whose reply is pending.
#[derive(Clone, Copy, Debug)]
struct Sub {
    name: Name,
    upstream: UpstreamKey,
    sent_at: Time,
}

/// Action that a timer triggers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    /// The call must be answered.
    Deadline(QueryId),
    /// A request that every upstream refused may be tried again.
    Retry(Name),
    /// The state of a request may be dropped.
    Forget(Name),
    /// The stored refusal of a forwarded call may be dropped.
    ForgetRefusal(QueryId),
}

impl Runner {
    /// Creates a runner for the instance `origin`. `seed` seeds its random number generator.
    ///
    /// The seed is also the secret behind tickets: tickets can be forged only with the seed. So the
    /// seed must be drawn at random at each start.
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

    /// Applies a new catalogue.
    pub fn configure(&mut self, _now: Time, catalog: Arc<Catalog>, _out: &mut Vec<RunCommand>) {
        self.upstreams.configure(&catalog, &self.config.zone);
        self.catalog = catalog;
    }

    /// Issues a ticket for one request of `customer`. Callers may send the ticket to any instance,
    /// but only this instance runs the request.
    pub fn issue(&mut self, now: Time, customer: CustomerKey, operation: OperationKey) -> String {
        let nonce = self.rng.random();
        let expires = now + self.config.ticket_ms;
        let ticket = self
            .secret
            .issue(self.origin, nonce, expires, customer, operation);
        ticket.text()
    }

    /// Starts a request, or returns the outcome if the request is a repeat of one that has ended.
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
                    self.answer(
                        now,
                        &caller,
                        RunOutcome::Conflict,
                        "the ticket is malformed",
                        out,
                    );
                }
            },
            Via::Key(key) => self.start_key(now, &run, key, out),
        }
    }

    /// Handles a request that another instance forwarded. `ticket` is a ticket of this instance or
    /// the token of a claim.
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
            return self.answer(
                now,
                &caller,
                outcome,
                "the same call was refused before",
                out,
            );
        }
        if let Some((name, nonce)) = ClaimName::parse_token(&ticket) {
            return self.join_claim(now, name, nonce, caller, asked, out);
        }
        match Ticket::parse(&ticket) {
            Some(ticket) if ticket.issuer == self.origin => {
                self.join_ticket(now, ticket, caller, asked, out);
            }
            // The ticket was issued by an earlier process of this instance, whose state is lost.
            Some(_) => self.answer(
                now,
                &caller,
                RunOutcome::Unknown,
                "the issuer of the ticket has stopped",
                out,
            ),
            None => self.answer(
                now,
                &caller,
                RunOutcome::Conflict,
                "the ticket is malformed",
                out,
            ),
        }
    }

    /// Handles the result of the claim that was written for the call `id`. The result is ignored if
    /// that call has already been answered.
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

    /// Handles the reply to a dispatch. A reply that is not expected is counted as late and
    /// dropped.
    pub fn reply(&mut self, now: Time, reply: SubReply, out: &mut Vec<RunCommand>) {
        let ours = reply.id.origin == self.origin;
        let Some(sub) = ours.then(|| self.subs.remove(&reply.id.seq)).flatten() else {
            self.late_replies += 1;
            return;
        };
        self.upstreams
            .record_round_trip(now, sub.upstream, sub.sent_at, &reply);
        self.take_outcome(now, sub, reply.outcome, out);
    }

    /// Handles the outcome of a forwarded request. The outcome is ignored if the call has already
    /// been answered.
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

    /// Handles the loss of the instance `to`. The outcome of every request that was forwarded there
    /// is now unknown.
    pub fn unreachable(&mut self, now: Time, to: InstanceId, out: &mut Vec<RunCommand>) {
        let mut ids = Vec::new();
        for (id, call) in &self.calls {
            if matches!(call, Call::There(forward) if forward.to == to) {
                ids.push(*id);
            }
        }
        for id in ids {
            self.end_forward(
                now,
                id,
                RunOutcome::Unknown,
                "the other instance is unreachable",
                out,
            );
        }
    }

    /// Performs the actions that are due at `now`.
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

    /// Returns the time at which [`tick`](Runner::tick) must be called next, or `None` without
    /// timers.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| at)
    }

    /// Returns the number of calls that have not been answered, including calls forwarded by other
    /// instances.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of requests whose state is stored.
    pub fn remembered(&self) -> usize {
        self.memory.len()
    }

    /// Returns the number of replies that arrived when they were no longer expected.
    pub fn late_replies(&self) -> u64 {
        self.late_replies
    }

    /// Returns whether `id` belongs to a sub-request of a runner rather than of a
    /// [`Searcher`](crate::Searcher) of the same instance.
    pub fn sent(id: SubId) -> bool {
        id.seq >= FIRST_SEQ
    }

    /// Begins a request in state `Idle`: writes its claim if it needs one, and dispatches it
    /// otherwise.
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
                let why = "the state of the claim was lost";
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

    /// Answers a caller whose deadline has passed.
    ///
    /// If the request was not dispatched, all of its callers are refused. Otherwise the request
    /// could run for another caller after this caller was told that the request did not run.
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
        self.end_not_run(now, name, refusal, "the deadline was reached", out);
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
            // The callers are answered at their deadlines, and the request is dropped after the
            // last one.
            let last = entry.callers.iter().map(|caller| caller.answer_at).max();
            let after = last.expect("there is a caller") + 1;
            self.timers.set(after, Due::Forget(name));
            return;
        }
        self.forget(name);
    }

    fn forget(&mut self, name: Name) -> Entry {
        let entry = self.memory.remove(name);
        let entry = entry.expect("a request is removed only once");
        if let State::Running(seq) = entry.state {
            if let Some(sub) = self.subs.remove(&seq) {
                self.upstreams.record_decline(sub.sent_at, sub.upstream);
            }
        }
        entry
    }

    fn entry(&mut self, name: Name) -> &mut Entry {
        let entry = self.memory.get_mut(name);
        entry.expect("the state of a request with callers or a dispatch is stored")
    }
}
