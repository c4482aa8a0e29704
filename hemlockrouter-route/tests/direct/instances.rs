//! Tests the number of instances among which a bound is divided.

use hemlockrouter_route::direct::Instances;
use hemlockrouter_types::prelude::*;

use crate::fixture::instance;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

#[test]
fn a_removed_instance_is_still_counted_for_a_while() {
    let mut instances = Instances::default();
    for name in ["a", "b", "c"] {
        instances.add_instance(at(0), instance(name, "north-a"));
    }
    assert_eq!(
        instances.complete_count(at(100)),
        None,
        "the list has just grown"
    );
    assert_eq!(instances.complete_count(at(5_000)), Some(3));
    instances.retain_registered(at(6_000), ["a", "b"].into_iter());
    assert_eq!(instances.complete_count(at(20_000)), Some(3));
    instances.mark_removed(at(40_000), "none");
    assert_eq!(instances.complete_count(at(40_000)), Some(2));
}

#[test]
fn a_restarted_instance_treats_the_list_as_complete() {
    let mut instances = Instances::default();
    for name in ["a", "b"] {
        instances.add_instance(at(10), instance(name, "north-a"));
    }
    instances.record_first_read("c");
    assert_eq!(instances.complete_count(at(20)), None);
    instances.record_first_read("a");
    assert_eq!(instances.complete_count(at(20)), Some(2));
    instances.add_instance(at(30), instance("d", "north-a"));
    assert_eq!(instances.complete_count(at(40)), None);
}

#[test]
fn the_registrar_of_a_listed_instance_is_known() {
    let mut instances = Instances::default();
    let mut entry = instance("a", "north-a");
    instances.add_instance(at(0), entry.clone());
    assert_eq!(instances.registrar_of("a"), Some("a"));
    entry.registered_by = Some(String::from("b"));
    instances.add_instance(at(0), entry);
    assert_eq!(instances.registrar_of("a"), Some("b"));
    instances.mark_removed(at(10), "a");
    assert_eq!(instances.registrar_of("a"), None);
}
