//! Tests which instances read the registry, and which instances the others follow.

use std::net::SocketAddr;

use hemlockrouter_route::direct::Instances;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RegistryAccess;

use crate::fixture::instance;

/// The time at which the lists of instances in these tests count as complete.
const LIST_COMPLETE_AT: Time = Time::from_ms(10_000);

/// The number of instances in the large availability zone.
const LARGE_ZONE_INSTANCES: u16 = 14;

fn relay_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry_in_zone(zone: &str, port: u16) -> InstanceEntry {
    InstanceEntry {
        relay: Some(relay_address(port)),
        ..instance(&format!("{zone}-{port}"), zone)
    }
}

fn instances_of(entries: &[InstanceEntry]) -> Instances {
    let mut instances = Instances::default();
    for entry in entries {
        instances.add_instance(Time::ZERO, entry.clone());
    }
    instances
}

fn large_zone() -> Vec<InstanceEntry> {
    (0..LARGE_ZONE_INSTANCES)
        .map(|port| entry_in_zone("north-a", port))
        .collect()
}

fn first_relay(registry_access: &RegistryAccess) -> Option<SocketAddr> {
    registry_access.relays.first().copied()
}

#[test]
fn one_instance_of_a_large_zone_reads_and_the_others_follow_it() {
    let mut zone = large_zone();
    zone[5].cpu_permille = 500;
    let instances = instances_of(&zone);
    for entry in &zone {
        let registry_access = instances.registry_access(LIST_COMPLETE_AT, entry, &[]);
        assert_eq!(registry_access.reads_registry, entry.name == zone[5].name);
        if !registry_access.reads_registry {
            assert_eq!(
                first_relay(&registry_access),
                zone[5].relay,
                "the followed instance has the most CPU time"
            );
        }
    }
}

/// Guards against an instance that reads the registry but is followed by no other zone, because the
/// first instance of its own zone is frozen.
#[test]
fn relays_list_the_first_instance_of_every_zone_before_the_second_ones() {
    let zone = |name: &str, port: u16| [entry_in_zone(name, port), entry_in_zone(name, port + 1)];
    let zones = [zone("north-a", 1), zone("south-b", 11), zone("east-c", 21)];
    let all: Vec<InstanceEntry> = zones.concat();
    let instances = instances_of(&all);
    let own_entry = &zones[0][0];
    let registry_access = instances.registry_access(LIST_COMPLETE_AT, own_entry, &[]);
    let zone_of = |relay: &SocketAddr| {
        let entry = all.iter().find(|entry| entry.relay == Some(*relay));
        entry.map(|entry| entry.zone.as_str())
    };
    let relay_zones: Vec<Option<&str>> = registry_access.relays.iter().map(zone_of).collect();
    let (same_zone, first_zone, second_zone) = ("north-a", "east-c", "south-b");
    assert_eq!(
        relay_zones,
        [same_zone, first_zone, second_zone, first_zone, second_zone].map(Some)
    );
}

#[test]
fn all_instances_of_a_small_zone_read_and_know_relays_in_other_zones() {
    let same_zone: Vec<InstanceEntry> = (0..2).map(|port| entry_in_zone("north-a", port)).collect();
    let other_zone: Vec<InstanceEntry> =
        (7..9).map(|port| entry_in_zone("south-b", port)).collect();
    let instances = instances_of(&[same_zone.clone(), other_zone.clone()].concat());
    for entry in &same_zone {
        let registry_access = instances.registry_access(LIST_COMPLETE_AT, entry, &[]);
        assert!(registry_access.reads_registry);
        let is_in_other_zone =
            |relay: &SocketAddr| other_zone.iter().any(|entry| entry.relay == Some(*relay));
        assert!(
            registry_access.relays.iter().any(is_in_other_zone),
            "no relay in another zone"
        );
    }
}

#[test]
fn instances_never_follow_each_other_in_a_cycle_while_lists_grow() {
    let zone = large_zone();
    // Each instance knows a different half of the zone.
    for (index, entry) in zone.iter().enumerate() {
        let known_instances: Vec<InstanceEntry> = (0..7)
            .map(|offset| zone[(index + offset) % 14].clone())
            .collect();
        let registry_access =
            instances_of(&known_instances).registry_access(Time::ZERO, entry, &[]);
        let Some(followed) =
            first_relay(&registry_access).filter(|_| !registry_access.reads_registry)
        else {
            continue;
        };
        let followed = zone.iter().find(|other| other.relay == Some(followed));
        let followed = followed.expect("the followed instance is in the zone");
        // The followed instance never follows back, whatever instances it knows.
        for known_instances in [vec![entry.clone()], zone.clone()] {
            let followed_access =
                instances_of(&known_instances).registry_access(Time::ZERO, followed, &[]);
            assert!(followed_access.reads_registry || first_relay(&followed_access) != entry.relay);
        }
    }
}

#[test]
fn instances_starting_together_follow_the_seeds_until_they_know_each_other() {
    let zone = large_zone();
    let seeds = [relay_address(3), relay_address(100)];
    let no_instances = Instances::default();
    for entry in &zone {
        let registry_access = no_instances.registry_access(Time::ZERO, entry, &seeds);
        let is_seed = entry.relay == Some(relay_address(3));
        assert_eq!(registry_access.reads_registry, is_seed, "{}", entry.name);
        if !is_seed {
            assert!(seeds.contains(&first_relay(&registry_access).expect("the seeds are relays")));
        }
    }
    let instances = instances_of(&zone);
    let registry_access = instances.registry_access(Time::ZERO, &zone[0], &seeds);
    let first_relay_address = first_relay(&registry_access).expect("the zone is known");
    assert!(
        registry_access.reads_registry
            || zone
                .iter()
                .any(|entry| entry.relay == Some(first_relay_address))
    );
}

#[test]
fn the_only_instance_of_a_zone_reads_once_the_list_is_complete() {
    let own_entry = entry_in_zone("north-a", 1);
    let instances = instances_of(&[own_entry.clone(), entry_in_zone("south-b", 2)]);
    let seeds = [relay_address(2)];
    assert!(
        !instances
            .registry_access(Time::ZERO, &own_entry, &seeds)
            .reads_registry
    );
    assert!(
        instances
            .registry_access(LIST_COMPLETE_AT, &own_entry, &seeds)
            .reads_registry
    );
}
