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
use hemlockrouter_wire::SubRequestReply;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

pub use self::claim::Claim;
use self::claim::ClaimName;
pub use self::config::RunConfig;
pub use self::event::ClaimResult;
pub use self::event::RunCommand;
pub use self::event::RunIdentifier;
pub use self::event::RunRequest;
use self::forward::ForwardedCall;
use self::join::CallContent;
use self::memory::RequestEntry;
use self::memory::RequestName;
use self::memory::RequestTable;
use self::memory::RunState;
use self::memory::TableBounds;
use self::ticket::Ticket;
use self::ticket::TicketSecret;
use crate::choose::Upstreams;
use crate::timer::TimerQueue;

/// First sequence number of a runner's sub-requests, chosen so that they differ from those of
/// searches.
const FIRST_RUN_SEQ: u64 = 1 << 63;

/// State machine for the requests of one instance that must not be repeated.
#[derive(Debug)]
pub struct Runner {
    config: RunConfig,
    origin: InstanceId,
    catalog: Arc<Catalog>,
    upstreams: Upstreams,
    rng: StdRng,
    ticket_secret: TicketSecret,
    requests: RequestTable,
    calls: BTreeMap<QueryId, Call>,
    forwards_in_flight: usize,
    /// Forwarded calls of other instances that were answered with `NotRun`.
    refused_calls: BTreeMap<QueryId, Refusal>,
    sub_requests: BTreeMap<u64, PendingDispatch>,
    next_seq: u64,
    timers: TimerQueue<TimerAction>,
    late_replies: u64,
}

/// State of a call that has not been answered yet.
#[derive(Clone, Debug)]
enum Call {
    /// The call waits for a request of this instance.
    Local(RequestName),
    /// The call was forwarded to another instance.
    Forwarded(ForwardedCall),
}

/// A dispatch whose reply is pending.
#[derive(Clone, Copy, Debug)]
struct PendingDispatch {
    name: RequestName,
    upstream: UpstreamKey,
    sent_at: Time,
}

/// Action that a timer triggers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TimerAction {
    /// The call must be answered.
    Deadline(QueryId),
    /// A request that every upstream refused may be tried again.
    Retry(RequestName),
    /// The state of a request may be dropped.
    Forget(RequestName),
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
        let ticket_secret = TicketSecret::new(rng.random());
        let bounds = TableBounds {
            max_entries: config.max_stored_requests,
            max_entries_per_customer: config.max_stored_requests_per_customer,
            max_body_bytes: config.max_stored_body_bytes,
        };
        Runner {
            config,
            origin,
            catalog: Arc::new(Catalog::default()),
            upstreams: Upstreams::new(0.98),
            rng,
            ticket_secret,
            requests: RequestTable::new(bounds),
            calls: BTreeMap::new(),
            forwards_in_flight: 0,
            refused_calls: BTreeMap::new(),
            sub_requests: BTreeMap::new(),
            next_seq: FIRST_RUN_SEQ,
            timers: TimerQueue::new(),
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
    pub fn issue_ticket(
        &mut self,
        now: Time,
        customer: CustomerKey,
        operation: OperationKey,
    ) -> String {
        let nonce = self.rng.random();
        let expires_at = now + self.config.ticket_ttl_ms;
        let ticket = self
            .ticket_secret
            .issue(self.origin, nonce, expires_at, customer, operation);
        ticket.text()
    }

    /// Starts a request. A repeat of a stored request waits for the outcome, or is answered at once
    /// if the request has ended.
    pub fn start(&mut self, now: Time, run: RunRequest, out: &mut Vec<RunCommand>) {
        if self.calls.contains_key(&run.id) {
            return;
        }
        match &run.identifier {
            RunIdentifier::Ticket(text) => match Ticket::parse(text) {
                Some(ticket) if ticket.issuer == self.origin => {
                    let caller =
                        self.new_caller(now, run.id, None, Some(text.clone()), run.deadline);
                    self.join_ticket(now, ticket, caller, CallContent::from_run(&run), out);
                }
                Some(ticket) => self.forward(now, run.clone(), ticket.issuer, text.clone(), out),
                None => {
                    let caller =
                        self.new_caller(now, run.id, None, Some(text.clone()), run.deadline);
                    self.answer(
                        now,
                        &caller,
                        RunOutcome::Conflict,
                        "the ticket is malformed",
                        out,
                    );
                }
            },
            RunIdentifier::Key(key) => self.start_with_key(now, &run, key, out),
        }
    }

    /// Handles a request that another instance forwarded. `ticket` is a ticket of this instance or
    /// the token of a claim.
    #[expect(
        clippy::too_many_arguments,
        reason = "one for each field of the message"
    )]
    pub fn start_forwarded(
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
        let content = CallContent {
            customer,
            operation,
            body_hash,
        };
        let caller = self.new_caller(now, id, Some(from), None, deadline);
        if let Some(refusal) = self.refused_calls.get(&id).copied() {
            let outcome = self.outcome_of_duplicate(&ticket, refusal);
            return self.answer(
                now,
                &caller,
                outcome,
                "the same call was refused before",
                out,
            );
        }
        if let Some((name, nonce)) = ClaimName::parse_token(&ticket) {
            return self.join_claim(now, name, nonce, caller, content, out);
        }
        match Ticket::parse(&ticket) {
            Some(ticket) if ticket.issuer == self.origin => {
                self.join_ticket(now, ticket, caller, content, out);
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
    pub fn handle_claim_result(
        &mut self,
        now: Time,
        id: QueryId,
        result: ClaimResult,
        out: &mut Vec<RunCommand>,
    ) {
        let Some(Call::Local(name)) = self.calls.get(&id) else {
            return;
        };
        let name = *name;
        let entry = self.entry_mut(name);
        if entry.state != RunState::Claiming(id) {
            return;
        }
        match result {
            ClaimResult::Won => self.on_claim_won(now, name, out),
            ClaimResult::Taken(claim) => self.on_claim_taken(now, name, claim, out),
            ClaimResult::Unavailable => {
                let refusal =
                    self.refusal(RefusalReason::StoreDown, self.config.retry_after_min_ms);
                self.end_as_not_run(now, name, refusal, "the store does not answer", out);
            }
        }
    }

    /// Handles the reply to a dispatch. A reply that is not expected is counted as late and
    /// dropped.
    pub fn reply(&mut self, now: Time, reply: SubRequestReply, out: &mut Vec<RunCommand>) {
        let is_own_reply = reply.id.origin == self.origin;
        let Some(sub_request) = is_own_reply
            .then(|| self.sub_requests.remove(&reply.id.seq))
            .flatten()
        else {
            self.late_replies += 1;
            return;
        };
        self.upstreams
            .record_round_trip(now, sub_request.upstream, sub_request.sent_at, &reply);
        self.handle_outcome(now, sub_request, reply.outcome, out);
    }

    /// Handles the outcome of a forwarded request. The outcome is ignored if the call has already
    /// been answered.
    pub fn handle_forward_outcome(
        &mut self,
        now: Time,
        id: QueryId,
        outcome: RunOutcome,
        out: &mut Vec<RunCommand>,
    ) {
        if matches!(self.calls.get(&id), Some(Call::Forwarded(_))) {
            self.end_forward(now, id, outcome, "the other instance answered", out);
        }
    }

    /// Handles the loss of the instance `to`. The outcome of every request that was forwarded there
    /// is now unknown.
    pub fn handle_unreachable_instance(
        &mut self,
        now: Time,
        to: InstanceId,
        out: &mut Vec<RunCommand>,
    ) {
        let mut forwarded_ids = Vec::new();
        for (id, call) in &self.calls {
            if matches!(call, Call::Forwarded(forward) if forward.to == to) {
                forwarded_ids.push(*id);
            }
        }
        for id in forwarded_ids {
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
        while let Some(action) = self.timers.pop_due(now) {
            match action {
                TimerAction::Deadline(id) => self.on_deadline_timer(now, id, out),
                TimerAction::Retry(name) => self.on_retry_timer(now, name, out),
                TimerAction::Forget(name) => self.on_forget_timer(now, name),
                TimerAction::ForgetRefusal(id) => drop(self.refused_calls.remove(&id)),
            }
        }
    }

    /// Returns the time at which [`tick`](Runner::tick) must be called next, or `None` without
    /// timers.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.peek().map(|(at, _)| at)
    }

    /// Returns the number of calls that have not been answered, including calls forwarded by other
    /// instances.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of requests whose state is stored.
    pub fn stored_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of replies that arrived when they were no longer expected.
    pub fn late_replies(&self) -> u64 {
        self.late_replies
    }

    /// Returns whether `id` belongs to a sub-request of a runner rather than of a
    /// [`Searcher`](crate::Searcher) of the same instance.
    pub fn is_run_sub_request(id: SubRequestId) -> bool {
        id.seq >= FIRST_RUN_SEQ
    }

    /// Begins a request in state `Idle`: writes its claim if it needs one, and dispatches it
    /// otherwise.
    fn begin_request(&mut self, now: Time, name: RequestName, out: &mut Vec<RunCommand>) {
        let origin = self.origin;
        let entry = self.entry_mut(name);
        entry.tries = 0;
        entry.tried_upstreams = 0;
        let (RequestName::Claim(claim_name), false) = (name, entry.claim_written) else {
            return self.dispatch(now, name, out);
        };
        let first_caller = entry.callers.first();
        let id = first_caller.expect("a request begins for a caller").id;
        entry.state = RunState::Claiming(id);
        let claim = Claim {
            instance: origin,
            nonce: entry.nonce,
            body_hash: entry.body_hash,
            operation: entry.operation,
        };
        let key = claim_name.hex_text();
        out.push(RunCommand::Claim { id, key, claim });
    }

    fn on_claim_won(&mut self, now: Time, name: RequestName, out: &mut Vec<RunCommand>) {
        self.entry_mut(name).claim_written = true;
        self.dispatch(now, name, out);
    }

    fn on_claim_taken(
        &mut self,
        now: Time,
        name: RequestName,
        claim: Claim,
        out: &mut Vec<RunCommand>,
    ) {
        let origin = self.origin;
        let entry = self.entry_mut(name);
        if claim.instance == origin && claim.nonce == entry.nonce {
            return self.on_claim_won(now, name, out);
        }
        let is_other_request =
            claim.body_hash != entry.body_hash || claim.operation != entry.operation;
        let entry = self.remove_request(name);
        for caller in entry.callers {
            self.calls.remove(&caller.id);
            if is_other_request {
                let why = "the key was used for another request";
                self.answer(now, &caller, RunOutcome::Conflict, why, out);
                continue;
            }
            let RequestName::Claim(claim_name) = name else {
                unreachable!("only claims are claimed");
            };
            if claim.instance == origin || caller.forwarded_by.is_some() {
                let why = "the state of the claim was lost";
                self.answer(now, &caller, RunOutcome::Unknown, why, out);
                continue;
            }
            let token = claim_name.token(claim.nonce);
            self.send_forward(now, caller, claim.instance, token, out);
        }
    }

    fn on_deadline_timer(&mut self, now: Time, id: QueryId, out: &mut Vec<RunCommand>) {
        match self.calls.get(&id) {
            Some(Call::Local(name)) => {
                let name = *name;
                self.on_caller_deadline(now, name, id, out);
            }
            Some(Call::Forwarded(forward)) if forward.answer_deadline <= now => {
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
    fn on_caller_deadline(
        &mut self,
        now: Time,
        name: RequestName,
        id: QueryId,
        out: &mut Vec<RunCommand>,
    ) {
        let entry = self.entry_mut(name);
        let Some(position) = entry.callers.iter().position(|caller| caller.id == id) else {
            return;
        };
        if entry.callers[position].answer_deadline > now {
            return;
        }
        if matches!(entry.state, RunState::Running(_)) {
            entry.answered_unknown = true;
            let caller = entry.callers.remove(position);
            self.calls.remove(&id);
            let why = "the upstream did not answer in time";
            return self.answer(now, &caller, RunOutcome::Unknown, why, out);
        }
        let reason = match entry.state {
            RunState::Claiming(_) => RefusalReason::StoreDown,
            _ => RefusalReason::Deadline,
        };
        let refusal = self.refusal(reason, self.config.retry_after_min_ms);
        self.end_as_not_run(now, name, refusal, "the deadline was reached", out);
    }

    fn on_forget_timer(&mut self, now: Time, name: RequestName) {
        let Some(entry) = self.requests.get(name) else {
            return;
        };
        if entry.keep_until > now {
            self.timers.set(entry.keep_until, TimerAction::Forget(name));
            return;
        }
        if !entry.callers.is_empty() {
            // The callers are answered at their deadlines, and the request is dropped after the
            // last one.
            let last_deadline = entry
                .callers
                .iter()
                .map(|caller| caller.answer_deadline)
                .max();
            let forget_at = last_deadline.expect("there is a caller") + 1;
            self.timers.set(forget_at, TimerAction::Forget(name));
            return;
        }
        self.remove_request(name);
    }

    fn remove_request(&mut self, name: RequestName) -> RequestEntry {
        let entry = self.requests.remove(name);
        let entry = entry.expect("a request is removed only once");
        if let RunState::Running(seq) = entry.state {
            if let Some(sub_request) = self.sub_requests.remove(&seq) {
                self.upstreams
                    .record_decline(sub_request.sent_at, sub_request.upstream);
            }
        }
        entry
    }

    fn entry_mut(&mut self, name: RequestName) -> &mut RequestEntry {
        let entry = self.requests.get_mut(name);
        entry.expect("the state of a request with callers or a dispatch is stored")
    }
}
