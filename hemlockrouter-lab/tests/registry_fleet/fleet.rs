//! A simulated fleet that follows a registry in virtual time, while instances are killed, frozen,
//! cut off or refused by the registry.
//!
//! The fleet runs the production code that chooses the readers and the relays that other instances
//! follow, the sources of registry data, and the registrars. Calls take time, and several calls can
//! be in flight at once.

use std::net::SocketAddr;

use hemlockrouter_member::RegistrarStep;
use hemlockrouter_member::RegistryCallFailure;
use hemlockrouter_member::JOIN_INTERVAL_MS;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::RegistryAccess;
use rand::rngs::StdRng;
use rand::RngExt;

use crate::node::FleetShape;
use crate::node::Node;
use crate::node::Refusal;
use crate::registry::Registry;

/// Step of the simulation, in milliseconds. A call takes at least one step.
const STEP_MS: u64 = 20;

pub(crate) struct Fleet {
    pub(crate) shape: FleetShape,
    pub(crate) now: Time,
    pub(crate) registry: Registry,
    pub(crate) nodes: Vec<Node>,
    pub(crate) seeds: Vec<SocketAddr>,
    /// Availability zone that is cut off, and the end of the cut.
    pub(crate) zone_cut: Option<(usize, Time)>,
    /// Time at which the registry or the network between availability zones last failed.
    pub(crate) last_fault_at: Time,
    pub(crate) last_lease: u64,
}

impl Fleet {
    pub(crate) fn new(shape: FleetShape) -> Fleet {
        let nodes: Vec<Node> = (0..shape.instances())
            .map(|number| Node::starting(number, Time::ZERO, shape))
            .collect();
        let third_of_fleet = shape.instances() / 3;
        let seeds = [third_of_fleet, 2 * third_of_fleet + 1, third_of_fleet / 2]
            .map(|index: usize| nodes[index].entry.relay);
        Fleet {
            shape,
            now: Time::from_ms(1_000),
            registry: Registry::default(),
            seeds: seeds.into_iter().flatten().collect(),
            nodes,
            zone_cut: None,
            last_fault_at: Time::ZERO,
            last_lease: 0,
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.tick();
        }
    }

    pub(crate) fn tick(&mut self) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        if self.registry.is_down || self.zone_cut.is_some() {
            self.last_fault_at = now;
        }
        if !self.registry.is_down {
            self.registry.expire(now);
        }
        self.zone_cut = self.zone_cut.filter(|(_, until)| now < *until);
        for index in 0..self.nodes.len() {
            if self.nodes[index]
                .down_until
                .is_some_and(|until| now >= until)
            {
                self.nodes[index].restart(now, index, self.shape);
            }
            if !self.nodes[index].is_running(now) {
                self.nodes[index].last_fault_at = now;
            } else {
                self.follow_registry(index);
                self.join(index);
                self.register(index);
            }
        }
        self.check_share_sum();
        self.check_view_ages();
    }

    pub(crate) fn is_zone_cut(&self, index: usize) -> bool {
        self.zone_cut
            .is_some_and(|(zone, _)| zone == self.nodes[index].zone)
    }

    pub(crate) fn reaches_registry(&self, index: usize) -> bool {
        let is_cut = self.refusal(index).is_some() || self.is_zone_cut(index);
        !self.registry.is_down && !is_cut
    }

    pub(crate) fn refusal(&self, index: usize) -> Option<Refusal> {
        let refused = self.nodes[index].refused;
        let refused = refused.filter(|(_, until)| self.now < *until);
        refused.map(|(refusal, _)| refusal)
    }

    /// Returns the instance behind a relay address, if that instance answers instance `index`.
    pub(crate) fn reachable_relay(&self, index: usize, relay: SocketAddr) -> Option<usize> {
        let other = usize::from(relay.port());
        let same_zone = self.nodes[other].zone == self.nodes[index].zone;
        let is_cut = self.is_zone_cut(index) || self.is_zone_cut(other);
        let answers = self.nodes[other].is_running(self.now) && (same_zone || !is_cut);
        answers.then_some(other)
    }

    pub(crate) fn registry_access(&self, index: usize) -> RegistryAccess {
        let node = &self.nodes[index];
        node.instances
            .registry_access(self.now, &node.entry, &self.seeds)
    }

    pub(crate) fn join(&mut self, index: usize) {
        let now = self.now;
        if now < self.nodes[index].join_at {
            return;
        }
        let registry_access = self.registry_access(index);
        let refusals = self.nodes[index].refusals;
        let relays = &registry_access.relays;
        let registers_itself = registry_access.reads_registry || relays.is_empty() || refusals >= 3;
        let registrar = if registers_itself {
            None
        } else {
            self.reachable_relay(index, relays[refusals % relays.len()])
        };
        if !registers_itself && registrar.is_none() {
            self.nodes[index].refusals += 1;
            return;
        }
        if let Some(registrar) = registrar {
            let entry = self.nodes[index].entry.clone();
            self.nodes[registrar].registrar.record_join(now, entry);
        }
        let node = &mut self.nodes[index];
        node.registrar.set_registers_itself(now, registers_itself);
        node.refusals = 0;
        node.join_at = now + JOIN_INTERVAL_MS;
    }

    pub(crate) fn register(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let instances = &node.instances;
        node.registrar
            .compare_with_list(now, |name| instances.registrar_of(name));
        let step = node.registrar.next_step(now);
        if step == RegistrarStep::Wait {
            return;
        }
        self.registry.calls += 1;
        self.last_lease += 1;
        let lease = self.last_lease;
        let done = if self.reaches_registry(index) {
            self.registry.execute(now, &step, lease)
        } else {
            Err(RegistryCallFailure::Unanswered)
        };
        let registrar = &mut self.nodes[index].registrar;
        match (done, &step) {
            (Err(why), _) => registrar.record_call_failure(now, why),
            (Ok(()), RegistrarStep::Grant) => registrar.record_grant(now, lease),
            (Ok(()), RegistrarStep::Renew { .. }) => registrar.record_renewal(now),
            (
                Ok(()),
                RegistrarStep::Write {
                    puts,
                    removed_names,
                    ..
                },
            ) => registrar.record_write(now, puts, removed_names),
            (Ok(()), RegistrarStep::Wait) => {}
        }
    }

    pub(crate) fn kill(&mut self, index: usize, ms: u64) {
        self.nodes[index].down_until = Some(self.now + ms);
    }

    /// Returns the instance that reads from the registry for a zone, or else any running instance of
    /// the zone.
    pub(crate) fn reader_of_zone(&self, zone: usize) -> usize {
        let zone_instances = (0..self.nodes.len()).filter(|index| self.nodes[*index].zone == zone);
        let mut running = zone_instances.filter(|index| self.nodes[*index].is_running(self.now));
        let reader = running
            .clone()
            .find(|index| self.registry_access(*index).reads_registry);
        reader.or_else(|| running.next()).unwrap_or(zone)
    }

    /// Makes the registry refuse a random set of instances, but not all of them.
    pub(crate) fn refuse_some_instances(&mut self, rng: &mut StdRng, ms: u64) {
        let refusal = match rng.random_bool(0.5) {
            true => Refusal::Reset,
            false => Refusal::Silent,
        };
        let share = rng.random_range(0.2..1.0);
        let served = rng.random_range(0..self.nodes.len());
        for index in 0..self.nodes.len() {
            if index != served && rng.random_bool(share) {
                self.nodes[index].refused = Some((refusal, self.now + ms));
            }
        }
        self.nodes[served].refused = None;
    }
}
