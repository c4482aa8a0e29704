//! Tests of the registrar, which registers instances on behalf of others.

use std::collections::BTreeMap;

use hemlockrouter_member::Failed;
use hemlockrouter_member::Registrar;
use hemlockrouter_member::Step;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

const LEASE: u64 = 7;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn entry(name: &str) -> InstanceEntry {
    InstanceEntry {
        name: String::from(name),
        zone: String::from("north-a"),
        relay: None,
        cpu_permille: 250,
        registered_by: None,
    }
}

/// Registrar with a simulated registry.
struct Fixture {
    registrar: Registrar,
    /// Registry: the name of the registrar of each registered instance.
    list: BTreeMap<String, String>,
    calls: usize,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
            registrar: Registrar::new(entry("me")),
            list: BTreeMap::new(),
            calls: 0,
        }
    }

    /// Compares the registry with the registrar's entries, and executes its steps until it waits.
    fn run(&mut self, now: Time) {
        let list = self.list.clone();
        self.registrar
            .compare(now, |name| list.get(name).map(String::as_str));
        loop {
            let step = self.registrar.step(now);
            self.calls += usize::from(step != Step::Wait);
            match step {
                Step::Wait => return,
                Step::Grant => self.registrar.granted(now, LEASE),
                Step::Renew { lease } => {
                    assert_eq!(lease, LEASE);
                    self.registrar.renewed(now);
                }
                Step::Write { puts, removes, .. } => {
                    assert!(puts.len() + removes.len() <= 32);
                    for put in &puts {
                        let registrar = put.registered_by.clone();
                        let registrar = registrar.expect("the registrar names itself");
                        self.list.insert(put.name.clone(), registrar);
                    }
                    self.list.retain(|name, _| !removes.contains(name));
                    self.registrar.written(now, &puts, &removes);
                }
            }
        }
    }
}

#[test]
fn instances_that_join_at_the_same_time_are_written_together() {
    let mut fixture = Fixture::new();
    fixture.registrar.register_itself(at(0), true);
    for number in 0..50 {
        fixture.registrar.join(at(0), entry(&format!("n-{number}")));
    }
    fixture.run(at(100));
    assert_eq!(fixture.list.len(), 51);
    assert_eq!(fixture.calls, 3, "a lease and two writes");
    for second in 1..12 {
        for number in 0..50 {
            let entry = entry(&format!("n-{number}"));
            fixture.registrar.join(at(1_000 * second), entry);
        }
        fixture.run(at(1_000 * second));
    }
    assert_eq!(fixture.calls, 4, "one renewal");
}

#[test]
fn a_silent_instance_is_taken_off_the_list_and_one_that_stops_at_once() {
    let mut fixture = Fixture::new();
    fixture.registrar.register_itself(at(0), true);
    for name in ["silent", "stops"] {
        fixture.registrar.join(at(0), entry(name));
    }
    fixture.run(at(0));
    fixture.registrar.leave("stops");
    fixture.run(at(100));
    assert_eq!(fixture.list.keys().collect::<Vec<_>>(), ["me", "silent"]);
    fixture.run(at(11_900));
    assert!(fixture.list.contains_key("silent"));
    fixture.run(at(12_100));
    assert_eq!(fixture.list.keys().collect::<Vec<_>>(), ["me"]);
}

#[test]
fn an_instance_that_another_registrar_has_taken_over_stays() {
    let mut fixture = Fixture::new();
    fixture.registrar.join(at(0), entry("moved"));
    fixture.run(at(0));
    let other = String::from("other");
    fixture.list.insert(String::from("moved"), other.clone());
    fixture.run(at(20_000));
    assert_eq!(fixture.list.get("moved"), Some(&other));
    assert_eq!(fixture.registrar.count(), 0);
}

#[test]
fn what_the_list_lacks_is_written_again() {
    let mut fixture = Fixture::new();
    fixture.registrar.register_itself(at(0), true);
    fixture.run(at(0));
    fixture.list.clear();
    fixture.run(at(1_000));
    assert!(fixture.list.is_empty(), "the list lags");
    fixture.run(at(3_100));
    assert!(fixture.list.contains_key("me"));
}

#[test]
fn all_are_written_again_under_a_new_lease_when_the_old_one_is_gone() {
    let mut fixture = Fixture::new();
    fixture.registrar.register_itself(at(0), true);
    fixture.registrar.join(at(0), entry("other"));
    fixture.run(at(0));
    fixture.list.clear();
    fixture.registrar.failed(at(100), Failed::LeaseGone);
    assert_eq!(fixture.registrar.step(at(100)), Step::Grant);
    fixture.run(at(100));
    assert_eq!(fixture.list.len(), 2);
}

#[test]
fn a_registry_that_does_not_answer_is_left_alone_for_a_moment() {
    let mut fixture = Fixture::new();
    fixture.registrar.register_itself(at(0), true);
    assert_eq!(fixture.registrar.step(at(0)), Step::Grant);
    fixture.registrar.failed(at(0), Failed::NotDone);
    assert_eq!(fixture.registrar.step(at(900)), Step::Wait);
    assert_eq!(fixture.registrar.step(at(1_000)), Step::Grant);
}

#[test]
fn an_instance_that_another_one_registers_does_not_register_itself() {
    let mut fixture = Fixture::new();
    fixture.registrar.register_itself(at(0), true);
    fixture.registrar.register_itself(at(10), false);
    fixture.run(at(100));
    assert_eq!(fixture.calls, 0);
    fixture.registrar.register_itself(at(200), true);
    fixture.run(at(200));
    assert!(fixture.list.contains_key("me"));
}
