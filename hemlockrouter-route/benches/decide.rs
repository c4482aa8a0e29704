//! Measures the processor time of decisions for different numbers of shards, upstreams and
//! customers.
//!
//! One iteration of `search` is a whole query: its start, a reply from every shard, and its answer.
//! The queries use the searches of all customers in turn. The time per sub-request must not grow
//! with the number of upstreams or customers.

use std::hint::black_box;
use std::sync::Arc;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use hemlockrouter_route::Query;
use hemlockrouter_route::RunCommand;
use hemlockrouter_route::RunConfig;
use hemlockrouter_route::RunIdentifier;
use hemlockrouter_route::RunRequest;
use hemlockrouter_route::Runner;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::SearcherConfig;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;

#[path = "../tests/support/catalog.rs"]
mod support;

use crate::support::Layout;

const ORIGIN: InstanceId = InstanceId(1);

/// Driver that runs the searches of all customers in turn.
struct SearchDriver {
    searcher: Searcher,
    customers: u32,
    now: Time,
    next: u64,
    out: Vec<SearchCommand>,
    pending_seqs: Vec<u64>,
}

impl SearchDriver {
    fn new(shards: u32, upstreams: u32, customers: u32) -> SearchDriver {
        let layout = Layout {
            zones: 7,
            upstreams,
            customers,
            searches: vec![shards; customers as usize],
            replicas: 2,
            operations: Vec::new(),
        };
        let mut catalog = support::catalog(&layout);
        for customer in 0..customers {
            let search = catalog.searches.get_mut(SearchKey::from_raw(customer));
            let search = search.expect("each customer has a search");
            search.customer = CustomerKey::from_raw(customer);
            // The offset spreads the searches over all upstreams.
            search.shards = support::shards_of(&layout, shards, 1 + customer * 2 * shards);
        }
        let mut searcher = Searcher::new(SearcherConfig::new().zone("zone-0"), ORIGIN, 1);
        searcher.configure(Time::ZERO, Arc::new(catalog), &mut Vec::new());
        SearchDriver {
            searcher,
            customers,
            now: Time::from_ms(1_000),
            next: 0,
            out: Vec::new(),
            pending_seqs: Vec::new(),
        }
    }

    fn run_query(&mut self) {
        let customer = (self.next % u64::from(self.customers)) as u32;
        self.next += 1;
        self.now = self.now + 1;
        let query = Query {
            id: QueryId {
                origin: ORIGIN,
                seq: self.next,
            },
            customer: CustomerKey::from_raw(customer),
            search: SearchKey::from_raw(customer),
            deadline: self.now + 200,
            min_coverage: None,
        };
        self.searcher.start(self.now, query, &mut self.out);
        for command in self.out.drain(..) {
            if let SearchCommand::Send { seq, .. } = command {
                self.pending_seqs.push(seq);
            }
        }
        self.now = self.now + 5;
        for seq in self.pending_seqs.drain(..) {
            let reply = SubRequestReply {
                id: SubRequestId {
                    origin: ORIGIN,
                    seq,
                },
                outcome: SubRequestOutcome::Answered {
                    snapshot: Snapshot(1),
                    map: MapVersion(1),
                    serves: SnapshotRange {
                        oldest: Snapshot(1),
                        newest: Snapshot(1),
                    },
                    body: Vec::new(),
                },
                queued_ms: 0,
                served_ms: 5,
            };
            self.searcher.reply(self.now, reply, &mut self.out);
        }
        assert_eq!(self.searcher.in_flight(), 0);
        black_box(&self.out);
        self.out.clear();
    }
}

fn bench_search(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("search");
    for shards in [50, 270] {
        for (upstreams, customers) in [(100, 10), (3_000, 10), (100, 500), (3_000, 500)] {
            let mut driver = SearchDriver::new(shards, upstreams, customers);
            // Warm-up queries let the searcher record the latencies of all upstreams.
            for _ in 0..2 * customers {
                driver.run_query();
            }
            group.throughput(Throughput::Elements(u64::from(shards)));
            let size = format!("{shards} shards, {upstreams} upstreams, {customers} customers");
            group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
                bencher.iter(|| driver.run_query());
            });
        }
    }
    group.finish();
}

fn bench_run(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("run");
    for upstreams in [100, 3_000] {
        let catalog = support::catalog(&Layout {
            zones: 7,
            upstreams,
            customers: 1,
            searches: Vec::new(),
            replicas: 1,
            operations: vec![7],
        });
        let config = RunConfig::new().outcome_ttl_ms(100).ticket_ttl_ms(100);
        let mut runner = Runner::new(config, ORIGIN, 1);
        let mut out = Vec::new();
        runner.configure(Time::ZERO, Arc::new(catalog), &mut out);
        let mut now = Time::ZERO;
        let mut seq = 0;
        let size = format!("{upstreams} upstreams");
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                now = now + 1;
                seq += 1;
                run_request(&mut runner, now, seq, &mut out);
            });
        });
    }
    group.finish();
}

fn run_request(runner: &mut Runner, now: Time, seq: u64, out: &mut Vec<RunCommand>) {
    let customer = CustomerKey::from_raw(0);
    let operation = OperationKey::from_raw(0);
    let ticket = runner.issue_ticket(now, customer, operation);
    let run = RunRequest {
        id: QueryId {
            origin: ORIGIN,
            seq,
        },
        customer,
        operation,
        identifier: RunIdentifier::Ticket(ticket),
        body_hash: [0; 32],
        deadline: now + 200,
    };
    runner.start(now, run, out);
    let dispatched = out.drain(..).find_map(|command| match command {
        RunCommand::Dispatch { id, .. } => Some(id),
        _ => None,
    });
    let reply = SubRequestReply {
        id: dispatched.expect("an upstream is free"),
        outcome: SubRequestOutcome::Answered {
            snapshot: Snapshot(0),
            map: MapVersion(0),
            serves: SnapshotRange::default(),
            body: Vec::new(),
        },
        queued_ms: 0,
        served_ms: 5,
    };
    runner.reply(now, reply, out);
    runner.tick(now, out);
    assert_eq!(runner.in_flight(), 0);
    black_box(&out);
    out.clear();
}

criterion_group!(benches, bench_search, bench_run);
criterion_main!(benches);
