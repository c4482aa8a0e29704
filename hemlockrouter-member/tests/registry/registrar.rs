//! Tests of the registrar, which registers instances on behalf of others.

use std::collections::BTreeMap;

use hemlockrouter_member::Registrar;
use hemlockrouter_member::RegistrarStep;
use hemlockrouter_member::RegistryCallFailure;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

const LEASE_ID: u64 = 7;

fn at_ms(ms: u64) -> Time {
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
struct RegistryFixture {
    registrar: Registrar,
    /// Registry: the name of the registrar of each registered instance.
    registrar_by_instance: BTreeMap<String, String>,
    calls: usize,
}

impl RegistryFixture {
    fn new() -> RegistryFixture {
        RegistryFixture {
            registrar: Registrar::new(entry("me")),
            registrar_by_instance: BTreeMap::new(),
            calls: 0,
        }
    }

    /// Compares the registry with the registrar's entries, and executes its steps until it waits.
    fn execute_steps(&mut self, now: Time) {
        let list = self.registrar_by_instance.clone();
        self.registrar
            .compare_with_list(now, |name| list.get(name).map(String::as_str));
        loop {
            let step = self.registrar.next_step(now);
            self.calls += usize::from(step != RegistrarStep::Wait);
            match step {
                RegistrarStep::Wait => return,
                RegistrarStep::Grant => self.registrar.record_grant(now, LEASE_ID),
                RegistrarStep::Renew { lease } => {
                    assert_eq!(lease, LEASE_ID);
                    self.registrar.record_renewal(now);
                }
                RegistrarStep::Write {
                    puts,
                    removed_names,
                    ..
                } => {
                    assert!(puts.len() + removed_names.len() <= 32);
                    for put in &puts {
                        let registrar = put.registered_by.clone();
                        let registrar = registrar.expect("the registrar names itself");
                        self.registrar_by_instance
                            .insert(put.name.clone(), registrar);
                    }
                    self.registrar_by_instance
                        .retain(|name, _| !removed_names.contains(name));
                    self.registrar.record_write(now, &puts, &removed_names);
                }
            }
        }
    }
}

#[test]
fn concurrent_joins_are_written_in_batches() {
    let mut fixture = RegistryFixture::new();
    fixture.registrar.set_registers_itself(at_ms(0), true);
    for number in 0..50 {
        fixture
            .registrar
            .record_join(at_ms(0), entry(&format!("n-{number}")));
    }
    fixture.execute_steps(at_ms(100));
    assert_eq!(fixture.registrar_by_instance.len(), 51);
    assert_eq!(fixture.calls, 3, "a lease and two writes");
    for second in 1..12 {
        for number in 0..50 {
            let entry = entry(&format!("n-{number}"));
            fixture.registrar.record_join(at_ms(1_000 * second), entry);
        }
        fixture.execute_steps(at_ms(1_000 * second));
    }
    assert_eq!(fixture.calls, 4, "one renewal");
}

#[test]
fn leaving_instance_is_removed_at_once_and_silent_one_after_timeout() {
    let mut fixture = RegistryFixture::new();
    fixture.registrar.set_registers_itself(at_ms(0), true);
    for name in ["silent", "stops"] {
        fixture.registrar.record_join(at_ms(0), entry(name));
    }
    fixture.execute_steps(at_ms(0));
    fixture.registrar.remove_instance("stops");
    fixture.execute_steps(at_ms(100));
    assert_eq!(
        fixture.registrar_by_instance.keys().collect::<Vec<_>>(),
        ["me", "silent"]
    );
    fixture.execute_steps(at_ms(11_900));
    assert!(fixture.registrar_by_instance.contains_key("silent"));
    fixture.execute_steps(at_ms(12_100));
    assert_eq!(
        fixture.registrar_by_instance.keys().collect::<Vec<_>>(),
        ["me"]
    );
}

#[test]
fn instance_taken_over_by_another_registrar_stays_listed() {
    let mut fixture = RegistryFixture::new();
    fixture.registrar.record_join(at_ms(0), entry("moved"));
    fixture.execute_steps(at_ms(0));
    let other = String::from("other");
    fixture
        .registrar_by_instance
        .insert(String::from("moved"), other.clone());
    fixture.execute_steps(at_ms(20_000));
    assert_eq!(fixture.registrar_by_instance.get("moved"), Some(&other));
    assert_eq!(fixture.registrar.registered_count(), 0);
}

#[test]
fn missing_entry_is_written_again() {
    let mut fixture = RegistryFixture::new();
    fixture.registrar.set_registers_itself(at_ms(0), true);
    fixture.execute_steps(at_ms(0));
    fixture.registrar_by_instance.clear();
    fixture.execute_steps(at_ms(1_000));
    assert!(fixture.registrar_by_instance.is_empty(), "the list lags");
    fixture.execute_steps(at_ms(3_100));
    assert!(fixture.registrar_by_instance.contains_key("me"));
}

#[test]
fn lost_lease_causes_all_entries_to_be_rewritten() {
    let mut fixture = RegistryFixture::new();
    fixture.registrar.set_registers_itself(at_ms(0), true);
    fixture.registrar.record_join(at_ms(0), entry("other"));
    fixture.execute_steps(at_ms(0));
    fixture.registrar_by_instance.clear();
    fixture
        .registrar
        .record_call_failure(at_ms(100), RegistryCallFailure::LeaseExpired);
    assert_eq!(
        fixture.registrar.next_step(at_ms(100)),
        RegistrarStep::Grant
    );
    fixture.execute_steps(at_ms(100));
    assert_eq!(fixture.registrar_by_instance.len(), 2);
}

#[test]
fn failed_call_delays_the_next_call() {
    let mut fixture = RegistryFixture::new();
    fixture.registrar.set_registers_itself(at_ms(0), true);
    assert_eq!(fixture.registrar.next_step(at_ms(0)), RegistrarStep::Grant);
    fixture
        .registrar
        .record_call_failure(at_ms(0), RegistryCallFailure::Unanswered);
    assert_eq!(fixture.registrar.next_step(at_ms(900)), RegistrarStep::Wait);
    assert_eq!(
        fixture.registrar.next_step(at_ms(1_000)),
        RegistrarStep::Grant
    );
}

#[test]
fn instance_with_another_registrar_does_not_register_itself() {
    let mut fixture = RegistryFixture::new();
    fixture.registrar.set_registers_itself(at_ms(0), true);
    fixture.registrar.set_registers_itself(at_ms(10), false);
    fixture.execute_steps(at_ms(100));
    assert_eq!(fixture.calls, 0);
    fixture.registrar.set_registers_itself(at_ms(200), true);
    fixture.execute_steps(at_ms(200));
    assert!(fixture.registrar_by_instance.contains_key("me"));
}
