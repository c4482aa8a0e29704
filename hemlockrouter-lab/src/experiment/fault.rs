//! The faults injected in each scenario.

use std::sync::Arc;

use hemlockrouter_types::prelude::*;
use rand::RngExt;

use super::layout;
use super::sim::Event;
use super::sim::Simulation;
use super::Scenario;

/// Index of the zone that is taken out of service.
const ZONE_OUT_INDEX: u32 = 0;

/// Index of the upstream that is lost.
const LOST_UPSTREAM_INDEX: usize = 7;

/// Interval between the indexes of upstreams that restart: one upstream in ten.
const RESTART_STRIDE: usize = 10;

/// Minimum and maximum delay until a release note is in force at an instance, in microseconds.
const NOTE_DELAY_RANGE_US: (u64, u64) = (100_000, 2_000_000);

/// Delay between a release note and the reaction of the balancer, in microseconds.
const BALANCER_DELAY_US: u64 = 1_000_000;

/// Time after which a zone that is taken out of service must get no more sub-requests, in
/// microseconds.
const ZONE_OUT_GRACE_US: u64 = 3_000_000;

/// A fault, or the recovery from a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum ScenarioFault {
    LoseReplica,
    Restart,
    /// A release note takes the zone out of service or puts it back in service.
    Note {
        in_service: bool,
    },
    /// The balancer stops or resumes sending queries to the zone's instances.
    Balancer {
        in_service: bool,
    },
    /// The zone must not get sub-requests from now on.
    ZoneIsOut,
}

impl Simulation {
    /// Schedules the faults of the scenario within the measured time, which starts at `from_us`.
    pub(super) fn schedule_faults(&mut self, from_us: u64, length_us: u64) {
        let quarter_us = from_us + length_us / 4;
        match self.options.scenario {
            Scenario::Calm | Scenario::Stragglers | Scenario::Overload | Scenario::StoreDown => (),
            Scenario::ReplicaLost => {
                self.schedule(quarter_us, Event::InjectFault(ScenarioFault::LoseReplica))
            }
            Scenario::ColdRestart => {
                self.schedule(quarter_us, Event::InjectFault(ScenarioFault::Restart))
            }
            Scenario::ZoneOut => {
                let back_us = from_us + length_us / 2;
                self.schedule_note(quarter_us, false);
                self.schedule_note(back_us, true);
                self.schedule(
                    quarter_us + ZONE_OUT_GRACE_US,
                    Event::InjectFault(ScenarioFault::ZoneIsOut),
                );
            }
        }
    }

    fn schedule_note(&mut self, at_us: u64, in_service: bool) {
        self.schedule(
            at_us,
            Event::InjectFault(ScenarioFault::Note { in_service }),
        );
        let balancer_fault = ScenarioFault::Balancer { in_service };
        self.schedule(
            at_us + BALANCER_DELAY_US,
            Event::InjectFault(balancer_fault),
        );
    }

    pub(super) fn inject_fault(&mut self, fault: ScenarioFault) {
        match fault {
            ScenarioFault::LoseReplica => {
                let mut actions = Vec::new();
                self.fakes[LOST_UPSTREAM_INDEX].make_unreachable(&mut actions);
                self.clear_idle_connections(LOST_UPSTREAM_INDEX);
                self.execute_actions(actions);
            }
            ScenarioFault::Restart => {
                for upstream in (0..self.fakes.len()).step_by(RESTART_STRIDE) {
                    let mut actions = Vec::new();
                    self.fakes[upstream].restart(self.now_us, &mut actions);
                    self.clear_idle_connections(upstream);
                    self.execute_actions(actions);
                }
            }
            ScenarioFault::Note { in_service } => self.accept_note(in_service),
            ScenarioFault::Balancer { in_service } => {
                self.balancer_targets = (0..self.instances.len())
                    .filter(|&index| in_service || self.instances[index].zone != ZONE_OUT_INDEX)
                    .collect();
            }
            ScenarioFault::ZoneIsOut => self.zone_without_work = Some(ZONE_OUT_INDEX),
        }
    }

    /// Accepts a release note, which comes into force at each instance after a random delay.
    ///
    /// The upstreams of a zone that comes back into service were restarted while it was out.
    fn accept_note(&mut self, in_service: bool) {
        let mut catalog = Catalog::clone(&self.catalog);
        catalog.number = catalog.number.next();
        let key = catalog.find_zone(&layout::zone_name(ZONE_OUT_INDEX));
        let zone = key.and_then(|key| catalog.zones.get_mut(key));
        zone.expect("the zone exists").in_service = in_service;
        self.catalog = Arc::new(catalog);
        if in_service {
            self.zone_without_work = None;
            self.restart_zone();
        }
        for index in 0..self.instances.len() {
            let delay_us = self
                .rng
                .random_range(NOTE_DELAY_RANGE_US.0..NOTE_DELAY_RANGE_US.1);
            let catalog = Arc::clone(&self.catalog);
            self.schedule(self.now_us + delay_us, Event::Configure(index, catalog));
        }
    }

    fn restart_zone(&mut self) {
        for upstream in 0..self.fakes.len() {
            if self.fakes[upstream].sizes.zone == ZONE_OUT_INDEX {
                let mut actions = Vec::new();
                self.fakes[upstream].restart_out_of_service(self.now_us, &mut actions);
                self.clear_idle_connections(upstream);
                self.execute_actions(actions);
            }
        }
    }

    fn clear_idle_connections(&mut self, upstream: usize) {
        for instance in &mut self.instances {
            instance.idle_connections[upstream] = 0;
        }
    }
}
