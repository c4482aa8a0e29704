//! Tests of how an instance chooses between reading the registry and following a relay.

use std::net::SocketAddr;

use hemlockrouter_member::RegistryCall;
use hemlockrouter_member::RegistrySources;
use hemlockrouter_member::RegistryTiming;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::RegistryAccess;

/// Time within which a change must be in force, and time within which all instances catch up after
/// an outage, in milliseconds.
const IN_FORCE_BOUND_MS: u64 = 3_000;
const CATCH_UP_BOUND_MS: u64 = 5_000;

/// Time within which a change must be in force in the largest fleet that the design supports, in
/// milliseconds.
const LARGE_FLEET_BOUND_MS: u64 = 11_000;

/// Age of the copy of a relay that is in touch with the registry, and of one that is not, in
/// milliseconds.
const FRESH_COPY_AGE_MS: u64 = 900;
const STALE_COPY_AGE_MS: u64 = 4_000;

/// Delay between an answer of the registry and the next call, in milliseconds.
const WATCH_PAUSE_MS: u64 = 300;

fn at_ms(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn relay_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn reader_access() -> RegistryAccess {
    RegistryAccess {
        reads_registry: true,
        relays: vec![relay_address(1)],
    }
}

fn follower_access() -> RegistryAccess {
    RegistryAccess {
        reads_registry: false,
        relays: vec![relay_address(1), relay_address(2)],
    }
}

fn new_sources(jitter_seed: u64) -> RegistrySources {
    let timing = RegistryTiming::new(IN_FORCE_BOUND_MS, CATCH_UP_BOUND_MS);
    RegistrySources::new("me", timing, jitter_seed, Time::ZERO)
}

/// Returns the sources of an instance that started some time ago and last heard from the registry
/// at `now`.
fn sources_heard_at(now: Time) -> RegistrySources {
    let mut sources = new_sources(0);
    sources.record_known_as_of(now);
    sources
}

#[test]
fn shorter_bound_applies_to_the_next_call() {
    let watch_wait_ms = |sources: &mut RegistrySources, now: Time| {
        let calls = sources.due_calls(now, &reader_access());
        let wait = calls.iter().find_map(|call| match call {
            RegistryCall::WatchRegistry { wait_ms, .. } => Some(*wait_ms),
            _ => None,
        });
        sources.record_known_as_of(now);
        sources.record_registry_answer(now, WATCH_PAUSE_MS);
        wait.expect("the registry is asked")
    };
    let mut sources = sources_heard_at(at_ms(10_000));
    watch_wait_ms(&mut sources, at_ms(10_000));
    let before_ms = watch_wait_ms(&mut sources, at_ms(11_000));
    sources.set_timing(RegistryTiming::new(
        IN_FORCE_BOUND_MS / 2,
        CATCH_UP_BOUND_MS,
    ));
    assert_eq!(watch_wait_ms(&mut sources, at_ms(12_000)), before_ms / 2);
}

fn path_of(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| String::from(*name)).collect()
}

/// Returns the relays that are asked by `calls`.
fn asked_relays(calls: &[RegistryCall]) -> Vec<SocketAddr> {
    let asked = calls.iter().filter_map(|call| match call {
        RegistryCall::AskRelay { relay, .. } => Some(*relay),
        RegistryCall::WatchRegistry { .. } | RegistryCall::Offer { .. } => None,
    });
    asked.collect()
}

fn calls_registry(calls: &[RegistryCall]) -> bool {
    calls
        .iter()
        .any(|call| matches!(call, RegistryCall::WatchRegistry { .. }))
}

/// Simulates the answer of a relay that reads the registry itself, and returns whether the relay
/// can be followed.
fn relay_answers(sources: &mut RegistrySources, now: Time, relay: SocketAddr, age_ms: u64) -> bool {
    sources.record_known_as_of(now.minus_ms(age_ms));
    sources.record_relay_answer(now, relay, age_ms, &path_of(&["other"]))
}

#[test]
fn reader_rejected_by_the_registry_also_asks_relays() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = reader_access();
    assert!(calls_registry(
        &sources.due_calls(at_ms(10_000), &registry_access)
    ));
    sources.record_registry_failure(at_ms(10_000), &registry_access);
    assert_eq!(
        asked_relays(&sources.due_calls(at_ms(10_010), &registry_access)),
        [relay_address(1)]
    );
    assert!(relay_answers(
        &mut sources,
        at_ms(10_020),
        relay_address(1),
        FRESH_COPY_AGE_MS
    ));
    assert_eq!(
        asked_relays(&sources.due_calls(at_ms(10_070), &registry_access)),
        [relay_address(1)]
    );
    // The registry is asked again while the call to the relay is in flight.
    assert!(calls_registry(
        &sources.due_calls(at_ms(10_250), &registry_access)
    ));
    sources.record_registry_answer(at_ms(10_260), WATCH_PAUSE_MS);
    sources.record_known_as_of(at_ms(10_260));
    relay_answers(
        &mut sources,
        at_ms(10_300),
        relay_address(1),
        FRESH_COPY_AGE_MS,
    );
    let calls = sources.due_calls(at_ms(10_560), &registry_access);
    assert!(calls_registry(&calls) && asked_relays(&calls).is_empty());
}

#[test]
fn reader_with_a_hanging_call_asks_relays() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = reader_access();
    assert!(calls_registry(
        &sources.due_calls(at_ms(10_000), &registry_access)
    ));
    sources.record_registry_answer(at_ms(10_010), WATCH_PAUSE_MS);
    assert!(calls_registry(
        &sources.due_calls(at_ms(10_310), &registry_access)
    ));
    assert!(asked_relays(&sources.due_calls(at_ms(10_900), &registry_access)).is_empty());
    // The call to the registry is still in flight.
    let calls = sources.due_calls(at_ms(11_501), &registry_access);
    assert!(!calls_registry(&calls));
    assert_eq!(asked_relays(&calls), [relay_address(1)]);
}

#[test]
fn reader_without_relays_backs_off() {
    let timing = RegistryTiming::new(2 * IN_FORCE_BOUND_MS, CATCH_UP_BOUND_MS);
    let mut sources = RegistrySources::new("me", timing, 0, Time::ZERO);
    sources.record_known_as_of(at_ms(10_000));
    let registry_access = RegistryAccess {
        relays: Vec::new(),
        ..reader_access()
    };
    let mut now = at_ms(10_000);
    let mut waits = Vec::new();
    let mut last = now;
    for _ in 0..6 {
        while !calls_registry(&sources.due_calls(now, &registry_access)) {
            now = now + 10;
        }
        waits.push(now.ms_since(last));
        last = now;
        sources.record_registry_failure(now, &registry_access);
        sources.record_known_as_of(now);
    }
    assert_eq!(waits, [0, 250, 500, 1_000, 1_000, 1_000]);
}

#[test]
fn follower_that_loses_all_relays_asks_the_registry() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = follower_access();
    assert_eq!(
        asked_relays(&sources.due_calls(at_ms(10_000), &registry_access)),
        [relay_address(1), relay_address(2)]
    );
    sources.record_relay_failure(at_ms(10_000), relay_address(2));
    assert!(relay_answers(
        &mut sources,
        at_ms(10_000),
        relay_address(1),
        FRESH_COPY_AGE_MS
    ));
    assert_eq!(
        asked_relays(&sources.due_calls(at_ms(10_050), &registry_access)),
        [relay_address(1)]
    );
    sources.record_relay_failure(at_ms(10_060), relay_address(1));
    assert_eq!(
        asked_relays(&sources.due_calls(at_ms(10_060), &registry_access)),
        [relay_address(1), relay_address(2)]
    );
    sources.record_relay_failure(at_ms(10_070), relay_address(1));
    sources.record_relay_failure(at_ms(10_070), relay_address(2));
    // The copy is still fresh, and one of the relays may be up again, so the registry is not asked.
    assert!(!calls_registry(
        &sources.due_calls(at_ms(10_070), &registry_access)
    ));
    sources.due_calls(at_ms(10_700), &registry_access);
    sources.record_relay_failure(at_ms(10_710), relay_address(1));
    sources.record_relay_failure(at_ms(10_710), relay_address(2));
    sources.due_calls(at_ms(10_710), &registry_access);
    let calls = sources.due_calls(at_ms(11_600), &registry_access);
    assert_eq!(asked_relays(&calls).len(), 2);
    sources.record_relay_failure(at_ms(11_610), relay_address(1));
    sources.record_relay_failure(at_ms(11_610), relay_address(2));
    sources.due_calls(at_ms(11_610), &registry_access);
    assert!(calls_registry(
        &sources.due_calls(at_ms(11_620), &registry_access)
    ));
}

#[test]
fn follower_switches_from_a_stale_to_a_fresh_relay() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = follower_access();
    sources.due_calls(at_ms(10_000), &registry_access);
    assert!(!relay_answers(
        &mut sources,
        at_ms(10_000),
        relay_address(1),
        STALE_COPY_AGE_MS
    ));
    assert!(relay_answers(
        &mut sources,
        at_ms(10_010),
        relay_address(2),
        FRESH_COPY_AGE_MS
    ));
    assert_eq!(
        asked_relays(&sources.due_calls(at_ms(10_060), &registry_access)),
        [relay_address(2)]
    );
    assert_eq!(sources.followed_relay(), Some(relay_address(2)));
}

#[test]
fn follower_returns_to_the_preferred_relay_after_it_recovers() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = follower_access();
    sources.due_calls(at_ms(10_000), &registry_access);
    relay_answers(
        &mut sources,
        at_ms(10_000),
        relay_address(1),
        STALE_COPY_AGE_MS,
    );
    relay_answers(
        &mut sources,
        at_ms(10_010),
        relay_address(2),
        FRESH_COPY_AGE_MS,
    );
    let mut now = at_ms(10_010);
    let mut last_asked = Vec::new();
    while now < at_ms(10_010 + 2 * IN_FORCE_BOUND_MS) && !last_asked.contains(&relay_address(1)) {
        now = now + 100;
        last_asked = asked_relays(&sources.due_calls(now, &registry_access));
        if last_asked.contains(&relay_address(2)) {
            relay_answers(&mut sources, now, relay_address(2), FRESH_COPY_AGE_MS);
        }
    }
    assert!(relay_answers(
        &mut sources,
        now,
        relay_address(1),
        FRESH_COPY_AGE_MS
    ));
    assert_eq!(sources.followed_relay(), Some(relay_address(1)));
}

#[test]
fn relay_that_reads_through_its_follower_is_not_followed() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = follower_access();
    sources.due_calls(at_ms(10_000), &registry_access);
    let path_through_me = path_of(&["other", "me", "relay"]);
    assert!(!sources.record_relay_answer(
        at_ms(10_000),
        relay_address(1),
        FRESH_COPY_AGE_MS,
        &path_through_me
    ));
    assert!(relay_answers(
        &mut sources,
        at_ms(10_010),
        relay_address(2),
        FRESH_COPY_AGE_MS
    ));
    assert_eq!(sources.followed_relay(), Some(relay_address(2)));
}

/// Guards against paths that grow forever while no instance is in touch with the registry and all
/// follow each other.
#[test]
fn long_and_circular_paths_are_unusable() {
    let sources = new_sources(0);
    assert!(sources.is_usable_path(&path_of(&["a", "b", "c", "d"])));
    assert!(!sources.is_usable_path(&path_of(&["a", "b", "c", "d", "e"])));
    assert!(!sources.is_usable_path(&path_of(&["a", "me"])));
}

#[test]
fn fallback_reader_offers_itself_to_its_relays() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = follower_access();
    let mut now = at_ms(10_000);
    while !calls_registry(&sources.due_calls(now, &registry_access)) {
        for number in [1, 2] {
            sources.record_relay_answer(
                now,
                relay_address(number),
                STALE_COPY_AGE_MS,
                &path_of(&["other"]),
            );
        }
        now = now + 10;
    }
    let took_ms = now.ms_since(at_ms(10_000));
    assert!(took_ms <= IN_FORCE_BOUND_MS * 7 / 10, "{took_ms} ms");
    let calls = sources.record_registry_answer(now, WATCH_PAUSE_MS);
    let offer_to = |relay| RegistryCall::Offer { relay };
    assert_eq!(
        calls,
        [offer_to(relay_address(1)), offer_to(relay_address(2))]
    );
}

#[test]
fn stale_instance_asks_an_offered_relay_at_once() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = reader_access();
    let stale_at = at_ms(10_000 + IN_FORCE_BOUND_MS);
    sources.due_calls(stale_at, &registry_access);
    sources.handle_offer(stale_at + 10, relay_address(7));
    let calls = sources.due_calls(stale_at + 10, &registry_access);
    assert_eq!(asked_relays(&calls), [relay_address(7)]);
    assert!(relay_answers(
        &mut sources,
        stale_at + 20,
        relay_address(7),
        FRESH_COPY_AGE_MS
    ));
    assert_eq!(sources.followed_relay(), Some(relay_address(7)));
}

#[test]
fn only_the_latest_offers_are_remembered() {
    let mut sources = sources_heard_at(at_ms(10_000));
    let registry_access = RegistryAccess {
        relays: Vec::new(),
        ..follower_access()
    };
    for port in 1..=50 {
        sources.handle_offer(at_ms(10_000 + u64::from(port)), relay_address(port));
    }
    let calls = sources.due_calls(at_ms(10_000 + IN_FORCE_BOUND_MS), &registry_access);
    let asked = asked_relays(&calls);
    assert!(asked.len() <= 8, "{} are asked", asked.len());
    assert!(asked.contains(&relay_address(50)));
}

#[test]
fn followers_of_stale_relays_spread_their_registry_calls() {
    let registry_access = follower_access();
    let timing = RegistryTiming::new(LARGE_FLEET_BOUND_MS, CATCH_UP_BOUND_MS);
    let from = at_ms(100_000);
    let mut calls = Vec::new();
    for number in 0..720_u64 {
        let jitter_seed = xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes());
        let mut sources = RegistrySources::new("me", timing, jitter_seed, Time::ZERO);
        sources.record_known_as_of(from);
        let mut now = from;
        while now < from + LARGE_FLEET_BOUND_MS / 2 + 6_000 {
            for call in sources.due_calls(now, &registry_access) {
                match call {
                    RegistryCall::WatchRegistry { .. } => {
                        calls.push(now.ms_since(from));
                        sources.record_registry_failure(now, &registry_access);
                    }
                    RegistryCall::AskRelay { relay, .. } => {
                        sources.record_relay_answer(
                            now,
                            relay,
                            STALE_COPY_AGE_MS + LARGE_FLEET_BOUND_MS,
                            &path_of(&["x"]),
                        );
                    }
                    RegistryCall::Offer { .. } => panic!("the registry does not answer"),
                }
            }
            now = now + 50;
        }
    }
    // An instance calls at most three times in 6 s.
    assert!(calls.len() <= 3 * 720, "{} calls", calls.len());
    let slots = (LARGE_FLEET_BOUND_MS + 6_000) / 100;
    let busiest = (0..slots).map(|slot| calls.iter().filter(|ms| **ms / 100 == slot).count());
    let busiest = busiest.max();
    assert!(busiest <= Some(720 / 5), "{busiest:?} call at once");
}

/// Returns the sources of a follower that is out of touch after `now`, and asked its relays then.
fn sources_out_of_touch(now: Time) -> RegistrySources {
    let mut sources = sources_heard_at(now);
    sources.record_turn(now);
    sources.record_contact();
    let later = now + STALE_COPY_AGE_MS;
    for at_ms in (0..=STALE_COPY_AGE_MS).step_by(500) {
        sources.record_turn(now + at_ms);
    }
    sources.due_calls(later, &follower_access());
    sources
}

/// Guards against a removal that is taken for a lapse although only this instance was out of touch
/// (review 13).
#[test]
fn registry_was_away_only_if_the_others_lost_it_too() {
    let contact_at = at_ms(10_000);
    let later = contact_at + STALE_COPY_AGE_MS;
    let relays = [relay_address(1), relay_address(2)];
    let mut sources = sources_out_of_touch(contact_at);
    sources.record_registry_failure(later, &follower_access());
    assert!(!sources.was_registry_away(), "nobody else was heard");
    for relay in relays {
        relay_answers(&mut sources, later, relay, STALE_COPY_AGE_MS);
    }
    assert!(sources.was_registry_away(), "the others lost it too");
    let mut cut_off = sources.clone();
    cut_off.record_relay_failure(later, relays[0]);
    assert!(!cut_off.was_registry_away(), "an instance is out of reach");
    let mut frozen = sources.clone();
    frozen.record_turn(later + STALE_COPY_AGE_MS);
    assert!(!frozen.was_registry_away(), "this instance stood still");
    sources.record_contact();
    assert!(!sources.was_registry_away(), "there was contact since");
}

/// Guards against the same of an instance that knows no others: its own calls tell, unless it stood
/// still (review 13).
#[test]
fn lone_instance_that_stood_still_does_not_take_the_registry_for_away() {
    let access = RegistryAccess {
        reads_registry: true,
        relays: Vec::new(),
    };
    let contact_at = at_ms(10_000);
    let mut sources = sources_heard_at(contact_at);
    sources.due_calls(contact_at, &access);
    sources.record_turn(contact_at);
    assert!(!sources.was_registry_away(), "no call has failed");
    sources.record_registry_failure(contact_at + 1_000, &access);
    assert!(sources.was_registry_away(), "its calls fail");
    sources.record_turn(contact_at + STALE_COPY_AGE_MS);
    assert!(!sources.was_registry_away(), "it stood still");
}
