//! Benchmarks of the decision time of a search for each sub-request, compared with the time of one
//! HTTP exchange.
//!
//! The entry instance admits and plans a search and places its sub-requests. Each sub-request is
//! offered to the owner's limiter, dispatched and finished there, and its reply is merged. The
//! floor is an echo through the same HTTP libraries without any decision. The time for each
//! sub-request must not grow with the number of upstreams or customers.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use hemlockrouter_lab::server::HttpResponse;
use hemlockrouter_lab::server::Server;
use hemlockrouter_lab::server::ServerOptions;
use hemlockrouter_limit::Admission;
use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config as LimitConfig;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_route::Query;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::SearcherConfig;
use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::Search;
use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;

/// Virtual time between two searches, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 5;

/// Number of searches before the measured searches, in which the limiter learns of the upstreams.
const WARM_UP_SEARCHES: u64 = 2_000;

/// Number of searches whose allocations are counted.
const COUNTED_SEARCHES: u64 = 500;

const REPLICAS_PER_SHARD: u32 = 2;
const ECHO_BODY: &[u8] =
    b"{\"capacity\":120,\"from\":\"2026-12-07T09:00\",\"until\":\"2026-12-07T11:00\"}";

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// A wrapper of the system allocator that counts the allocations of each thread.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: all calls are forwarded to the system allocator unchanged.
#[expect(unsafe_code, reason = "an allocator can't be written without")]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // A terminating thread may allocate after its thread-local counter was destroyed.
        let _ = ALLOCATIONS.try_with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// The number of shards, upstreams and customers of a benchmark case.
#[derive(Clone, Copy)]
struct CaseSizes {
    shards: u32,
    upstreams: u32,
    customers: u32,
}

/// The decision code of one entry instance and of one instance that owns all upstreams.
struct DecisionBench {
    sizes: CaseSizes,
    admission: Admission,
    searcher: Searcher,
    limiter: Limiter,
    now: Time,
    seq: u64,
}

impl DecisionBench {
    fn new(sizes: CaseSizes) -> DecisionBench {
        let catalog = Arc::new(build_catalog(sizes));
        let mut bench = DecisionBench {
            sizes,
            admission: Admission::new(),
            searcher: Searcher::new(SearcherConfig::new().zone("a"), InstanceId(1), 1),
            limiter: Limiter::new(LimitConfig::new()),
            now: Time::ZERO,
            seq: 0,
        };
        bench.admission.configure(bench.now, &catalog);
        let mut out = Vec::new();
        bench.limiter.configure(bench.now, &catalog, &mut out);
        for (key, _) in catalog.upstreams.iter() {
            bench
                .limiter
                .record_lease(bench.now, key, Time::MAX, &mut out);
        }
        bench
            .searcher
            .configure(bench.now, catalog, &mut Vec::new());
        bench.now = Time::from_ms(1_000);
        bench.limiter.tick(bench.now, &mut out);
        for _ in 0..WARM_UP_SEARCHES {
            bench.search();
        }
        bench
    }

    /// Runs one search from its admission to its answer.
    fn search(&mut self) {
        self.now = self.now + SEARCH_INTERVAL_MS;
        self.seq += 1;
        let customer = (self.seq % u64::from(self.sizes.customers)) as u32;
        let customer = CustomerKey::from_raw(customer);
        let admitted = self.admission.admit(self.now, customer);
        admitted.expect("the customer is within its limits");
        let query = Query {
            id: QueryId {
                origin: InstanceId(1),
                seq: self.seq,
            },
            customer,
            search: SearchKey::from_raw(customer.raw()),
            deadline: self.now + 500,
            min_coverage: None,
        };
        let mut commands = Vec::new();
        self.searcher.start(self.now, query, &mut commands);
        let mut dispatched = Vec::new();
        for command in commands {
            self.offer(customer, command, &mut dispatched);
        }
        self.limiter.tick(self.now, &mut dispatched);
        self.answer_dispatched(dispatched);
        self.admission.finish(customer);
        self.searcher.tick(self.now, &mut Vec::new());
    }

    fn offer(&mut self, customer: CustomerKey, command: SearchCommand, out: &mut Vec<Command>) {
        let SearchCommand::Send {
            seq,
            upstream,
            deadline,
            ..
        } = command
        else {
            return;
        };
        let work = SubRequest {
            id: SubRequestId {
                origin: InstanceId(1),
                seq,
            },
            customer,
            upstream,
            weight: 1,
            deadline,
            non_repeatable: false,
        };
        self.limiter.offer(self.now, work, out);
    }

    /// Answers all dispatched sub-requests until the search is answered.
    fn answer_dispatched(&mut self, mut dispatched: Vec<Command>) {
        let mut answered = false;
        while !dispatched.is_empty() {
            let mut next = Vec::new();
            for command in dispatched {
                if let Command::Dispatch { id, .. } = command {
                    answered |= self.answer_sub_request(id, &mut next);
                }
            }
            dispatched = next;
        }
        assert!(answered, "every search is answered");
    }

    /// Answers a sub-request, and returns whether the search is then answered.
    fn answer_sub_request(&mut self, id: SubRequestId, next: &mut Vec<Command>) -> bool {
        let ended = DispatchOutcome::Answered {
            served_ms: 5,
            start_id: Some(StartId(1)),
            leaving: false,
        };
        self.limiter.finish(self.now, id, ended, next);
        let outcome = SubRequestOutcome::Answered {
            snapshot: Snapshot(1),
            map: MapVersion(1),
            serves: SnapshotRange {
                oldest: Snapshot(1),
                newest: Snapshot(1),
            },
            body: Vec::new(),
        };
        let reply = SubRequestReply {
            id,
            outcome,
            queued_ms: 0,
            served_ms: 5,
        };
        let mut commands = Vec::new();
        self.searcher.reply(self.now, reply, &mut commands);
        let answer = |command: &SearchCommand| matches!(command, SearchCommand::Answer { .. });
        black_box(commands).iter().any(answer)
    }

    /// Returns the mean number of allocations for each sub-request.
    fn allocations_per_sub_request(&mut self) -> f64 {
        let before = ALLOCATIONS.get();
        for _ in 0..COUNTED_SEARCHES {
            self.search();
        }
        let counted = ALLOCATIONS.get() - before;
        counted as f64 / (COUNTED_SEARCHES * u64::from(self.sizes.shards)) as f64
    }
}

fn build_catalog(sizes: CaseSizes) -> Catalog {
    let mut catalog = Catalog {
        number: ConfigNumber(1),
        ..Catalog::default()
    };
    let zone = catalog.zones.insert(Zone {
        name: "a".to_owned(),
        region: "r".to_owned(),
        in_service: true,
    });
    for n in 0..sizes.upstreams {
        catalog.upstreams.insert(Upstream {
            name: format!("upstream-{n}"),
            address: (Ipv4Addr::LOCALHOST, 9).into(),
            zone,
            slots: 2,
            cold_slots: 1,
            connections: 25,
            in_service: true,
        });
    }
    for n in 0..sizes.customers {
        let customer = catalog.customers.insert(Customer {
            name: format!("customer-{n}"),
            key_sha256: [0; 32],
            max_in_flight: 1_000,
            max_per_second: 100_000,
        });
        let upstream = |shard: u32, replica: u32| {
            UpstreamKey::from_raw((n + shard * REPLICAS_PER_SHARD + replica) % sizes.upstreams)
        };
        let shard = |shard: u32| Shard {
            name: format!("shard-{shard}"),
            upstreams: (0..REPLICAS_PER_SHARD)
                .map(|replica| upstream(shard, replica))
                .collect(),
        };
        catalog.searches.insert(Search {
            name: "search".to_owned(),
            customer,
            weight: 1,
            map: MapVersion(1),
            shards: (0..sizes.shards).map(shard).collect(),
        });
    }
    catalog
}

fn bench_decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("search");
    group.warm_up_time(Duration::from_secs(1));
    group.measurement_time(Duration::from_secs(2));
    for shards in [50, 270] {
        group.throughput(Throughput::Elements(u64::from(shards)));
        for upstreams in [100, 3_000] {
            for customers in [10, 500] {
                let sizes = CaseSizes {
                    shards,
                    upstreams,
                    customers,
                };
                let name = format!("{shards} shards, {upstreams} upstreams, {customers} customers");
                let mut bench = DecisionBench::new(sizes);
                println!(
                    "{name}: {:.2} allocations by sub-request",
                    bench.allocations_per_sub_request()
                );
                let id = BenchmarkId::from_parameter(name);
                group.bench_function(id, |bencher| bencher.iter(|| bench.search()));
            }
        }
    }
    group.finish();
}

/// Measures sequential HTTP exchanges over a kept-alive connection.
fn bench_echo_floor(criterion: &mut Criterion) {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let echo = |mut exchange: hemlockrouter_lab::server::Exchange| {
        let body = std::mem::take(&mut exchange.body);
        exchange.answer(HttpResponse::bytes(200, body));
    };
    let server = Server::start(listen, ServerOptions::default(), echo);
    let server = server.expect("a free port of the loopback interface can be listened on");
    let agent: ureq::Agent = ureq::Agent::config_builder().proxy(None).build().into();
    let url = format!("http://{}/search", server.addr());
    let mut group = criterion.benchmark_group("floor");
    group.measurement_time(Duration::from_secs(2));
    group.throughput(Throughput::Elements(1));
    group.bench_function("echo", |bencher| {
        bencher.iter(|| {
            let answer = agent.post(&url).send(ECHO_BODY);
            let mut answer = answer.expect("the echo answers");
            let body = answer.body_mut().read_to_vec();
            assert_eq!(body.expect("the echo answers whole"), ECHO_BODY);
        });
    });
    group.finish();
}

criterion_group!(benches, bench_decisions, bench_echo_floor);
criterion_main!(benches);
