//! Tests of upstreams that register again after they have left, and of late writes that look like
//! it.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Behaviour;
use hemlockrouter_corporation_lab::StoreFault;
use hemlockrouter_corporation_lab::Upstream;
use http::StatusCode;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::CATCH_UP_MS;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::ZONES;

/// The time for which an upstream that has left may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// The longest time until an upstream that is back gets requests.
const USED_AGAIN_WITHIN: Duration = Duration::from_secs(2);

/// The time after which a registration that is renewed counts as that of an upstream that is back.
const LASTING_REGISTRATION: Duration = Duration::from_secs(10);

/// The time for which an instance is frozen, longer than an outage that loses registrations.
const FREEZE: Duration = Duration::from_millis(3_900);

/// The number of instances, five in each of two availability zones: four of them follow the fifth.
const INSTANCE_COUNT: usize = 10;

/// The number of instances, three in each of two availability zones, of which one reads the store.
const RELAYED_INSTANCE_COUNT: usize = 6;

const REQUEST_COUNT: usize = 40;

/// Returns an upstream of the service that one upstream answers.
fn ledger_upstream(deployment: &Deployment) -> &Upstream {
    let mut upstreams = deployment.upstreams.iter();
    let upstream = upstreams.find(|upstream| upstream.service() == "ledger");
    upstream.expect("the service has upstreams")
}

/// Sends requests to each instance of the upstream's zone, which is the first one, and checks that
/// none reaches `upstream`.
fn check_unused(deployment: &Deployment, upstream: &Upstream) {
    for index in (0..deployment.daemons.len()).step_by(ZONES.len()) {
        for _ in 0..REQUEST_COUNT {
            let answer = deployment.call(index, LOOK_UP_PATH, 1_000);
            assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
            let runs = deployment.ledger.runs_of(&answer.attempt_id);
            let late_run = runs.iter().find(|run| run.upstream == upstream.id());
            assert!(late_run.is_none(), "instance {index}: {late_run:?}");
        }
    }
}

/// Waits until each instance of the upstream's zone sends requests to `upstream`.
fn wait_until_used(deployment: &Deployment, upstream: &Upstream) {
    for index in (0..deployment.daemons.len()).step_by(ZONES.len()) {
        eventually("the upstream is used", || {
            let answer = deployment.call(index, LOOK_UP_PATH, 1_000);
            let runs = deployment.ledger.runs_of(&answer.attempt_id);
            runs.iter().any(|run| run.upstream == upstream.id())
        });
    }
}

/// Waits until an upstream that left at `left_at` may get no more requests.
fn wait_until_drained(left_at: Instant) {
    let quiet = DRAIN_TIME + Duration::from_millis(500);
    std::thread::sleep(quiet.saturating_sub(left_at.elapsed()));
}

/// Registers an upstream, waits until it is used, and returns how long that took.
fn register_until_used(deployment: &Deployment, upstream: &Upstream) -> Duration {
    let registered_at = Instant::now();
    upstream.register(&deployment.store, false);
    wait_until_used(deployment, upstream);
    registered_at.elapsed()
}

/// Lets an upstream leave without a report, and its last heartbeat be executed `late_by` later.
fn check_late_heartbeat(deployment: &Deployment, late_by: Duration) {
    let leaving = ledger_upstream(deployment);
    wait_until_used(deployment, leaving);
    let left_at = Instant::now();
    leaving.unregister(&deployment.store);
    std::thread::sleep(late_by);
    leaving.heartbeat_late(&deployment.store);
    wait_until_drained(left_at);
    check_unused(deployment, leaving);
}

/// Guards against requests to an upstream that has left without a report, since the store executes
/// its last heartbeat after the removal.
#[test]
fn late_heartbeat_of_an_upstream_that_has_left_sends_it_nothing() {
    for late_by in [Duration::ZERO, Duration::from_millis(900), DRAIN_TIME] {
        check_late_heartbeat(&Deployment::start(1), late_by);
    }
}

/// Guards against the same requests of instances that follow another one.
#[test]
fn late_heartbeat_of_an_upstream_that_has_left_sends_it_nothing_from_followers() {
    let deployment = Deployment::start(INSTANCE_COUNT);
    check_late_heartbeat(&deployment, Duration::from_millis(900));
}

/// Guards against the same requests if the instance learns of removal and heartbeat from a complete
/// read.
#[test]
fn late_heartbeat_in_a_complete_read_sends_nothing() {
    let deployment = Deployment::start(1);
    let leaving = ledger_upstream(&deployment);
    wait_until_used(&deployment, leaving);
    leaving.unregister(&deployment.store);
    std::thread::sleep(Duration::from_millis(500));
    deployment.store.set_fault(StoreFault::ClosesConnections);
    leaving.heartbeat_late(&deployment.store);
    deployment.store.compact();
    deployment.store.set_fault(StoreFault::Available);
    std::thread::sleep(DRAIN_TIME);
    check_unused(&deployment, leaving);
}

/// Guards against requests to an upstream that drains, since a late write of an earlier start makes
/// it look like a new one.
#[test]
fn late_write_of_an_earlier_start_sends_a_draining_upstream_nothing() {
    let deployment = Deployment::start(1);
    let draining = ledger_upstream(&deployment);
    draining.register(&deployment.store, true);
    let drains_from = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    draining.register_earlier_start_late(&deployment.store);
    std::thread::sleep((DRAIN_TIME + Duration::from_millis(100)) - drains_from.elapsed());
    check_unused(&deployment, draining);
}

/// Guards against an upstream that is back and waits for requests, although it says that it is
/// healthy.
#[test]
fn healthy_upstream_that_is_back_is_used_at_once_by_followers_as_well() {
    let deployment = Deployment::start(INSTANCE_COUNT);
    let upstream = ledger_upstream(&deployment);
    wait_until_used(&deployment, upstream);
    upstream.unregister(&deployment.store);
    std::thread::sleep(Duration::from_secs(1));
    let took = register_until_used(&deployment, upstream);
    assert!(took < USED_AGAIN_WITHIN, "{took:?}");
}

/// Guards against an upstream that is back and gets no requests, because its health checks fail.
#[test]
fn upstream_whose_health_checks_fail_is_used_once_its_registration_has_lasted() {
    let deployment = Deployment::start(1);
    let upstream = ledger_upstream(&deployment);
    upstream.set_behaviour(Behaviour {
        fails_health_checks: true,
        ..Behaviour::default()
    });
    upstream.unregister(&deployment.store);
    std::thread::sleep(Duration::from_secs(1));
    let took = register_until_used(&deployment, upstream);
    let max = LASTING_REGISTRATION + USED_AGAIN_WITHIN;
    assert!(took < max, "{took:?}");
}

/// Guards against upstreams that wait for their confirmation after an outage of the store, in which
/// all registrations were lost.
#[test]
fn registrations_lost_in_an_outage_are_used_at_once_when_they_are_back() {
    for instances in [1, ZONES.len()] {
        check_registration_lost_in_an_outage(&Deployment::start(instances));
    }
}

fn check_registration_lost_in_an_outage(deployment: &Deployment) {
    let upstream = ledger_upstream(deployment);
    wait_until_used(deployment, upstream);
    upstream.set_behaviour(Behaviour {
        fails_health_checks: true,
        ..Behaviour::default()
    });
    deployment.store.set_fault(StoreFault::Status503);
    std::thread::sleep(Duration::from_millis(4_500));
    upstream.unregister(&deployment.store);
    deployment.store.set_fault(StoreFault::Available);
    eventually("the removal is known", || {
        deployment.log(0).contains("registry regained")
    });
    std::thread::sleep(Duration::from_secs(1));
    let took = register_until_used(deployment, upstream);
    assert!(took < USED_AGAIN_WITHIN, "{took:?}");
}

/// Lets an upstream leave while an instance is frozen, and its last heartbeat be executed late.
fn check_departure_during_a_freeze(deployment: &mut Deployment) {
    wait_until_used(deployment, ledger_upstream(deployment));
    deployment.daemons[0].signal("STOP");
    std::thread::sleep(FREEZE);
    let left_at = Instant::now();
    ledger_upstream(deployment).unregister(&deployment.store);
    std::thread::sleep(Duration::from_millis(100));
    deployment.daemons[0].signal("CONT");
    std::thread::sleep(Duration::from_secs(1));
    let leaving = ledger_upstream(deployment);
    leaving.heartbeat_late(&deployment.store);
    wait_until_drained(left_at);
    check_unused(deployment, leaving);
}

/// Guards against requests to an upstream that left while the instance stood still, which the
/// instance takes for a registration lost in an outage of the store (review 13).
#[test]
fn late_heartbeat_of_an_upstream_that_left_during_a_freeze_sends_it_nothing() {
    for instances in [1, ZONES.len()] {
        check_departure_during_a_freeze(&mut Deployment::start(instances));
    }
}

/// Kills a daemon and starts it again.
fn restart(deployment: &mut Deployment, index: usize) {
    deployment.daemons[index].kill();
    deployment.start_daemon(index);
    deployment.wait_ready(index);
}

/// Returns the index of the one daemon of the first zone that reads the store for the others.
fn wait_for_reader(deployment: &Deployment) -> usize {
    let readers = || -> Vec<usize> {
        let zone = (0..deployment.daemons.len()).step_by(ZONES.len());
        zone.filter(|index| deployment.reads_store(*index))
            .collect()
    };
    eventually("one instance reads for the others", || readers().len() == 1);
    readers()[0]
}

/// Guards against requests to an upstream that has left: an instance that was restarted takes its late
/// heartbeat for a new upstream, and those that follow it believe that (review 14).
#[test]
fn restarted_reader_does_not_vouch_for_an_upstream_that_has_left() {
    let mut deployment = Deployment::start(RELAYED_INSTANCE_COUNT);
    let reader = wait_for_reader(&deployment);
    wait_until_used(&deployment, ledger_upstream(&deployment));
    let left_at = Instant::now();
    ledger_upstream(&deployment).unregister(&deployment.store);
    restart(&mut deployment, reader);
    std::thread::sleep(Duration::from_secs(2));
    let leaving = ledger_upstream(&deployment);
    leaving.heartbeat_late(&deployment.store);
    wait_until_drained(left_at);
    check_unused(&deployment, leaving);
}

/// Guards against requests to an upstream that has left, from an instance that starts when the late
/// heartbeat is registered already, and sees another one later (review 14, related path).
#[test]
fn instance_that_starts_after_a_late_heartbeat_learns_of_the_departure() {
    let mut deployment = Deployment::start(RELAYED_INSTANCE_COUNT);
    let reader = wait_for_reader(&deployment);
    wait_until_used(&deployment, ledger_upstream(&deployment));
    let leaving = ledger_upstream(&deployment);
    leaving.unregister(&deployment.store);
    std::thread::sleep(Duration::from_millis(500));
    leaving.heartbeat_late(&deployment.store);
    restart(&mut deployment, reader);
    std::thread::sleep(Duration::from_millis(CATCH_UP_MS));
    let leaving = ledger_upstream(&deployment);
    leaving.heartbeat_late(&deployment.store);
    std::thread::sleep(Duration::from_millis(500));
    check_unused(&deployment, leaving);
}

/// Guards against new upstreams that wait for requests because they have to be confirmed.
#[test]
fn new_upstream_is_used_at_once_by_followers_as_well() {
    let mut deployment = Deployment::start(RELAYED_INSTANCE_COUNT);
    wait_for_reader(&deployment);
    let added_at = Instant::now();
    let index = deployment.add_upstream("ledger", ZONES[0]);
    wait_until_used(&deployment, &deployment.upstreams[index]);
    let took = added_at.elapsed();
    assert!(took < USED_AGAIN_WITHIN, "{took:?}");
}

/// Guards against new upstreams that wait because their service has no health path.
#[test]
fn new_upstream_without_a_health_path_is_used_at_once() {
    let mut deployment = Deployment::start(1);
    deployment.write_config(|config| {
        for service in config["services"].as_array_mut().into_iter().flatten() {
            service["healthPath"] = serde_json::Value::Null;
        }
    });
    let version = deployment.version;
    eventually("the version is in force", || {
        deployment.version_in_force(0) == Some(version)
    });
    let added_at = Instant::now();
    let index = deployment.add_upstream("ledger", ZONES[0]);
    wait_until_used(&deployment, &deployment.upstreams[index]);
    let took = added_at.elapsed();
    assert!(took < USED_AGAIN_WITHIN, "{took:?}");
}

/// Guards against requests to an upstream that has left, whose entry another writer had made unreadable
/// before: the upstream was expected back although its entry was removed (review 13, related path).
#[test]
fn late_heartbeat_after_an_unreadable_entry_sends_nothing() {
    let deployment = Deployment::start(1);
    let leaving = ledger_upstream(&deployment);
    wait_until_used(&deployment, leaving);
    let key = format!("servers/{}", leaving.id());
    deployment.store.put(&key, b"unreadable");
    eventually("the entry is unreadable", || {
        deployment.log(0).contains("unreadable entry")
    });
    let left_at = Instant::now();
    leaving.unregister(&deployment.store);
    std::thread::sleep(Duration::from_millis(500));
    leaving.heartbeat_late(&deployment.store);
    wait_until_drained(left_at);
    check_unused(&deployment, leaving);
}
