//! Tests of how an instance chooses between reading the registry and following a relay.

use std::net::SocketAddr;

use hemlockrouter_member::Call;
use hemlockrouter_member::Sources;
use hemlockrouter_member::Timing;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Reading;

/// Time within which a change must be in force, and time within which all instances catch up after
/// an outage, in milliseconds.
const BOUND_MS: u64 = 3_000;
const CATCH_UP_MS: u64 = 5_000;

/// Time within which a change must be in force in the largest fleet that the design supports, in
/// milliseconds.
const LARGE_BOUND_MS: u64 = 11_000;

/// Age of the copy of a relay that is in touch with the registry, and of one that is not, in
/// milliseconds.
const FRESH_MS: u64 = 900;
const OLD_MS: u64 = 4_000;

/// Delay between an answer of the registry and the next call, in milliseconds.
const PACE_MS: u64 = 300;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn relay(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn reader() -> Reading {
    Reading {
        reads: true,
        relays: vec![relay(1)],
    }
}

fn follower() -> Reading {
    Reading {
        reads: false,
        relays: vec![relay(1), relay(2)],
    }
}

fn sources(spread: u64) -> Sources {
    let timing = Timing::new(BOUND_MS, CATCH_UP_MS);
    Sources::new("me", timing, spread, Time::ZERO)
}

/// Returns the sources of an instance that started some time ago and last heard from the registry
/// at `now`.
fn in_touch(now: Time) -> Sources {
    let mut sources = sources(0);
    sources.heard(now);
    sources
}

#[test]
fn a_shorter_bound_counts_from_the_next_call_on() {
    let watch_ms = |sources: &mut Sources, now: Time| {
        let calls = sources.poll(now, &reader());
        let wait = calls.iter().find_map(|call| match call {
            Call::Watch { wait_ms, .. } => Some(*wait_ms),
            _ => None,
        });
        sources.heard(now);
        sources.registry_answered(now, PACE_MS);
        wait.expect("the registry is asked")
    };
    let mut sources = in_touch(at(10_000));
    watch_ms(&mut sources, at(10_000));
    let before_ms = watch_ms(&mut sources, at(11_000));
    sources.set_timing(Timing::new(BOUND_MS / 2, CATCH_UP_MS));
    assert_eq!(watch_ms(&mut sources, at(12_000)), before_ms / 2);
}

fn path(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| String::from(*name)).collect()
}

/// Returns the relays that are asked by `calls`.
fn asked(calls: &[Call]) -> Vec<SocketAddr> {
    let asked = calls.iter().filter_map(|call| match call {
        Call::Ask { relay, .. } => Some(*relay),
        Call::Watch { .. } | Call::Offer { .. } => None,
    });
    asked.collect()
}

fn watches(calls: &[Call]) -> bool {
    calls.iter().any(|call| matches!(call, Call::Watch { .. }))
}

/// Simulates the answer of a relay that reads the registry itself, and returns whether the relay
/// can be followed.
fn answer(sources: &mut Sources, now: Time, relay: SocketAddr, age_ms: u64) -> bool {
    sources.heard(now.before(age_ms));
    sources.relay_answered(now, relay, age_ms, &path(&["other"]))
}

#[test]
fn a_reader_asks_the_registry_and_meanwhile_its_neighbours_when_it_is_turned_away() {
    let mut sources = in_touch(at(10_000));
    let reading = reader();
    assert!(watches(&sources.poll(at(10_000), &reading)));
    sources.registry_failed(at(10_000), &reading);
    assert_eq!(asked(&sources.poll(at(10_010), &reading)), [relay(1)]);
    assert!(answer(&mut sources, at(10_020), relay(1), FRESH_MS));
    assert_eq!(asked(&sources.poll(at(10_070), &reading)), [relay(1)]);
    // The registry is asked again while the call to the relay is in flight.
    assert!(watches(&sources.poll(at(10_250), &reading)));
    sources.registry_answered(at(10_260), PACE_MS);
    sources.heard(at(10_260));
    answer(&mut sources, at(10_300), relay(1), FRESH_MS);
    let calls = sources.poll(at(10_560), &reading);
    assert!(watches(&calls) && asked(&calls).is_empty());
}

#[test]
fn a_reader_whose_call_hangs_asks_its_neighbours_before_the_call_is_over() {
    let mut sources = in_touch(at(10_000));
    let reading = reader();
    assert!(watches(&sources.poll(at(10_000), &reading)));
    sources.registry_answered(at(10_010), PACE_MS);
    assert!(watches(&sources.poll(at(10_310), &reading)));
    assert!(asked(&sources.poll(at(10_900), &reading)).is_empty());
    // The call to the registry is still in flight.
    let calls = sources.poll(at(11_501), &reading);
    assert!(!watches(&calls));
    assert_eq!(asked(&calls), [relay(1)]);
}

#[test]
fn a_reader_without_neighbours_asks_ever_more_rarely() {
    let timing = Timing::new(2 * BOUND_MS, CATCH_UP_MS);
    let mut sources = Sources::new("me", timing, 0, Time::ZERO);
    sources.heard(at(10_000));
    let reading = Reading {
        relays: Vec::new(),
        ..reader()
    };
    let mut now = at(10_000);
    let mut waits = Vec::new();
    let mut last = now;
    for _ in 0..6 {
        while !watches(&sources.poll(now, &reading)) {
            now = now + 10;
        }
        waits.push(now.since(last));
        last = now;
        sources.registry_failed(now, &reading);
        sources.heard(now);
    }
    assert_eq!(waits, [0, 250, 500, 1_000, 1_000, 1_000]);
}

#[test]
fn a_follower_whose_relay_is_lost_asks_the_others_at_once_and_then_the_registry() {
    let mut sources = in_touch(at(10_000));
    let reading = follower();
    assert_eq!(
        asked(&sources.poll(at(10_000), &reading)),
        [relay(1), relay(2)]
    );
    sources.relay_failed(at(10_000), relay(2));
    assert!(answer(&mut sources, at(10_000), relay(1), FRESH_MS));
    assert_eq!(asked(&sources.poll(at(10_050), &reading)), [relay(1)]);
    sources.relay_failed(at(10_060), relay(1));
    assert_eq!(
        asked(&sources.poll(at(10_060), &reading)),
        [relay(1), relay(2)]
    );
    sources.relay_failed(at(10_070), relay(1));
    sources.relay_failed(at(10_070), relay(2));
    // The copy is still fresh, and one of the relays may be up again, so the registry is not asked.
    assert!(!watches(&sources.poll(at(10_070), &reading)));
    sources.poll(at(10_700), &reading);
    sources.relay_failed(at(10_710), relay(1));
    sources.relay_failed(at(10_710), relay(2));
    sources.poll(at(10_710), &reading);
    let calls = sources.poll(at(11_600), &reading);
    assert_eq!(asked(&calls).len(), 2);
    sources.relay_failed(at(11_610), relay(1));
    sources.relay_failed(at(11_610), relay(2));
    sources.poll(at(11_610), &reading);
    assert!(watches(&sources.poll(at(11_620), &reading)));
}

#[test]
fn followers_leave_a_relay_that_is_out_of_touch_for_one_that_is_not() {
    let mut sources = in_touch(at(10_000));
    let reading = follower();
    sources.poll(at(10_000), &reading);
    assert!(!answer(&mut sources, at(10_000), relay(1), OLD_MS));
    assert!(answer(&mut sources, at(10_010), relay(2), FRESH_MS));
    assert_eq!(asked(&sources.poll(at(10_060), &reading)), [relay(2)]);
    assert_eq!(sources.followed(), Some(relay(2)));
}

#[test]
fn a_follower_goes_back_to_the_best_relay_when_that_is_in_touch_again() {
    let mut sources = in_touch(at(10_000));
    let reading = follower();
    sources.poll(at(10_000), &reading);
    answer(&mut sources, at(10_000), relay(1), OLD_MS);
    answer(&mut sources, at(10_010), relay(2), FRESH_MS);
    let mut now = at(10_010);
    let mut last_asked = Vec::new();
    while now < at(10_010 + 2 * BOUND_MS) && !last_asked.contains(&relay(1)) {
        now = now + 100;
        last_asked = asked(&sources.poll(now, &reading));
        if last_asked.contains(&relay(2)) {
            answer(&mut sources, now, relay(2), FRESH_MS);
        }
    }
    assert!(answer(&mut sources, now, relay(1), FRESH_MS));
    assert_eq!(sources.followed(), Some(relay(1)));
}

#[test]
fn a_relay_that_heard_through_its_follower_is_left_for_another_one() {
    let mut sources = in_touch(at(10_000));
    let reading = follower();
    sources.poll(at(10_000), &reading);
    let through_me = path(&["other", "me", "relay"]);
    assert!(!sources.relay_answered(at(10_000), relay(1), FRESH_MS, &through_me));
    assert!(answer(&mut sources, at(10_010), relay(2), FRESH_MS));
    assert_eq!(sources.followed(), Some(relay(2)));
}

/// Guards against paths that grow forever while no instance is in touch with the registry and all
/// follow each other.
#[test]
fn what_came_through_many_instances_or_this_one_counts_for_nothing() {
    let sources = sources(0);
    assert!(sources.counts(&path(&["a", "b", "c", "d"])));
    assert!(!sources.counts(&path(&["a", "b", "c", "d", "e"])));
    assert!(!sources.counts(&path(&["a", "me"])));
}

#[test]
fn an_instance_that_finds_the_registry_alone_offers_itself_to_its_relays() {
    let mut sources = in_touch(at(10_000));
    let reading = follower();
    let mut now = at(10_000);
    while !watches(&sources.poll(now, &reading)) {
        for number in [1, 2] {
            sources.relay_answered(now, relay(number), OLD_MS, &path(&["other"]));
        }
        now = now + 10;
    }
    let took_ms = now.since(at(10_000));
    assert!(took_ms <= BOUND_MS * 7 / 10, "{took_ms} ms");
    let calls = sources.registry_answered(now, PACE_MS);
    let offer = |relay| Call::Offer { relay };
    assert_eq!(calls, [offer(relay(1)), offer(relay(2))]);
}

#[test]
fn a_stale_instance_asks_one_that_offers_itself_at_once() {
    let mut sources = in_touch(at(10_000));
    let reading = reader();
    let stale_at = at(10_000 + BOUND_MS);
    sources.poll(stale_at, &reading);
    sources.offered(stale_at + 10, relay(7));
    let calls = sources.poll(stale_at + 10, &reading);
    assert_eq!(asked(&calls), [relay(7)]);
    assert!(answer(&mut sources, stale_at + 20, relay(7), FRESH_MS));
    assert_eq!(sources.followed(), Some(relay(7)));
}

#[test]
fn of_many_instances_that_offer_themselves_the_last_ones_are_remembered() {
    let mut sources = in_touch(at(10_000));
    let reading = Reading {
        relays: Vec::new(),
        ..follower()
    };
    for port in 1..=50 {
        sources.offered(at(10_000 + u64::from(port)), relay(port));
    }
    let calls = sources.poll(at(10_000 + BOUND_MS), &reading);
    let asked = asked(&calls);
    assert!(asked.len() <= 8, "{} are asked", asked.len());
    assert!(asked.contains(&relay(50)));
}

#[test]
fn few_followers_call_and_not_all_at_once_when_all_relays_are_out_of_touch() {
    let reading = follower();
    let timing = Timing::new(LARGE_BOUND_MS, CATCH_UP_MS);
    let from = at(100_000);
    let mut calls = Vec::new();
    for number in 0..720_u64 {
        let spread = xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes());
        let mut sources = Sources::new("me", timing, spread, Time::ZERO);
        sources.heard(from);
        let mut now = from;
        while now < from + LARGE_BOUND_MS / 2 + 6_000 {
            for call in sources.poll(now, &reading) {
                match call {
                    Call::Watch { .. } => {
                        calls.push(now.since(from));
                        sources.registry_failed(now, &reading);
                    }
                    Call::Ask { relay, .. } => {
                        sources.relay_answered(now, relay, OLD_MS + LARGE_BOUND_MS, &path(&["x"]));
                    }
                    Call::Offer { .. } => panic!("the registry does not answer"),
                }
            }
            now = now + 50;
        }
    }
    // An instance calls at most three times in 6 s.
    assert!(calls.len() <= 3 * 720, "{} calls", calls.len());
    let slots = (LARGE_BOUND_MS + 6_000) / 100;
    let busiest = (0..slots).map(|slot| calls.iter().filter(|ms| **ms / 100 == slot).count());
    let busiest = busiest.max();
    assert!(busiest <= Some(720 / 5), "{busiest:?} call at once");
}
