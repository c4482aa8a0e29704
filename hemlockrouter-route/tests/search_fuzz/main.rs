//! Drives a [`Searcher`] with random events, and checks it against a model of the work of each
//! upstream and of the answers that each caller may get.
//!
//! For a longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release -p
//! hemlockrouter-route --test search_fuzz`. A failure prints the shortest trace that was found.

mod checks;
#[path = "../support/mod.rs"]
mod support;
mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_route::Config;
use hemlockrouter_route::Query;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubOutcome;
use hemlockrouter_wire::SubReply;
use proptest_state_machine::prop_state_machine;
use proptest_state_machine::StateMachineTest;

use crate::world::changes_catalog;
use crate::world::Fate;
use crate::world::Transition;
use crate::world::World;

const ORIGIN: InstanceId = InstanceId(9);
const UPSTREAMS: u32 = 6;
const SHARDS: [u32; 2] = [4, 3];
const HEDGE_BURST: u32 = 3;
const HEDGE_SHARE: f64 = 0.05;
const RETRY_AFTER_MS: (u32, u32) = (20, 300);

/// A sub-request as the searcher sent it, with its reply.
#[derive(Clone, Debug)]
struct Sent {
    id: SubId,
    query: QueryId,
    upstream: UpstreamKey,
    shard: ShardNo,
    snapshot: Option<Snapshot>,
    map: MapVersion,
    waited_for: bool,
    reply: Option<SubReply>,
}

/// State of a query in flight in the model.
#[derive(Clone, Debug)]
struct Asked {
    query: Query,
    /// Whether a delivered reply or a cancellation implies that an upstream may have worked on the
    /// query.
    ran: bool,
}

struct Oracle {
    searcher: Searcher,
    now: Time,
    next_query: u64,
    asked: BTreeMap<QueryId, Asked>,
    sent: Vec<Sent>,
    /// All shard maps so far, as the names of their shards, by search and version.
    maps: BTreeMap<(SearchKey, MapVersion), Vec<String>>,
    /// The time until which the searcher may avoid each upstream because of its refusals and
    /// failures.
    troubled_until: Vec<Time>,
    firsts: u64,
    hedges: u64,
    late: u64,
    out: Vec<SearchCommand>,
}

impl StateMachineTest for Oracle {
    type SystemUnderTest = Oracle;
    type Reference = World;

    fn init_test(world: &World) -> Oracle {
        let config = Config::new()
            .zone("zone-0")
            .hedge_start_ms(15)
            .hedge_share(HEDGE_SHARE)
            .hedge_burst(HEDGE_BURST)
            .retry_after_ms(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
        let mut oracle = Oracle {
            searcher: Searcher::new(config, ORIGIN, 5),
            now: world.now,
            next_query: 0,
            asked: BTreeMap::new(),
            sent: Vec::new(),
            maps: BTreeMap::new(),
            troubled_until: vec![Time::ZERO; UPSTREAMS as usize],
            firsts: 0,
            hedges: 0,
            late: 0,
            out: Vec::new(),
        };
        oracle.configure(world);
        oracle
    }

    fn apply(mut oracle: Oracle, world: &World, transition: Transition) -> Oracle {
        match transition {
            Transition::Start {
                search,
                deadline_ms,
                min_coverage,
            } => oracle.start(search, deadline_ms, min_coverage),
            Transition::Reply(at, fate) => oracle.end_sub(world, at, fate),
            Transition::Again(at) => oracle.deliver_again(at),
            Transition::Advance(_) => oracle.advance(world, world.now),
            Transition::Abandon(at) => oracle.abandon(at),
            _ if changes_catalog(&transition) => oracle.configure(world),
            _ => (),
        }
        oracle.check_commands(world);
        oracle.check_bounds();
        oracle
    }

    fn teardown(mut oracle: Oracle, world: World) {
        oracle.advance(&world, world.now + 1_000);
        assert_eq!(
            oracle.asked.len(),
            0,
            "queries past their deadline have no answer"
        );
        assert_eq!(oracle.searcher.in_flight(), 0);
        let forgotten = oracle.sent.iter().filter(|sent| sent.waited_for).count();
        assert_eq!(
            forgotten, 0,
            "sub-requests of ended queries are not cancelled"
        );
    }
}

impl Oracle {
    fn configure(&mut self, world: &World) {
        for (key, search) in world.catalog.searches.iter() {
            let names = search
                .shards
                .iter()
                .map(|shard| shard.name.clone())
                .collect();
            self.maps.insert((key, search.map), names);
        }
        let catalog = Arc::new(world.catalog.clone());
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
        self.asked.insert(query.id, Asked { query, ran: false });
        self.searcher.start(self.now, query, &mut self.out);
    }

    fn abandon(&mut self, at: usize) {
        let ids: Vec<QueryId> = self.asked.keys().copied().collect();
        if !ids.is_empty() {
            let id = ids[at % ids.len()];
            self.asked.remove(&id);
            self.searcher.abandon(self.now, id, &mut self.out);
        }
    }

    fn advance(&mut self, world: &World, to: Time) {
        while let Some(wake) = self.searcher.next_wake().filter(|wake| *wake <= to) {
            assert!(wake >= self.now || self.now == to, "a timer is in the past");
            self.now = wake.max(self.now);
            self.searcher.tick(self.now, &mut self.out);
            self.check_commands(world);
            let next = self.searcher.next_wake();
            assert!(
                next.is_none_or(|next| next > self.now),
                "a tick leaves a due timer"
            );
        }
        self.now = to;
    }

    fn end_sub(&mut self, world: &World, at: usize, fate: Fate) {
        let open: Vec<usize> = (0..self.sent.len())
            .filter(|index| self.sent[*index].reply.is_none())
            .collect();
        if open.is_empty() {
            return;
        }
        let index = open[at % open.len()];
        let outcome = outcome(world, &self.sent[index], self.search_of(index), fate);
        let reply = SubReply {
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
        let asked = self.asked.get(&self.sent[index].query)?;
        Some(asked.query.search)
    }

    fn deliver_again(&mut self, at: usize) {
        let replied: Vec<usize> = (0..self.sent.len())
            .filter(|index| self.sent[*index].reply.is_some())
            .collect();
        if !replied.is_empty() {
            let index = replied[at % replied.len()];
            let reply = self.sent[index].reply.clone().unwrap();
            self.deliver(index, reply);
        }
    }

    fn deliver(&mut self, index: usize, reply: SubReply) {
        let sent = &mut self.sent[index];
        match sent.waited_for {
            false => self.late += 1,
            true => {
                sent.waited_for = false;
                let asked = self
                    .asked
                    .get_mut(&sent.query)
                    .expect("only queries in flight have pending sub-requests");
                let outcome = &reply.outcome;
                asked.ran |= matches!(outcome, SubOutcome::Answered { .. } | SubOutcome::Failed);
                let trouble_ms = match outcome {
                    SubOutcome::NotRun(refusal) => refusal.retry_after_ms.max(2_000),
                    SubOutcome::Failed => 2_000,
                    _ => 0,
                };
                let until = &mut self.troubled_until[sent.upstream.slot()];
                *until = (*until).max(self.now + u64::from(trouble_ms));
            }
        }
        self.searcher.reply(self.now, reply, &mut self.out);
    }
}

/// Returns the outcome of a sub-request for the given event.
fn outcome(world: &World, sent: &Sent, search: Option<SearchKey>, fate: Fate) -> SubOutcome {
    let slot = sent.upstream.slot();
    let serves = world.serves[slot];
    // The reply to a cancelled sub-request of an ended query has no effect, so any search will do.
    let search = search.unwrap_or(SearchKey::from_raw(0));
    let map = MapVersion(world.maps[slot][search.slot()]);
    let refusal = |reason, retry_after_ms| {
        SubOutcome::NotRun(Refusal {
            reason,
            retry_after_ms,
        })
    };
    let snapshot = match (fate, sent.snapshot) {
        (Fate::Refuse(retry_after_ms), _) => return refusal(Reason::Shed, retry_after_ms),
        (Fate::Unreachable, _) => return refusal(Reason::Unreachable, 10),
        (Fate::Fail, _) => return SubOutcome::Failed,
        (Fate::Newest, _) | (_, None) => serves.newest,
        (Fate::Serve, Some(snapshot)) => snapshot,
    };
    if map != sent.map && !matches!(fate, Fate::Newest) {
        return SubOutcome::WrongMap { map };
    }
    if !serves.contains(snapshot) {
        return SubOutcome::WrongSnapshot { serves };
    }
    SubOutcome::Answered {
        snapshot,
        map,
        serves,
        body: body(sent.query, search, map, sent.shard, snapshot),
    }
}

fn body(
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
    fn every_answer_is_whole_and_truthful(sequential 1..120 => Oracle);
}
