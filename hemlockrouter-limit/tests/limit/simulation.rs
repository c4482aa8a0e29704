//! Simulation in virtual time of one upstream and its owner under load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::prelude::*;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::common::catalog;
use crate::common::upstream;
use crate::fake_upstream::FakeUpstream;
use crate::fake_upstream::FakeUpstreamSpec;
use crate::fake_upstream::RequestInProcess;

/// Load of one customer, as a Poisson process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CustomerLoad {
    pub(crate) per_second: f64,
    pub(crate) weight: u32,
    /// Factor by which the customer's sub-requests take longer than usual.
    pub(crate) cost: u32,
    pub(crate) deadline_ms: u64,
}

impl CustomerLoad {
    pub(crate) fn new(per_second: f64) -> CustomerLoad {
        CustomerLoad {
            per_second,
            weight: 1,
            cost: 1,
            deadline_ms: 200,
        }
    }
}

/// Results of one customer's sub-requests.
pub(crate) struct CustomerResults {
    pub(crate) offered: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    /// Time from the offer to the answer, in milliseconds.
    pub(crate) latency: Histogram<u64>,
    /// Sum of the retry delays in refusals, in milliseconds.
    pub(crate) retry_delay_sum_ms: u64,
}

impl CustomerResults {
    pub(crate) fn in_time_percent(&self) -> u64 {
        (100 * self.in_time)
            .checked_div(self.offered)
            .unwrap_or(100)
    }

    pub(crate) fn p99_ms(&self) -> u64 {
        self.latency.value_at_quantile(0.99)
    }
}

/// Simulation of one upstream, its owner and the load of several customers.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) limiter: Limiter,
    pub(crate) fake_upstream: FakeUpstream,
    pub(crate) results: Vec<CustomerResults>,
    /// Number of dispatches to the cold upstream beyond its cold slots.
    pub(crate) dispatches_over_cold_slots: u64,
    /// Number of times that the limiter began to treat the upstream as cold.
    pub(crate) cold_starts: u64,
    loads: Vec<CustomerLoad>,
    next_arrival_ms: Vec<f64>,
    rng: SmallRng,
    offers: BTreeMap<SubRequestId, (Time, SubRequest)>,
    in_process: BTreeMap<(Time, u64), (SubRequestId, RequestInProcess)>,
    seq: u64,
    was_cold: bool,
}

impl Simulation {
    /// Creates a simulation in which the owner has just taken over the upstream.
    pub(crate) fn new(
        config: Config,
        spec: FakeUpstreamSpec,
        loads: &[CustomerLoad],
        seed: u64,
    ) -> Simulation {
        let mut limiter = Limiter::new(config);
        let catalog = catalog(1, spec.slots, spec.cold_slots, loads.len());
        let mut out = Vec::new();
        limiter.configure(Time::ZERO, &catalog, &mut out);
        limiter.record_lease(Time::ZERO, upstream(0), Time::MAX, &mut out);
        let customer_results = || CustomerResults {
            offered: 0,
            in_time: 0,
            refused: 0,
            latency: Histogram::new(3).expect("three digits can be kept"),
            retry_delay_sum_ms: 0,
        };
        let mut simulation = Simulation {
            now: Time::ZERO,
            limiter,
            fake_upstream: FakeUpstream::new(spec, Time::ZERO, seed),
            results: loads.iter().map(|_| customer_results()).collect(),
            dispatches_over_cold_slots: 0,
            cold_starts: 0,
            loads: loads.to_vec(),
            next_arrival_ms: Vec::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            offers: BTreeMap::new(),
            in_process: BTreeMap::new(),
            seq: 0,
            was_cold: true,
        };
        simulation.next_arrival_ms = (0..loads.len())
            .map(|customer_index| simulation.draw_gap_ms(customer_index))
            .collect();
        simulation
    }

    /// Resets the recorded results.
    pub(crate) fn clear_results(&mut self) {
        for customer_results in &mut self.results {
            customer_results.offered = 0;
            customer_results.in_time = 0;
            customer_results.refused = 0;
            customer_results.retry_delay_sum_ms = 0;
            customer_results.latency.reset();
        }
        self.dispatches_over_cold_slots = 0;
        self.cold_starts = 0;
        self.fake_upstream.busy_ms = 0;
        self.fake_upstream.overloads = 0;
    }

    /// Runs the simulation for `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        self.run_until(until, |_| false);
        self.now = until;
    }

    /// Runs until `done` returns true, for `max_ms` milliseconds at most. Returns the elapsed time
    /// in milliseconds, or `None` if `done` never returned true.
    pub(crate) fn run_until_done<F>(&mut self, max_ms: u64, done: F) -> Option<u64>
    where
        F: Fn(&Simulation) -> bool,
    {
        let from = self.now;
        let finished = self.run_until(from + max_ms, done);
        finished.then(|| self.now.ms_since(from))
    }

    pub(crate) fn limit(&self) -> u32 {
        let status = self.limiter.status(upstream(0));
        status.expect("the upstream is in the catalogue").limit
    }

    pub(crate) fn is_cold(&self) -> bool {
        let status = self.limiter.status(upstream(0));
        status.expect("the upstream is in the catalogue").cold
    }

    fn run_until<F>(&mut self, until: Time, done: F) -> bool
    where
        F: Fn(&Simulation) -> bool,
    {
        loop {
            if done(self) {
                return true;
            }
            let arrival = (0..self.loads.len())
                .min_by(|&a, &b| self.next_arrival_ms[a].total_cmp(&self.next_arrival_ms[b]));
            let arrival_at = arrival
                .map(|customer_index| Time::from_ms(self.next_arrival_ms[customer_index] as u64));
            let end_at = self.in_process.first_key_value().map(|(&(at, _), _)| at);
            let wake_at = self.limiter.next_wake();
            let next = [arrival_at, end_at, wake_at].into_iter().flatten().min();
            let Some(next) = next.filter(|&next| next <= until) else {
                return false;
            };
            self.now = self.now.max(next);
            if end_at == Some(next) {
                self.end_request();
            } else if wake_at == Some(next) {
                self.apply_event(|limiter, now, out| limiter.tick(now, out));
            } else if let Some(customer_index) = arrival {
                self.offer_next(customer_index);
            }
        }
    }

    fn offer_next(&mut self, customer_index: usize) {
        self.next_arrival_ms[customer_index] += self.draw_gap_ms(customer_index);
        self.seq += 1;
        let load = self.loads[customer_index];
        let work = SubRequest {
            id: SubRequestId {
                origin: InstanceId(1),
                seq: self.seq,
            },
            customer: CustomerKey::from_raw(customer_index as u32),
            upstream: upstream(0),
            weight: load.weight,
            deadline: self.now + load.deadline_ms,
            non_repeatable: false,
        };
        self.results[customer_index].offered += 1;
        self.offers.insert(work.id, (self.now, work));
        self.apply_event(|limiter, now, out| limiter.offer(now, work, out));
    }

    fn end_request(&mut self) {
        let entry = self.in_process.pop_first();
        let (_, (id, in_process)) = entry.expect("a request is in process");
        let outcome = self.fake_upstream.end_request(self.now, in_process);
        if let Some((since, work)) = self.offers.remove(&id) {
            let customer_results = &mut self.results[work.customer.slot()];
            if matches!(
                outcome,
                hemlockrouter_limit::DispatchOutcome::Answered { .. }
            ) {
                let took_ms = self.now.ms_since(since);
                customer_results.latency.saturating_record(took_ms);
                customer_results.in_time += u64::from(self.now <= work.deadline);
            }
        }
        self.apply_event(|limiter, now, out| limiter.finish(now, id, outcome, out));
    }

    fn apply_event<F>(&mut self, event: F)
    where
        F: FnOnce(&mut Limiter, Time, &mut Vec<Command>),
    {
        let mut out = Vec::new();
        event(&mut self.limiter, self.now, &mut out);
        for command in out {
            self.carry_out(command);
        }
        let is_cold = self.is_cold();
        self.cold_starts += u64::from(is_cold && !self.was_cold);
        self.was_cold = is_cold;
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Dispatch { id, .. } => {
                let (_, work) = self.offers[&id];
                let cost = self.loads[work.customer.slot()].cost;
                let full = self.fake_upstream.in_flight >= self.fake_upstream.spec.cold_slots;
                self.dispatches_over_cold_slots += u64::from(self.fake_upstream.is_cold() && full);
                let in_process = self.fake_upstream.start_request(self.now, cost);
                self.seq += 1;
                self.in_process
                    .insert((in_process.until, self.seq), (id, in_process));
            }
            Command::Refuse { id, refusal } => {
                let (_, work) = self.offers.remove(&id).expect("only offers are refused");
                let customer_results = &mut self.results[work.customer.slot()];
                customer_results.refused += 1;
                customer_results.retry_delay_sum_ms += u64::from(refusal.retry_after_ms);
            }
            Command::CancelAtUpstream { .. } | Command::Decision(_) => {}
        }
    }

    fn draw_gap_ms(&mut self, customer_index: usize) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() * 1_000.0 / self.loads[customer_index].per_second
    }
}
