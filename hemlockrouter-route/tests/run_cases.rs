//! Regression tests for requests that must not be repeated, most of them found by `run_fuzz`.

mod support;

use std::sync::Arc;

use hemlockrouter_route::Claim;
use hemlockrouter_route::ClaimResult;
use hemlockrouter_route::Run;
use hemlockrouter_route::RunCommand;
use hemlockrouter_route::RunConfig;
use hemlockrouter_route::Runner;
use hemlockrouter_route::Via;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::SubOutcome;
use hemlockrouter_wire::SubReply;

use crate::support::Layout;

const START: Time = Time::from_ms(1_000);
const REMEMBER_MS: u64 = 10_000;

/// A runner with its most recent commands.
struct TestInstance {
    id: InstanceId,
    runner: Runner,
    out: Vec<RunCommand>,
    next_query: u64,
}

impl TestInstance {
    fn new(id: u64) -> TestInstance {
        let config = RunConfig::new()
            .remember_ms(REMEMBER_MS)
            .ticket_ms(REMEMBER_MS);
        let mut runner = Runner::new(config, InstanceId(id), id);
        let catalog = support::catalog(&Layout {
            zones: 1,
            upstreams: 2,
            customers: 1,
            searches: Vec::new(),
            replicas: 1,
            operations: vec![1, 1],
        });
        runner.configure(START, Arc::new(catalog), &mut Vec::new());
        TestInstance {
            id: InstanceId(id),
            runner,
            out: Vec::new(),
            next_query: 0,
        }
    }

    fn issue(&mut self) -> Via {
        let operation = OperationKey::from_raw(0);
        let ticket = self
            .runner
            .issue(START, CustomerKey::from_raw(0), operation);
        Via::Ticket(ticket)
    }

    fn start(&mut self, now: Time, via: &Via, operation: u32) -> QueryId {
        self.next_query += 1;
        let id = QueryId {
            origin: self.id,
            seq: self.next_query,
        };
        let run = Run {
            id,
            customer: CustomerKey::from_raw(0),
            operation: OperationKey::from_raw(operation),
            via: via.clone(),
            body_hash: [0; 32],
            deadline: now + 200,
        };
        self.out.clear();
        self.runner.start(now, run, &mut self.out);
        id
    }

    fn forwarded(&mut self, now: Time, from: InstanceId, seq: u64, token: &str) {
        self.out.clear();
        self.runner.forwarded(
            now,
            from,
            QueryId { origin: from, seq },
            CustomerKey::from_raw(0),
            OperationKey::from_raw(0),
            token.to_owned(),
            [0; 32],
            now + 200,
            &mut self.out,
        );
    }

    fn claimed(&mut self, now: Time, id: QueryId, result: ClaimResult) {
        self.out.clear();
        self.runner.claimed(now, id, result, &mut self.out);
    }

    fn reply(&mut self, now: Time, id: SubId, outcome: SubOutcome) {
        self.out.clear();
        let reply = SubReply {
            id,
            outcome,
            queued_ms: 0,
            served_ms: 0,
        };
        self.runner.reply(now, reply, &mut self.out);
    }

    fn tick(&mut self, now: Time) {
        self.out.clear();
        self.runner.tick(now, &mut self.out);
    }

    fn dispatched(&self) -> Option<SubId> {
        self.out.iter().find_map(|command| match command {
            RunCommand::Dispatch { id, .. } => Some(*id),
            _ => None,
        })
    }

    fn claim(&self) -> Option<Claim> {
        self.out.iter().find_map(|command| match command {
            RunCommand::Claim { claim, .. } => Some(*claim),
            _ => None,
        })
    }

    fn forward(&self) -> Option<(InstanceId, String)> {
        self.out.iter().find_map(|command| match command {
            RunCommand::Forward { to, ticket, .. } => Some((*to, ticket.clone())),
            _ => None,
        })
    }

    fn first_outcome(&self) -> Option<RunOutcome> {
        self.out.iter().find_map(|command| match command {
            RunCommand::Answer { outcome, .. } => Some(outcome.clone()),
            RunCommand::ForwardAnswer { outcome, .. } => Some(outcome.clone()),
            _ => None,
        })
    }
}

fn refused() -> SubOutcome {
    SubOutcome::NotRun(Refusal {
        reason: Reason::Shed,
        retry_after_ms: 1_000,
    })
}

fn booking_key() -> Via {
    Via::Key("booking-7".to_owned())
}

fn via_text(ticket: &Via) -> String {
    match ticket {
        Via::Ticket(text) | Via::Key(text) => text.clone(),
    }
}

#[test]
fn unconfirmed_claim_is_dispatched_at_the_next_repeat() {
    let mut one = TestInstance::new(1);
    let id = one.start(START, &booking_key(), 0);
    let claim = one.claim().unwrap();
    one.claimed(START, id, ClaimResult::Unavailable);
    let reason = Reason::StoreDown;
    assert!(
        matches!(one.first_outcome(), Some(RunOutcome::NotRun(refusal)) if refusal.reason == reason)
    );

    // The write took effect after all. Its late confirmation does not dispatch the request.
    one.claimed(START, id, ClaimResult::Won);
    assert!(one.out.is_empty());

    // A repeat at another instance finds the claim, is forwarded to the claiming instance and runs
    // there.
    let mut two = TestInstance::new(2);
    let repeat = two.start(START, &booking_key(), 0);
    two.claimed(START, repeat, ClaimResult::Taken(claim));
    let (to, token) = two.forward().unwrap();
    assert_eq!(to, one.id);
    one.forwarded(START, two.id, repeat.seq, &token);
    assert!(one.dispatched().is_some());

    // A repeat at the same instance uses the same nonce, so it recognises the claim and runs.
    let mut one = TestInstance::new(1);
    let id = one.start(START, &booking_key(), 0);
    one.claimed(START, id, ClaimResult::Unavailable);
    let repeat = one.start(START, &booking_key(), 0);
    assert_eq!(one.claim(), Some(claim));
    one.claimed(START, repeat, ClaimResult::Taken(claim));
    assert!(one.dispatched().is_some());
}

#[test]
fn duplicate_of_a_refused_call_is_not_dispatched() {
    let mut one = TestInstance::new(1);
    let ticket = one.issue();
    let two = InstanceId(2);
    one.forwarded(START, two, 1, &via_text(&ticket));
    let sub = one.dispatched().unwrap();
    one.reply(START, sub, refused());
    assert!(matches!(one.first_outcome(), Some(RunOutcome::NotRun(_))));

    // The upstream accepts work again, but the caller has already been told that the call did not
    // run.
    let later = START + 1_100;
    one.forwarded(later, two, 1, &via_text(&ticket));
    assert_eq!(one.dispatched(), None);
    assert!(matches!(one.first_outcome(), Some(RunOutcome::NotRun(_))));

    // A separate call with the same ticket runs the request. The duplicate of the first call is
    // answered with `Unknown`, so from then on the request must not be dispatched again.
    one.forwarded(later, two, 2, &via_text(&ticket));
    let sub = one.dispatched().unwrap();
    one.forwarded(later, two, 1, &via_text(&ticket));
    assert_eq!(one.first_outcome(), Some(RunOutcome::Unknown));
    one.reply(later, sub, refused());
    one.start(later + 1_100, &ticket, 0);
    assert_eq!(one.dispatched(), None);
}

#[test]
fn retention_of_a_dispatched_request_starts_at_its_deadline() {
    let mut one = TestInstance::new(1);
    let first = one.start(START, &booking_key(), 0);
    let claim = one.claim().unwrap();
    one.claimed(START, first, ClaimResult::Unavailable);
    let late = (START + REMEMBER_MS).before(10);
    let repeat = one.start(late, &booking_key(), 0);
    one.claimed(late, repeat, ClaimResult::Taken(claim));
    assert!(one.dispatched().is_some());
    one.tick(late + 200);
    assert_eq!(one.first_outcome(), Some(RunOutcome::Unknown));

    one.tick(late + REMEMBER_MS);
    assert_eq!(one.runner.remembered(), 1);
    one.tick(late + REMEMBER_MS + 200);
    assert_eq!(one.runner.remembered(), 0);
}

#[test]
fn repeat_of_a_claim_with_dropped_state_is_not_dispatched() {
    let mut one = TestInstance::new(1);
    let first = one.start(START, &booking_key(), 0);
    let forgotten = one.claim().unwrap();
    one.claimed(START, first, ClaimResult::Won);
    let later = START + 2 * REMEMBER_MS;
    one.tick(later);
    assert_eq!(one.runner.remembered(), 0);

    let repeat = one.start(later, &booking_key(), 0);
    let mut two = TestInstance::new(2);
    let other = two.start(later, &booking_key(), 0);
    two.claimed(later, other, ClaimResult::Taken(forgotten));
    let (_, token) = two.forward().unwrap();
    one.forwarded(later, two.id, other.seq, &token);
    assert_eq!(one.first_outcome(), Some(RunOutcome::Unknown));
    one.claimed(later, repeat, ClaimResult::Taken(forgotten));
    assert_eq!(one.first_outcome(), Some(RunOutcome::Unknown));
}

#[test]
fn ticket_with_another_operation_or_issuer_gets_conflict() {
    let mut one = TestInstance::new(1);
    let ticket = one.issue();
    one.start(START, &ticket, 1);
    assert_eq!(one.first_outcome(), Some(RunOutcome::Conflict));
    let forged = via_text(&ticket).replace("t-0000000000000001", "t-0000000000000002");
    one.start(START, &Via::Ticket(forged), 0);
    let (to, forged) = one.forward().unwrap();
    let mut two = TestInstance::new(2);
    assert_eq!(to, two.id);
    two.forwarded(START, one.id, 1, &forged);
    assert_eq!(two.first_outcome(), Some(RunOutcome::Conflict));
}
