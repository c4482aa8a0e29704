//! How many instances share a bound, and who reads the registry.

use hemlockrouter_route::direct::Instances;
use hemlockrouter_route::direct::Reading;
use hemlockrouter_types::prelude::*;

use crate::fixture::instance;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

#[test]
fn an_instance_that_disappears_is_counted_for_a_while() {
    let mut instances = Instances::default();
    for name in ["a", "b", "c"] {
        instances.joined(at(0), instance(name, "north-a"));
    }
    assert_eq!(instances.sharing(at(100)), None, "the list has just grown");
    assert_eq!(instances.sharing(at(5_000)), Some(3));
    instances.keep_only(at(6_000), ["a", "b"].into_iter());
    assert_eq!(instances.sharing(at(20_000)), Some(3));
    instances.left(at(40_000), "none");
    assert_eq!(instances.sharing(at(40_000)), Some(2));
}

#[test]
fn an_instance_that_starts_again_takes_the_list_for_complete() {
    let mut instances = Instances::default();
    for name in ["a", "b"] {
        instances.joined(at(10), instance(name, "north-a"));
    }
    instances.first_read("c");
    assert_eq!(instances.sharing(at(20)), None);
    instances.first_read("a");
    assert_eq!(instances.sharing(at(20)), Some(2));
    instances.joined(at(30), instance("d", "north-a"));
    assert_eq!(instances.sharing(at(40)), None);
}

#[test]
fn few_instances_of_a_large_zone_read_the_registry_and_the_others_follow_them() {
    let mut instances = Instances::default();
    let names: Vec<String> = (0..14).map(|number| format!("north-{number}")).collect();
    for name in &names {
        instances.joined(at(0), instance(name, "north-a"));
    }
    for name in ["south-0", "south-1"] {
        instances.joined(at(0), instance(name, "south-b"));
    }
    let reading = |name: &str| instances.reading(at(10_000), name);
    let readers = names
        .iter()
        .filter(|name| reading(name) == Reading::ForOthers);
    assert_eq!(readers.count(), 2);
    let following = names
        .iter()
        .filter(|name| matches!(reading(name), Reading::Following(_)));
    assert_eq!(following.count(), 12);
    // A small zone and an instance that is not on the list read for themselves.
    assert_eq!(reading("south-0"), Reading::Alone);
    assert_eq!(reading("stranger"), Reading::Alone);
    // So do all while the list grows.
    assert_eq!(instances.reading(at(100), "north-0"), Reading::Alone);
}
