//! Simulation in virtual time of one upstream and its owner under load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::Work;
use hemlockrouter_types::prelude::*;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::common::catalog;
use crate::common::upstream;
use crate::fake::Fake;
use crate::fake::Serving;
use crate::fake::Spec;

/// Load of one customer, as a Poisson process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) per_second: f64,
    pub(crate) weight: u32,
    /// Factor by which the customer's sub-requests take longer than usual.
    pub(crate) cost: u32,
    pub(crate) deadline_ms: u64,
}

impl Load {
    pub(crate) fn new(per_second: f64) -> Load {
        Load {
            per_second,
            weight: 1,
            cost: 1,
            deadline_ms: 200,
        }
    }
}

/// Results of one customer's sub-requests.
pub(crate) struct Record {
    pub(crate) offered: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    /// Time from the offer to the answer, in milliseconds.
    pub(crate) latency: Histogram<u64>,
    /// Sum of the retry delays in refusals, in milliseconds.
    pub(crate) retry_ms: u64,
}

impl Record {
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
pub(crate) struct Sim {
    pub(crate) now: Time,
    pub(crate) limiter: Limiter,
    pub(crate) fake: Fake,
    pub(crate) records: Vec<Record>,
    /// Number of dispatches to the cold upstream beyond its cold slots.
    pub(crate) over_bound: u64,
    /// Number of times that the limiter began to treat the upstream as cold.
    pub(crate) cold_turns: u64,
    loads: Vec<Load>,
    next: Vec<f64>,
    rng: SmallRng,
    offers: BTreeMap<SubId, (Time, Work)>,
    serving: BTreeMap<(Time, u64), (SubId, Serving)>,
    seq: u64,
    was_cold: bool,
}

impl Sim {
    /// Creates a simulation in which the owner has just taken over the upstream.
    pub(crate) fn new(config: Config, spec: Spec, loads: &[Load], seed: u64) -> Sim {
        let mut limiter = Limiter::new(config);
        let catalog = catalog(1, spec.slots, spec.cold_slots, loads.len());
        let mut out = Vec::new();
        limiter.configure(Time::ZERO, &catalog, &mut out);
        limiter.hold(Time::ZERO, upstream(0), Time::MAX, &mut out);
        let record = || Record {
            offered: 0,
            in_time: 0,
            refused: 0,
            latency: Histogram::new(3).expect("three digits can be kept"),
            retry_ms: 0,
        };
        let mut sim = Sim {
            now: Time::ZERO,
            limiter,
            fake: Fake::new(spec, Time::ZERO, seed),
            records: loads.iter().map(|_| record()).collect(),
            over_bound: 0,
            cold_turns: 0,
            loads: loads.to_vec(),
            next: Vec::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            offers: BTreeMap::new(),
            serving: BTreeMap::new(),
            seq: 0,
            was_cold: true,
        };
        sim.next = (0..loads.len()).map(|nth| sim.gap_ms(nth)).collect();
        sim
    }

    /// Resets the recorded results.
    pub(crate) fn clear(&mut self) {
        for record in &mut self.records {
            record.offered = 0;
            record.in_time = 0;
            record.refused = 0;
            record.retry_ms = 0;
            record.latency.reset();
        }
        self.over_bound = 0;
        self.cold_turns = 0;
        self.fake.busy_ms = 0;
        self.fake.overloads = 0;
    }

    /// Runs the simulation for `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        self.run_until(until, |_| false);
        self.now = until;
    }

    /// Runs until `done` returns true, for `max_ms` milliseconds at most. Returns the elapsed time
    /// in milliseconds, or `None` if `done` never returned true.
    pub(crate) fn run_while<F>(&mut self, max_ms: u64, done: F) -> Option<u64>
    where
        F: Fn(&Sim) -> bool,
    {
        let from = self.now;
        let finished = self.run_until(from + max_ms, done);
        finished.then(|| self.now.since(from))
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
        F: Fn(&Sim) -> bool,
    {
        loop {
            if done(self) {
                return true;
            }
            let arrival =
                (0..self.loads.len()).min_by(|&a, &b| self.next[a].total_cmp(&self.next[b]));
            let arrival_at = arrival.map(|nth| Time::from_ms(self.next[nth] as u64));
            let end_at = self.serving.first_key_value().map(|(&(at, _), _)| at);
            let wake_at = self.limiter.next_wake();
            let next = [arrival_at, end_at, wake_at].into_iter().flatten().min();
            let Some(next) = next.filter(|&next| next <= until) else {
                return false;
            };
            self.now = self.now.max(next);
            if end_at == Some(next) {
                self.end();
            } else if wake_at == Some(next) {
                self.event(|limiter, now, out| limiter.tick(now, out));
            } else if let Some(nth) = arrival {
                self.arrive(nth);
            }
        }
    }

    fn arrive(&mut self, nth: usize) {
        self.next[nth] += self.gap_ms(nth);
        self.seq += 1;
        let load = self.loads[nth];
        let work = Work {
            id: SubId {
                origin: InstanceId(1),
                seq: self.seq,
            },
            customer: CustomerKey::from_raw(nth as u32),
            upstream: upstream(0),
            weight: load.weight,
            deadline: self.now + load.deadline_ms,
            once: false,
        };
        self.records[nth].offered += 1;
        self.offers.insert(work.id, (self.now, work));
        self.event(|limiter, now, out| limiter.offer(now, work, out));
    }

    fn end(&mut self) {
        let entry = self.serving.pop_first();
        let (_, (id, serving)) = entry.expect("something ends");
        let ended = self.fake.end(self.now, serving);
        if let Some((since, work)) = self.offers.remove(&id) {
            let record = &mut self.records[work.customer.slot()];
            if matches!(ended, hemlockrouter_limit::Ended::Answered { .. }) {
                let took_ms = self.now.since(since);
                record.latency.saturating_record(took_ms);
                record.in_time += u64::from(self.now <= work.deadline);
            }
        }
        self.event(|limiter, now, out| limiter.finish(now, id, ended, out));
    }

    fn event<F>(&mut self, event: F)
    where
        F: FnOnce(&mut Limiter, Time, &mut Vec<Command>),
    {
        let mut out = Vec::new();
        event(&mut self.limiter, self.now, &mut out);
        for command in out {
            self.carry_out(command);
        }
        let is_cold = self.is_cold();
        self.cold_turns += u64::from(is_cold && !self.was_cold);
        self.was_cold = is_cold;
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Dispatch { id, .. } => {
                let (_, work) = self.offers[&id];
                let cost = self.loads[work.customer.slot()].cost;
                let full = self.fake.in_flight >= self.fake.spec.cold_slots;
                self.over_bound += u64::from(self.fake.is_cold() && full);
                let serving = self.fake.arrive(self.now, cost);
                self.seq += 1;
                self.serving
                    .insert((serving.until, self.seq), (id, serving));
            }
            Command::Refuse { id, refusal } => {
                let (_, work) = self.offers.remove(&id).expect("only offers are refused");
                let record = &mut self.records[work.customer.slot()];
                record.refused += 1;
                record.retry_ms += u64::from(refusal.retry_after_ms);
            }
            Command::CancelUpstream { .. } | Command::Decision(_) => {}
        }
    }

    fn gap_ms(&mut self, nth: usize) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() * 1_000.0 / self.loads[nth].per_second
    }
}
