//! Tests the guarantees of a fleet that follows a registry, in virtual time.
//!
//! After every step, the tests check that the instances' shares of a shared bound never add up to
//! more than the bound allows, and that no instance's view of the registry is older than the bound
//! on changes allows. After the faults, the tests check how soon all views agree again, and how
//! many calls the registry receives.

mod calls;
mod checks;
mod fleet;
mod node;
mod registry;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::fleet::Fleet;
use crate::node::FleetShape;

/// A fleet of six availability zones, with the bound on changes for this size.
const LARGE_FLEET: FleetShape = FleetShape {
    zones: 6,
    instances_per_zone: 50,
    bound_ms: 6_000,
};

/// Fleets of three availability zones, with the shortest bound on changes.
const SMALL_FLEETS: [FleetShape; 3] = [small_fleet(2), small_fleet(3), small_fleet(5)];

const fn small_fleet(instances_per_zone: usize) -> FleetShape {
    FleetShape {
        zones: 3,
        instances_per_zone,
        bound_ms: 3_000,
    }
}

/// Time after the last fault within which all views are fresh, and further time within which the
/// instance list is correct, in milliseconds.
const FRESH_WITHIN_MS: u64 = 6_000;
const LISTED_WITHIN_MS: u64 = 45_000;

/// Maximum number of registry calls for each instance when all instances start at once, and for
/// each zone and second in a calm.
const MAX_START_CALLS_PER_INSTANCE: u64 = 2;
const MAX_CALM_CALLS_PER_ZONE_SECOND: u64 = 2;

/// Maximum age of an instance's view of the registry that counts as fresh, in milliseconds.
const MAX_VIEW_AGE_MS: u64 = 4_500;

/// Default number of random fault sequences, unless `HEMLOCK_FLEET_SEEDS` is set.
const DEFAULT_SEED_COUNT: u64 = 3;

/// Number of fault sequences on small fleets for each sequence on a large fleet; small fleets take
/// less time.
const SMALL_FLEET_SEEDS_FACTOR: u64 = 10;

fn inject_random_fault(fleet: &mut Fleet, rng: &mut StdRng) {
    let now = fleet.now;
    let zone = rng.random_range(0..fleet.shape.zones);
    let ms = rng.random_range(500..9_000);
    match rng.random_range(0..6) {
        0 => {
            let index = fleet.reader_of_zone(zone);
            fleet.kill(index, ms);
        }
        1 => {
            let index = fleet.reader_of_zone(zone);
            fleet.nodes[index].frozen_until = now + ms;
        }
        2 => fleet.refuse_some_instances(rng, ms),
        3 => fleet.zone_cut = Some((zone, now + ms)),
        4 => {
            fleet.registry.is_down = true;
            fleet.run(ms);
            fleet.registry.is_down = false;
        }
        _ => {
            for _ in 0..fleet.nodes.len() / 15 {
                let index = rng.random_range(0..fleet.nodes.len());
                fleet.kill(index, ms);
            }
        }
    }
}

/// Injects random faults, and checks that the views are fresh and the list is correct afterwards.
fn check_recovery_from_random_faults(shape: FleetShape, seed: u64) {
    println!("{} instances, seed {seed}", shape.instances());
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(shape);
    fleet.run(20_000);
    for _ in 0..8 {
        inject_random_fault(&mut fleet, &mut rng);
        let pause_ms = rng.random_range(0..6_000);
        fleet.run(pause_ms);
    }
    // Every fault lasts for at most 9 s.
    fleet.run(9_000 + FRESH_WITHIN_MS);
    fleet.check_views_are_fresh(MAX_VIEW_AGE_MS);
    fleet.run(LISTED_WITHIN_MS);
    fleet.check_list();
}

/// Returns the number of seeds to run.
fn seed_count() -> u64 {
    let seeds = std::env::var("HEMLOCK_FLEET_SEEDS");
    let seeds = seeds.ok().and_then(|seeds| seeds.parse().ok());
    seeds.unwrap_or(DEFAULT_SEED_COUNT)
}

#[test]
fn registry_calls_are_bounded_at_start_and_in_a_calm() {
    let mut fleet = Fleet::new(LARGE_FLEET);
    fleet.run(20_000);
    let instances = LARGE_FLEET.instances() as u64;
    let calls = fleet.registry.calls;
    assert!(
        calls <= MAX_START_CALLS_PER_INSTANCE * instances,
        "{calls} calls"
    );
    fleet.check_views_are_fresh(MAX_VIEW_AGE_MS);
    fleet.check_list();
    for node in &fleet.nodes {
        assert_eq!(
            node.instances.complete_count(fleet.now),
            Some(instances as u32)
        );
    }
    let before = fleet.registry.calls;
    fleet.run(20_000);
    let calls = fleet.registry.calls - before;
    assert!(
        calls <= MAX_CALM_CALLS_PER_ZONE_SECOND * LARGE_FLEET.zones as u64 * 20,
        "{calls} calls"
    );
}

#[test]
fn views_are_fresh_soon_after_all_instances_were_killed() {
    let mut fleet = Fleet::new(LARGE_FLEET);
    fleet.run(20_000);
    let before = fleet.registry.calls;
    for index in 0..fleet.nodes.len() {
        fleet.kill(index, 1_000);
    }
    fleet.run(1_000 + FRESH_WITHIN_MS);
    fleet.check_views_are_fresh(MAX_VIEW_AGE_MS);
    fleet.check_list();
    let calls = fleet.registry.calls - before;
    let instances = fleet.nodes.len() as u64;
    assert!(
        calls <= MAX_START_CALLS_PER_INSTANCE * instances,
        "{calls} calls"
    );
}

#[test]
fn views_agree_after_a_zone_was_cut_off_for_long() {
    let mut fleet = Fleet::new(LARGE_FLEET);
    fleet.run(20_000);
    fleet.zone_cut = Some((2, fleet.now + 90_000));
    fleet.run(90_000);
    fleet.run(FRESH_WITHIN_MS);
    fleet.check_views_are_fresh(MAX_VIEW_AGE_MS);
    fleet.run(LISTED_WITHIN_MS);
    fleet.check_list();
}

#[test]
fn shares_and_views_hold_after_random_faults() {
    (0..seed_count()).for_each(|seed| check_recovery_from_random_faults(LARGE_FLEET, seed));
}

/// Guards against the incident docs/incidents/halls-config.md: instances that followed each other
/// in a circle, and ages that were checked too late.
#[test]
fn view_age_stays_within_the_bound_in_small_fleets() {
    for seed in 0..SMALL_FLEET_SEEDS_FACTOR * seed_count() {
        SMALL_FLEETS
            .into_iter()
            .for_each(|shape| check_recovery_from_random_faults(shape, seed));
    }
}

#[test]
fn view_age_stays_within_the_bound_while_instances_are_refused() {
    for seed in 0..seed_count() {
        for shape in SMALL_FLEETS.into_iter().chain([LARGE_FLEET]) {
            println!("{} instances, seed {seed}", shape.instances());
            let mut rng = StdRng::seed_from_u64(seed);
            let mut fleet = Fleet::new(shape);
            fleet.run(20_000);
            for _ in 0..8 {
                let ms = rng.random_range(2_000..12_000);
                fleet.refuse_some_instances(&mut rng, ms);
                let pause_ms = rng.random_range(500..4_000);
                fleet.run(pause_ms);
            }
        }
    }
}
