//! Drives a [`Searcher`] with random events, and checks it against a model of the work of each
//! upstream and of the answers that each caller may get.
//!
//! For a longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release -p
//! hemlockrouter-route --test search_fuzz`. A failure prints the shortest trace that was found.

mod checks;
mod environment;
#[path = "../support/mod.rs"]
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
use proptest_state_machine::prop_state_machine;
use proptest_state_machine::StateMachineTest;

use crate::environment::changes_catalog;
use crate::environment::Environment;
use crate::environment::InjectedOutcome;
use crate::environment::Transition;

const ORIGIN: InstanceId = InstanceId(9);
const UPSTREAMS: u32 = 6;
const SHARDS: [u32; 2] = [4, 3];
const HEDGE_BURST: u32 = 3;
const HEDGE_SHARE: f64 = 0.05;
const RETRY_AFTER_MS: (u32, u32) = (20, 300);

/// A sub-request as the searcher sent it, with its reply.
#[derive(Clone, Debug)]
struct SentSubRequest {
    id: SubRequestId,
    query: QueryId,
    upstream: UpstreamKey,
    shard: ShardNo,
    snapshot: Option<Snapshot>,
    map: MapVersion,
    in_flight: bool,
    reply: Option<SubRequestReply>,
}

/// State of a query in flight in the model.
#[derive(Clone, Debug)]
struct PendingQuery {
    query: Query,
    /// Whether a delivered reply or a cancellation implies that an upstream may have worked on the
    /// query.
    may_have_run: bool,
}

struct Oracle {
    searcher: Searcher,
    now: Time,
    next_query: u64,
    pending_queries: BTreeMap<QueryId, PendingQuery>,
    sent: Vec<SentSubRequest>,
    /// All shard maps so far, as the names of their shards, by search and version.
    shard_maps: BTreeMap<(SearchKey, MapVersion), Vec<String>>,
    /// The time until which the searcher may avoid each upstream because of its refusals and
    /// failures.
    avoided_until: Vec<Time>,
    first_tries: u64,
    hedges: u64,
    late_replies: u64,
    out: Vec<SearchCommand>,
}

impl StateMachineTest for Oracle {
    type SystemUnderTest = Oracle;
    type Reference = Environment;

    fn init_test(environment: &Environment) -> Oracle {
        let config = SearcherConfig::new()
            .zone("zone-0")
            .initial_hedge_delay_ms(15)
            .max_hedge_share(HEDGE_SHARE)
            .hedge_burst(HEDGE_BURST)
            .retry_after_ms(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
        let mut oracle = Oracle {
            searcher: Searcher::new(config, ORIGIN, 5),
            now: environment.now,
            next_query: 0,
            pending_queries: BTreeMap::new(),
            sent: Vec::new(),
            shard_maps: BTreeMap::new(),
            avoided_until: vec![Time::ZERO; UPSTREAMS as usize],
            first_tries: 0,
            hedges: 0,
            late_replies: 0,
            out: Vec::new(),
        };
        oracle.configure(environment);
        oracle
    }

    fn apply(mut oracle: Oracle, environment: &Environment, transition: Transition) -> Oracle {
        match transition {
            Transition::Start {
                search,
                deadline_ms,
                min_coverage,
            } => oracle.start(search, deadline_ms, min_coverage),
            Transition::Reply(pick, injected) => {
                oracle.finish_sub_request(environment, pick, injected)
            }
            Transition::ReplyAgain(pick) => oracle.deliver_again(pick),
            Transition::Advance(_) => oracle.advance(environment, environment.now),
            Transition::Abandon(pick) => oracle.abandon(pick),
            _ if changes_catalog(&transition) => oracle.configure(environment),
            _ => (),
        }
        oracle.check_commands(environment);
        oracle.check_bounds();
        oracle
    }

    fn teardown(mut oracle: Oracle, environment: Environment) {
        oracle.advance(&environment, environment.now + 1_000);
        assert_eq!(
            oracle.pending_queries.len(),
            0,
            "queries past their deadline have no answer"
        );
        assert_eq!(oracle.searcher.in_flight(), 0);
        let uncancelled = oracle.sent.iter().filter(|sent| sent.in_flight).count();
        assert_eq!(
            uncancelled, 0,
            "sub-requests of ended queries are not cancelled"
        );
    }
}

impl Oracle {
    fn configure(&mut self, environment: &Environment) {
        for (key, search) in environment.catalog.searches.iter() {
            let shard_names = search
                .shards
                .iter()
                .map(|shard| shard.name.clone())
                .collect();
            self.shard_maps.insert((key, search.map), shard_names);
        }
        let catalog = Arc::new(environment.catalog.clone());
        self.searcher.configure(self.now, catalog, &mut self.out);
    }

    fn start(&mut self, search: u32, deadline_ms: u64, min_coverage: Option<f64>) {
        self.next_query += 1;
        let query = Query {
            id: QueryId {
                origin: ORIGIN,
                seq: self.next_query,
            },
            customer: CustomerKey::from_raw(0),
            search: SearchKey::from_raw(search),
            deadline: self.now + deadline_ms,
            min_coverage,
        };
        self.pending_queries.insert(
            query.id,
            PendingQuery {
                query,
                may_have_run: false,
            },
        );
        self.searcher.start(self.now, query, &mut self.out);
    }

    fn abandon(&mut self, pick: usize) {
        let ids: Vec<QueryId> = self.pending_queries.keys().copied().collect();
        if !ids.is_empty() {
            let id = ids[pick % ids.len()];
            self.pending_queries.remove(&id);
            self.searcher.abandon(self.now, id, &mut self.out);
        }
    }

    fn advance(&mut self, environment: &Environment, to: Time) {
        while let Some(next_tick) = self
            .searcher
            .next_wake()
            .filter(|next_tick| *next_tick <= to)
        {
            assert!(
                next_tick >= self.now || self.now == to,
                "a timer is in the past"
            );
            self.now = next_tick.max(self.now);
            self.searcher.tick(self.now, &mut self.out);
            self.check_commands(environment);
            let next = self.searcher.next_wake();
            assert!(
                next.is_none_or(|next| next > self.now),
                "a tick leaves a due timer"
            );
        }
        self.now = to;
    }

    fn finish_sub_request(
        &mut self,
        environment: &Environment,
        pick: usize,
        injected: InjectedOutcome,
    ) {
        let unanswered: Vec<usize> = (0..self.sent.len())
            .filter(|index| self.sent[*index].reply.is_none())
            .collect();
        if unanswered.is_empty() {
            return;
        }
        let index = unanswered[pick % unanswered.len()];
        let outcome = sub_request_outcome(
            environment,
            &self.sent[index],
            self.search_of(index),
            injected,
        );
        let reply = SubRequestReply {
            id: self.sent[index].id,
            outcome,
            queued_ms: 0,
            served_ms: 0,
        };
        self.sent[index].reply = Some(reply.clone());
        self.deliver(index, reply);
    }

    /// Returns the search of a sub-request, or `None` if its query has ended.
    fn search_of(&self, index: usize) -> Option<SearchKey> {
        let pending = self.pending_queries.get(&self.sent[index].query)?;
        Some(pending.query.search)
    }

    fn deliver_again(&mut self, pick: usize) {
        let replied: Vec<usize> = (0..self.sent.len())
            .filter(|index| self.sent[*index].reply.is_some())
            .collect();
        if !replied.is_empty() {
            let index = replied[pick % replied.len()];
            let reply = self.sent[index].reply.clone().unwrap();
            self.deliver(index, reply);
        }
    }

    fn deliver(&mut self, index: usize, reply: SubRequestReply) {
        let sent = &mut self.sent[index];
        match sent.in_flight {
            false => self.late_replies += 1,
            true => {
                sent.in_flight = false;
                let pending = self
                    .pending_queries
                    .get_mut(&sent.query)
                    .expect("only queries in flight have pending sub-requests");
                let outcome = &reply.outcome;
                pending.may_have_run |= matches!(
                    outcome,
                    SubRequestOutcome::Answered { .. } | SubRequestOutcome::Failed
                );
                let max_backoff_ms = match outcome {
                    SubRequestOutcome::NotRun(refusal) => refusal.retry_after_ms.max(2_000),
                    SubRequestOutcome::Failed => 2_000,
                    _ => 0,
                };
                let until = &mut self.avoided_until[sent.upstream.slot()];
                *until = (*until).max(self.now + u64::from(max_backoff_ms));
            }
        }
        self.searcher.reply(self.now, reply, &mut self.out);
    }
}

/// Returns the outcome of a sub-request for the given event.
fn sub_request_outcome(
    environment: &Environment,
    sent: &SentSubRequest,
    search: Option<SearchKey>,
    injected: InjectedOutcome,
) -> SubRequestOutcome {
    let slot = sent.upstream.slot();
    let serves = environment.serves[slot];
    // The reply to a cancelled sub-request of an ended query has no effect, so any search will do.
    let search = search.unwrap_or(SearchKey::from_raw(0));
    let map = MapVersion(environment.maps[slot][search.slot()]);
    let refusal = |reason, retry_after_ms| {
        SubRequestOutcome::NotRun(Refusal {
            reason,
            retry_after_ms,
        })
    };
    let snapshot = match (injected, sent.snapshot) {
        (InjectedOutcome::Refuse(retry_after_ms), _) => {
            return refusal(RefusalReason::Shed, retry_after_ms)
        }
        (InjectedOutcome::Unreachable, _) => return refusal(RefusalReason::Unreachable, 10),
        (InjectedOutcome::Fail, _) => return SubRequestOutcome::Failed,
        (InjectedOutcome::Newest, _) | (_, None) => serves.newest,
        (InjectedOutcome::Serve, Some(snapshot)) => snapshot,
    };
    if map != sent.map && !matches!(injected, InjectedOutcome::Newest) {
        return SubRequestOutcome::WrongMap { map };
    }
    if !serves.contains(snapshot) {
        return SubRequestOutcome::WrongSnapshot { serves };
    }
    SubRequestOutcome::Answered {
        snapshot,
        map,
        serves,
        body: result_body(sent.query, search, map, sent.shard, snapshot),
    }
}

fn result_body(
    query: QueryId,
    search: SearchKey,
    map: MapVersion,
    shard: ShardNo,
    snapshot: Snapshot,
) -> Vec<u8> {
    format!("{query} {search} {map} {shard} {snapshot}").into_bytes()
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config(512))]

    #[test]
    fn every_answer_contains_all_matching_replies_and_is_true(sequential 1..120 => Oracle);
}
