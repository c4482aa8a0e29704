//! Tests that the deadline sent to an owner leaves enough time for the reply to be back before the
//! caller's deadline.

mod support;

use std::sync::Arc;

use hemlockrouter_route::Config;
use hemlockrouter_route::Query;
use hemlockrouter_route::Run;
use hemlockrouter_route::RunCommand;
use hemlockrouter_route::RunConfig;
use hemlockrouter_route::Runner;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::Via;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubOutcome;
use hemlockrouter_wire::SubReply;

use crate::support::Layout;

const ORIGIN: InstanceId = InstanceId(1);
const DEADLINE_MS: u64 = 200;

/// Constant one-way network delays, in milliseconds.
const WAYS_MS: [u64; 4] = [0, 1, 10, 60];

/// A sub-request on its way to the owner, which counts the remaining time from when it receives it.
#[derive(Clone, Copy)]
struct Sent {
    id: SubId,
    reach: Time,
    done_by: Time,
}

impl Sent {
    fn new(now: Time, way_ms: u64, id: SubId, deadline: Time) -> Sent {
        let left_ms = deadline.left(now);
        assert!(left_ms >= 1, "no time is left for the work");
        let reach = now + way_ms;
        Sent {
            id,
            reach,
            done_by: reach + left_ms,
        }
    }

    /// Returns the reply of an owner that finishes at `done`, and the time at which the reply
    /// arrives.
    fn reply(self, done: Time, way_ms: u64) -> (Time, SubReply) {
        let there_ms = done.since(self.reach) as u32;
        let served_ms = there_ms.min(5);
        let reply = SubReply {
            id: self.id,
            outcome: SubOutcome::Answered {
                snapshot: Snapshot(1),
                map: MapVersion(1),
                serves: SnapshotRange {
                    oldest: Snapshot(1),
                    newest: Snapshot(1),
                },
                body: Vec::new(),
            },
            queued_ms: there_ms - served_ms,
            served_ms,
        };
        (done + way_ms, reply)
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

fn search(searcher: &mut Searcher, now: Time, seq: u64, way_ms: u64) -> Sent {
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
            let id = SubId {
                origin: ORIGIN,
                seq: *seq,
            };
            Some(Sent::new(now, way_ms, id, *deadline))
        }
        _ => None,
    });
    sent.expect("a sub-request is sent")
}

#[test]
fn searches_are_back_in_time() {
    for way_ms in WAYS_MS {
        let mut searcher = Searcher::new(Config::new().hedge_share(0.0), ORIGIN, 1);
        searcher.configure(Time::ZERO, catalog(), &mut Vec::new());
        // The first reply makes the round trip known. The owner sends the others at the last
        // moment.
        for seq in 0..50 {
            let now = Time::from_ms(1_000 + 1_000 * seq);
            let sent = search(&mut searcher, now, seq, way_ms);
            let done = match seq {
                0 => sent.reach + 5,
                _ => sent.done_by,
            };
            let (back, reply) = sent.reply(done, way_ms);
            assert!(back <= now + DEADLINE_MS, "{way_ms} ms, query {seq}");
            let mut out = Vec::new();
            searcher.reply(back, reply, &mut out);
            let answered =
                |command: &SearchCommand| matches!(command, SearchCommand::Answer { .. });
            assert!(out.iter().any(answered), "{way_ms} ms, query {seq}");
        }
    }
}

#[test]
fn runs_are_back_in_time() {
    for way_ms in WAYS_MS {
        let mut runner = Runner::new(RunConfig::new(), ORIGIN, 1);
        runner.configure(Time::ZERO, catalog(), &mut Vec::new());
        for seq in 0..50 {
            let now = Time::from_ms(1_000 + 1_000 * seq);
            let operation = OperationKey::from_raw(0);
            let ticket = runner.issue(now, CustomerKey::from_raw(0), operation);
            let mut out = Vec::new();
            let run = Run {
                id: QueryId {
                    origin: ORIGIN,
                    seq,
                },
                customer: CustomerKey::from_raw(0),
                operation,
                via: Via::Ticket(ticket),
                body_hash: [0; 32],
                deadline: now + DEADLINE_MS,
            };
            runner.start(now, run, &mut out);
            let sent = out.iter().find_map(|command| match command {
                RunCommand::Dispatch { id, deadline, .. } => {
                    Some(Sent::new(now, way_ms, *id, *deadline))
                }
                _ => None,
            });
            let sent = sent.expect("the request is dispatched");
            let done = match seq {
                0 => sent.reach + 5,
                _ => sent.done_by,
            };
            let (back, reply) = sent.reply(done, way_ms);
            assert!(back <= now + DEADLINE_MS, "{way_ms} ms, request {seq}");
            runner.reply(back, reply, &mut Vec::new());
        }
    }
}
