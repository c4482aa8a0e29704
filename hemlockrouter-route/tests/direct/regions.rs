//! Tests searches of which parts are collected in another region.
//!
//! Load pattern: many shards have no upstream in the region of the caller's instance. Without
//! delegation, one answer for each shard crosses regions with all its headers, for only a few
//! records that the caller receives.

use std::net::SocketAddr;

use bytes::Bytes;
use hemlockrouter_route::direct::merge;
use hemlockrouter_route::direct::BatchOutcome;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Reply;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::RequestResult;
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
fn take_delegated(fixture: &mut Fixture) -> Vec<(CallId, SocketAddr, Batch)> {
    let mut delegated = Vec::new();
    for command in std::mem::take(&mut fixture.commands) {
        match command {
            Command::Delegate {
                call, peer, batch, ..
            } => delegated.push((call, peer, batch)),
            other => fixture.commands.push(other),
        }
    }
    delegated
}

fn end_batch(fixture: &mut Fixture, call: CallId, end: BatchOutcome) {
    let (now, commands) = (fixture.now, &mut fixture.commands);
    fixture.dispatcher.batch_ended(now, call, end, commands);
}

fn report_answers(fixture: &mut Fixture, call: CallId, answers: Vec<(usize, Reply)>) {
    let collected = BatchReport {
        answers,
        ..BatchReport::default()
    };
    let (now, commands) = (fixture.now, &mut fixture.commands);
    fixture
        .dispatcher
        .handle_batch_report(now, call, collected, commands);
}

/// Lets the other instances answer probes, so that their round trip times are known.
fn answer_probes(fixture: &mut Fixture) {
    for _ in 0..4 {
        fixture.advance(600);
        let probes = take_delegated(fixture);
        fixture.now = fixture.now + ROUND_TRIP_MS;
        for (call, ..) in probes {
            end_batch(fixture, call, BatchOutcome::Done);
        }
    }
}

fn success_reply(stamp: &str, body: &[u8]) -> Reply {
    match success(stamp, body) {
        CallOutcome::Answered(reply) => reply,
        other => panic!("no answer: {other:?}"),
    }
}

/// Starts a search that is entirely delegated to one other instance.
fn start(fixture: &mut Fixture) -> (RequestId, CallId, SocketAddr, Batch) {
    let id = fixture.start(SEARCH_PATH);
    let mut calls = take_delegated(fixture);
    assert_eq!(calls.len(), 1, "one instance collects all parts");
    let (call, peer, batch) = calls.remove(0);
    assert_eq!(batch.parts.len(), SHARD_COUNT);
    assert!(fixture.take_sent_calls().is_empty());
    (id, call, peer, batch)
}

#[test]
fn regions_with_upstreams_take_turns_in_collecting() {
    let mut fixture = Fixture::in_region_without_upstreams();
    answer_probes(&mut fixture);
    let mut peers = Vec::new();
    for _ in 0..4 {
        let (id, call, peer, batch) = start(&mut fixture);
        assert_eq!(batch.target_latency_ms, TARGET_LATENCY_MS - ROUND_TRIP_MS);
        assert_eq!(batch.records_max, RECORDS_MAX);
        let answers =
            (0..SHARD_COUNT).map(|index| (index, success_reply(&format!("s-{index}"), b"")));
        report_answers(&mut fixture, call, answers.collect());
        let request_result = fixture.take_result(id);
        assert!(matches!(
            request_result,
            Some(RequestResult::Merged { missing: 0, .. })
        ));
        peers.push(peer);
    }
    assert_eq!(peers[..2], peers[2..]);
    assert_ne!(peers[0], peers[1]);
}

#[test]
fn a_small_search_is_not_delegated_if_upstreams_are_in_the_own_region() {
    let mut fixture = Fixture::dividing_searches_in("me", "north-a", 40, 14);
    let mut entry = instance("south", "south-b");
    entry.relay = Some(address(8));
    let instances = fixture.dispatcher.upstreams_mut().instances_mut();
    instances.add_instance(Time::ZERO, entry);
    answer_probes(&mut fixture);
    fixture.start(SEARCH_PATH);
    assert!(take_delegated(&mut fixture).is_empty());
    assert_eq!(fixture.take_sent_calls().len(), SHARD_COUNT);
}

#[test]
fn parts_of_a_silent_region_are_sent_locally_and_another_region_is_used_next() {
    let mut fixture = Fixture::in_region_without_upstreams();
    answer_probes(&mut fixture);
    let (_, _, silent, _) = start(&mut fixture);
    fixture.advance(ROUND_TRIP_MS + (TARGET_LATENCY_MS - ROUND_TRIP_MS) / 2 - 1);
    assert!(
        fixture.take_sent_calls().is_empty(),
        "the collecting instance may still answer"
    );
    fixture.advance(1);
    assert_eq!(fixture.take_sent_calls().len(), SHARD_COUNT);
    for _ in 0..3 {
        let (.., peer, _) = start(&mut fixture);
        assert_ne!(peer, silent);
    }
}

#[test]
fn parts_that_a_region_does_not_accept_are_sent_locally_at_once() {
    let mut fixture = Fixture::in_region_without_upstreams();
    answer_probes(&mut fixture);
    let (id, call, ..) = start(&mut fixture);
    end_batch(&mut fixture, call, BatchOutcome::NotAccepted);
    let sent = fixture.take_sent_calls();
    assert_eq!(sent.len(), SHARD_COUNT);
    fixture.answer_all(sent);
    assert!(fixture.take_result(id).is_some());
}

#[test]
fn a_search_that_no_region_can_send_is_refused_as_not_run() {
    let mut entry = Fixture::in_region_without_upstreams();
    answer_probes(&mut entry);
    let (id, call, _, batch) = start(&mut entry);
    let mut collector = Fixture::new();
    for fixture in [&mut entry, &mut collector] {
        for zone in ["north-a", "south-b"] {
            fixture.dispatcher.upstreams_mut().evacuate(zone, true);
        }
    }
    let (now, commands) = (collector.now, &mut collector.commands);
    collector
        .dispatcher
        .start_batch(now, RequestId(1), batch, 700, commands);
    assert!(collector.take_sent_calls().is_empty());
    for command in std::mem::take(&mut collector.commands) {
        if let Command::Report { collected, .. } = command {
            let (now, commands) = (entry.now, &mut entry.commands);
            entry
                .dispatcher
                .handle_batch_report(now, call, collected, commands);
        }
    }
    assert!(entry.take_sent_calls().is_empty());
    let request_result = entry.take_result(id);
    assert!(
        matches!(request_result, Some(RequestResult::NotRun { .. })),
        "{request_result:?}"
    );
}

/// Generates the records of a part. The values are drawn from a small set, so that many records are
/// equal.
fn part_strategy() -> impl Strategy<Value = Vec<u8>> {
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
        parts in prop::collection::vec(part_strategy(), SHARD_COUNT),
        first in 0..SHARD_COUNT,
        own_answer in prop::option::of((0..SHARD_COUNT, part_strategy())),
    ) {
        let mut entry = Fixture::in_region_without_upstreams();
        answer_probes(&mut entry);
        let (id, call, _, batch) = start(&mut entry);
        let mut collector = Fixture::new();
        let batch_id = RequestId(1);
        let (now, commands) = (collector.now, &mut collector.commands);
        collector.dispatcher.start_batch(now, batch_id, batch, 700, commands);
        let mut sent = collector.take_sent_calls();
        let remaining_calls = sent.split_off(first);
        answer_parts(&mut collector, sent, &parts);
        collector.advance(60);
        let _ = collector.take_sent_calls();
        answer_parts(&mut collector, remaining_calls, &parts);
        // The entry instance has timed out waiting, and has received the answer for one part
        // itself.
        entry.advance(ROUND_TRIP_MS + TARGET_LATENCY_MS / 2);
        let direct_calls = entry.take_sent_calls();
        if let Some((index, body)) = &own_answer {
            let (call, _) = direct_calls[*index];
            entry.end_call(call, success("own", body));
        }
        for command in std::mem::take(&mut collector.commands) {
            if let Command::Report { collected: report, .. } = command {
                report_answers(&mut entry, call, report.answers);
            }
        }
        match entry.take_result(id) {
            Some(RequestResult::Merged { body, signatures: stamps, missing: 0 }) => {
                let mut merged_parts = parts;
                if let (true, Some((index, body))) = (stamps.iter().any(|stamp| stamp == "own"), own_answer) {
                    merged_parts[index] = body;
                }
                prop_assert_eq!(body, merge(merged_parts.iter().map(Vec::as_slice), RECORDS_MAX));
            }
            other => prop_assert!(false, "{:?}", other),
        }
    }
}

/// Answers each call with the records of its shard.
fn answer_parts(collector: &mut Fixture, sent: Vec<(CallId, String)>, parts: &[Vec<u8>]) {
    for (call, upstream) in sent {
        let shard = upstream.split(['-', '@']).nth(1);
        let index: usize = shard
            .and_then(|index| index.parse().ok())
            .expect("upstream ids contain the shard number");
        collector.end_call(call, success(&upstream, &parts[index]));
    }
}

#[test]
fn records_that_can_not_be_in_the_answer_are_not_passed_on() {
    let mut collector = Fixture::new();
    let mut entry = Fixture::in_region_without_upstreams();
    answer_probes(&mut entry);
    let (.., batch) = start(&mut entry);
    let (now, commands) = (collector.now, &mut collector.commands);
    let id = RequestId(1);
    collector
        .dispatcher
        .start_batch(now, id, batch, 700, commands);
    let parts: Vec<Vec<u8>> = (1..=SHARD_COUNT as u8)
        .map(|first| {
            (0..5)
                .flat_map(|record_index| [first * 10 + record_index; 16])
                .collect()
        })
        .collect();
    let sent = collector.take_sent_calls();
    answer_parts(&mut collector, sent, &parts);
    let passed_on: usize = std::mem::take(&mut collector.commands)
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
