//! Tests of relays: most instances of an availability zone follow a few instances that read the
//! registry for them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::StoreFault;
use hemlockrouter_lab::link::LinkCondition;
use http::StatusCode;
use serde_json::json;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::CATCH_UP_MS;
use crate::deployment::SEARCH_PATH;
use crate::deployment::ZONES;

/// The number of instances, five in each of two availability zones. In a zone of this size, four
/// instances follow the fifth.
const INSTANCE_COUNT: usize = 10;

/// The number of instances that follow another instance.
const FOLLOWER_COUNT: usize = 8;

/// The largest number of store calls while all instances start. Each instance reads a few pages,
/// two instances keep reading for the others, and two register all instances.
const MAX_STORE_CALLS_AT_START: u64 = 60;

/// The longest time after an outage of the store until instances that started during the outage are
/// ready. Upstreams that have lost their registration need about two seconds to register again.
const READY_WITHIN: Duration = Duration::from_secs(2);

/// The number of registered but unreachable instances with which the fleet counts as large.
const UNREACHABLE_INSTANCES: usize = 100;

/// Returns the index of each daemon that follows another daemon, with the index of the daemon that
/// it follows.
fn followers(deployment: &Deployment) -> Vec<(usize, usize)> {
    let followed_by = |index: usize| {
        let log = deployment.log(index);
        let mut lines = log.lines().filter(|line| line.contains("\"following\""));
        let last = lines.next_back()?;
        let relay = deployment
            .daemons
            .iter()
            .position(|daemon| last.contains(&daemon.relay_address()));
        relay.map(|relay| (index, relay))
    };
    (0..INSTANCE_COUNT).filter_map(followed_by).collect()
}

fn start_with_followers() -> (Deployment, Vec<(usize, usize)>) {
    let deployment = Deployment::start(INSTANCE_COUNT);
    eventually("all but the readers follow others", || {
        followers(&deployment).len() >= FOLLOWER_COUNT
    });
    let followers = followers(&deployment);
    (deployment, followers)
}

/// Writes a new version, and checks that the version is in force on the followers of `relay` in
/// time.
fn check_new_version(deployment: &mut Deployment, followers: &[(usize, usize)], relay: usize) {
    deployment.write_config(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    let written = Instant::now();
    for (index, _) in followers.iter().filter(|(_, followed)| *followed == relay) {
        eventually("the new version is in force", || {
            deployment.call(*index, "/moved/x", 500).status == Some(StatusCode::OK)
        });
    }
    let elapsed = written.elapsed();
    assert!(elapsed < Duration::from_millis(CATCH_UP_MS), "{elapsed:?}");
}

/// Returns an HTTP client that does not treat an error status as an error.
fn http_client() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    ureq::Agent::new_with_config(config.build())
}

#[test]
fn followers_get_a_new_version_with_few_registry_calls() {
    let (mut deployment, followers) = start_with_followers();
    for (_, relay) in followers.clone() {
        check_new_version(&mut deployment, &followers, relay);
    }
    // After this time, each instance is registered by the instance that it follows.
    std::thread::sleep(Duration::from_secs(6));
    let before = deployment.store.calls_received();
    std::thread::sleep(Duration::from_secs(4));
    // Two instances read the store, each seven times in 8 s at the default bound of 3 s, and each
    // of the two renews a lease every 6 s.
    let calls = deployment.store.calls_received() - before;
    assert!(calls <= 10, "{calls} calls in 4 s");
}

#[test]
fn all_instances_register_with_few_calls_when_started_at_once() {
    let (mut deployment, _) = start_with_followers();
    let keys = "hemlock/instances/";
    eventually("all are registered", || {
        deployment.store.keys(keys).len() == INSTANCE_COUNT
    });
    deployment.wait_until_instance_list_settles();
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    let before = deployment.store.calls_received();
    for index in 0..INSTANCE_COUNT {
        deployment.start_daemon(index);
    }
    for index in 0..INSTANCE_COUNT {
        deployment.wait_ready(index);
    }
    eventually("all but the readers follow others", || {
        followers(&deployment).len() >= FOLLOWER_COUNT
    });
    std::thread::sleep(Duration::from_secs(2));
    let calls = deployment.store.calls_received() - before;
    assert!(calls <= MAX_STORE_CALLS_AT_START, "{calls} calls");
    let read_from_relays =
        (0..INSTANCE_COUNT).filter(|index| deployment.log(*index).contains("read from a relay"));
    assert_eq!(read_from_relays.count(), 0, "the fleet is small");
    assert_eq!(deployment.store.keys(keys).len(), INSTANCE_COUNT);
    deployment.daemons[3].shut_down();
    eventually("one that stops is not on the list", || {
        deployment.store.keys(keys).len() == INSTANCE_COUNT - 1
    });
}

#[test]
fn instance_started_during_a_store_outage_reads_from_relays() {
    let (mut deployment, _) = start_with_followers();
    deployment.store.set_fault(StoreFault::Status503);
    deployment.daemons[4].kill();
    deployment.start_daemon(4);
    deployment.wait_ready(4);
    let answer = deployment.call(4, SEARCH_PATH, 1_000);
    assert_eq!(
        (answer.status, answer.shards_missing),
        (Some(StatusCode::OK), 0)
    );
    eventually("it says so", || {
        deployment.log(4).contains("read from a relay")
    });
}

/// Guards against an instance that waits for the store during its outage, although a seed has read
/// the store, because the seed knows no other instance of the starting one's zone.
#[test]
fn instance_unknown_to_the_seed_reads_from_it_during_a_store_outage() {
    let mut deployment = Deployment::start(2);
    deployment.wait_until_instance_list_settles();
    deployment.daemons[1].shut_down();
    eventually("the seed is the only listed instance", || {
        deployment.store.keys("hemlock/instances/").len() == 1
    });
    std::thread::sleep(Duration::from_millis(500));
    deployment.store.set_fault(StoreFault::Status503);
    deployment.start_daemon(1);
    deployment.wait_ready(1);
    eventually("it says so", || {
        deployment.log(1).contains("read from a relay")
    });
}

/// Covers the simultaneous start of hundreds of instances, for which the bandwidth to the store is
/// too small.
#[test]
fn most_instances_of_a_large_fleet_read_from_relays() {
    let (mut deployment, _) = start_with_followers();
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    // These instances are registered but unreachable. Their low CPU share ranks them last for any
    // role.
    for number in 0..UNREACHABLE_INSTANCES {
        let entry = json!({
            "name": format!("other-{number}"),
            "zone": ZONES[number % ZONES.len()],
            "relay": "127.0.0.1:1",
            "cpu_permille": 1,
        });
        let key = format!("hemlock/instances/other-{number}");
        deployment.store.put(&key, entry.to_string().as_bytes());
    }
    for index in 0..INSTANCE_COUNT {
        deployment.start_daemon(index);
    }
    for index in 0..INSTANCE_COUNT {
        deployment.wait_ready(index);
    }
    // In each availability zone, two instances read from the store.
    eventually("the others read from relays", || {
        let read = (0..INSTANCE_COUNT)
            .filter(|index| deployment.log(*index).contains("read from a relay"));
        read.count() >= INSTANCE_COUNT - 2 * ZONES.len()
    });
}

/// Covers a restart of all instances while the store is down. No instance has any routes, and
/// callers wait for the first instance that gets them.
#[test]
fn instances_started_during_an_outage_are_ready_soon_after_it() {
    let (mut deployment, _) = start_with_followers();
    deployment.store.set_fault(StoreFault::Status503);
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    for index in 0..INSTANCE_COUNT {
        deployment.start_daemon(index);
    }
    std::thread::sleep(Duration::from_millis(1_600));
    let before = deployment.store.calls_received();
    deployment.store.set_fault(StoreFault::Available);
    let outage_ended_at = Instant::now();
    for index in 0..INSTANCE_COUNT {
        deployment.wait_ready(index);
    }
    let elapsed = outage_ended_at.elapsed();
    assert!(elapsed < READY_WITHIN, "{elapsed:?}");
    let calls = deployment.store.calls_received() - before;
    assert!(calls <= MAX_STORE_CALLS_AT_START, "{calls} calls");
}

#[test]
fn reader_cut_off_from_the_store_gets_new_versions_from_relays() {
    let (mut deployment, followers) = start_with_followers();
    let reader = followers[0].1;
    let cut = LinkCondition {
        cut: true,
        ..LinkCondition::default()
    };
    deployment.daemons[reader].link.set_condition(cut);
    check_new_version(&mut deployment, &[(reader, reader)], reader);
}

#[test]
fn invalid_registration_is_refused() {
    let deployment = Deployment::start(1);
    let join_status = |body: &[u8]| {
        let url = format!("http://{}/join", deployment.daemons[0].relay);
        let answer = http_client().post(url).send(body);
        answer.expect("there is an answer").status().as_u16()
    };
    let none: Option<String> = None;
    let entry = |name: &str, zone: &str| {
        let entry = (name, zone, &none, 250, &none);
        rmp_serde::to_vec(&entry).expect("it can be written")
    };
    assert_eq!(join_status(&entry("new", "north-a")), 200);
    assert_eq!(join_status(&entry("new", "nowhere")), 400);
    assert_eq!(join_status(&entry("", "north-a")), 400);
    assert_eq!(join_status(&entry(&"n".repeat(200), "north-a")), 400);
    assert_eq!(join_status(b"no entry"), 400);
    assert_eq!(join_status(&[b'x'; 100_000]), 400);
    eventually("each refusal is logged", || {
        let log = deployment.log(0);
        log.matches("a call of another instance is refused").count() == 5
    });
    eventually("the one that makes sense is registered", || {
        deployment.store.keys("hemlock/instances/").len() == 2
    });
}

/// Guards against an availability zone whose name has a meaning in a path, so that its instances
/// find no reader.
#[test]
fn readers_of_a_zone_with_any_name_are_found() {
    let deployment = Deployment::start(1);
    let relay = deployment.daemons[0].relay;
    let readers_of = |zone: &str| {
        let answer = http_client()
            .get(format!("http://{relay}/readers/{zone}"))
            .call();
        let body = answer.and_then(|mut answer| answer.body_mut().read_to_vec());
        body.expect("the relay answers")
    };
    let name = deployment.daemons[0].name.as_bytes();
    let names_reader = |zone: &str| {
        let readers = readers_of(zone);
        readers.windows(name.len()).any(|text| text == name)
    };
    eventually("the readers are known", || names_reader("north-a"));
    assert!(names_reader("north%2Da"));
}

#[test]
fn invalid_relay_offer_or_changes_request_is_refused() {
    let deployment = Deployment::start(1);
    let http_client = http_client();
    let relay = deployment.daemons[0].relay;
    let offer_status = |body: &[u8]| {
        let answer = http_client.post(format!("http://{relay}/offer")).send(body);
        answer.expect("there is an answer").status().as_u16()
    };
    let none: Option<String> = None;
    let other = Some(deployment.daemons[0].callers);
    let entry = |zone: &str, relay: Option<SocketAddr>| {
        let entry = ("other", zone, relay, 250, &none);
        rmp_serde::to_vec(&entry).expect("it can be written")
    };
    assert_eq!(offer_status(&entry("north-a", other)), 200);
    assert_eq!(offer_status(&entry("north-a", None)), 400);
    assert_eq!(offer_status(&entry("nowhere", other)), 400);
    assert_eq!(offer_status(b"no entry"), 400);
    assert_eq!(offer_status(&[b'x'; 100_000]), 400);
    let changes_status = |path: &str| {
        let answer = http_client.get(format!("http://{relay}{path}")).call();
        answer.expect("there is an answer").status().as_u16()
    };
    assert_eq!(changes_status("/changes?age_ms=0&wait_ms=0"), 200);
    assert_eq!(changes_status("/changes"), 400);
    assert_eq!(changes_status("/changes/x?age_ms=0&wait_ms=0"), 400);
    assert_eq!(changes_status("/changes/1?age_ms=-1&wait_ms=0"), 400);
}

#[test]
fn followers_of_a_frozen_instance_get_a_new_version_in_time() {
    let (mut deployment, followers) = start_with_followers();
    let relay = followers[0].1;
    deployment.daemons[relay].signal("STOP");
    check_new_version(&mut deployment, &followers, relay);
    deployment.daemons[relay].signal("CONT");
}

#[test]
fn followers_of_a_cut_off_instance_get_a_new_version_in_time() {
    let (mut deployment, followers) = start_with_followers();
    let relay = followers[0].1;
    let silent = LinkCondition {
        half_open: true,
        ..LinkCondition::default()
    };
    deployment.daemons[relay].link.set_condition(silent);
    check_new_version(&mut deployment, &followers, relay);
}
