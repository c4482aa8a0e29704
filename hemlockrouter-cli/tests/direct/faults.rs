//! Tests of the answers that callers get during faults of upstreams, the store and instances.

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Behaviour;
use hemlockrouter_corporation_lab::Caller;
use hemlockrouter_corporation_lab::Down;
use hemlockrouter_lab::link::Condition;
use http::StatusCode;

use crate::world::eventually;
use crate::world::World;
use crate::world::BOOK;
use crate::world::CATCH_UP_MS;
use crate::world::HOST;
use crate::world::LOOK_UP;
use crate::world::SEARCH;
use crate::world::ZONES;

fn silent() -> Behaviour {
    Behaviour {
        is_silent: true,
        ..Behaviour::default()
    }
}

#[test]
fn search_is_complete_with_a_silent_replica() {
    let world = World::start(1);
    world.wait_settled();
    world.upstreams[0].set(silent());
    for _ in 0..20 {
        let seen = world.call(0, SEARCH, 1_000);
        assert_eq!(
            (seen.status, seen.missing),
            (Some(StatusCode::OK), 0),
            "{seen:?}"
        );
        assert_eq!(seen.wrong, None);
    }
}

#[test]
fn search_names_missing_shards_and_fails_below_minimum_coverage() {
    let world = World::start(1);
    let of = |service: &str| {
        let upstreams = world.upstreams.iter();
        let of = upstreams.filter(|upstream| upstream.service() == service);
        of.for_each(|upstream| upstream.set(silent()));
    };
    of("shard-0");
    let seen = world.call(0, SEARCH, 1_000);
    assert_eq!(
        (seen.status, seen.missing),
        (Some(StatusCode::OK), 1),
        "{seen:?}"
    );
    assert_eq!(seen.wrong, None);
    of("shard-1");
    of("shard-2");
    let seen = world.call(0, SEARCH, 600);
    assert_eq!(seen.status, Some(StatusCode::GATEWAY_TIMEOUT), "{seen:?}");
}

#[test]
fn booking_with_a_lost_response_runs_once() {
    let world = World::start(1);
    for upstream in &world.upstreams {
        upstream.set(Behaviour {
            lose_permille: 500,
            ..Behaviour::default()
        });
    }
    let mut lost = 0;
    for _ in 0..60 {
        let seen = world.call(0, BOOK, 1_000);
        let runs = world.ledger.runs_of(&seen.attempt_id).len();
        assert!(runs <= 1, "{seen:?} ran {runs} times");
        lost += u32::from(seen.status == Some(StatusCode::BAD_GATEWAY));
    }
    assert!(lost > 0, "answers were to be lost");
}

#[test]
fn refused_request_has_not_run_and_gets_retry_after() {
    let world = World::start(1);
    for upstream in &world.upstreams {
        upstream.set(Behaviour {
            reject_permille: 900,
            ..Behaviour::default()
        });
    }
    let mut refused = 0;
    for _ in 0..60 {
        let seen = world.call(0, BOOK, 1_000);
        if seen.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            refused += 1;
            assert!(
                world.ledger.runs_of(&seen.attempt_id).is_empty(),
                "{seen:?}"
            );
            assert!(
                seen.retry_after_s.is_some_and(|s| s > 0.0 && s < 5.0),
                "{seen:?}"
            );
            assert!(seen.took < Duration::from_millis(500), "{seen:?}");
        }
    }
    assert!(refused > 0, "requests were to be refused");
}

#[test]
fn instance_without_routes_refuses_requests_and_is_not_ready() {
    let mut world = World::start(1);
    world.daemons[0].kill();
    world.store.set_down(Down::Busy);
    world.start_daemon(0);
    eventually("the daemon accepts", || {
        world.call(0, SEARCH, 500).status == Some(StatusCode::SERVICE_UNAVAILABLE)
    });
    assert!(world.call(0, SEARCH, 500).retry_after_s.is_some());
    let ready = ureq::get(format!("http://{}/ready", world.daemons[0].ready)).call();
    assert!(ready.is_err(), "it says that it is ready");
    world.store.set_down(Down::No);
    world.wait_ready(0);
    assert_eq!(world.call(0, SEARCH, 1_000).status, Some(StatusCode::OK));
}

#[test]
fn searches_succeed_during_a_store_outage() {
    for down in [Down::Busy, Down::Closing, Down::Silent] {
        let world = World::start(1);
        world.store.set_down(down);
        for _ in 0..20 {
            let seen = world.call(0, SEARCH, 1_000);
            assert_eq!(seen.status, Some(StatusCode::OK), "{down:?}: {seen:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn new_version_arrives_in_time_after_a_half_open_store_link() {
    let mut world = World::start(1);
    let cut = Condition {
        half_open: true,
        ..Condition::default()
    };
    world.daemons[0].link.set(cut);
    std::thread::sleep(Duration::from_secs(6));
    world.configure(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    world.daemons[0].link.set(Condition {
        cut: true,
        ..Condition::default()
    });
    world.daemons[0].link.set(Condition::default());
    let healed = Instant::now();
    eventually("the new version is in force", || {
        world.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
    // The bound on a new version applies from the time at which the link is restored.
    assert!(
        healed.elapsed() < Duration::from_secs(3),
        "{:?}",
        healed.elapsed()
    );
}

#[test]
fn unanswered_watch_times_out_within_the_catch_up_bound() {
    let mut world = World::start(1);
    world.store.set_down(Down::Silent);
    std::thread::sleep(Duration::from_millis(500));
    world.store.set_down(Down::No);
    let returned = Instant::now();
    world.configure(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    eventually("the new version is in force", || {
        world.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
    let took = returned.elapsed();
    assert!(took < Duration::from_millis(CATCH_UP_MS), "{took:?}");
}

#[test]
fn store_is_read_again_after_compaction() {
    let mut world = World::start(1);
    world.store.set_down(Down::Closing);
    world.configure(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    world.store.compact();
    world.store.set_down(Down::No);
    eventually("the new version is in force", || {
        world.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
}

#[test]
fn zone_out_of_service_gets_no_requests_until_it_returns() {
    let world = World::start(1);
    world.store.evacuate(ZONES[0], true);
    eventually("the zone is logged", || {
        world.log(0).contains("availability zone")
    });
    let from = Instant::now();
    for path in [SEARCH, BOOK, LOOK_UP].repeat(5) {
        assert_eq!(world.call(0, path, 1_000).status, Some(StatusCode::OK));
    }
    let runs = world.ledger.runs();
    assert!(runs.iter().all(|run| run.at < from || run.zone != ZONES[0]));
    world.store.evacuate(ZONES[0], false);
    eventually("the zone is used again", || {
        world.call(0, SEARCH, 1_000);
        let runs = world.ledger.runs();
        runs.iter().any(|run| run.at > from && run.zone == ZONES[0])
    });
}

#[test]
fn draining_upstream_gets_no_requests_after_the_drain_time() {
    let world = World::start(1);
    let leaving = &world.upstreams[0];
    leaving.register(&world.store, true);
    let bound = Instant::now() + Duration::from_millis(3_000);
    while Instant::now() < bound + Duration::from_millis(500) {
        assert_eq!(world.call(0, SEARCH, 1_000).status, Some(StatusCode::OK));
    }
    let runs = world.ledger.runs();
    let late = runs
        .iter()
        .filter(|run| run.upstream == leaving.id() && run.at > bound);
    assert_eq!(late.count(), 0);
}

#[test]
fn graceful_shutdown_interrupts_no_request() {
    let mut world = World::start(1);
    for upstream in &world.upstreams {
        upstream.set(Behaviour {
            work: Duration::from_millis(40),
            ..Behaviour::default()
        });
    }
    let to = world.daemons[0].callers;
    let ledger = world.ledger.clone();
    let calling = world.runtime.spawn(async move {
        let mut caller = Caller::new(HOST, &ledger);
        let mut answered = 0;
        // The caller sends requests until the daemon no longer accepts connections.
        loop {
            let seen = caller.call(to, LOOK_UP, 1_000, None).await;
            match seen.status {
                Some(StatusCode::OK) => answered += 1,
                Some(status) => return Err(status),
                None if ledger.runs_of(&seen.attempt_id).is_empty() => return Ok(answered),
                None => return Err(StatusCode::BAD_GATEWAY),
            }
        }
    });
    std::thread::sleep(Duration::from_millis(300));
    let status = world.daemons[0].shut_down();
    assert!(status.success(), "{status}");
    let ended = world.runtime.block_on(calling).expect("the caller ends");
    assert!(ended.expect("no request was cut off") > 5);
}

#[test]
fn request_of_a_disconnected_caller_does_not_run() {
    let world = World::start(1);
    for upstream in &world.upstreams {
        upstream.set(silent());
    }
    let mut caller = Caller::new(HOST, &world.ledger);
    let to = world.daemons[0].callers;
    let calling = caller.call(to, LOOK_UP, 5_000, None);
    let left = world
        .runtime
        .block_on(async { tokio::time::timeout(Duration::from_millis(200), calling).await });
    assert!(left.is_err(), "nobody was to answer");
    drop(caller);
    world
        .upstreams
        .iter()
        .for_each(|upstream| upstream.set(Behaviour::default()));
    std::thread::sleep(Duration::from_millis(700));
    assert!(world.ledger.runs().is_empty(), "the request ran for nobody");
}

#[test]
fn instance_serves_again_after_running_out_of_file_descriptors() {
    let mut world = World::start(1);
    let daemon = &mut world.daemons[0];
    daemon.kill();
    daemon.files_max = Some(48);
    world.start_daemon(0);
    world.wait_ready(0);
    let daemon = &world.daemons[0];
    for port in [daemon.ready, daemon.metrics, daemon.relay, daemon.callers] {
        let held: Vec<TcpStream> = (0..64)
            .map(|_| TcpStream::connect(port).expect("the port listens"))
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        let before = daemon.processor_ticks();
        std::thread::sleep(Duration::from_secs(1));
        let used = daemon.processor_ticks() - before;
        assert!(used < 20, "port {port} takes {used} ticks of 100");
        drop(held);
        world.wait_ready(0);
    }
    assert_eq!(world.call(0, SEARCH, 1_000).status, Some(StatusCode::OK));
}

#[test]
fn idle_connections_are_closed() {
    let world = World::start(1);
    let daemon = &world.daemons[0];
    let ports = [daemon.ready, daemon.metrics, daemon.relay];
    let silent = ports.map(|port| TcpStream::connect(port).expect("the port listens"));
    for mut stream in silent {
        let limit = Some(Duration::from_secs(15));
        stream.set_read_timeout(limit).expect("the limit is valid");
        let mut rest = Vec::new();
        let read = stream.read_to_end(&mut rest);
        assert!(read.is_ok(), "{stream:?} is open after 15 s: {read:?}");
    }
}
