//! Tests with upstreams that announce that they leave, that ask for a cooldown, or that send
//! endless responses.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Behaviour;
use hemlockrouter_corporation_lab::EndlessPart;
use hemlockrouter_corporation_lab::EndlessUpstream;
use http::StatusCode;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;
use crate::deployment::SHARD_COUNT;

/// The longest time for which an upstream may receive requests after announcing that it leaves.
/// This is less than half of the settings' `drain_ms`.
const LEAVING_GRACE: Duration = Duration::from_millis(1_400);

/// The cooldown that the upstreams of these tests ask for.
const COOLDOWN: Duration = Duration::from_millis(1_500);

/// The time after which no request may arrive at an upstream that has asked for a cooldown.
const COOLDOWN_GRACE: Duration = Duration::from_millis(500);

/// The memory limit in the settings of the instance, in MiB.
const MEMORY_MB: u64 = 64;

/// The number of concurrent searches that receive endless responses.
const CONCURRENT_SEARCHES: usize = 12;

fn leaving() -> Behaviour {
    Behaviour {
        is_leaving: true,
        ..Behaviour::default()
    }
}

fn cooling_down() -> Behaviour {
    Behaviour {
        retry_after: Some(COOLDOWN),
        ..Behaviour::default()
    }
}

#[test]
fn leaving_upstream_gets_no_requests_without_a_store_update() {
    let deployment = Deployment::start(1);
    let leaving_ids: Vec<&str> = deployment
        .upstreams
        .iter()
        .step_by(2)
        .map(|upstream| upstream.id())
        .collect();
    for upstream in deployment.upstreams.iter().step_by(2) {
        upstream.set_behaviour(leaving());
    }
    let started = Instant::now();
    while started.elapsed() < LEAVING_GRACE {
        for path in [SEARCH_PATH, LOOK_UP_PATH, BOOK_PATH] {
            let answer = deployment.call(0, path, 1_000);
            assert_eq!(
                (answer.status, answer.mismatch),
                (Some(StatusCode::OK), None)
            );
        }
    }
    // The upstreams' entries in the store are written again and do not show that the upstreams
    // leave.
    for upstream in &deployment.upstreams {
        upstream.register(&deployment.store, false);
    }
    let reregistered_at = Instant::now();
    for path in [SEARCH_PATH, LOOK_UP_PATH, BOOK_PATH].repeat(15) {
        let answer = deployment.call(0, path, 1_000);
        assert_eq!(
            (answer.status, answer.mismatch),
            (Some(StatusCode::OK), None)
        );
    }
    let runs = deployment.ledger.runs();
    let late_runs = runs.iter().find(|run| {
        run.started_at > reregistered_at && leaving_ids.contains(&run.upstream.as_str())
    });
    assert!(late_runs.is_none(), "{late_runs:?}");
    assert!(deployment.log(0).contains("upstream says of itself"));
}

#[test]
fn upstreams_that_want_a_rest_get_nothing_until_it_is_over() {
    let deployment = Deployment::start(1);
    let ledger_upstreams = || {
        deployment
            .upstreams
            .iter()
            .filter(|upstream| upstream.service() == "ledger")
    };
    ledger_upstreams().for_each(|upstream| upstream.set_behaviour(cooling_down()));
    let started = Instant::now();
    while started.elapsed() < COOLDOWN + COOLDOWN_GRACE {
        let answer = deployment.call(0, LOOK_UP_PATH, 1_000);
        assert_eq!(
            answer.status,
            Some(StatusCode::SERVICE_UNAVAILABLE),
            "{answer:?}"
        );
    }
    for upstream in ledger_upstreams() {
        let rejected = deployment.ledger.rejection_times(upstream.id());
        for (index, first) in rejected.iter().enumerate() {
            let since_first = rejected[index..]
                .iter()
                .map(|other| other.duration_since(*first));
            let early: Vec<Duration> = since_first
                .filter(|since| *since > COOLDOWN_GRACE && *since < COOLDOWN)
                .collect();
            assert!(early.is_empty(), "{}: {early:?}", upstream.id());
        }
        upstream.set_behaviour(Behaviour::default());
    }
    eventually("their rest is over", || {
        deployment.call(0, LOOK_UP_PATH, 1_000).status == Some(StatusCode::OK)
    });
}

#[test]
fn endless_responses_cost_a_shard_and_bounded_memory() {
    let mut deployment = Deployment::start(0);
    let daemon = deployment.new_daemon(|settings| settings["memory_mb"] = MEMORY_MB.into());
    deployment.daemons.push(daemon);
    deployment.start_daemon(0);
    deployment.wait_ready(0);
    let mut floods = Vec::new();
    for upstream in &deployment.upstreams {
        upstream.unregister(&deployment.store);
    }
    let kinds = [
        EndlessPart::HeaderLine,
        EndlessPart::Headers,
        EndlessPart::Body,
        EndlessPart::ChunkedBody,
    ];
    for number in 0..SHARD_COUNT {
        for kind in kinds {
            let flood =
                EndlessUpstream::start(deployment.runtime.handle(), kind).expect("a port is free");
            flood.register(&deployment.store, &format!("shard-{number}"), "north-a");
            floods.push(flood);
        }
    }
    eventually("all answer without end", || {
        deployment.call(0, SEARCH_PATH, 300);
        floods.iter().all(|flood| flood.started_responses() > 0)
    });
    let before = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_SEARCHES {
            scope.spawn(|| deployment.call(0, SEARCH_PATH, 1_000));
        }
    });
    assert!(
        before.elapsed() < Duration::from_millis(2_500),
        "they end in time"
    );
    eventually("the connections are closed", || {
        floods.iter().all(|flood| flood.open_responses() == 0)
    });
    let peak_kb = deployment.daemons[0].peak_memory_kb();
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} kB");
    // The instance then serves requests with healthy upstreams.
    drop(floods);
    for upstream in &deployment.upstreams {
        upstream.register(&deployment.store, false);
    }
    eventually("a search is served", || {
        let answer = deployment.call(0, SEARCH_PATH, 1_000);
        answer.status == Some(StatusCode::OK) && answer.shards_missing == 0
    });
}
