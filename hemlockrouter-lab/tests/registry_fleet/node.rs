//! One instance of a simulated fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_member::Registrar;
use hemlockrouter_member::RegistryCall;
use hemlockrouter_member::RegistrySources;
use hemlockrouter_member::RegistryTiming;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

/// Maximum start time of an instance, in milliseconds.
const MAX_START_MS: u64 = 2_000;

/// Window of the bound on repeats, in milliseconds.
const REPEAT_WINDOW_MS: u64 = 10_000;

/// Time after an outage within which an instance catches up with the registry, in milliseconds.
const CATCH_UP_MS: u64 = 5_000;

/// The size of a fleet, and the bound on changes in it.
#[derive(Clone, Copy)]
pub(crate) struct FleetShape {
    pub(crate) zones: usize,
    pub(crate) instances_per_zone: usize,
    /// Time within which a change must be in force, in milliseconds.
    pub(crate) bound_ms: u64,
}

impl FleetShape {
    pub(crate) fn timing(self) -> RegistryTiming {
        RegistryTiming::new(self.bound_ms, CATCH_UP_MS)
    }

    pub(crate) fn instances(self) -> usize {
        self.zones * self.instances_per_zone
    }
}

/// The way in which the registry refuses calls of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// Calls fail at once.
    Reset,
    /// Calls are never answered.
    Silent,
}

/// A call in flight.
#[derive(Clone, Copy)]
pub(crate) struct Pending {
    pub(crate) call: RegistryCall,
    pub(crate) started_at: Time,
    /// Registry time of the instance's view when the call began.
    pub(crate) registry_seen_at: Option<Time>,
}

impl Pending {
    pub(crate) fn elapsed_ms(&self, now: Time) -> u64 {
        now.ms_since(self.started_at)
    }
}

/// An instance of a simulated fleet.
pub(crate) struct Node {
    pub(crate) entry: InstanceEntry,
    pub(crate) zone: usize,
    pub(crate) down_until: Option<Time>,
    pub(crate) frozen_until: Time,
    /// Way in which the registry refuses the instance, and the end of the refusal.
    pub(crate) refused: Option<(Refusal, Time)>,
    pub(crate) instances: Instances,
    /// Registry revision of the instance's view, and the latest time at which the registry is known
    /// to have been in that state.
    pub(crate) view: Option<(usize, Time)>,
    /// Names of the instances through which the view was relayed.
    pub(crate) path: Vec<String>,
    pub(crate) sources: RegistrySources,
    pub(crate) calls: Vec<Pending>,
    pub(crate) registrar: Registrar,
    pub(crate) poll_at: Time,
    /// Time of the last fault at the instance.
    pub(crate) last_fault_at: Time,
    pub(crate) join_at: Time,
    pub(crate) refusals: usize,
    /// Number of restarts of the instance.
    pub(crate) restarts: u32,
    /// Shares of the bound that the instance held within the last window.
    pub(crate) held_shares: Vec<HeldShare>,
}

/// A share of the bound that an instance held for some time.
pub(crate) struct HeldShare {
    pub(crate) start: u32,
    pub(crate) share: f64,
    pub(crate) last_held_at: Time,
}

impl Node {
    pub(crate) fn new(number: usize, shape: FleetShape) -> Node {
        let port = u16::try_from(number).expect("the fleet is small");
        let zone = number % shape.zones;
        let entry = InstanceEntry {
            name: format!("instance-{number}"),
            zone: format!("zone-{zone}"),
            relay: Some(SocketAddr::from(([127, 0, 0, 1], port))),
            cpu_permille: if number < 2 * shape.zones { 500 } else { 120 },
            registered_by: None,
        };
        let spread_seed = xxhash_rust::xxh3::xxh3_64(entry.name.as_bytes());
        Node {
            registrar: Registrar::new(entry.clone()),
            zone,
            down_until: None,
            frozen_until: Time::ZERO,
            refused: None,
            instances: Instances::default(),
            view: None,
            path: Vec::new(),
            sources: RegistrySources::new(&entry.name, shape.timing(), spread_seed, Time::ZERO),
            calls: Vec::new(),
            poll_at: Time::ZERO,
            last_fault_at: Time::ZERO,
            join_at: Time::ZERO,
            refusals: 0,
            restarts: 0,
            held_shares: Vec::new(),
            entry,
        }
    }

    /// Creates an instance that starts to work some time after `now`, as on a slow machine.
    pub(crate) fn starting(number: usize, now: Time, shape: FleetShape) -> Node {
        let mut node = Node::new(number, shape);
        let hash = xxhash_rust::xxh3::xxh3_64(node.entry.name.as_bytes());
        node.poll_at = now + hash % MAX_START_MS;
        node.join_at = node.poll_at;
        node.last_fault_at = node.poll_at;
        node.sources = RegistrySources::new(&node.entry.name, shape.timing(), hash, node.poll_at);
        node
    }

    /// Restarts the instance with an empty view of the registry.
    pub(crate) fn restart(&mut self, now: Time, number: usize, shape: FleetShape) {
        let held_shares = std::mem::take(&mut self.held_shares);
        let restarts = self.restarts + 1;
        *self = Node::starting(number, now, shape);
        self.held_shares = held_shares;
        self.restarts = restarts;
    }

    pub(crate) fn is_running(&self, now: Time) -> bool {
        self.down_until.is_none() && now >= self.frozen_until
    }

    /// Records the share of the bound that the instance may hand out at `now`.
    pub(crate) fn record_share(&mut self, now: Time) {
        let Some(sharing) = self.instances.complete_count(now) else {
            return;
        };
        let share = 1.0 / f64::from(sharing);
        match self.held_shares.last_mut() {
            Some(last) if last.start == self.restarts && last.share == share => {
                last.last_held_at = now
            }
            _ => self.held_shares.push(HeldShare {
                start: self.restarts,
                share,
                last_held_at: now,
            }),
        }
    }

    /// Returns the sum of the shares that all starts of the instance may have spent in the window.
    pub(crate) fn spent_share_sum(&mut self, now: Time) -> f64 {
        self.held_shares
            .retain(|handed| now.ms_since(handed.last_held_at) <= REPEAT_WINDOW_MS);
        let mut largest_share_by_start: BTreeMap<u32, f64> = BTreeMap::new();
        for handed in &self.held_shares {
            let largest_share = largest_share_by_start.entry(handed.start).or_default();
            *largest_share = largest_share.max(handed.share);
        }
        largest_share_by_start.values().sum()
    }
}
