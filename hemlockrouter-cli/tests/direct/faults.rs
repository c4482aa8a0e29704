//! Tests of the answers that callers get during faults of upstreams, the store and instances.

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Behaviour;
use hemlockrouter_corporation_lab::Caller;
use hemlockrouter_corporation_lab::StoreFault;
use hemlockrouter_lab::link::LinkCondition;
use http::StatusCode;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::CATCH_UP_MS;
use crate::deployment::HOST;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;
use crate::deployment::ZONES;

fn silent_behaviour() -> Behaviour {
    Behaviour {
        never_responds: true,
        ..Behaviour::default()
    }
}

#[test]
fn search_is_complete_with_a_silent_replica() {
    let deployment = Deployment::start(1);
    deployment.wait_until_instance_list_settles();
    deployment.upstreams[0].set_behaviour(silent_behaviour());
    for _ in 0..20 {
        let answer = deployment.call(0, SEARCH_PATH, 1_000);
        assert_eq!(
            (answer.status, answer.shards_missing),
            (Some(StatusCode::OK), 0),
            "{answer:?}"
        );
        assert_eq!(answer.mismatch, None);
    }
}

#[test]
fn search_names_missing_shards_and_fails_below_minimum_coverage() {
    let deployment = Deployment::start(1);
    let silence_upstreams = |service: &str| {
        let upstreams = deployment.upstreams.iter();
        let of_service = upstreams.filter(|upstream| upstream.service() == service);
        of_service.for_each(|upstream| upstream.set_behaviour(silent_behaviour()));
    };
    silence_upstreams("shard-0");
    let answer = deployment.call(0, SEARCH_PATH, 1_000);
    assert_eq!(
        (answer.status, answer.shards_missing),
        (Some(StatusCode::OK), 1),
        "{answer:?}"
    );
    assert_eq!(answer.mismatch, None);
    silence_upstreams("shard-1");
    silence_upstreams("shard-2");
    let answer = deployment.call(0, SEARCH_PATH, 600);
    assert_eq!(
        answer.status,
        Some(StatusCode::GATEWAY_TIMEOUT),
        "{answer:?}"
    );
}

#[test]
fn booking_with_a_lost_response_runs_once() {
    let deployment = Deployment::start(1);
    deployment.set_behaviour(Behaviour {
        lost_response_permille: 500,
        ..Behaviour::default()
    });
    let mut lost_count = 0;
    for _ in 0..60 {
        let answer = deployment.call(0, BOOK_PATH, 1_000);
        let runs = deployment.ledger.runs_of(&answer.attempt_id).len();
        assert!(runs <= 1, "{answer:?} ran {runs} times");
        lost_count += u32::from(answer.status == Some(StatusCode::BAD_GATEWAY));
    }
    assert!(lost_count > 0, "answers were to be lost");
}

#[test]
fn refused_request_has_not_run_and_gets_retry_after() {
    let deployment = Deployment::start(1);
    deployment.set_behaviour(Behaviour {
        reject_permille: 900,
        ..Behaviour::default()
    });
    let mut refused_count = 0;
    for _ in 0..60 {
        let answer = deployment.call(0, BOOK_PATH, 1_000);
        if answer.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            refused_count += 1;
            assert!(
                deployment.ledger.runs_of(&answer.attempt_id).is_empty(),
                "{answer:?}"
            );
            assert!(
                answer
                    .retry_after_s
                    .is_some_and(|seconds| seconds > 0.0 && seconds < 5.0),
                "{answer:?}"
            );
            assert!(answer.duration < Duration::from_millis(500), "{answer:?}");
        }
    }
    assert!(refused_count > 0, "requests were to be refused");
}

#[test]
fn instance_without_routes_refuses_requests_and_is_not_ready() {
    let mut deployment = Deployment::start(1);
    deployment.daemons[0].kill();
    deployment.store.set_fault(StoreFault::Status503);
    deployment.start_daemon(0);
    eventually("the daemon accepts", || {
        deployment.call(0, SEARCH_PATH, 500).status == Some(StatusCode::SERVICE_UNAVAILABLE)
    });
    assert!(deployment.call(0, SEARCH_PATH, 500).retry_after_s.is_some());
    let ready = ureq::get(format!("http://{}/ready", deployment.daemons[0].ready)).call();
    assert!(ready.is_err(), "it says that it is ready");
    deployment.store.set_fault(StoreFault::Available);
    deployment.wait_ready(0);
    assert_eq!(
        deployment.call(0, SEARCH_PATH, 1_000).status,
        Some(StatusCode::OK)
    );
}

#[test]
fn searches_succeed_during_a_store_outage() {
    for down in [
        StoreFault::Status503,
        StoreFault::ClosesConnections,
        StoreFault::NeverResponds,
    ] {
        let deployment = Deployment::start(1);
        deployment.store.set_fault(down);
        for _ in 0..20 {
            let answer = deployment.call(0, SEARCH_PATH, 1_000);
            assert_eq!(answer.status, Some(StatusCode::OK), "{down:?}: {answer:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn new_version_arrives_in_time_after_a_half_open_store_link() {
    let mut deployment = Deployment::start(1);
    let cut = LinkCondition {
        half_open: true,
        ..LinkCondition::default()
    };
    deployment.daemons[0].link.set_condition(cut);
    std::thread::sleep(Duration::from_secs(6));
    deployment.write_config(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    deployment.daemons[0].link.set_condition(LinkCondition {
        cut: true,
        ..LinkCondition::default()
    });
    deployment.daemons[0]
        .link
        .set_condition(LinkCondition::default());
    let link_restored_at = Instant::now();
    eventually("the new version is in force", || {
        deployment.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
    // The bound on a new version applies from the time at which the link is restored.
    assert!(
        link_restored_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        link_restored_at.elapsed()
    );
}

#[test]
fn unanswered_watch_times_out_within_the_catch_up_bound() {
    let mut deployment = Deployment::start(1);
    deployment.store.set_fault(StoreFault::NeverResponds);
    std::thread::sleep(Duration::from_millis(500));
    deployment.store.set_fault(StoreFault::Available);
    let store_restored_at = Instant::now();
    deployment.write_config(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    eventually("the new version is in force", || {
        deployment.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
    let took = store_restored_at.elapsed();
    assert!(took < Duration::from_millis(CATCH_UP_MS), "{took:?}");
}

#[test]
fn store_is_read_again_after_compaction() {
    let mut deployment = Deployment::start(1);
    deployment.store.set_fault(StoreFault::ClosesConnections);
    deployment.write_config(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    deployment.store.compact();
    deployment.store.set_fault(StoreFault::Available);
    eventually("the new version is in force", || {
        deployment.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
}

#[test]
fn zone_out_of_service_gets_no_requests_until_it_returns() {
    let deployment = Deployment::start(1);
    deployment.store.evacuate(ZONES[0], true);
    eventually("the zone is logged", || {
        deployment.log(0).contains("availability zone")
    });
    let from = Instant::now();
    for path in [SEARCH_PATH, BOOK_PATH, LOOK_UP_PATH].repeat(5) {
        assert_eq!(deployment.call(0, path, 1_000).status, Some(StatusCode::OK));
    }
    let runs = deployment.ledger.runs();
    assert!(runs
        .iter()
        .all(|run| run.started_at < from || run.zone != ZONES[0]));
    deployment.store.evacuate(ZONES[0], false);
    eventually("the zone is used again", || {
        deployment.call(0, SEARCH_PATH, 1_000);
        let runs = deployment.ledger.runs();
        runs.iter()
            .any(|run| run.started_at > from && run.zone == ZONES[0])
    });
}

#[test]
fn draining_upstream_gets_no_requests_after_the_drain_time() {
    let deployment = Deployment::start(1);
    let leaving = &deployment.upstreams[0];
    leaving.register(&deployment.store, true);
    let bound = Instant::now() + Duration::from_millis(3_000);
    while Instant::now() < bound + Duration::from_millis(500) {
        assert_eq!(
            deployment.call(0, SEARCH_PATH, 1_000).status,
            Some(StatusCode::OK)
        );
    }
    let runs = deployment.ledger.runs();
    let late_runs = runs
        .iter()
        .filter(|run| run.upstream == leaving.id() && run.started_at > bound);
    assert_eq!(late_runs.count(), 0);
}

#[test]
fn graceful_shutdown_interrupts_no_request() {
    let mut deployment = Deployment::start(1);
    deployment.set_behaviour(Behaviour {
        work_duration: Duration::from_millis(40),
        ..Behaviour::default()
    });
    let to = deployment.daemons[0].callers;
    let ledger = deployment.ledger.clone();
    let caller_task = deployment.runtime.spawn(async move {
        let mut caller = Caller::new(HOST, &ledger);
        let mut answered = 0;
        // The caller sends requests until the daemon no longer accepts connections.
        loop {
            let answer = caller.call(to, LOOK_UP_PATH, 1_000, None).await;
            match answer.status {
                Some(StatusCode::OK) => answered += 1,
                Some(status) => return Err(status),
                None if ledger.runs_of(&answer.attempt_id).is_empty() => return Ok(answered),
                None => return Err(StatusCode::BAD_GATEWAY),
            }
        }
    });
    std::thread::sleep(Duration::from_millis(300));
    let status = deployment.daemons[0].shut_down();
    assert!(status.success(), "{status}");
    let ended = deployment
        .runtime
        .block_on(caller_task)
        .expect("the caller ends");
    assert!(ended.expect("no request was cut off") > 5);
}

#[test]
fn request_of_a_disconnected_caller_does_not_run() {
    let deployment = Deployment::start(1);
    deployment.set_behaviour(silent_behaviour());
    let mut caller = Caller::new(HOST, &deployment.ledger);
    let to = deployment.daemons[0].callers;
    let caller_task = caller.call(to, LOOK_UP_PATH, 5_000, None);
    let timed_call = deployment
        .runtime
        .block_on(async { tokio::time::timeout(Duration::from_millis(200), caller_task).await });
    assert!(timed_call.is_err(), "nobody was to answer");
    drop(caller);
    deployment
        .upstreams
        .iter()
        .for_each(|upstream| upstream.set_behaviour(Behaviour::default()));
    std::thread::sleep(Duration::from_millis(700));
    assert!(
        deployment.ledger.runs().is_empty(),
        "the request ran for nobody"
    );
}

#[test]
fn instance_serves_again_after_running_out_of_file_descriptors() {
    let mut deployment = Deployment::start(1);
    let daemon = &mut deployment.daemons[0];
    daemon.kill();
    daemon.open_files_max = Some(48);
    deployment.start_daemon(0);
    deployment.wait_ready(0);
    let daemon = &deployment.daemons[0];
    for port in [daemon.ready, daemon.metrics, daemon.relay, daemon.callers] {
        let open_connections: Vec<TcpStream> = (0..64)
            .map(|_| TcpStream::connect(port).expect("the port listens"))
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        let before = daemon.cpu_ticks();
        std::thread::sleep(Duration::from_secs(1));
        let ticks_used = daemon.cpu_ticks() - before;
        assert!(
            ticks_used < 20,
            "port {port} takes {ticks_used} ticks of 100"
        );
        drop(open_connections);
        deployment.wait_ready(0);
    }
    assert_eq!(
        deployment.call(0, SEARCH_PATH, 1_000).status,
        Some(StatusCode::OK)
    );
}

#[test]
fn idle_connections_are_closed() {
    let deployment = Deployment::start(1);
    let daemon = &deployment.daemons[0];
    let ports = [daemon.ready, daemon.metrics, daemon.relay];
    let idle_connections = ports.map(|port| TcpStream::connect(port).expect("the port listens"));
    for mut stream in idle_connections {
        let limit = Some(Duration::from_secs(15));
        stream.set_read_timeout(limit).expect("the limit is valid");
        let mut rest = Vec::new();
        let read = stream.read_to_end(&mut rest);
        assert!(read.is_ok(), "{stream:?} is open after 15 s: {read:?}");
    }
}
