//! Benchmark of the limiter's cost per sub-request: its offer, its dispatch and its end.
//!
//! Each case keeps every upstream busy with waiting sub-requests of every customer, so that the
//! measured cost includes the queue. The cost must not grow with the number of upstreams or
//! customers. In the group `share`, the instance owns 50 upstreams of the catalogue. In the group
//! `all`, it owns every upstream, so that its working set exceeds the processor's caches.

use std::hint::black_box;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::prelude::*;

/// Number of sub-requests that wait for each upstream.
const WAITING_PER_UPSTREAM: u32 = 8;

/// Sub-requests per millisecond of virtual time. 64 corresponds to 64,000 per second.
const SUB_REQUESTS_PER_MS: u64 = 64;

/// Deadline in milliseconds, long enough that nothing is refused.
const DEADLINE_MS: u64 = 1_000_000;

struct LimiterBench {
    limiter: Limiter,
    out: Vec<Command>,
    now: Time,
    seq: u64,
    owned: u32,
    customers: u32,
}

impl LimiterBench {
    fn new(upstreams: u32, owned: u32, customers: u32) -> LimiterBench {
        let mut bench = LimiterBench {
            limiter: Limiter::new(Config::new()),
            out: Vec::new(),
            now: Time::ZERO,
            seq: 0,
            owned,
            customers,
        };
        let catalog = catalog(upstreams, customers);
        bench.limiter.configure(bench.now, &catalog, &mut bench.out);
        for index in 0..owned {
            let key = UpstreamKey::from_raw(index);
            bench
                .limiter
                .record_lease(bench.now, key, Time::MAX, &mut bench.out);
        }
        bench.now = Time::from_ms(1_000);
        bench.limiter.tick(bench.now, &mut bench.out);
        for _ in 0..WAITING_PER_UPSTREAM * owned {
            bench.offer();
        }
        bench
    }

    /// Offers sub-requests of the customers in turn to the upstreams in turn.
    fn offer(&mut self) {
        self.seq += 1;
        let number = self.seq as u32;
        let customer = (number / self.owned + number) % self.customers;
        let work = SubRequest {
            id: SubRequestId {
                origin: InstanceId(1),
                seq: self.seq,
            },
            customer: CustomerKey::from_raw(customer),
            upstream: UpstreamKey::from_raw(number % self.owned),
            weight: 1 + number % 2,
            deadline: self.now + DEADLINE_MS,
            non_repeatable: false,
        };
        self.limiter.offer(self.now, work, &mut self.out);
    }

    /// Offers one sub-request, and ends all sub-requests that were dispatched before.
    fn step(&mut self) {
        self.now = self.now + u64::from(self.seq % SUB_REQUESTS_PER_MS == 0);
        self.offer();
        let mut commands = std::mem::take(&mut self.out);
        for command in commands.drain(..) {
            if let Command::Dispatch { id, .. } = command {
                let outcome = DispatchOutcome::Answered {
                    served_ms: 5,
                    start_id: Some(StartId(1)),
                    leaving: false,
                };
                self.limiter.finish(self.now, id, outcome, &mut self.out);
            }
        }
        self.limiter.tick(self.now, &mut self.out);
        black_box(&self.out);
    }
}

fn catalog(upstreams: u32, customers: u32) -> Catalog {
    let mut catalog = Catalog::default();
    let zone = catalog.zones.insert(Zone {
        name: "a".to_owned(),
        region: "r".to_owned(),
        in_service: true,
    });
    for index in 0..upstreams {
        catalog.upstreams.insert(Upstream {
            name: format!("upstream-{index}"),
            address: ([127, 0, 0, 1], 9).into(),
            zone,
            slots: 2,
            cold_slots: 1,
            connections: 25,
            in_service: true,
        });
    }
    for index in 0..customers {
        catalog.customers.insert(Customer {
            name: format!("customer-{index}"),
            key_sha256: [0; 32],
            max_in_flight: 1_000,
            max_per_second: 1_000,
        });
    }
    catalog
}

fn decide(criterion: &mut Criterion) {
    for (name, owned_max) in [("share", 50), ("all", u32::MAX)] {
        let mut group = criterion.benchmark_group(name);
        for upstreams in [100, 3_000] {
            for customers in [10, 500] {
                let id = BenchmarkId::from_parameter(format!("{upstreams}x{customers}"));
                let mut bench = LimiterBench::new(upstreams, owned_max.min(upstreams), customers);
                group.bench_function(id, |bencher| bencher.iter(|| bench.step()));
            }
        }
        group.finish();
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);
