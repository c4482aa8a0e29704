//! Tests searches of which parts are collected in another region.
//!
//! Load pattern: many shards have no upstream in the region of the caller's instance. Without
//! delegation, one answer for each shard crosses regions with all its headers, for only a few
//! records that the caller receives.

use std::net::SocketAddr;

use bytes::Bytes;
use hemlockrouter_route::direct::merge;
use hemlockrouter_route::direct::BatchEnd;
use hemlockrouter_route::direct::CallEnd;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::Collected;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Ending;
use hemlockrouter_route::direct::Reply;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use proptest::prelude::*;

use crate::fixture::address;
use crate::fixture::instance;
use crate::fixture::success;
use crate::fixture::Fixture;
use crate::fixture::SEARCH_PATH;
use crate::fixture::SHARD_COUNT;

/// The round trip time to the instances of other regions, in milliseconds.
const ROUND_TRIP_MS: u64 = 24;

/// The target latency of the searches, in milliseconds.
const TARGET_LATENCY_MS: u64 = 150;

/// The maximum number of records in the merged answer of the fixture's search.
const RECORDS_MAX: usize = 3;

/// Removes and returns the calls to other instances.
fn shared(fixture: &mut Fixture) -> Vec<(CallId, SocketAddr, Batch)> {
    let mut shared = Vec::new();
    for command in std::mem::take(&mut fixture.out) {
        match command {
            Command::Share {
                call, peer, batch, ..
            } => shared.push((call, peer, batch)),
            other => fixture.out.push(other),
        }
    }
    shared
}

fn ended(fixture: &mut Fixture, call: CallId, end: BatchEnd) {
    let (now, out) = (fixture.now, &mut fixture.out);
    fixture.dispatcher.batch_ended(now, call, end, out);
}

fn collected(fixture: &mut Fixture, call: CallId, answers: Vec<(usize, Reply)>) {
    let collected = Collected {
        answers,
        ..Collected::default()
    };
    let (now, out) = (fixture.now, &mut fixture.out);
    fixture.dispatcher.collected(now, call, collected, out);
}

/// Lets the other instances answer probes, so that their round trip times are known.
fn acquaint(fixture: &mut Fixture) {
    for _ in 0..4 {
        fixture.wait(600);
        let asked = shared(fixture);
        fixture.now = fixture.now + ROUND_TRIP_MS;
        for (call, ..) in asked {
            ended(fixture, call, BatchEnd::Done);
        }
    }
}

fn answer(stamp: &str, body: &[u8]) -> Reply {
    match success(stamp, body) {
        CallEnd::Answered(reply) => reply,
        other => panic!("no answer: {other:?}"),
    }
}

/// Starts a search that is entirely delegated to one other instance.
fn start(fixture: &mut Fixture) -> (RequestId, CallId, SocketAddr, Batch) {
    let id = fixture.start(SEARCH_PATH);
    let mut calls = shared(fixture);
    assert_eq!(calls.len(), 1, "one instance collects all");
    let (call, peer, batch) = calls.remove(0);
    assert_eq!(batch.parts.len(), SHARD_COUNT);
    assert!(fixture.sent().is_empty());
    (id, call, peer, batch)
}

#[test]
fn regions_with_upstreams_take_turns_in_collecting() {
    let mut fixture = Fixture::lonely();
    acquaint(&mut fixture);
    let mut peers = Vec::new();
    for _ in 0..4 {
        let (id, call, peer, batch) = start(&mut fixture);
        assert_eq!(batch.target_latency_ms, TARGET_LATENCY_MS - ROUND_TRIP_MS);
        assert_eq!(batch.records_max, RECORDS_MAX);
        let answers = (0..SHARD_COUNT).map(|at| (at, answer(&format!("s-{at}"), b"")));
        collected(&mut fixture, call, answers.collect());
        let ending = fixture.ending(id);
        assert!(matches!(ending, Some(Ending::Merged { missing: 0, .. })));
        peers.push(peer);
    }
    assert_eq!(peers[..2], peers[2..]);
    assert_ne!(peers[0], peers[1]);
}

#[test]
fn a_small_search_is_not_delegated_if_upstreams_are_in_the_own_region() {
    let mut fixture = Fixture::sharing_in("me", "north-a", 40, 14);
    let mut entry = instance("south", "south-b");
    entry.relay = Some(address(8));
    let instances = fixture.dispatcher.upstreams_mut().instances_mut();
    instances.joined(Time::ZERO, entry);
    acquaint(&mut fixture);
    fixture.start(SEARCH_PATH);
    assert!(shared(&mut fixture).is_empty());
    assert_eq!(fixture.sent().len(), SHARD_COUNT);
}

#[test]
fn parts_of_a_silent_region_are_sent_locally_and_another_region_is_used_next() {
    let mut fixture = Fixture::lonely();
    acquaint(&mut fixture);
    let (_, _, silent, _) = start(&mut fixture);
    fixture.wait(ROUND_TRIP_MS + (TARGET_LATENCY_MS - ROUND_TRIP_MS) / 2 - 1);
    assert!(fixture.sent().is_empty(), "it may still answer");
    fixture.wait(1);
    assert_eq!(fixture.sent().len(), SHARD_COUNT);
    for _ in 0..3 {
        let (.., peer, _) = start(&mut fixture);
        assert_ne!(peer, silent);
    }
}

#[test]
fn parts_that_a_region_does_not_accept_are_sent_locally_at_once() {
    let mut fixture = Fixture::lonely();
    acquaint(&mut fixture);
    let (id, call, ..) = start(&mut fixture);
    ended(&mut fixture, call, BatchEnd::NotTaken);
    let sent = fixture.sent();
    assert_eq!(sent.len(), SHARD_COUNT);
    fixture.answer(sent);
    assert!(fixture.ending(id).is_some());
}

#[test]
fn a_search_that_no_region_can_send_is_refused_as_not_run() {
    let mut entry = Fixture::lonely();
    acquaint(&mut entry);
    let (id, call, _, batch) = start(&mut entry);
    let mut collector = Fixture::new();
    for fixture in [&mut entry, &mut collector] {
        for zone in ["north-a", "south-b"] {
            fixture.dispatcher.upstreams_mut().evacuate(zone, true);
        }
    }
    let (now, out) = (collector.now, &mut collector.out);
    collector
        .dispatcher
        .start_batch(now, RequestId(1), batch, 700, out);
    assert!(collector.sent().is_empty());
    for command in std::mem::take(&mut collector.out) {
        if let Command::Report { collected, .. } = command {
            let (now, out) = (entry.now, &mut entry.out);
            entry.dispatcher.collected(now, call, collected, out);
        }
    }
    assert!(entry.sent().is_empty());
    let ending = entry.ending(id);
    assert!(matches!(ending, Some(Ending::NotRun { .. })), "{ending:?}");
}

/// Generates the records of a part. The values are drawn from a small set, so that many records are
/// equal.
fn part() -> impl Strategy<Value = Vec<u8>> {
    let record = prop_oneof![(0..6_u8).prop_map(|byte| [byte; 16]), any::<[u8; 16]>()];
    let records = prop::collection::vec(record, 0..6);
    (records, 0..3_usize).prop_map(|(records, left_over)| {
        let mut body = records.concat();
        body.extend(std::iter::repeat_n(255, left_over));
        body
    })
}

proptest! {
    /// In whatever order the parts arrive, from the collecting instance and from elsewhere, the
    /// caller receives the greatest records of the parts whose signatures are in the answer.
    #[test]
    fn filtering_at_the_collector_never_changes_the_merged_answer(
        parts in prop::collection::vec(part(), SHARD_COUNT),
        first in 0..SHARD_COUNT,
        own in prop::option::of((0..SHARD_COUNT, part())),
    ) {
        let mut entry = Fixture::lonely();
        acquaint(&mut entry);
        let (id, call, _, batch) = start(&mut entry);
        let mut collector = Fixture::new();
        let batch_id = RequestId(1);
        let (now, out) = (collector.now, &mut collector.out);
        collector.dispatcher.start_batch(now, batch_id, batch, 700, out);
        let mut sent = collector.sent();
        let rest = sent.split_off(first);
        answer_parts(&mut collector, sent, &parts);
        collector.wait(60);
        let _ = collector.sent();
        answer_parts(&mut collector, rest, &parts);
        // The entry instance has timed out waiting, and has received the answer for one part
        // itself.
        entry.wait(ROUND_TRIP_MS + TARGET_LATENCY_MS / 2);
        let direct = entry.sent();
        if let Some((at, body)) = &own {
            let (call, _) = direct[*at];
            entry.end(call, success("own", body));
        }
        for command in std::mem::take(&mut collector.out) {
            if let Command::Report { collected: report, .. } = command {
                collected(&mut entry, call, report.answers);
            }
        }
        match entry.ending(id) {
            Some(Ending::Merged { body, stamps, missing: 0 }) => {
                let mut named = parts;
                if let (true, Some((at, body))) = (stamps.iter().any(|one| one == "own"), own) {
                    named[at] = body;
                }
                prop_assert_eq!(body, merge(named.iter().map(Vec::as_slice), RECORDS_MAX));
            }
            other => prop_assert!(false, "{:?}", other),
        }
    }
}

/// Answers each call with the records of its shard.
fn answer_parts(collector: &mut Fixture, sent: Vec<(CallId, String)>, parts: &[Vec<u8>]) {
    for (call, upstream) in sent {
        let shard = upstream.split(['-', '@']).nth(1);
        let at: usize = shard.and_then(|at| at.parse().ok()).expect("ids hold it");
        collector.end(call, success(&upstream, &parts[at]));
    }
}

#[test]
fn records_that_can_not_be_in_the_answer_are_not_passed_on() {
    let mut collector = Fixture::new();
    let mut entry = Fixture::lonely();
    acquaint(&mut entry);
    let (.., batch) = start(&mut entry);
    let (now, out) = (collector.now, &mut collector.out);
    let id = RequestId(1);
    collector.dispatcher.start_batch(now, id, batch, 700, out);
    let parts: Vec<Vec<u8>> = (1..=SHARD_COUNT as u8)
        .map(|first| (0..5).flat_map(|nth| [first * 10 + nth; 16]).collect())
        .collect();
    let sent = collector.sent();
    answer_parts(&mut collector, sent, &parts);
    let passed_on: usize = std::mem::take(&mut collector.out)
        .iter()
        .map(|command| match command {
            Command::Report { collected, .. } => {
                let bodies = collected.answers.iter().map(|(_, answer)| &answer.body);
                bodies.map(Bytes::len).sum()
            }
            _ => 0,
        })
        .sum();
    assert_eq!(passed_on, RECORDS_MAX * 16);
}
