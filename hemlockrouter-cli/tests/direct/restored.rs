//! Tests with a store that is restored from a copy that is some seconds old.
//!
//! The restored store lacks all writes since the copy, and assigns the same revisions again.
//! Operators and upstreams repeat their writes. Until then, instances must keep the newer state
//! that they have read before.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Seen;
use hemlockrouter_corporation_lab::StoreCopy;
use hemlockrouter_corporation_lab::Upstream;
use hemlockrouter_lab::link::Condition;
use http::StatusCode;
use serde_json::Value;

use crate::world::eventually;
use crate::world::World;
use crate::world::LOOK_UP;
use crate::world::SEARCH;
use crate::world::ZONES;

/// The longest time after its confirmation until a version is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(3_000);

/// The time after a restore during which operators and upstreams have not repeated their writes.
const NOT_WRITTEN_YET: Duration = Duration::from_millis(1_500);

/// The time for which an upstream is used after its registration has ended, plus a margin.
const GONE_AFTER: Duration = Duration::from_millis(2_500);

fn move_route(config: &mut Value, to: &str) {
    config["routes"][2]["pathPrefix"] = to.into();
}

/// Sends requests to all daemons in turn for the duration `time`, and returns the answers.
fn calls_for(world: &World, time: Duration, path: &str) -> Vec<Seen> {
    let start = Instant::now();
    let mut seen = Vec::new();
    while start.elapsed() < time {
        for at in 0..world.daemons.len() {
            seen.push(world.call(at, path, 800));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    seen
}

fn assert_all_served(seen: &[Seen]) {
    for one in seen {
        assert_eq!(one.status, Some(StatusCode::OK), "{one:?}");
    }
}

fn wait_in_force(world: &World, path: &str) {
    let start = Instant::now();
    for at in 0..world.daemons.len() {
        eventually("the version is in force", || {
            world.call(at, path, 500).status == Some(StatusCode::OK)
        });
    }
    assert!(start.elapsed() < IN_FORCE_WITHIN, "{:?}", start.elapsed());
}

fn ledgers(world: &World) -> impl Iterator<Item = &Upstream> {
    let upstreams = world.upstreams.iter();
    upstreams.filter(|upstream| upstream.service() == "ledger")
}

/// Returns a copy of the store without the upstreams of one service. Instances are using these
/// upstreams.
fn copy_without_ledgers(world: &World) -> StoreCopy {
    ledgers(world).for_each(|upstream| upstream.unregister(&world.store));
    let copy = world.store.copy();
    ledgers(world).for_each(|upstream| upstream.register(&world.store, false));
    std::thread::sleep(GONE_AFTER);
    copy
}

#[test]
fn version_newer_than_the_restored_store_stays_in_force() {
    let mut world = World::start(4);
    let copy = world.store.copy();
    world.configure(|config| move_route(config, "/moved/"));
    wait_in_force(&world, "/moved/x");
    world.store.restore(&copy);
    assert_all_served(&calls_for(&world, NOT_WRITTEN_YET, "/moved/x"));
    world.configure(|config| move_route(config, "/moved-on/"));
    wait_in_force(&world, "/moved-on/x");
}

#[test]
fn new_version_arrives_after_revisions_are_reused() {
    let mut world = World::start(2);
    let copy = world.store.copy();
    world.configure(|config| move_route(config, "/moved/"));
    wait_in_force(&world, "/moved/x");
    world.store.restore(&copy);
    for upstream in &world.upstreams {
        upstream.register(&world.store, false);
    }
    world.configure(|config| move_route(config, "/moved-on/"));
    wait_in_force(&world, "/moved-on/x");
}

#[test]
fn cut_off_instance_gets_new_version_through_others_after_restore() {
    let mut world = World::start(4);
    let copy = world.store.copy();
    world.configure(|config| move_route(config, "/moved/"));
    wait_in_force(&world, "/moved/x");
    let cut = Condition {
        cut: true,
        ..Condition::default()
    };
    world.daemons[0].link.set(cut);
    world.store.restore(&copy);
    world.configure(|config| move_route(config, "/moved-on/"));
    wait_in_force(&world, "/moved-on/x");
}

#[test]
fn upstream_that_left_gets_no_requests_until_it_registers_again() {
    let mut world = World::start(2);
    let gone = world.add_upstream("ledger", ZONES[0]);
    let runs = |world: &World| {
        let runs = world.ledger.runs();
        let id = world.upstreams[gone].id();
        runs.iter().filter(|run| run.upstream == id).count()
    };
    eventually("the upstream is used", || {
        world.call(0, LOOK_UP, 800);
        runs(&world) > 0
    });
    let copy = world.store.copy();
    world.upstreams[gone].unregister(&world.store);
    std::thread::sleep(GONE_AFTER);
    let before = runs(&world);
    world.store.restore(&copy);
    assert_all_served(&calls_for(&world, GONE_AFTER, LOOK_UP));
    assert_eq!(runs(&world), before, "it had left");
    world.upstreams[gone].register(&world.store, false);
    eventually("the upstream is used again", || {
        world.call(0, LOOK_UP, 800);
        runs(&world) > before
    });
}

#[test]
fn upstreams_missing_from_the_restored_store_are_used_for_a_while() {
    let world = World::start(2);
    let copy = copy_without_ledgers(&world);
    world.store.restore(&copy);
    assert_all_served(&calls_for(&world, NOT_WRITTEN_YET, LOOK_UP));
    // One of the two upstreams registers again. The other upstream does not and is removed.
    ledgers(&world)
        .take(1)
        .for_each(|upstream| upstream.register(&world.store, false));
    assert_all_served(&calls_for(&world, GONE_AFTER, LOOK_UP));
    std::thread::sleep(GONE_AFTER);
    let start = Instant::now();
    assert_all_served(&calls_for(&world, NOT_WRITTEN_YET, LOOK_UP));
    let gone = ledgers(&world).nth(1).expect("there are two").id();
    let runs = world.ledger.runs();
    let late = runs
        .iter()
        .filter(|run| run.at >= start && run.upstream == gone);
    assert_eq!(late.count(), 0, "it is not registered");
}

#[test]
fn zone_stays_out_of_service_after_restoring_an_older_store() {
    let world = World::start(2);
    let copy = world.store.copy();
    world.store.evacuate(ZONES[0], true);
    std::thread::sleep(GONE_AFTER);
    world.store.restore(&copy);
    let start = Instant::now();
    assert_all_served(&calls_for(&world, NOT_WRITTEN_YET, SEARCH));
    world.store.evacuate(ZONES[0], true);
    assert_all_served(&calls_for(&world, GONE_AFTER, SEARCH));
    let runs = world.ledger.runs();
    let late = runs
        .iter()
        .filter(|run| run.at >= start && run.zone == ZONES[0]);
    assert_eq!(late.count(), 0, "the zone is out of service");
}

#[test]
fn instances_register_again_without_renewing_foreign_leases() {
    check_registered_again(&World::start(2));
}

/// Guards against treating the generation 0 as an absent generation.
#[test]
fn instances_register_again_when_the_first_generation_is_zero() {
    let mut world = World::start(2);
    world.store.set_era(0);
    for at in 0..world.daemons.len() {
        world.daemons[at].kill();
        world.start_daemon(at);
        world.wait_ready(at);
    }
    check_registered_again(&world);
}

/// Restores the store from a copy without leases, grants the same lease ids to another client, and
/// checks that instances register again without renewing these leases.
fn check_registered_again(world: &World) {
    world.wait_settled();
    let registered = || world.store.keys("hemlock/instances/").len();
    eventually("all are registered", || registered() == 2);
    let copy = world.store.copy().without_leases();
    let leases = world.store.leases();
    assert!(!leases.is_empty());
    world.store.restore(&copy);
    leases.iter().for_each(|lease| world.store.grant(*lease));
    let returned = Instant::now();
    eventually("all are registered again", || registered() == 2);
    assert!(
        returned.elapsed() < IN_FORCE_WITHIN,
        "{:?}",
        returned.elapsed()
    );
    let renewals = || {
        let renewals = leases.iter().map(|lease| world.store.renewals(*lease));
        renewals.sum::<u64>()
    };
    let before = renewals();
    // 8 s is longer than the interval between two renewals.
    std::thread::sleep(Duration::from_secs(8));
    assert_eq!(renewals(), before);
}

#[test]
fn version_stays_in_force_after_two_restores_in_a_row() {
    let mut world = World::start(4);
    let copy = world.store.copy();
    world.configure(|config| move_route(config, "/moved/"));
    wait_in_force(&world, "/moved/x");
    world.store.restore(&copy);
    assert_all_served(&calls_for(&world, Duration::from_millis(400), "/moved/x"));
    world.store.restore(&copy);
    assert_all_served(&calls_for(&world, NOT_WRITTEN_YET, "/moved/x"));
    world.configure(|config| move_route(config, "/moved-on/"));
    wait_in_force(&world, "/moved-on/x");
}

#[test]
fn upstreams_missing_after_restore_are_used_after_a_full_read() {
    let world = World::start(1);
    let copy = copy_without_ledgers(&world);
    world.store.restore(&copy);
    std::thread::sleep(Duration::from_millis(200));
    world.store.put("op/other", b"{}");
    world.store.compact();
    assert_all_served(&calls_for(&world, NOT_WRITTEN_YET, LOOK_UP));
}

#[test]
fn lower_or_absent_generation_is_ignored() {
    let mut world = World::start(1);
    for (era, path) in [(7, "/a/"), (3, "/b/"), (0, "/c/"), (7, "/d/")] {
        world.store.set_era(era);
        world.configure(|config| move_route(config, path));
        wait_in_force(&world, &format!("{path}x"));
    }
    let log = world.log(0);
    let lines = log.matches("the registry's generation is not used").count();
    assert!((1..=2).contains(&lines), "once by each connection: {lines}");
}
