//! Tests of relays: most instances of an availability zone follow a few instances that read the
//! registry for them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Down;
use hemlockrouter_lab::link::Condition;
use http::StatusCode;
use serde_json::json;

use crate::world::eventually;
use crate::world::World;
use crate::world::CATCH_UP_MS;
use crate::world::SEARCH;
use crate::world::ZONES;

/// The number of instances, five in each of two availability zones. In a zone of this size, four
/// instances follow the fifth.
const DAEMONS: usize = 10;

/// The number of instances that follow another instance.
const FOLLOWERS: usize = 8;

/// The largest number of store calls while all instances start. Each instance reads a few pages,
/// two instances keep reading for the others, and two register all instances.
const START_CALLS_MAX: u64 = 60;

/// The longest time after an outage of the store until instances that started during the outage are
/// ready. Upstreams that have lost their registration need about two seconds to register again.
const READY_MAX: Duration = Duration::from_secs(2);

/// The number of registered but unreachable instances with which the fleet counts as large.
const OTHERS: usize = 100;

/// Returns the index of each daemon that follows another daemon, with the index of the daemon that
/// it follows.
fn followers(world: &World) -> Vec<(usize, usize)> {
    let of = |at: usize| {
        let log = world.log(at);
        let mut lines = log.lines().filter(|line| line.contains("\"following\""));
        let last = lines.next_back()?;
        let relay = world
            .daemons
            .iter()
            .position(|daemon| last.contains(&daemon.relay_address()));
        relay.map(|relay| (at, relay))
    };
    (0..DAEMONS).filter_map(of).collect()
}

fn start() -> (World, Vec<(usize, usize)>) {
    let world = World::start(DAEMONS);
    eventually("all but the readers follow others", || {
        followers(&world).len() >= FOLLOWERS
    });
    let followers = followers(&world);
    (world, followers)
}

/// Writes a new version, and checks that the version is in force on the followers of `relay` in
/// time.
fn check_new_version(world: &mut World, followers: &[(usize, usize)], relay: usize) {
    world.configure(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    let written = Instant::now();
    for (at, _) in followers.iter().filter(|(_, followed)| *followed == relay) {
        eventually("the new version is in force", || {
            world.call(*at, "/moved/x", 500).status == Some(StatusCode::OK)
        });
    }
    let took = written.elapsed();
    assert!(took < Duration::from_millis(CATCH_UP_MS), "{took:?}");
}

/// Returns an HTTP client that does not treat an error status as an error.
fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    ureq::Agent::new_with_config(config.build())
}

#[test]
fn followers_get_a_new_version_with_few_registry_calls() {
    let (mut world, followers) = start();
    for (_, relay) in followers.clone() {
        check_new_version(&mut world, &followers, relay);
    }
    // After this time, each instance is registered by the instance that it follows.
    std::thread::sleep(Duration::from_secs(6));
    let before = world.store.calls();
    std::thread::sleep(Duration::from_secs(4));
    // Two instances read the store, each seven times in 8 s at the default bound of 3 s, and each
    // of the two renews a lease every 6 s.
    let calls = world.store.calls() - before;
    assert!(calls <= 10, "{calls} calls in 4 s");
}

#[test]
fn all_instances_register_with_few_calls_when_started_at_once() {
    let (mut world, _) = start();
    let keys = "hemlock/instances/";
    eventually("all are registered", || {
        world.store.keys(keys).len() == DAEMONS
    });
    world.wait_settled();
    for daemon in &mut world.daemons {
        daemon.kill();
    }
    let before = world.store.calls();
    for at in 0..DAEMONS {
        world.start_daemon(at);
    }
    for at in 0..DAEMONS {
        world.wait_ready(at);
    }
    eventually("all but the readers follow others", || {
        followers(&world).len() >= FOLLOWERS
    });
    std::thread::sleep(Duration::from_secs(2));
    let calls = world.store.calls() - before;
    assert!(calls <= START_CALLS_MAX, "{calls} calls");
    let read_from_relays = (0..DAEMONS).filter(|at| world.log(*at).contains("read from a relay"));
    assert_eq!(read_from_relays.count(), 0, "the fleet is small");
    assert_eq!(world.store.keys(keys).len(), DAEMONS);
    world.daemons[3].shut_down();
    eventually("one that stops is not on the list", || {
        world.store.keys(keys).len() == DAEMONS - 1
    });
}

#[test]
fn instance_started_during_a_store_outage_reads_from_relays() {
    let (mut world, _) = start();
    world.store.set_down(Down::Busy);
    world.daemons[4].kill();
    world.start_daemon(4);
    world.wait_ready(4);
    let seen = world.call(4, SEARCH, 1_000);
    assert_eq!((seen.status, seen.missing), (Some(StatusCode::OK), 0));
    eventually("it says so", || world.log(4).contains("read from a relay"));
}

/// Covers the simultaneous start of hundreds of instances, for which the bandwidth to the store is
/// too small.
#[test]
fn most_instances_of_a_large_fleet_read_from_relays() {
    let (mut world, _) = start();
    for daemon in &mut world.daemons {
        daemon.kill();
    }
    // These instances are registered but unreachable. Their low CPU share ranks them last for any
    // role.
    for number in 0..OTHERS {
        let entry = json!({
            "name": format!("other-{number}"),
            "zone": ZONES[number % ZONES.len()],
            "relay": "127.0.0.1:1",
            "cpu_permille": 1,
        });
        let key = format!("hemlock/instances/other-{number}");
        world.store.put(&key, entry.to_string().as_bytes());
    }
    for at in 0..DAEMONS {
        world.start_daemon(at);
    }
    for at in 0..DAEMONS {
        world.wait_ready(at);
    }
    // In each availability zone, two instances read from the store.
    eventually("the others read from relays", || {
        let read = (0..DAEMONS).filter(|at| world.log(*at).contains("read from a relay"));
        read.count() >= DAEMONS - 2 * ZONES.len()
    });
}

/// Covers a restart of all instances while the store is down. No instance has any routes, and
/// callers wait for the first instance that gets them.
#[test]
fn instances_started_during_an_outage_are_ready_soon_after_it() {
    let (mut world, _) = start();
    world.store.set_down(Down::Busy);
    for daemon in &mut world.daemons {
        daemon.kill();
    }
    for at in 0..DAEMONS {
        world.start_daemon(at);
    }
    std::thread::sleep(Duration::from_millis(1_600));
    let before = world.store.calls();
    world.store.set_down(Down::No);
    let back = Instant::now();
    for at in 0..DAEMONS {
        world.wait_ready(at);
    }
    let took = back.elapsed();
    assert!(took < READY_MAX, "{took:?}");
    let calls = world.store.calls() - before;
    assert!(calls <= START_CALLS_MAX, "{calls} calls");
}

#[test]
fn reader_cut_off_from_the_store_gets_new_versions_from_relays() {
    let (mut world, followers) = start();
    let reader = followers[0].1;
    let cut = Condition {
        cut: true,
        ..Condition::default()
    };
    world.daemons[reader].link.set(cut);
    check_new_version(&mut world, &[(reader, reader)], reader);
}

#[test]
fn invalid_registration_is_refused() {
    let world = World::start(1);
    let join = |body: &[u8]| {
        let url = format!("http://{}/join", world.daemons[0].relay);
        let answer = agent().post(url).send(body);
        answer.expect("there is an answer").status().as_u16()
    };
    let none: Option<String> = None;
    let entry = |name: &str, zone: &str| {
        let entry = (name, zone, &none, 250, &none);
        rmp_serde::to_vec(&entry).expect("it can be written")
    };
    assert_eq!(join(&entry("new", "north-a")), 200);
    assert_eq!(join(&entry("new", "nowhere")), 400);
    assert_eq!(join(&entry("", "north-a")), 400);
    assert_eq!(join(&entry(&"n".repeat(200), "north-a")), 400);
    assert_eq!(join(b"no entry"), 400);
    assert_eq!(join(&[b'x'; 100_000]), 400);
    eventually("each refusal is logged", || {
        let log = world.log(0);
        log.matches("a call of another instance is refused").count() == 5
    });
    eventually("the one that makes sense is registered", || {
        world.store.keys("hemlock/instances/").len() == 2
    });
}

#[test]
fn invalid_relay_offer_or_changes_request_is_refused() {
    let world = World::start(1);
    let agent = agent();
    let relay = world.daemons[0].relay;
    let offer = |body: &[u8]| {
        let answer = agent.post(format!("http://{relay}/offer")).send(body);
        answer.expect("there is an answer").status().as_u16()
    };
    let none: Option<String> = None;
    let other = Some(world.daemons[0].callers);
    let entry = |zone: &str, relay: Option<SocketAddr>| {
        let entry = ("other", zone, relay, 250, &none);
        rmp_serde::to_vec(&entry).expect("it can be written")
    };
    assert_eq!(offer(&entry("north-a", other)), 200);
    assert_eq!(offer(&entry("north-a", None)), 400);
    assert_eq!(offer(&entry("nowhere", other)), 400);
    assert_eq!(offer(b"no entry"), 400);
    assert_eq!(offer(&[b'x'; 100_000]), 400);
    let news = |path: &str| {
        let answer = agent.get(format!("http://{relay}{path}")).call();
        answer.expect("there is an answer").status().as_u16()
    };
    assert_eq!(news("/changes?age_ms=0&wait_ms=0"), 200);
    assert_eq!(news("/changes"), 400);
    assert_eq!(news("/changes/x?age_ms=0&wait_ms=0"), 400);
    assert_eq!(news("/changes/1?age_ms=-1&wait_ms=0"), 400);
}

#[test]
fn followers_of_a_frozen_instance_get_a_new_version_in_time() {
    let (mut world, followers) = start();
    let relay = followers[0].1;
    world.daemons[relay].signal("STOP");
    check_new_version(&mut world, &followers, relay);
    world.daemons[relay].signal("CONT");
}

#[test]
fn followers_of_a_cut_off_instance_get_a_new_version_in_time() {
    let (mut world, followers) = start();
    let relay = followers[0].1;
    let silent = Condition {
        half_open: true,
        ..Condition::default()
    };
    world.daemons[relay].link.set(silent);
    check_new_version(&mut world, &followers, relay);
}
