//! Tests that failing searches of one customer change neither the answers nor the refusals of
//! another.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_route::Query;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::SearcherConfig;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;

use crate::support::Layout;

const ORIGIN: InstanceId = InstanceId(1);
const SHARDS: u32 = 20;
const ROUNDS: u64 = 200;
const SERVED_MS: u64 = 5;
const DEADLINE_MS: u64 = 200;

/// Maximum delay that another customer's failures may cause. Hedges are sent after at most four
/// medians of a search's own latency.
const MAX_ADDED_DELAY_MS: u64 = 4 * SERVED_MS;

/// Outcome of all sub-requests of the noisy customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NoisyOutcome {
    NoQueries,
    Refused,
    Failed,
    Unanswered,
}

/// Result of one query of the quiet customer.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    shards: usize,
    took_ms: u64,
}

/// Results of the quiet customer's queries by sequence number.
type Outcomes = BTreeMap<u64, Outcome>;

struct Simulation {
    searcher: Searcher,
    out: Vec<SearchCommand>,
    noisy_outcome: NoisyOutcome,
    replies: BTreeMap<(Time, u64), SubRequestOutcome>,
    outcomes: Outcomes,
}

fn keys_of(customer: u32) -> (CustomerKey, SearchKey) {
    (
        CustomerKey::from_raw(customer),
        SearchKey::from_raw(customer),
    )
}

fn answered_outcome() -> SubRequestOutcome {
    SubRequestOutcome::Answered {
        snapshot: Snapshot(1),
        map: MapVersion(1),
        serves: SnapshotRange {
            oldest: Snapshot(1),
            newest: Snapshot(1),
        },
        body: Vec::new(),
    }
}

fn refused_outcome(retry_after_ms: u32) -> SubRequestOutcome {
    SubRequestOutcome::NotRun(Refusal {
        reason: RefusalReason::Overloaded,
        retry_after_ms,
    })
}

impl Simulation {
    fn new(noisy_outcome: NoisyOutcome) -> Simulation {
        let mut catalog = support::catalog(&Layout {
            zones: 1,
            upstreams: 2 * SHARDS,
            customers: 2,
            searches: vec![SHARDS; 2],
            replicas: 2,
            operations: Vec::new(),
        });
        let (customer, search) = keys_of(1);
        catalog.searches.get_mut(search).unwrap().customer = customer;
        let config = SearcherConfig::new().hedge_burst(8).retry_burst(8);
        let mut searcher = Searcher::new(config, ORIGIN, 1);
        searcher.configure(Time::ZERO, Arc::new(catalog), &mut Vec::new());
        Simulation {
            searcher,
            out: Vec::new(),
            noisy_outcome,
            replies: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn start(&mut self, now: Time, customer: u32, seq: u64) {
        let (customer, search) = keys_of(customer);
        let query = Query {
            id: QueryId {
                origin: ORIGIN,
                seq,
            },
            customer,
            search,
            deadline: now + DEADLINE_MS,
            min_coverage: None,
        };
        self.searcher.start(now, query, &mut self.out);
        self.execute_commands(now);
    }

    /// Executes the pending commands. Queries with even numbers belong to the noisy customer. Of
    /// the other queries, each seventh has a straggler and a refusal.
    fn execute_commands(&mut self, now: Time) {
        for command in std::mem::take(&mut self.out) {
            match command {
                SearchCommand::Send {
                    query, seq, shard, ..
                } => {
                    let reply_key = (now + SERVED_MS, seq);
                    let is_noisy = query.seq % 2 == 0;
                    let has_fault = query.seq % 7 == 0 && now.as_ms() % 10 == 0;
                    let outcome = match (is_noisy, self.noisy_outcome, shard.0) {
                        (true, NoisyOutcome::Refused, _) => refused_outcome(3_000),
                        (true, NoisyOutcome::Failed, _) => SubRequestOutcome::Failed,
                        (true, NoisyOutcome::Unanswered, _) => continue,
                        (false, _, 0) if has_fault => continue,
                        (false, _, 1) if has_fault => refused_outcome(5),
                        _ => answered_outcome(),
                    };
                    self.replies.insert(reply_key, outcome);
                }
                SearchCommand::Answer { query, answer } if query.seq % 2 == 1 => {
                    let outcome = Outcome {
                        shards: answer.shards.len(),
                        took_ms: answer.took_ms,
                    };
                    self.outcomes.insert(query.seq, outcome);
                }
                SearchCommand::Refuse { query, .. } if query.seq % 2 == 1 => {
                    self.outcomes.insert(query.seq, Outcome::default());
                }
                _ => (),
            }
        }
    }

    fn advance(&mut self, to: Time) {
        loop {
            let reply = self.replies.keys().next().copied();
            let wake_at = self.searcher.next_wake().unwrap_or(Time::MAX);
            match reply {
                Some((at, seq)) if at <= wake_at && at <= to => {
                    let outcome = self.replies.remove(&(at, seq)).unwrap();
                    let id = SubRequestId {
                        origin: ORIGIN,
                        seq,
                    };
                    let reply = SubRequestReply {
                        id,
                        outcome,
                        queued_ms: 0,
                        served_ms: 0,
                    };
                    self.searcher.reply(at, reply, &mut self.out);
                    self.execute_commands(at);
                }
                _ if wake_at <= to => {
                    self.searcher.tick(wake_at, &mut self.out);
                    self.execute_commands(wake_at);
                }
                _ => return,
            }
        }
    }
}

fn run(noisy_outcome: NoisyOutcome) -> Outcomes {
    let mut simulation = Simulation::new(noisy_outcome);
    for round in 0..ROUNDS {
        let now = Time::from_ms(1_000 + 10 * round);
        simulation.advance(now);
        if noisy_outcome != NoisyOutcome::NoQueries {
            simulation.start(now, 0, 2 * round);
        }
        simulation.start(now, 1, 2 * round + 1);
    }
    simulation.advance(Time::from_ms(1_000 + 10 * ROUNDS + DEADLINE_MS));
    simulation.outcomes
}

#[test]
fn failures_of_one_customer_do_not_affect_another() {
    let baseline = run(NoisyOutcome::NoQueries);
    assert_eq!(baseline.len() as u64, ROUNDS);
    assert!(baseline
        .values()
        .all(|outcome| outcome.shards == SHARDS as usize));
    for noisy_outcome in [
        NoisyOutcome::Refused,
        NoisyOutcome::Failed,
        NoisyOutcome::Unanswered,
    ] {
        let with_noise = run(noisy_outcome);
        for (seq, baseline) in &baseline {
            let with_noise = with_noise[seq];
            assert_eq!(
                with_noise.shards, baseline.shards,
                "{noisy_outcome:?}, query {seq}"
            );
            let bound_ms = baseline.took_ms + MAX_ADDED_DELAY_MS;
            assert!(
                with_noise.took_ms <= bound_ms,
                "{noisy_outcome:?}, query {seq}: {with_noise:?}"
            );
        }
    }
}
