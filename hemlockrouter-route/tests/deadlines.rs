//! Tests that the deadline sent to an owner leaves enough time for the reply to be back before the
//! caller's deadline.

mod support;

use std::sync::Arc;

use hemlockrouter_route::Query;
use hemlockrouter_route::RunCommand;
use hemlockrouter_route::RunConfig;
use hemlockrouter_route::RunIdentifier;
use hemlockrouter_route::RunRequest;
use hemlockrouter_route::Runner;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::SearcherConfig;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;

use crate::support::Layout;

const ORIGIN: InstanceId = InstanceId(1);
const DEADLINE_MS: u64 = 200;

/// Constant one-way network delays, in milliseconds.
const ONE_WAY_DELAYS_MS: [u64; 4] = [0, 1, 10, 60];

/// A sub-request on its way to the owner, which counts the remaining time from when it receives it.
#[derive(Clone, Copy)]
struct SentToOwner {
    id: SubRequestId,
    received_at: Time,
    owner_deadline: Time,
}

impl SentToOwner {
    fn new(now: Time, one_way_ms: u64, id: SubRequestId, deadline: Time) -> SentToOwner {
        let left_ms = deadline.remaining_ms(now);
        assert!(left_ms >= 1, "no time is left for the work");
        let received_at = now + one_way_ms;
        SentToOwner {
            id,
            received_at,
            owner_deadline: received_at + left_ms,
        }
    }

    /// Returns the reply of an owner that finishes at `done_at`, and the time at which the reply
    /// arrives.
    fn reply(self, done_at: Time, one_way_ms: u64) -> (Time, SubRequestReply) {
        let at_owner_ms = done_at.ms_since(self.received_at) as u32;
        let served_ms = at_owner_ms.min(5);
        let reply = SubRequestReply {
            id: self.id,
            outcome: SubRequestOutcome::Answered {
                snapshot: Snapshot(1),
                map: MapVersion(1),
                serves: SnapshotRange {
                    oldest: Snapshot(1),
                    newest: Snapshot(1),
                },
                body: Vec::new(),
            },
            queued_ms: at_owner_ms - served_ms,
            served_ms,
        };
        (done_at + one_way_ms, reply)
    }
}

fn catalog() -> Arc<Catalog> {
    Arc::new(support::catalog(&Layout {
        zones: 1,
        upstreams: 1,
        customers: 1,
        searches: vec![1],
        replicas: 1,
        operations: vec![1],
    }))
}

fn start_search(searcher: &mut Searcher, now: Time, seq: u64, one_way_ms: u64) -> SentToOwner {
    let mut out = Vec::new();
    let query = Query {
        id: QueryId {
            origin: ORIGIN,
            seq,
        },
        customer: CustomerKey::from_raw(0),
        search: SearchKey::from_raw(0),
        deadline: now + DEADLINE_MS,
        min_coverage: None,
    };
    searcher.start(now, query, &mut out);
    let sent = out.iter().find_map(|command| match command {
        SearchCommand::Send { seq, deadline, .. } => {
            let id = SubRequestId {
                origin: ORIGIN,
                seq: *seq,
            };
            Some(SentToOwner::new(now, one_way_ms, id, *deadline))
        }
        _ => None,
    });
    sent.expect("a sub-request is sent")
}

#[test]
fn search_replies_arrive_before_the_caller_deadline() {
    for one_way_ms in ONE_WAY_DELAYS_MS {
        let mut searcher = Searcher::new(SearcherConfig::new().max_hedge_share(0.0), ORIGIN, 1);
        searcher.configure(Time::ZERO, catalog(), &mut Vec::new());
        // The first reply makes the round trip known. The owner sends the others at the last
        // moment.
        for seq in 0..50 {
            let now = Time::from_ms(1_000 + 1_000 * seq);
            let sent = start_search(&mut searcher, now, seq, one_way_ms);
            let done_at = match seq {
                0 => sent.received_at + 5,
                _ => sent.owner_deadline,
            };
            let (reply_at, reply) = sent.reply(done_at, one_way_ms);
            assert!(
                reply_at <= now + DEADLINE_MS,
                "{one_way_ms} ms, query {seq}"
            );
            let mut out = Vec::new();
            searcher.reply(reply_at, reply, &mut out);
            let answered =
                |command: &SearchCommand| matches!(command, SearchCommand::Answer { .. });
            assert!(out.iter().any(answered), "{one_way_ms} ms, query {seq}");
        }
    }
}

#[test]
fn run_replies_arrive_before_the_caller_deadline() {
    for one_way_ms in ONE_WAY_DELAYS_MS {
        let mut runner = Runner::new(RunConfig::new(), ORIGIN, 1);
        runner.configure(Time::ZERO, catalog(), &mut Vec::new());
        for seq in 0..50 {
            let now = Time::from_ms(1_000 + 1_000 * seq);
            let operation = OperationKey::from_raw(0);
            let ticket = runner.issue_ticket(now, CustomerKey::from_raw(0), operation);
            let mut out = Vec::new();
            let run = RunRequest {
                id: QueryId {
                    origin: ORIGIN,
                    seq,
                },
                customer: CustomerKey::from_raw(0),
                operation,
                identifier: RunIdentifier::Ticket(ticket),
                body_hash: [0; 32],
                deadline: now + DEADLINE_MS,
            };
            runner.start(now, run, &mut out);
            let sent = out.iter().find_map(|command| match command {
                RunCommand::Dispatch { id, deadline, .. } => {
                    Some(SentToOwner::new(now, one_way_ms, *id, *deadline))
                }
                _ => None,
            });
            let sent = sent.expect("the request is dispatched");
            let done_at = match seq {
                0 => sent.received_at + 5,
                _ => sent.owner_deadline,
            };
            let (reply_at, reply) = sent.reply(done_at, one_way_ms);
            assert!(
                reply_at <= now + DEADLINE_MS,
                "{one_way_ms} ms, request {seq}"
            );
            runner.reply(reply_at, reply, &mut Vec::new());
        }
    }
}
