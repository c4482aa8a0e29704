//! Tests batches that an instance collects for another instance.

use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::BatchPart;

use crate::fixture::failure;
use crate::fixture::instance;
use crate::fixture::rejected;
use crate::fixture::shards;
use crate::fixture::success;
use crate::fixture::upstream;
use crate::fixture::Fixture;
use crate::fixture::PROGRESS_TIMEOUT_MS;
use crate::fixture::TEST_START;

#[test]
fn a_transferred_repeat_budget_may_be_spent() {
    for (transferred_permille, repeats) in [(0, 0), (1_000, 2)] {
        let mut fixture = Fixture::new();
        // While the list of instances is still growing, this instance has no repeat allowance of
        // its own.
        let instances = fixture.dispatcher.upstreams_mut().instances_mut();
        instances.add_instance(TEST_START, instance("new", "north-a"));
        start_batch_with(&mut fixture, &[], transferred_permille);
        for (call, _) in fixture.take_sent_calls() {
            fixture.end_call(call, rejected());
        }
        assert_eq!(
            fixture.take_sent_calls().len(),
            repeats,
            "{transferred_permille} given"
        );
    }
}

/// Starts a batch of two parts for another instance. The batch permits the upstreams `ids`, or all
/// upstreams of each service if `ids` is empty.
fn start_batch(fixture: &mut Fixture, ids: &[&str]) -> RequestId {
    start_batch_with(fixture, ids, 0)
}

/// Like [`start_batch`], with a transfer of `repeats_permille` thousandths of a repeat for each
/// part.
fn start_batch_with(fixture: &mut Fixture, ids: &[&str], repeats_permille: u32) -> RequestId {
    let services = shards().into_iter().take(2);
    let permitted_upstreams = |service: &str| match ids {
        [] => ["north-a", "south-b"]
            .map(|zone| upstream(service, zone).id)
            .to_vec(),
        ids => ids.iter().map(|id| String::from(*id)).collect(),
    };
    let batch = Batch {
        route: String::from("search"),
        version: 1,
        attempts_max: 2,
        target_latency_ms: 150,
        records_max: 3,
        parts: services
            .map(|service| BatchPart {
                upstreams: permitted_upstreams(&service),
                service,
                repeats_permille,
            })
            .collect(),
    };
    let id = RequestId(900);
    let (now, commands) = (fixture.now, &mut fixture.commands);
    fixture
        .dispatcher
        .start_batch(now, id, batch, 800, commands);
    id
}

/// Removes the reports of a batch, and returns the indexes of the answers in each report and
/// whether the batch has ended.
fn take_reports(fixture: &mut Fixture) -> (Vec<Vec<usize>>, bool) {
    let mut reports = Vec::new();
    let mut has_ended = false;
    for command in std::mem::take(&mut fixture.commands) {
        match command {
            Command::Report { collected, .. } => {
                let answers = collected.answers.into_iter();
                reports.push(answers.map(|(index, _)| index).collect());
            }
            Command::EndBatch { .. } => has_ended = true,
            _ => {}
        }
    }
    (reports, has_ended)
}

#[test]
fn a_fast_batch_is_reported_once() {
    let mut fixture = Fixture::new();
    start_batch(&mut fixture, &[]);
    let sent = fixture.take_sent_calls();
    fixture.end_call(sent[1].0, success("stamp", b""));
    assert_eq!(take_reports(&mut fixture), (Vec::new(), false));
    fixture.end_call(sent[0].0, success("stamp", b""));
    assert_eq!(take_reports(&mut fixture), (vec![vec![0, 1]], true));
}

#[test]
fn a_slow_batch_is_reported_at_its_first_hedge_and_then_per_answer() {
    let mut fixture = Fixture::new();
    start_batch(&mut fixture, &[]);
    let sent = fixture.take_sent_calls();
    fixture.end_call(sent[1].0, success("stamp", b""));
    fixture.advance(PROGRESS_TIMEOUT_MS - 10);
    let hedges = fixture.take_sent_calls();
    assert_eq!(hedges.len(), 1);
    assert_eq!(take_reports(&mut fixture), (vec![vec![1]], false));
    fixture.end_call(hedges[0].0, success("stamp", b""));
    assert_eq!(take_reports(&mut fixture), (vec![vec![0]], true));
}

#[test]
fn a_batch_uses_only_the_upstreams_it_permits() {
    let mut fixture = Fixture::new();
    start_batch(&mut fixture, &["shard-0@south-b", "unknown"]);
    let sent = fixture.take_sent_calls();
    let ids: Vec<&str> = sent.iter().map(|(_, id)| id.as_str()).collect();
    assert_eq!(ids, ["shard-0@south-b"]);
    fixture.end_call(sent[0].0, failure());
    let ids: Vec<String> = fixture
        .take_sent_calls()
        .into_iter()
        .map(|(_, id)| id)
        .collect();
    assert!(ids.iter().all(|id| id == "shard-0@south-b"), "{ids:?}");
}

#[test]
fn batch_parts_without_a_known_upstream_are_reported_unsent_at_once() {
    for (ids, expected) in [(["shard-1@north-a"], vec![0]), (["unknown"], vec![0, 1])] {
        let mut fixture = Fixture::new();
        start_batch(&mut fixture, &ids);
        let unsent = fixture.commands.iter().find_map(|command| match command {
            Command::Report { collected, .. } => Some(collected.unsent.clone()),
            _ => None,
        });
        assert_eq!(unsent, Some(expected), "{ids:?}");
    }
}

#[test]
fn a_batch_ends_at_its_deadline_even_if_answers_are_missing() {
    let mut fixture = Fixture::new();
    start_batch(&mut fixture, &[]);
    let sent = fixture.take_sent_calls();
    fixture.end_call(sent[0].0, success("stamp", b""));
    fixture.advance(800);
    assert_eq!(take_reports(&mut fixture), (vec![vec![0]], true));
}
