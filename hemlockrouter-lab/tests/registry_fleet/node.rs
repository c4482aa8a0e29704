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

/// How long an instance may take until it works, in milliseconds.
const START_MAX_MS: u64 = 2_000;

/// The window of the bound on repeats, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// How soon after an outage an instance knows what the registry holds, in milliseconds.
const CATCH_UP_MS: u64 = 5_000;

/// How large a fleet is, and the bound that holds in it.
#[derive(Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) zones: usize,
    pub(crate) each: usize,
    /// How soon a change must be in force, in milliseconds.
    pub(crate) bound_ms: u64,
}

impl Shape {
    pub(crate) fn timing(self) -> RegistryTiming {
        RegistryTiming::new(self.bound_ms, CATCH_UP_MS)
    }

    pub(crate) fn instances(self) -> usize {
        self.zones * self.each
    }
}

/// How the registry turns an instance away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// Calls fail at once.
    Reset,
    /// Calls are never answered.
    Silent,
}

/// A call that is under way.
#[derive(Clone, Copy)]
pub(crate) struct Pending {
    pub(crate) call: RegistryCall,
    pub(crate) began_at: Time,
    /// What the instance had heard when it began.
    pub(crate) heard_at: Option<Time>,
}

impl Pending {
    pub(crate) fn took_ms(&self, now: Time) -> u64 {
        now.ms_since(self.began_at)
    }
}

/// One instance.
pub(crate) struct Node {
    pub(crate) entry: InstanceEntry,
    pub(crate) zone: usize,
    pub(crate) down_until: Option<Time>,
    pub(crate) frozen_until: Time,
    /// Until when the registry turns it away, and how.
    pub(crate) refused: Option<(Refusal, Time)>,
    pub(crate) instances: Instances,
    /// The revision that it knows, and when the registry was in that state at least.
    pub(crate) known: Option<(usize, Time)>,
    /// The instances through which that came.
    pub(crate) path: Vec<String>,
    pub(crate) sources: RegistrySources,
    pub(crate) calls: Vec<Pending>,
    pub(crate) registrar: Registrar,
    pub(crate) look_at: Time,
    /// When something was done to it last.
    pub(crate) disturbed_at: Time,
    pub(crate) join_at: Time,
    pub(crate) refusals: usize,
    /// How often it has started.
    pub(crate) starts: u32,
    /// The parts of the bound that it had in the last window.
    pub(crate) handed_out: Vec<HandedOut>,
}

/// A part of the bound that an instance had for some time.
pub(crate) struct HandedOut {
    pub(crate) start: u32,
    pub(crate) part: f64,
    pub(crate) last_at: Time,
}

impl Node {
    pub(crate) fn new(number: usize, shape: Shape) -> Node {
        let port = u16::try_from(number).expect("the fleet is small");
        let zone = number % shape.zones;
        let entry = InstanceEntry {
            name: format!("instance-{number}"),
            zone: format!("zone-{zone}"),
            relay: Some(SocketAddr::from(([127, 0, 0, 1], port))),
            cpu_permille: if number < 2 * shape.zones { 500 } else { 120 },
            registered_by: None,
        };
        let spread = xxhash_rust::xxh3::xxh3_64(entry.name.as_bytes());
        Node {
            registrar: Registrar::new(entry.clone()),
            zone,
            down_until: None,
            frozen_until: Time::ZERO,
            refused: None,
            instances: Instances::default(),
            known: None,
            path: Vec::new(),
            sources: RegistrySources::new(&entry.name, shape.timing(), spread, Time::ZERO),
            calls: Vec::new(),
            look_at: Time::ZERO,
            disturbed_at: Time::ZERO,
            join_at: Time::ZERO,
            refusals: 0,
            starts: 0,
            handed_out: Vec::new(),
            entry,
        }
    }

    /// Returns an instance that begins to work some time after `now`, as a slow machine does.
    pub(crate) fn starting(number: usize, now: Time, shape: Shape) -> Node {
        let mut node = Node::new(number, shape);
        let hash = xxhash_rust::xxh3::xxh3_64(node.entry.name.as_bytes());
        node.look_at = now + hash % START_MAX_MS;
        node.join_at = node.look_at;
        node.disturbed_at = node.look_at;
        node.sources = RegistrySources::new(&node.entry.name, shape.timing(), hash, node.look_at);
        node
    }

    /// Starts again, and knows nothing.
    pub(crate) fn restart(&mut self, now: Time, number: usize, shape: Shape) {
        let handed_out = std::mem::take(&mut self.handed_out);
        let starts = self.starts + 1;
        *self = Node::starting(number, now, shape);
        self.handed_out = handed_out;
        self.starts = starts;
    }

    pub(crate) fn runs(&self, now: Time) -> bool {
        self.down_until.is_none() && now >= self.frozen_until
    }

    /// Notes which part of the bound it may hand out now.
    pub(crate) fn hand_out(&mut self, now: Time) {
        let Some(sharing) = self.instances.complete_count(now) else {
            return;
        };
        let part = 1.0 / f64::from(sharing);
        match self.handed_out.last_mut() {
            Some(last) if last.start == self.starts && last.part == part => last.last_at = now,
            _ => self.handed_out.push(HandedOut {
                start: self.starts,
                part,
                last_at: now,
            }),
        }
    }

    /// Returns what all of its starts may have spent of the bound in the window.
    pub(crate) fn spent(&mut self, now: Time) -> f64 {
        self.handed_out
            .retain(|handed| now.ms_since(handed.last_at) <= WINDOW_MS);
        let mut of_start: BTreeMap<u32, f64> = BTreeMap::new();
        for handed in &self.handed_out {
            let most = of_start.entry(handed.start).or_default();
            *most = most.max(handed.part);
        }
        of_start.values().sum()
    }
}
