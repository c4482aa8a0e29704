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
use crate::node::Shape;

/// A fleet of six availability zones, with the bound on changes for this size.
const LARGE: Shape = Shape {
    zones: 6,
    each: 50,
    bound_ms: 6_000,
};

/// Fleets of three availability zones, with the shortest bound on changes.
const SMALL: [Shape; 3] = [small(2), small(3), small(5)];

const fn small(each: usize) -> Shape {
    Shape {
        zones: 3,
        each,
        bound_ms: 3_000,
    }
}

/// Time after the last fault within which all views are fresh, and further time within which the
/// instance list is correct, in milliseconds.
const IN_TOUCH_MS: u64 = 6_000;
const LISTED_MS: u64 = 45_000;

/// Maximum number of registry calls for each instance when all instances start at once, and for
/// each zone and second in a calm.
const START_CALLS_MAX: u64 = 2;
const CALM_CALLS_MAX: u64 = 2;

/// Maximum age of an instance's view of the registry that counts as fresh, in milliseconds.
const AGE_MAX_MS: u64 = 4_500;

/// Default number of random fault sequences, unless `HEMLOCK_FLEET_SEEDS` is set.
const SEEDS: u64 = 3;

/// Number of fault sequences on small fleets for each sequence on a large fleet; small fleets take
/// less time.
const SMALL_SEEDS_EACH: u64 = 10;

fn fault(fleet: &mut Fleet, rng: &mut StdRng) {
    let now = fleet.now;
    let zone = rng.random_range(0..fleet.shape.zones);
    let ms = rng.random_range(500..9_000);
    match rng.random_range(0..6) {
        0 => {
            let at = fleet.reader(zone);
            fleet.kill(at, ms);
        }
        1 => {
            let at = fleet.reader(zone);
            fleet.nodes[at].frozen_until = now + ms;
        }
        2 => fleet.turn_away(rng, ms),
        3 => fleet.zone_cut = Some((zone, now + ms)),
        4 => {
            fleet.registry.is_down = true;
            fleet.run(ms);
            fleet.registry.is_down = false;
        }
        _ => {
            for _ in 0..fleet.nodes.len() / 15 {
                let at = rng.random_range(0..fleet.nodes.len());
                fleet.kill(at, ms);
            }
        }
    }
}

/// Injects random faults, and checks that the views are fresh and the list is correct afterwards.
fn play(shape: Shape, seed: u64) {
    println!("{} instances, seed {seed}", shape.instances());
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(shape);
    fleet.run(20_000);
    for _ in 0..8 {
        fault(&mut fleet, &mut rng);
        let pause_ms = rng.random_range(0..6_000);
        fleet.run(pause_ms);
    }
    // Every fault lasts for at most 9 s.
    fleet.run(9_000 + IN_TOUCH_MS);
    fleet.check_in_touch(AGE_MAX_MS);
    fleet.run(LISTED_MS);
    fleet.check_list();
}

/// Returns the number of seeds to run.
fn seeds() -> u64 {
    let seeds = std::env::var("HEMLOCK_FLEET_SEEDS");
    let seeds = seeds.ok().and_then(|seeds| seeds.parse().ok());
    seeds.unwrap_or(SEEDS)
}

#[test]
fn few_calls_are_made_when_all_start_at_once_and_in_a_calm() {
    let mut fleet = Fleet::new(LARGE);
    fleet.run(20_000);
    let instances = LARGE.instances() as u64;
    let calls = fleet.registry.calls;
    assert!(calls <= START_CALLS_MAX * instances, "{calls} calls");
    fleet.check_in_touch(AGE_MAX_MS);
    fleet.check_list();
    for node in &fleet.nodes {
        assert_eq!(node.instances.sharing(fleet.now), Some(instances as u32));
    }
    let before = fleet.registry.calls;
    fleet.run(20_000);
    let calls = fleet.registry.calls - before;
    assert!(
        calls <= CALM_CALLS_MAX * LARGE.zones as u64 * 20,
        "{calls} calls"
    );
}

#[test]
fn all_are_in_touch_soon_after_all_were_killed() {
    let mut fleet = Fleet::new(LARGE);
    fleet.run(20_000);
    let before = fleet.registry.calls;
    for at in 0..fleet.nodes.len() {
        fleet.kill(at, 1_000);
    }
    fleet.run(1_000 + IN_TOUCH_MS);
    fleet.check_in_touch(AGE_MAX_MS);
    fleet.check_list();
    let calls = fleet.registry.calls - before;
    let instances = fleet.nodes.len() as u64;
    assert!(calls <= START_CALLS_MAX * instances, "{calls} calls");
}

#[test]
fn a_zone_that_is_cut_off_for_long_is_counted_until_it_is_off_the_list() {
    let mut fleet = Fleet::new(LARGE);
    fleet.run(20_000);
    fleet.zone_cut = Some((2, fleet.now + 90_000));
    fleet.run(90_000);
    fleet.run(IN_TOUCH_MS);
    fleet.check_in_touch(AGE_MAX_MS);
    fleet.run(LISTED_MS);
    fleet.check_list();
}

#[test]
fn parts_of_a_bound_hold_and_views_agree_again_after_any_faults() {
    (0..seeds()).for_each(|seed| play(LARGE, seed));
}

/// Guards against the incident docs/incidents/halls-config.md: instances that followed each other
/// in a circle, and ages that were checked too late.
#[test]
fn what_is_known_is_never_older_than_the_bound_in_a_small_fleet() {
    for seed in 0..SMALL_SEEDS_EACH * seeds() {
        SMALL.into_iter().for_each(|shape| play(shape, seed));
    }
}

#[test]
fn what_is_known_is_never_older_than_the_bound_while_instances_are_turned_away() {
    for seed in 0..seeds() {
        for shape in SMALL.into_iter().chain([LARGE]) {
            println!("{} instances, seed {seed}", shape.instances());
            let mut rng = StdRng::seed_from_u64(seed);
            let mut fleet = Fleet::new(shape);
            fleet.run(20_000);
            for _ in 0..8 {
                let ms = rng.random_range(2_000..12_000);
                fleet.turn_away(&mut rng, ms);
                let pause_ms = rng.random_range(500..4_000);
                fleet.run(pause_ms);
            }
        }
    }
}
