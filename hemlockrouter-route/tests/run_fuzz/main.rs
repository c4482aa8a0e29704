//! Drives three [`Runner`]s, a store and upstreams with random events, and checks them against a
//! model of the requests that ran.
//!
//! Claims, forwards, dispatches and their answers are lost, duplicated and reordered, and instances
//! are replaced. For a longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release
//! -p hemlockrouter-route --test run_fuzz`. A failure prints the shortest trace that was found.

mod checks;
mod events;
#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_route::Claim;
use hemlockrouter_route::ClaimResult;
use hemlockrouter_route::RunCommand;
use hemlockrouter_route::RunConfig;
use hemlockrouter_route::RunIdentifier;
use hemlockrouter_route::RunRequest;
use hemlockrouter_route::Runner;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;
use proptest_state_machine::prop_state_machine;
use proptest_state_machine::StateMachineTest;

use crate::events::Events;
use crate::events::MessageOutcome;
use crate::events::Request;
use crate::events::StoreOutcome;
use crate::events::Transition;
use crate::events::UpstreamOutcome;
use crate::support::Layout;

const INSTANCES: usize = 3;
const MAX_STORED_REQUESTS: usize = 3;
const OUTCOME_TTL_MS: u64 = 400;

#[derive(Clone, Debug)]
struct IssuedTicket {
    instance: InstanceId,
    issued_at: Time,
    ticket: String,
}

/// State of a call in the model.
#[derive(Clone, Debug)]
struct ModelCall {
    request: Request,
    body: u8,
    started: Time,
    deadline: Time,
    forwarded: bool,
    outcome: Option<RunOutcome>,
}

/// A dispatch and its outcome at the upstream.
#[derive(Clone, Debug)]
struct ModelDispatch {
    instance: InstanceId,
    id: SubRequestId,
    sent_at: Time,
    request: Request,
    body: u8,
    is_finished: bool,
    ran: bool,
    /// Whether the upstream replied to the runner that the request did not run.
    refused: bool,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    instance: InstanceId,
    id: QueryId,
    key: String,
    claim: Claim,
}

#[derive(Clone, Debug)]
enum Message {
    Forward {
        from: InstanceId,
        to: InstanceId,
        id: QueryId,
        ticket: String,
    },
    Ended {
        to: InstanceId,
        id: QueryId,
        outcome: RunOutcome,
    },
}

struct Cluster {
    now: Time,
    instances: Vec<(InstanceId, Runner)>,
    replaced: Vec<InstanceId>,
    next_instance: u64,
    next_query: u64,
    tickets: Vec<IssuedTicket>,
    store: BTreeMap<String, Claim>,
    calls: BTreeMap<QueryId, ModelCall>,
    claims: Vec<PendingClaim>,
    messages: Vec<Message>,
    dispatches: Vec<ModelDispatch>,
    /// The requests for which the dispatching instance has answered `Unknown`.
    unknown_requests: Vec<Request>,
    replies: Vec<SubRequestReply>,
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Cluster;
    type Reference = Events;

    fn init_test(_: &Events) -> Cluster {
        let mut cluster = Cluster {
            now: Time::from_ms(1_000),
            instances: Vec::new(),
            replaced: Vec::new(),
            next_instance: 0,
            next_query: 0,
            tickets: Vec::new(),
            store: BTreeMap::new(),
            calls: BTreeMap::new(),
            claims: Vec::new(),
            messages: Vec::new(),
            dispatches: Vec::new(),
            unknown_requests: Vec::new(),
            replies: Vec::new(),
        };
        for _ in 0..INSTANCES {
            let instance = cluster.new_instance();
            cluster.instances.push(instance);
        }
        cluster
    }

    fn apply(mut cluster: Cluster, _: &Events, transition: Transition) -> Cluster {
        match transition {
            Transition::Issue(index) => {
                let now = cluster.now;
                let (issuer, runner) = &mut cluster.instances[index];
                let ticket = runner.issue_ticket(now, customer(), operation());
                cluster.tickets.push(IssuedTicket {
                    instance: *issuer,
                    issued_at: now,
                    ticket,
                });
            }
            Transition::Start {
                index,
                request,
                body,
                deadline_ms,
            } => cluster.start(index, request, body, deadline_ms),
            Transition::Claim(index, injected) => cluster.finish_claim(index, injected),
            Transition::Message(index, injected) => cluster.finish_message(index, injected),
            Transition::Dispatch(index, injected) => cluster.finish_dispatch(index, injected),
            Transition::ReplyAgain(index) => cluster.reply_again(index),
            Transition::Advance(ms) => cluster.advance(ms),
            Transition::Replace(index) => {
                let new = cluster.new_instance();
                let (old, _) = std::mem::replace(&mut cluster.instances[index], new);
                cluster.replaced.push(old);
                cluster.claims.retain(|claim| claim.instance != old);
            }
            Transition::ReportUnreachable(index) => {
                for replaced in cluster.replaced.clone() {
                    cluster.call_runner(index, |runner, now, out| {
                        runner.handle_unreachable_instance(now, replaced, out)
                    });
                }
            }
        }
        cluster
    }

    fn teardown(mut cluster: Cluster, _: Events) {
        cluster.advance(1_000);
        for (id, call) in &cluster.calls {
            if cluster.replaced.contains(&id.origin) {
                continue;
            }
            assert!(call.outcome.is_some(), "{id} has no answer: {call:?}");
        }
        for (_, runner) in &cluster.instances {
            assert_eq!(runner.in_flight(), 0);
        }
    }
}

impl Cluster {
    fn new_instance(&mut self) -> (InstanceId, Runner) {
        self.next_instance += 1;
        let id = InstanceId(self.next_instance);
        let config = RunConfig::new()
            .max_stored_requests(MAX_STORED_REQUESTS)
            .outcome_ttl_ms(OUTCOME_TTL_MS)
            .ticket_ttl_ms(OUTCOME_TTL_MS)
            .max_stored_body_bytes(20)
            .zone("zone-0");
        let mut runner = Runner::new(config, id, self.next_instance);
        let catalog = support::catalog(&Layout {
            zones: 2,
            upstreams: 3,
            customers: 1,
            searches: Vec::new(),
            replicas: 1,
            operations: vec![3],
        });
        runner.configure(self.now, Arc::new(catalog), &mut Vec::new());
        (id, runner)
    }

    /// Calls `action` with a runner and executes the resulting commands.
    fn call_runner<F>(&mut self, index: usize, action: F)
    where
        F: FnOnce(&mut Runner, Time, &mut Vec<RunCommand>),
    {
        let mut out = Vec::new();
        let (instance, runner) = &mut self.instances[index];
        let instance = *instance;
        action(runner, self.now, &mut out);
        assert!(runner.stored_requests() <= MAX_STORED_REQUESTS);
        let mut refused = Vec::new();
        for command in out {
            if let RunCommand::Answer {
                id,
                outcome: RunOutcome::NotRun(_),
                ..
            } = &command
            {
                let call = &self.calls[id];
                refused.extend((!call.forwarded).then_some(call.request));
            }
            self.execute(instance, command);
        }
        // A refused request must have no other waiting caller, because it could still run for that
        // caller.
        for (id, call) in &self.calls {
            let is_waiting = id.origin == instance && call.outcome.is_none() && !call.forwarded;
            let refused = refused.contains(&call.request);
            assert!(
                !is_waiting || !refused,
                "{id} still waits for a request that was refused to another call"
            );
        }
    }

    fn index_of(&self, instance: InstanceId) -> Option<usize> {
        self.instances.iter().position(|(id, _)| *id == instance)
    }

    fn start(&mut self, index: usize, request: Request, body: u8, deadline_ms: u64) {
        let (request, identifier) = match request {
            Request::Ticket(_) if self.tickets.is_empty() => return,
            Request::Ticket(pick) => {
                let pick = pick % self.tickets.len();
                let identifier = RunIdentifier::Ticket(self.tickets[pick].ticket.clone());
                (Request::Ticket(pick), identifier)
            }
            Request::Key(key) => (request, RunIdentifier::Key(format!("key-{key}"))),
        };
        self.next_query += 1;
        let id = QueryId {
            origin: self.instances[index].0,
            seq: self.next_query,
        };
        let deadline = self.now + deadline_ms;
        let run = RunRequest {
            id,
            customer: customer(),
            operation: operation(),
            identifier,
            body_hash: [body; 32],
            deadline,
        };
        let call = ModelCall {
            request,
            body,
            started: self.now,
            deadline,
            forwarded: false,
            outcome: None,
        };
        self.calls.insert(id, call);
        self.call_runner(index, |runner, now, out| runner.start(now, run, out));
    }

    fn finish_claim(&mut self, pick: usize, injected: StoreOutcome) {
        if self.claims.is_empty() {
            return;
        }
        let claim = self.claims.remove(pick % self.claims.len());
        let claim_result = match injected {
            StoreOutcome::Down => ClaimResult::Unavailable,
            StoreOutcome::Answered | StoreOutcome::AnswerLost => {
                let stored = *self.store.entry(claim.key).or_insert(claim.claim);
                match (injected, stored == claim.claim) {
                    (StoreOutcome::AnswerLost, _) => ClaimResult::Unavailable,
                    (_, true) => ClaimResult::Won,
                    (_, false) => ClaimResult::Taken(stored),
                }
            }
        };
        let index = self
            .index_of(claim.instance)
            .expect("claims of replaced instances are dropped");
        self.call_runner(index, |runner, now, out| {
            runner.handle_claim_result(now, claim.id, claim_result, out)
        });
    }

    fn finish_message(&mut self, pick: usize, injected: MessageOutcome) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        match injected {
            MessageOutcome::Deliver => self.deliver(message),
            MessageOutcome::DeliverTwice => {
                self.deliver(message.clone());
                self.messages.push(message);
            }
            MessageOutcome::Lose => (),
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Forward {
                from,
                to,
                id,
                ticket,
            } => {
                let (Some(index), Some(call)) = (self.index_of(to), self.calls.get(&id)) else {
                    return;
                };
                let (body, deadline) = ([call.body; 32], call.deadline);
                self.call_runner(index, |runner, now, out| {
                    let (customer, operation) = (customer(), operation());
                    runner.start_forwarded(
                        now, from, id, customer, operation, ticket, body, deadline, out,
                    );
                });
            }
            Message::Ended { to, id, outcome } => {
                if let Some(index) = self.index_of(to) {
                    self.call_runner(index, |runner, now, out| {
                        runner.handle_forward_outcome(now, id, outcome, out);
                    });
                }
            }
        }
    }

    fn finish_dispatch(&mut self, pick: usize, injected: UpstreamOutcome) {
        let unfinished: Vec<usize> = (0..self.dispatches.len())
            .filter(|index| !self.dispatches[*index].is_finished)
            .collect();
        if unfinished.is_empty() {
            return;
        }
        let dispatch = &mut self.dispatches[unfinished[pick % unfinished.len()]];
        dispatch.is_finished = true;
        dispatch.ran = matches!(
            injected,
            UpstreamOutcome::Run | UpstreamOutcome::RunAndFail | UpstreamOutcome::RunAndLoseReply
        );
        let outcome = match injected {
            UpstreamOutcome::Run => SubRequestOutcome::Answered {
                snapshot: Snapshot(0),
                map: MapVersion(0),
                serves: SnapshotRange::default(),
                body: expected_result(dispatch.request),
            },
            UpstreamOutcome::RunAndFail => SubRequestOutcome::Failed,
            UpstreamOutcome::RunAndLoseReply | UpstreamOutcome::LoseRequest => return,
            UpstreamOutcome::Refuse(retry_after_ms) => SubRequestOutcome::NotRun(Refusal {
                reason: RefusalReason::Shed,
                retry_after_ms,
            }),
        };
        dispatch.refused = matches!(outcome, SubRequestOutcome::NotRun(_));
        let instance = dispatch.instance;
        let reply = SubRequestReply {
            id: dispatch.id,
            outcome,
            queued_ms: 0,
            served_ms: 0,
        };
        self.replies.push(reply.clone());
        if let Some(index) = self.index_of(instance) {
            self.call_runner(index, |runner, now, out| runner.reply(now, reply, out));
        }
    }

    fn reply_again(&mut self, pick: usize) {
        if self.replies.is_empty() {
            return;
        }
        let reply = self.replies[pick % self.replies.len()].clone();
        if let Some(index) = self.index_of(reply.id.origin) {
            self.call_runner(index, |runner, now, out| runner.reply(now, reply, out));
        }
    }

    fn advance(&mut self, ms: u64) {
        let to = self.now + ms;
        loop {
            let next_ticks = self.instances.iter().map(|(_, runner)| runner.next_wake());
            let first = next_ticks
                .flatten()
                .min()
                .filter(|next_tick| *next_tick <= to);
            let Some(next_tick) = first else {
                break;
            };
            self.now = self.now.max(next_tick);
            for index in 0..INSTANCES {
                self.call_runner(index, |runner, now, out| runner.tick(now, out));
                let next = self.instances[index].1.next_wake();
                assert!(
                    next.is_none_or(|next| next > self.now),
                    "a tick leaves a due timer"
                );
            }
        }
        self.now = to;
    }

    fn execute(&mut self, instance: InstanceId, command: RunCommand) {
        match command {
            RunCommand::Claim { id, key, claim } => {
                self.claims.push(PendingClaim {
                    instance,
                    id,
                    key,
                    claim,
                });
            }
            RunCommand::Forward { id, to, ticket } => {
                self.calls
                    .get_mut(&id)
                    .expect("only calls are forwarded")
                    .forwarded = true;
                self.messages.push(Message::Forward {
                    from: instance,
                    to,
                    id,
                    ticket,
                });
            }
            RunCommand::Dispatch {
                id,
                query,
                deadline,
                ..
            } => {
                self.check_dispatch(query, deadline);
                let call = &self.calls[&query];
                self.dispatches.push(ModelDispatch {
                    instance,
                    id,
                    sent_at: self.now,
                    request: call.request,
                    body: call.body,
                    is_finished: false,
                    ran: false,
                    refused: false,
                });
            }
            RunCommand::Answer { id, outcome, .. } => self.check_answer(id, outcome),
            RunCommand::ForwardAnswer { to, id, outcome } => {
                let request = self.calls[&id].request;
                if let RunOutcome::NotRun(refusal) = outcome {
                    self.check_not_run(instance, request, refusal);
                }
                self.record_unknown(instance, request, &outcome);
                self.messages.push(Message::Ended { to, id, outcome });
            }
            RunCommand::Decision(_) => (),
        }
    }
}

fn customer() -> CustomerKey {
    CustomerKey::from_raw(0)
}

fn operation() -> OperationKey {
    OperationKey::from_raw(0)
}

fn expected_result(request: Request) -> Vec<u8> {
    format!("{request:?}").into_bytes()
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config(1_024))]

    #[test]
    fn no_request_runs_twice_and_every_outcome_is_true(sequential 1..100 => Cluster);
}
