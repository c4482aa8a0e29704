//! Regression tests for requests that must not be repeated, most of them found by `run_fuzz`.

mod support;

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

use crate::support::Layout;

const START_TIME: Time = Time::from_ms(1_000);
const OUTCOME_TTL_MS: u64 = 10_000;

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
            .outcome_ttl_ms(OUTCOME_TTL_MS)
            .ticket_ttl_ms(OUTCOME_TTL_MS);
        let mut runner = Runner::new(config, InstanceId(id), id);
        let catalog = support::catalog(&Layout {
            zones: 1,
            upstreams: 2,
            customers: 1,
            searches: Vec::new(),
            replicas: 1,
            operations: vec![1, 1],
        });
        runner.configure(START_TIME, Arc::new(catalog), &mut Vec::new());
        TestInstance {
            id: InstanceId(id),
            runner,
            out: Vec::new(),
            next_query: 0,
        }
    }

    fn issue(&mut self) -> RunIdentifier {
        let operation = OperationKey::from_raw(0);
        let ticket = self
            .runner
            .issue_ticket(START_TIME, CustomerKey::from_raw(0), operation);
        RunIdentifier::Ticket(ticket)
    }

    fn start(&mut self, now: Time, identifier: &RunIdentifier, operation: u32) -> QueryId {
        self.next_query += 1;
        let id = QueryId {
            origin: self.id,
            seq: self.next_query,
        };
        let run = RunRequest {
            id,
            customer: CustomerKey::from_raw(0),
            operation: OperationKey::from_raw(operation),
            identifier: identifier.clone(),
            body_hash: [0; 32],
            deadline: now + 200,
        };
        self.out.clear();
        self.runner.start(now, run, &mut self.out);
        id
    }

    fn start_forwarded(&mut self, now: Time, from: InstanceId, seq: u64, token: &str) {
        self.out.clear();
        self.runner.start_forwarded(
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

    fn finish_claim(&mut self, now: Time, id: QueryId, result: ClaimResult) {
        self.out.clear();
        self.runner
            .handle_claim_result(now, id, result, &mut self.out);
    }

    fn reply(&mut self, now: Time, id: SubRequestId, outcome: SubRequestOutcome) {
        self.out.clear();
        let reply = SubRequestReply {
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

    fn dispatched(&self) -> Option<SubRequestId> {
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

fn refused_outcome() -> SubRequestOutcome {
    SubRequestOutcome::NotRun(Refusal {
        reason: RefusalReason::Shed,
        retry_after_ms: 1_000,
    })
}

fn booking_key() -> RunIdentifier {
    RunIdentifier::Key("booking-7".to_owned())
}

fn identifier_text(ticket: &RunIdentifier) -> String {
    match ticket {
        RunIdentifier::Ticket(text) | RunIdentifier::Key(text) => text.clone(),
    }
}

#[test]
fn unconfirmed_claim_is_dispatched_at_the_next_repeat() {
    let mut instance_1 = TestInstance::new(1);
    let id = instance_1.start(START_TIME, &booking_key(), 0);
    let claim = instance_1.claim().unwrap();
    instance_1.finish_claim(START_TIME, id, ClaimResult::Unavailable);
    let reason = RefusalReason::StoreDown;
    assert!(
        matches!(instance_1.first_outcome(), Some(RunOutcome::NotRun(refusal)) if refusal.reason == reason)
    );

    // The write took effect after all. Its late confirmation does not dispatch the request.
    instance_1.finish_claim(START_TIME, id, ClaimResult::Won);
    assert!(instance_1.out.is_empty());

    // A repeat at another instance finds the claim, is forwarded to the claiming instance and runs
    // there.
    let mut instance_2 = TestInstance::new(2);
    let repeat_id = instance_2.start(START_TIME, &booking_key(), 0);
    instance_2.finish_claim(START_TIME, repeat_id, ClaimResult::Taken(claim));
    let (to, token) = instance_2.forward().unwrap();
    assert_eq!(to, instance_1.id);
    instance_1.start_forwarded(START_TIME, instance_2.id, repeat_id.seq, &token);
    assert!(instance_1.dispatched().is_some());

    // A repeat at the same instance uses the same nonce, so it recognises the claim and runs.
    let mut instance_1 = TestInstance::new(1);
    let id = instance_1.start(START_TIME, &booking_key(), 0);
    instance_1.finish_claim(START_TIME, id, ClaimResult::Unavailable);
    let repeat_id = instance_1.start(START_TIME, &booking_key(), 0);
    assert_eq!(instance_1.claim(), Some(claim));
    instance_1.finish_claim(START_TIME, repeat_id, ClaimResult::Taken(claim));
    assert!(instance_1.dispatched().is_some());
}

#[test]
fn duplicate_of_a_refused_call_is_not_dispatched() {
    let mut instance_1 = TestInstance::new(1);
    let ticket = instance_1.issue();
    let instance_2 = InstanceId(2);
    instance_1.start_forwarded(START_TIME, instance_2, 1, &identifier_text(&ticket));
    let sub_id = instance_1.dispatched().unwrap();
    instance_1.reply(START_TIME, sub_id, refused_outcome());
    assert!(matches!(
        instance_1.first_outcome(),
        Some(RunOutcome::NotRun(_))
    ));

    // The upstream accepts work again, but the caller has already been told that the call did not
    // run.
    let later = START_TIME + 1_100;
    instance_1.start_forwarded(later, instance_2, 1, &identifier_text(&ticket));
    assert_eq!(instance_1.dispatched(), None);
    assert!(matches!(
        instance_1.first_outcome(),
        Some(RunOutcome::NotRun(_))
    ));

    // A separate call with the same ticket runs the request. The duplicate of the first call is
    // answered with `Unknown`, so from then on the request must not be dispatched again.
    instance_1.start_forwarded(later, instance_2, 2, &identifier_text(&ticket));
    let sub_id = instance_1.dispatched().unwrap();
    instance_1.start_forwarded(later, instance_2, 1, &identifier_text(&ticket));
    assert_eq!(instance_1.first_outcome(), Some(RunOutcome::Unknown));
    instance_1.reply(later, sub_id, refused_outcome());
    instance_1.start(later + 1_100, &ticket, 0);
    assert_eq!(instance_1.dispatched(), None);
}

#[test]
fn retention_of_a_dispatched_request_starts_at_its_deadline() {
    let mut instance_1 = TestInstance::new(1);
    let first_id = instance_1.start(START_TIME, &booking_key(), 0);
    let claim = instance_1.claim().unwrap();
    instance_1.finish_claim(START_TIME, first_id, ClaimResult::Unavailable);
    let near_expiry = (START_TIME + OUTCOME_TTL_MS).minus_ms(10);
    let repeat_id = instance_1.start(near_expiry, &booking_key(), 0);
    instance_1.finish_claim(near_expiry, repeat_id, ClaimResult::Taken(claim));
    assert!(instance_1.dispatched().is_some());
    instance_1.tick(near_expiry + 200);
    assert_eq!(instance_1.first_outcome(), Some(RunOutcome::Unknown));

    instance_1.tick(near_expiry + OUTCOME_TTL_MS);
    assert_eq!(instance_1.runner.stored_requests(), 1);
    instance_1.tick(near_expiry + OUTCOME_TTL_MS + 200);
    assert_eq!(instance_1.runner.stored_requests(), 0);
}

#[test]
fn repeat_of_a_claim_with_dropped_state_is_not_dispatched() {
    let mut instance_1 = TestInstance::new(1);
    let first_id = instance_1.start(START_TIME, &booking_key(), 0);
    let dropped_claim = instance_1.claim().unwrap();
    instance_1.finish_claim(START_TIME, first_id, ClaimResult::Won);
    let later = START_TIME + 2 * OUTCOME_TTL_MS;
    instance_1.tick(later);
    assert_eq!(instance_1.runner.stored_requests(), 0);

    let repeat_id = instance_1.start(later, &booking_key(), 0);
    let mut instance_2 = TestInstance::new(2);
    let other_id = instance_2.start(later, &booking_key(), 0);
    instance_2.finish_claim(later, other_id, ClaimResult::Taken(dropped_claim));
    let (_, token) = instance_2.forward().unwrap();
    instance_1.start_forwarded(later, instance_2.id, other_id.seq, &token);
    assert_eq!(instance_1.first_outcome(), Some(RunOutcome::Unknown));
    instance_1.finish_claim(later, repeat_id, ClaimResult::Taken(dropped_claim));
    assert_eq!(instance_1.first_outcome(), Some(RunOutcome::Unknown));
}

#[test]
fn ticket_with_another_operation_or_issuer_gets_conflict() {
    let mut instance_1 = TestInstance::new(1);
    let ticket = instance_1.issue();
    instance_1.start(START_TIME, &ticket, 1);
    assert_eq!(instance_1.first_outcome(), Some(RunOutcome::Conflict));
    let forged_ticket =
        identifier_text(&ticket).replace("t-0000000000000001", "t-0000000000000002");
    instance_1.start(START_TIME, &RunIdentifier::Ticket(forged_ticket), 0);
    let (to, forged_ticket) = instance_1.forward().unwrap();
    let mut instance_2 = TestInstance::new(2);
    assert_eq!(to, instance_2.id);
    instance_2.start_forwarded(START_TIME, instance_1.id, 1, &forged_ticket);
    assert_eq!(instance_2.first_outcome(), Some(RunOutcome::Conflict));
}
