//! Tests searches that are divided among the instances of an availability zone.

use std::net::SocketAddr;

use hemlockrouter_route::direct::BatchOutcome;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::GiveUpReason;
use hemlockrouter_route::direct::Reply;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;

use crate::fixture::address;
use crate::fixture::instance;
use crate::fixture::routes;
use crate::fixture::shards;
use crate::fixture::success;
use crate::fixture::upstream;
use crate::fixture::Fixture;
use crate::fixture::BOOK_PATH;
use crate::fixture::PROGRESS_TIMEOUT_MS;
use crate::fixture::SEARCH_PATH;
use crate::fixture::SHARD_COUNT;
use crate::fixture::TEST_START;

/// The interval of the dispatcher timer that also triggers probes of other instances, in
/// milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;

fn reply_of(end: CallOutcome) -> Reply {
    match end {
        CallOutcome::Answered(reply) => reply,
        other => panic!("no answer: {other:?}"),
    }
}

/// Creates a dispatcher that divides searches over two shards or more, with one other instance in
/// its zone and one in another zone.
fn dispatcher_with_peers() -> Fixture {
    let mut fixture = Fixture::dividing_searches(2, 2);
    let instances = fixture.dispatcher.upstreams_mut().instances_mut();
    instances.add_instance(Time::ZERO, peer("other", "north-a", 7));
    instances.add_instance(Time::ZERO, peer("far", "south-b", 8));
    fixture
}

fn peer(name: &str, zone: &str, port: u16) -> hemlockrouter_types::routing::InstanceEntry {
    let mut entry = instance(name, zone);
    entry.relay = Some(address(port));
    entry
}

/// A batch that is delegated to another instance.
#[derive(Debug)]
struct DelegatedBatch {
    request: Option<RequestId>,
    call: CallId,
    peer: SocketAddr,
    batch: Batch,
}

/// Removes and returns the batches that are delegated to other instances.
fn take_delegated(fixture: &mut Fixture) -> Vec<DelegatedBatch> {
    let commands = std::mem::take(&mut fixture.commands);
    let mut delegated = Vec::new();
    for command in commands {
        match command {
            Command::Delegate {
                request,
                call,
                peer,
                batch,
                ..
            } => delegated.push(DelegatedBatch {
                request,
                call,
                peer,
                batch,
            }),
            other => fixture.commands.push(other),
        }
    }
    delegated
}

/// Reports an answer for every part of a delegated batch.
fn answer_batch(fixture: &mut Fixture, delegated: &DelegatedBatch) {
    let parts = delegated.batch.parts.iter().enumerate();
    let answers =
        parts.map(|(index, part)| (index, reply_of(success(&part.service, b"0123456789abcdef"))));
    let collected = BatchReport {
        answers: answers.collect(),
        ..BatchReport::default()
    };
    report(fixture, delegated, collected);
}

fn report(fixture: &mut Fixture, delegated: &DelegatedBatch, collected: BatchReport) {
    let (now, commands) = (fixture.now, &mut fixture.commands);
    fixture
        .dispatcher
        .handle_batch_report(now, delegated.call, collected, commands);
}

fn end_batch(fixture: &mut Fixture, delegated: &DelegatedBatch, end: BatchOutcome) {
    let (now, commands) = (fixture.now, &mut fixture.commands);
    fixture
        .dispatcher
        .batch_ended(now, delegated.call, end, commands);
}

/// Lets the other instance of the zone answer a probe.
fn answer_probes(fixture: &mut Fixture) {
    let id = fixture.start(SEARCH_PATH);
    assert!(take_delegated(fixture).is_empty());
    let sent = fixture.take_sent_calls();
    assert_eq!(
        sent.len(),
        SHARD_COUNT,
        "no part waits for an instance that may be down"
    );
    fixture.answer_all(sent);
    assert!(fixture.take_result(id).is_some());
    fixture.advance(PROBE_INTERVAL_MS);
    let probed = take_delegated(fixture);
    assert_eq!(
        probed.len(),
        1,
        "only the instance of the own zone is probed"
    );
    assert_eq!((probed[0].request, probed[0].peer), (None, address(7)));
    assert!(probed[0].batch.parts.is_empty());
    end_batch(fixture, &probed[0], BatchOutcome::Done);
}

/// Starts a search of which half is delegated to the other instance.
fn start_delegated(fixture: &mut Fixture) -> (RequestId, DelegatedBatch, Vec<(CallId, String)>) {
    answer_probes(fixture);
    let id = fixture.start(SEARCH_PATH);
    let mut calls = take_delegated(fixture);
    assert_eq!(calls.len(), 1);
    let call = calls.remove(0);
    assert_eq!(call.request, Some(id));
    assert_eq!(call.batch.parts.len(), SHARD_COUNT / 2);
    let sent = fixture.take_sent_calls();
    assert_eq!(sent.len(), SHARD_COUNT / 2);
    (id, call, sent)
}

fn merged_counts(request_result: Option<RequestResult>) -> (usize, usize) {
    match request_result {
        Some(RequestResult::Merged {
            signatures: stamps,
            missing,
            ..
        }) => (stamps.len(), missing),
        other => panic!("not merged: {other:?}"),
    }
}

#[test]
fn a_search_merges_local_and_delegated_answers() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, sent) = start_delegated(&mut fixture);
    fixture.answer_all(sent);
    assert!(fixture.take_result(id).is_none());
    answer_batch(&mut fixture, &call);
    assert_eq!(merged_counts(fixture.take_result(id)), (SHARD_COUNT, 0));
}

#[test]
fn parts_not_accepted_are_sent_at_once_and_the_instance_is_not_used_again() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, _) = start_delegated(&mut fixture);
    end_batch(&mut fixture, &call, BatchOutcome::NotAccepted);
    let sent = fixture.take_sent_calls();
    assert_eq!(sent.len(), SHARD_COUNT / 2);
    fixture.answer_all(sent);
    assert!(
        fixture.take_result(id).is_none(),
        "the other half is unanswered"
    );
    fixture.start(SEARCH_PATH);
    assert!(take_delegated(&mut fixture).is_empty());
    assert_eq!(fixture.take_sent_calls().len(), SHARD_COUNT);
}

#[test]
fn parts_of_a_silent_instance_are_sent_to_the_same_upstreams() {
    let mut fixture = dispatcher_with_peers();
    for service in shards() {
        let mut third_upstream = upstream(&service, "south-b");
        third_upstream.id = format!("{service}@third");
        let upstreams = fixture.dispatcher.upstreams_mut();
        upstreams.register(TEST_START, third_upstream);
    }
    let (id, call, sent) = start_delegated(&mut fixture);
    fixture.answer_all(sent);
    fixture.advance(PROGRESS_TIMEOUT_MS);
    let sent = fixture.take_sent_calls();
    assert_eq!(sent.len(), SHARD_COUNT / 2);
    for part in &call.batch.parts {
        assert_eq!(part.upstreams.len(), 2, "as many as the route allows");
        let part_calls = sent.iter().filter(|(_, id)| id.starts_with(&part.service));
        let ids: Vec<&String> = part_calls.map(|(_, id)| id).collect();
        assert!(part.upstreams.contains(ids[0]), "{ids:?} of {part:?}");
    }
    fixture.answer_all(sent);
    assert_eq!(merged_counts(fixture.take_result(id)), (SHARD_COUNT, 0));
    fixture.start(SEARCH_PATH);
    assert!(
        take_delegated(&mut fixture).is_empty(),
        "the silent instance is not used"
    );
}

#[test]
fn a_batch_with_a_progress_report_is_not_sent_locally() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, sent) = start_delegated(&mut fixture);
    let first_answer = BatchReport {
        answers: vec![(0, reply_of(success("stamp", b"")))],
        ..BatchReport::default()
    };
    report(&mut fixture, &call, first_answer);
    fixture.answer_all(sent);
    fixture.advance(PROGRESS_TIMEOUT_MS);
    assert!(fixture.take_sent_calls().is_empty());
    answer_batch(&mut fixture, &call);
    assert_eq!(merged_counts(fixture.take_result(id)), (SHARD_COUNT, 0));
}

/// An instance that is cut off from its upstreams must not make its shards unavailable to the whole
/// zone.
#[test]
fn an_instance_that_collects_too_few_parts_is_replaced_and_excluded() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, sent) = start_delegated(&mut fixture);
    report(&mut fixture, &call, BatchReport::default());
    fixture.answer_all(sent);
    fixture.advance(PROGRESS_TIMEOUT_MS);
    let sent = fixture.take_sent_calls();
    assert_eq!(sent.len(), SHARD_COUNT / 2);
    fixture.answer_all(sent);
    assert_eq!(merged_counts(fixture.take_result(id)), (SHARD_COUNT, 0));
    for _ in 0..8 {
        fixture.advance(500);
        for probed in take_delegated(&mut fixture) {
            end_batch(&mut fixture, &probed, BatchOutcome::Done);
        }
    }
    fixture.start(SEARCH_PATH);
    assert_eq!(
        fixture.take_sent_calls().len(),
        SHARD_COUNT,
        "the instance answers probes, but is not used"
    );
}

#[test]
fn parts_that_a_finished_batch_lacks_are_missing_from_the_answer() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, sent) = start_delegated(&mut fixture);
    fixture.answer_all(sent);
    let collected = BatchReport {
        answers: vec![(0, reply_of(success("stamp", b"")))],
        ..BatchReport::default()
    };
    report(&mut fixture, &call, collected);
    end_batch(&mut fixture, &call, BatchOutcome::Done);
    assert!(fixture.take_sent_calls().is_empty());
    assert_eq!(merged_counts(fixture.take_result(id)), (SHARD_COUNT - 1, 1));
}

#[test]
fn parts_without_an_upstream_at_the_collector_are_sent_locally_at_once() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, sent) = start_delegated(&mut fixture);
    fixture.answer_all(sent);
    let unsent = (0..call.batch.parts.len()).collect();
    let collected = BatchReport {
        unsent,
        ..BatchReport::default()
    };
    report(&mut fixture, &call, collected);
    end_batch(&mut fixture, &call, BatchOutcome::Done);
    let sent = fixture.take_sent_calls();
    assert_eq!(sent.len(), SHARD_COUNT / 2);
    fixture.answer_all(sent);
    assert_eq!(merged_counts(fixture.take_result(id)), (SHARD_COUNT, 0));
}

#[test]
fn a_search_that_loses_too_many_shards_ends_as_failed() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, sent) = start_delegated(&mut fixture);
    fixture.answer_all(sent);
    end_batch(&mut fixture, &call, BatchOutcome::Done);
    loop {
        let sent = fixture.take_sent_calls();
        if sent.is_empty() {
            break;
        }
        for (call, _) in sent {
            fixture.end_call(call, CallOutcome::Lost);
        }
    }
    let request_result = fixture.take_result(id);
    let is_failed = matches!(
        request_result,
        Some(RequestResult::Failed {
            why: GiveUpReason::TooFewShards,
            ..
        })
    );
    assert!(is_failed, "{request_result:?}");
}

#[test]
fn a_disconnected_caller_cancels_delegated_parts() {
    let mut fixture = dispatcher_with_peers();
    let (id, call, _) = start_delegated(&mut fixture);
    let (now, commands) = (fixture.now, &mut fixture.commands);
    assert!(fixture
        .dispatcher
        .handle_caller_disconnect(now, id, commands));
    let is_cancelled = |command: &Command| matches!(command, Command::Cancel { call: other } if *other == call.call);
    assert!(fixture.commands.iter().any(is_cancelled));
    answer_batch(&mut fixture, &call);
    assert!(fixture.take_result(id).is_none());
}

#[test]
fn single_requests_and_region_restricted_searches_are_not_delegated() {
    let mut fixture = dispatcher_with_peers();
    answer_probes(&mut fixture);
    fixture.start(BOOK_PATH);
    assert!(take_delegated(&mut fixture).is_empty());
    let mut restricted_routes = routes();
    restricted_routes[0].regions = vec![String::from("north")];
    assert!(fixture.configure(2, restricted_routes));
    fixture.start(SEARCH_PATH);
    assert!(take_delegated(&mut fixture).is_empty());
}

/// An answer between instances is smaller than an answer of an upstream, and traffic between zones
/// is costly.
#[test]
fn parts_are_collected_in_the_zone_of_their_upstreams() {
    let mut fixture = dispatcher_with_peers();
    let upstreams = fixture.dispatcher.upstreams_mut();
    upstreams
        .instances_mut()
        .add_instance(Time::ZERO, peer("near", "north-c", 9));
    for service in shards() {
        upstreams.unregister(Time::ZERO, &format!("{service}@north-a"));
        upstreams.register(TEST_START, upstream(&service, "north-c"));
    }
    fixture.advance(PROBE_INTERVAL_MS);
    for probed in take_delegated(&mut fixture) {
        end_batch(&mut fixture, &probed, BatchOutcome::Done);
    }
    fixture.start(SEARCH_PATH);
    let calls = take_delegated(&mut fixture);
    let peers: Vec<SocketAddr> = calls.iter().map(|call| call.peer).collect();
    assert_eq!(peers, [address(9)]);
    assert_eq!(calls[0].batch.parts.len(), SHARD_COUNT);
    fixture.dispatcher.upstreams_mut().evacuate("north-c", true);
    fixture.start(SEARCH_PATH);
    let calls = take_delegated(&mut fixture);
    let peers: Vec<SocketAddr> = calls.iter().map(|call| call.peer).collect();
    assert_eq!(
        peers,
        [address(7)],
        "upstreams of other zones are called from this zone"
    );
}

/// The repeat allowance of one of three instances, in thousandths of a repeat: half of the
/// allowance is divided evenly.
const OWN_ALLOWANCE_PERMILLE: u32 = 40_000 / 2 / 3;

/// The budget earned by the one request that this instance has sent itself, in thousandths of a
/// repeat: 0.85 of the ratio of 0.2.
const EARNED_REPEATS_PERMILLE: u32 = 170;

/// Load pattern: upstreams of many shards fail at once. The collecting instances need more repeats
/// than their own allowance, while the allowances of other instances are unused.
#[test]
fn an_unused_repeat_budget_is_transferred_except_for_one_repeat() {
    let mut fixture = dispatcher_with_peers();
    answer_probes(&mut fixture);
    let mut transferred_permille = 0;
    for _ in 0..60 {
        fixture.start(SEARCH_PATH);
        let calls = take_delegated(&mut fixture);
        transferred_permille += calls[0].batch.parts[0].repeats_permille;
        for call in calls {
            answer_batch(&mut fixture, &call);
        }
        let sent = fixture.take_sent_calls();
        fixture.answer_all(sent);
        fixture.advance(100);
        // The other instance is probed again if it was not used for a while.
        take_delegated(&mut fixture);
    }
    let remaining_permille =
        OWN_ALLOWANCE_PERMILLE + EARNED_REPEATS_PERMILLE - transferred_permille;
    assert!(
        (1_000..1_500).contains(&remaining_permille),
        "{remaining_permille} thousandths of a repeat are kept"
    );
}

/// Load pattern: all instances of a large region start at once. If each probed all others, it would
/// spend its first second on probes.
#[test]
fn only_instances_that_would_collect_parts_are_probed() {
    const INSTANCE_COUNT: u16 = 60;
    let mut fixture = Fixture::dividing_searches(2, 1);
    let instances = fixture.dispatcher.upstreams_mut().instances_mut();
    for port in 0..INSTANCE_COUNT {
        instances.add_instance(Time::ZERO, peer(&format!("n-{port}"), "north-a", port));
    }
    let mut probed: Vec<SocketAddr> = Vec::new();
    for _ in 0..8 {
        fixture.advance(PROBE_INTERVAL_MS);
        probed.extend(take_delegated(&mut fixture).iter().map(|call| call.peer));
    }
    probed.sort_unstable();
    probed.dedup();
    assert!(
        probed.len() <= SHARD_COUNT,
        "{} instances are probed",
        probed.len()
    );
    // An instance that does not answer is replaced by another one.
    let unresponsive_peer = probed[0];
    fixture.advance(10_000);
    let calls = take_delegated(&mut fixture);
    let call = calls.iter().find(|call| call.peer == unresponsive_peer);
    end_batch(
        &mut fixture,
        call.expect("the instance is probed again"),
        BatchOutcome::NotAccepted,
    );
    fixture.advance(1_000);
    let others = take_delegated(&mut fixture);
    assert!(others.iter().all(|call| call.peer != unresponsive_peer));
    assert!(others.iter().any(|call| !probed.contains(&call.peer)));
}
