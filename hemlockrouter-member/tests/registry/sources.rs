//! From whom an instance learns what the registry holds.

use std::net::SocketAddr;

use hemlockrouter_member::Source;
use hemlockrouter_member::Sources;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Reading;

/// The age of a relay that is in touch, and of one that is not, in milliseconds.
const FRESH_MS: u64 = 900;
const OLD_MS: u64 = 4_000;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn relay(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn reader() -> Reading {
    Reading {
        reads: true,
        is_followed: true,
        relays: vec![relay(1)],
    }
}

fn follower() -> Reading {
    Reading {
        reads: false,
        is_followed: true,
        relays: vec![relay(1), relay(2)],
    }
}

#[test]
fn a_reader_asks_the_registry_and_meanwhile_its_neighbours_when_it_is_turned_away() {
    let mut sources = Sources::new(0);
    let reading = reader();
    assert_eq!(sources.next(at(0), &reading), Source::Registry);
    sources.registry_failed(at(0), &reading);
    assert_eq!(sources.next(at(10), &reading), Source::Relay(relay(1)));
    assert!(sources.relay_answered(at(20), relay(1), FRESH_MS, false));
    assert_eq!(sources.next(at(250), &reading), Source::Registry);
    sources.registry_answered(at(260));
    assert_eq!(sources.next(at(270), &reading), Source::Registry);
}

#[test]
fn a_reader_without_neighbours_asks_ever_more_rarely() {
    let mut sources = Sources::new(0);
    let reading = Reading {
        relays: Vec::new(),
        ..reader()
    };
    let mut now = at(0);
    let mut waits = Vec::new();
    for _ in 0..5 {
        assert_eq!(sources.next(now, &reading), Source::Registry);
        sources.registry_failed(now, &reading);
        let Source::Nowhere { wait_ms } = sources.next(now, &reading) else {
            panic!("nobody else can be asked");
        };
        waits.push(wait_ms);
        now = now + wait_ms;
    }
    assert_eq!(waits, [250, 500, 1_000, 1_000, 1_000]);
}

#[test]
fn a_follower_whose_relay_is_lost_asks_the_next_one_and_then_the_registry() {
    let mut sources = Sources::new(0);
    let reading = follower();
    assert_eq!(sources.next(at(0), &reading), Source::Relay(relay(1)));
    sources.relay_failed(at(0), relay(1));
    assert_eq!(sources.next(at(0), &reading), Source::Relay(relay(2)));
    sources.relay_failed(at(100), relay(2));
    assert_eq!(sources.next(at(100), &reading), Source::Registry);
    sources.registry_answered(at(200));
    // The first relay may be back.
    assert_eq!(sources.next(at(2_000), &reading), Source::Relay(relay(1)));
    sources.relay_failed(at(2_000), relay(1));
    assert_eq!(sources.next(at(4_000), &reading), Source::Relay(relay(2)));
}

#[test]
fn followers_leave_a_relay_that_is_out_of_touch_for_one_that_is_not() {
    let mut sources = Sources::new(0);
    let reading = follower();
    assert!(!sources.relay_answered(at(0), relay(1), OLD_MS, false));
    assert_eq!(sources.next(at(0), &reading), Source::Relay(relay(2)));
    assert!(sources.relay_answered(at(100), relay(2), FRESH_MS, false));
    assert_eq!(sources.next(at(100), &reading), Source::Relay(relay(2)));
    assert_eq!(sources.next(at(2_000), &reading), Source::Relay(relay(1)));
}

#[test]
fn a_relay_that_heard_through_its_follower_is_left_for_another_one() {
    let mut sources = Sources::new(0);
    let reading = follower();
    assert!(!sources.relay_answered(at(0), relay(1), FRESH_MS, true));
    assert_eq!(sources.next(at(0), &reading), Source::Relay(relay(2)));
}

#[test]
fn followers_look_for_themselves_at_different_times_when_all_relays_are_out_of_touch() {
    let reading = follower();
    let mut calls = Vec::new();
    for spread in (0..4_000).step_by(40) {
        let mut sources = Sources::new(spread);
        let mut now = at(0);
        while now < at(6_000) {
            match sources.next(now, &reading) {
                Source::Registry => {
                    calls.push(now.as_ms());
                    sources.registry_failed(now, &reading);
                }
                Source::Relay(relay) => {
                    sources.relay_answered(now, relay, OLD_MS, false);
                }
                Source::Nowhere { .. } => panic!("relays answer"),
            }
            now = now + 50;
        }
    }
    // Of 100 instances, each calls three times in 6 s at most.
    assert!(calls.len() <= 300, "{} calls", calls.len());
    let busiest = (0..60).map(|slot| calls.iter().filter(|ms| **ms / 100 == slot).count());
    assert!(busiest.max() <= Some(20), "they call all at once");
}
