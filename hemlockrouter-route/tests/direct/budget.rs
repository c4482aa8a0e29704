//! Tests the bound on repeats (retries and hedges) over all instances.
//!
//! Nine instances share a bound, and their upstreams reject every request, so that each request
//! needs repeats. Some instances are killed and restart without their state. All instances together
//! must not send more repeats in any window than the bound allows.

use hemlockrouter_route::direct::CallId;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::fixture::instance;
use crate::fixture::rejected;
use crate::fixture::routes;
use crate::fixture::Fixture;
use crate::fixture::LOOK_UP_PATH;
use crate::fixture::SEARCH_PATH;

const INSTANCE_COUNT: usize = 9;
const WINDOW_MS: u64 = 10_000;

fn fixture(index: usize, now_ms: u64) -> Fixture {
    let mut fixture = Fixture::with_routes(&format!("instance-{index}"), routes());
    let time_zero = hemlockrouter_types::Time::ZERO;
    for other in 0..INSTANCE_COUNT {
        let entry = instance(&format!("instance-{other}"), "north-a");
        fixture
            .dispatcher
            .upstreams_mut()
            .instances_mut()
            .add_instance(time_zero, entry);
    }
    let now = hemlockrouter_types::Time::from_ms(now_ms);
    fixture.dispatcher.upstreams_mut().record_first_read(now);
    fixture.now = now;
    fixture
}

/// The instances that restart during a simulation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RestartPattern {
    None,
    /// One instance at a time, at this interval in milliseconds.
    OneInstance(u64),
    /// All instances at once, at this interval in milliseconds.
    AllInstances(u64),
}

/// Simulates a minute, and returns the times of requests and of repeats in milliseconds.
fn simulate(seed: u64, restarts: RestartPattern) -> (Vec<u64>, Vec<u64>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut instances: Vec<Fixture> = (0..INSTANCE_COUNT)
        .map(|index| fixture(index, 100_000))
        .collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let restart_interval_ms = match restarts {
        RestartPattern::None => u64::MAX / 2,
        RestartPattern::OneInstance(restart_interval_ms)
        | RestartPattern::AllInstances(restart_interval_ms) => restart_interval_ms,
    };
    let mut restart_at = 100_000 + restart_interval_ms;
    let mut now_ms = 100_000;
    while now_ms < 160_000 {
        now_ms += rng.random_range(2..30);
        let index = rng.random_range(0..INSTANCE_COUNT);
        if now_ms >= restart_at {
            restart_at += restart_interval_ms;
            for (number, instance) in instances.iter_mut().enumerate() {
                if number == index || matches!(restarts, RestartPattern::AllInstances(_)) {
                    *instance = fixture(number, now_ms);
                }
            }
        }
        let fixture = &mut instances[index];
        fixture.now = hemlockrouter_types::Time::from_ms(now_ms);
        requests.push(now_ms);
        fixture.start(LOOK_UP_PATH);
        let mut open: Vec<CallId> = fixture
            .take_sent_calls()
            .into_iter()
            .map(|(call, _)| call)
            .collect();
        while let Some(call) = open.pop() {
            fixture.end_call(call, rejected());
            let repeated = fixture.take_sent_calls();
            repeats.extend(repeated.iter().map(|_| now_ms));
            open.extend(repeated.into_iter().map(|(call, _)| call));
        }
    }
    (requests, repeats)
}

/// Returns the number of repeats by which the worst window exceeds the bound; negative if no window
/// does.
fn worst_excess(requests: &[u64], repeats: &[u64]) -> f64 {
    let count_in_window = |times: &[u64], from: u64| {
        let times_in_window = times
            .iter()
            .filter(|time_ms| (from..from + WINDOW_MS).contains(time_ms));
        times_in_window.count() as f64
    };
    let excess = repeats.iter().map(|from| {
        let allowed = 0.2 * count_in_window(requests, *from) + 40.0;
        count_in_window(repeats, *from) - allowed
    });
    excess.fold(f64::NEG_INFINITY, f64::max)
}

#[test]
fn repeats_stay_within_the_bound_when_single_instances_restart() {
    for seed in 0..20 {
        check_bound(seed, RestartPattern::OneInstance(3_000));
    }
}

/// Load pattern: all instances are killed and restart within a second while their upstreams fail.
#[test]
fn repeats_stay_within_the_bound_when_all_instances_restart() {
    for seed in 0..20 {
        check_bound(seed, RestartPattern::AllInstances(12_000));
        check_bound(seed, RestartPattern::AllInstances(4_000));
    }
}

fn check_bound(seed: u64, restarts: RestartPattern) {
    let (requests, repeats) = simulate(seed, restarts);
    assert!(!repeats.is_empty(), "rejected requests must be repeated");
    let excess = worst_excess(&requests, &repeats);
    assert!(
        excess <= 0.0,
        "seed {seed}, {restarts:?}: {excess} repeats too many in a window"
    );
}

#[test]
fn rejected_requests_are_repeated_while_the_bound_allows() {
    let (requests, repeats) = simulate(1, RestartPattern::None);
    let repeat_ratio = repeats.len() as f64 / requests.len() as f64;
    assert!(
        repeat_ratio > 0.15,
        "only {repeat_ratio} repeats per request; the bound allows more than 0.2"
    );
}

/// The number of instances in each of three availability zones in the test of divided searches.
const INSTANCES_PER_ZONE: usize = 30;

/// The number of searches that each instance sends.
const SEARCHES_PER_INSTANCE: usize = 6;

/// Creates an instance that divides searches among instances, and knows the instances `names` with
/// their zones.
fn instance_in_zone(name: &str, zone: &str, names: &[(String, &'static str)]) -> Fixture {
    let mut fixture = Fixture::dividing_searches_in(name, zone, 2, 2);
    for (name, zone) in names {
        let instances = fixture.dispatcher.upstreams_mut().instances_mut();
        instances.add_instance(hemlockrouter_types::Time::ZERO, instance(name, zone));
    }
    fixture
}

/// Sends searches of which every part is rejected, and returns the number of requests to the first
/// shard and the number of their repeats.
fn reject_all_parts(fixture: &mut Fixture) -> (usize, usize) {
    let (mut requests, mut repeats) = (0, 0);
    for _ in 0..SEARCHES_PER_INSTANCE {
        fixture.start(SEARCH_PATH);
        let mut sent = fixture.take_sent_calls();
        sent.retain(|(_, id)| id.starts_with("shard-0@"));
        requests += sent.len();
        while let Some((call, _)) = sent.pop() {
            fixture.end_call(call, rejected());
            let repeated = fixture.take_sent_calls();
            repeats += repeated.len();
            sent.extend(repeated);
        }
        fixture.commands.clear();
    }
    (requests, repeats)
}

/// Load pattern: upstreams of many shards fail at once in a large fleet, where an even part of the
/// allowance is less than one repeat.
#[test]
fn shard_owners_send_more_repeats_and_the_fleet_stays_within_the_bound() {
    let zones = ["north-a", "north-c", "south-b"];
    let running: Vec<(String, &'static str)> = (0..3 * INSTANCES_PER_ZONE)
        .map(|number| (format!("alive-{number}"), zones[number % 3]))
        .collect();
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut requests, mut repeats, mut most_repeats) = (0, 0, 0);
        for (name, zone) in &running {
            // Instances disagree on which stopped instances are still listed.
            let mut listed = running.clone();
            let stopped = (0..10).filter(|_| rng.random());
            listed.extend(stopped.map(|number| (format!("gone-{number}"), zones[number % 3])));
            let mut fixture = instance_in_zone(name, zone, &listed);
            let (sent, repeated) = reject_all_parts(&mut fixture);
            requests += sent;
            repeats += repeated;
            most_repeats = most_repeats.max(repeated);
        }
        let repeat_bound = 0.2 * requests as f64 + 40.0;
        assert!(
            repeats as f64 <= repeat_bound,
            "seed {seed}: {repeats} repeats exceed the bound of {repeat_bound}"
        );
        assert!(
            most_repeats >= 4,
            "seed {seed}: no owner has sent more than {most_repeats} repeats"
        );
    }
}
