//! Tests with a store that is restored from a copy that is some seconds old.
//!
//! The restored store lacks all writes since the copy, and assigns the same revisions again.
//! Operators and upstreams repeat their writes. Until then, instances must keep the newer state
//! that they have read before.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::CallResult;
use hemlockrouter_corporation_lab::StoreCopy;
use hemlockrouter_corporation_lab::Upstream;
use hemlockrouter_lab::link::LinkCondition;
use http::StatusCode;
use serde_json::Value;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;
use crate::deployment::ZONES;

/// The longest time after its confirmation until a version is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(3_000);

/// The time after a restore during which operators and upstreams have not repeated their writes.
const REPEATED_WRITES_DELAY: Duration = Duration::from_millis(1_500);

/// The time for which an upstream is used after its registration has ended, plus a margin.
const UPSTREAM_REMOVED_AFTER: Duration = Duration::from_millis(2_500);

fn set_route_prefix(config: &mut Value, to: &str) {
    config["routes"][2]["pathPrefix"] = to.into();
}

/// Sends requests to all daemons in turn for the duration `time`, and returns the answers.
fn call_all_for(deployment: &Deployment, time: Duration, path: &str) -> Vec<CallResult> {
    let start = Instant::now();
    let mut answer = Vec::new();
    while start.elapsed() < time {
        for index in 0..deployment.daemons.len() {
            answer.push(deployment.call(index, path, 800));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    answer
}

fn assert_all_served(answer: &[CallResult]) {
    for one in answer {
        assert_eq!(one.status, Some(StatusCode::OK), "{one:?}");
    }
}

fn wait_in_force(deployment: &Deployment, path: &str) {
    let start = Instant::now();
    for index in 0..deployment.daemons.len() {
        eventually("the version is in force", || {
            deployment.call(index, path, 500).status == Some(StatusCode::OK)
        });
    }
    assert!(start.elapsed() < IN_FORCE_WITHIN, "{:?}", start.elapsed());
}

fn ledger_upstreams(deployment: &Deployment) -> impl Iterator<Item = &Upstream> {
    let upstreams = deployment.upstreams.iter();
    upstreams.filter(|upstream| upstream.service() == "ledger")
}

/// Returns a copy of the store without the upstreams of one service. Instances are using these
/// upstreams.
fn copy_without_ledger_upstreams(deployment: &Deployment) -> StoreCopy {
    ledger_upstreams(deployment).for_each(|upstream| upstream.unregister(&deployment.store));
    let copy = deployment.store.copy();
    ledger_upstreams(deployment).for_each(|upstream| upstream.register(&deployment.store, false));
    std::thread::sleep(UPSTREAM_REMOVED_AFTER);
    copy
}

#[test]
fn version_newer_than_the_restored_store_stays_in_force() {
    let mut deployment = Deployment::start(4);
    let copy = deployment.store.copy();
    deployment.write_config(|config| set_route_prefix(config, "/moved/"));
    wait_in_force(&deployment, "/moved/x");
    deployment.store.restore(&copy);
    assert_all_served(&call_all_for(
        &deployment,
        REPEATED_WRITES_DELAY,
        "/moved/x",
    ));
    deployment.write_config(|config| set_route_prefix(config, "/moved-on/"));
    wait_in_force(&deployment, "/moved-on/x");
}

#[test]
fn new_version_arrives_after_revisions_are_reused() {
    let mut deployment = Deployment::start(2);
    let copy = deployment.store.copy();
    deployment.write_config(|config| set_route_prefix(config, "/moved/"));
    wait_in_force(&deployment, "/moved/x");
    deployment.store.restore(&copy);
    for upstream in &deployment.upstreams {
        upstream.register(&deployment.store, false);
    }
    deployment.write_config(|config| set_route_prefix(config, "/moved-on/"));
    wait_in_force(&deployment, "/moved-on/x");
}

#[test]
fn cut_off_instance_gets_new_version_through_others_after_restore() {
    let mut deployment = Deployment::start(4);
    let copy = deployment.store.copy();
    deployment.write_config(|config| set_route_prefix(config, "/moved/"));
    wait_in_force(&deployment, "/moved/x");
    let cut = LinkCondition {
        cut: true,
        ..LinkCondition::default()
    };
    deployment.daemons[0].link.set_condition(cut);
    deployment.store.restore(&copy);
    deployment.write_config(|config| set_route_prefix(config, "/moved-on/"));
    wait_in_force(&deployment, "/moved-on/x");
}

#[test]
fn upstream_that_left_gets_no_requests_until_it_registers_again() {
    let mut deployment = Deployment::start(2);
    let removed = deployment.add_upstream("ledger", ZONES[0]);
    let runs = |deployment: &Deployment| {
        let runs = deployment.ledger.runs();
        let id = deployment.upstreams[removed].id();
        runs.iter().filter(|run| run.upstream == id).count()
    };
    eventually("the upstream is used", || {
        deployment.call(0, LOOK_UP_PATH, 800);
        runs(&deployment) > 0
    });
    let copy = deployment.store.copy();
    deployment.upstreams[removed].unregister(&deployment.store);
    std::thread::sleep(UPSTREAM_REMOVED_AFTER);
    let before = runs(&deployment);
    deployment.store.restore(&copy);
    assert_all_served(&call_all_for(
        &deployment,
        UPSTREAM_REMOVED_AFTER,
        LOOK_UP_PATH,
    ));
    assert_eq!(runs(&deployment), before, "it had left");
    deployment.upstreams[removed].register(&deployment.store, false);
    eventually("the upstream is used again", || {
        deployment.call(0, LOOK_UP_PATH, 800);
        runs(&deployment) > before
    });
}

#[test]
fn upstreams_missing_from_the_restored_store_are_used_for_a_while() {
    let deployment = Deployment::start(2);
    let copy = copy_without_ledger_upstreams(&deployment);
    deployment.store.restore(&copy);
    assert_all_served(&call_all_for(
        &deployment,
        REPEATED_WRITES_DELAY,
        LOOK_UP_PATH,
    ));
    // One of the two upstreams registers again. The other upstream does not and is removed.
    ledger_upstreams(&deployment)
        .take(1)
        .for_each(|upstream| upstream.register(&deployment.store, false));
    assert_all_served(&call_all_for(
        &deployment,
        UPSTREAM_REMOVED_AFTER,
        LOOK_UP_PATH,
    ));
    std::thread::sleep(UPSTREAM_REMOVED_AFTER);
    let start = Instant::now();
    assert_all_served(&call_all_for(
        &deployment,
        REPEATED_WRITES_DELAY,
        LOOK_UP_PATH,
    ));
    let removed = ledger_upstreams(&deployment)
        .nth(1)
        .expect("there are two")
        .id();
    let runs = deployment.ledger.runs();
    let late_runs = runs
        .iter()
        .filter(|run| run.started_at >= start && run.upstream == removed);
    assert_eq!(late_runs.count(), 0, "it is not registered");
}

#[test]
fn zone_stays_out_of_service_after_restoring_an_older_store() {
    let deployment = Deployment::start(2);
    let copy = deployment.store.copy();
    deployment.store.evacuate(ZONES[0], true);
    std::thread::sleep(UPSTREAM_REMOVED_AFTER);
    deployment.store.restore(&copy);
    let start = Instant::now();
    assert_all_served(&call_all_for(
        &deployment,
        REPEATED_WRITES_DELAY,
        SEARCH_PATH,
    ));
    deployment.store.evacuate(ZONES[0], true);
    assert_all_served(&call_all_for(
        &deployment,
        UPSTREAM_REMOVED_AFTER,
        SEARCH_PATH,
    ));
    let runs = deployment.ledger.runs();
    let late_runs = runs
        .iter()
        .filter(|run| run.started_at >= start && run.zone == ZONES[0]);
    assert_eq!(late_runs.count(), 0, "the zone is out of service");
}

#[test]
fn instances_register_again_without_renewing_foreign_leases() {
    check_registration_after_restore(&Deployment::start(2));
}

/// Guards against treating the generation 0 as an absent generation.
#[test]
fn instances_register_again_when_the_first_generation_is_zero() {
    let mut deployment = Deployment::start(2);
    deployment.store.set_reported_era(0);
    for index in 0..deployment.daemons.len() {
        deployment.daemons[index].kill();
        deployment.start_daemon(index);
        deployment.wait_ready(index);
    }
    check_registration_after_restore(&deployment);
}

/// Restores the store from a copy without leases, grants the same lease ids to another client, and
/// checks that instances register again without renewing these leases.
fn check_registration_after_restore(deployment: &Deployment) {
    deployment.wait_until_instance_list_settles();
    let registered = || deployment.store.keys("hemlock/instances/").len();
    eventually("all are registered", || registered() == 2);
    let copy = deployment.store.copy().without_leases();
    let leases = deployment.store.lease_ids();
    assert!(!leases.is_empty());
    deployment.store.restore(&copy);
    leases
        .iter()
        .for_each(|lease| deployment.store.grant_lease_to_other_client(*lease));
    let store_restored_at = Instant::now();
    eventually("all are registered again", || registered() == 2);
    assert!(
        store_restored_at.elapsed() < IN_FORCE_WITHIN,
        "{:?}",
        store_restored_at.elapsed()
    );
    let renewals = || {
        let renewals = leases
            .iter()
            .map(|lease| deployment.store.renewal_calls(*lease));
        renewals.sum::<u64>()
    };
    let before = renewals();
    // 8 s is longer than the interval between two renewals.
    std::thread::sleep(Duration::from_secs(8));
    assert_eq!(renewals(), before);
}

#[test]
fn version_stays_in_force_after_two_restores_in_a_row() {
    let mut deployment = Deployment::start(4);
    let copy = deployment.store.copy();
    deployment.write_config(|config| set_route_prefix(config, "/moved/"));
    wait_in_force(&deployment, "/moved/x");
    deployment.store.restore(&copy);
    assert_all_served(&call_all_for(
        &deployment,
        Duration::from_millis(400),
        "/moved/x",
    ));
    deployment.store.restore(&copy);
    assert_all_served(&call_all_for(
        &deployment,
        REPEATED_WRITES_DELAY,
        "/moved/x",
    ));
    deployment.write_config(|config| set_route_prefix(config, "/moved-on/"));
    wait_in_force(&deployment, "/moved-on/x");
}

#[test]
fn upstreams_missing_after_restore_are_used_after_a_full_read() {
    let deployment = Deployment::start(1);
    let copy = copy_without_ledger_upstreams(&deployment);
    deployment.store.restore(&copy);
    std::thread::sleep(Duration::from_millis(200));
    deployment.store.put("op/other", b"{}");
    deployment.store.compact();
    assert_all_served(&call_all_for(
        &deployment,
        REPEATED_WRITES_DELAY,
        LOOK_UP_PATH,
    ));
}

#[test]
fn lower_or_absent_generation_is_ignored() {
    let mut deployment = Deployment::start(1);
    for (era, path) in [(7, "/a/"), (3, "/b/"), (0, "/c/"), (7, "/d/")] {
        deployment.store.set_reported_era(era);
        deployment.write_config(|config| set_route_prefix(config, path));
        wait_in_force(&deployment, &format!("{path}x"));
    }
    let log = deployment.log(0);
    let lines = log.matches("the registry's generation is not used").count();
    assert!((1..=2).contains(&lines), "once by each connection: {lines}");
}
