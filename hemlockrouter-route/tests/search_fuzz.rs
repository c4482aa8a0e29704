//! Drives a [`Searcher`] with random events against a model of what each upstream ran and what each
//! caller may be told.
//!
//! A longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release -p
//! hemlockrouter-route --test search_fuzz`. A failure prints the shortest trace that was found.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_route::Answer;
use hemlockrouter_route::Config;
use hemlockrouter_route::Query;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubOutcome;
use hemlockrouter_wire::SubReply;
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::support::Layout;

const ORIGIN: InstanceId = InstanceId(9);
const UPSTREAMS: u32 = 6;
const SHARDS: [u32; 2] = [4, 3];
const HEDGE_BURST: u32 = 3;
const HEDGE_SHARE: f64 = 0.05;
const RETRY_AFTER_MS: (u32, u32) = (20, 300);

fn layout() -> Layout {
    Layout {
        zones: 3,
        upstreams: UPSTREAMS,
        customers: 2,
        searches: SHARDS.to_vec(),
        replicas: 2,
        operations: Vec::new(),
    }
}

/// What happens to a sub-request.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// The upstream does what it is asked, as far as its snapshots and shard maps allow.
    Serve,
    /// It answers from its newest snapshot and its own shard map, whichever were asked for.
    Newest,
    Refuse(u32),
    Unreachable,
    Fail,
}

#[derive(Clone, Debug)]
enum Transition {
    Start {
        search: u32,
        deadline_ms: u64,
        min_coverage: Option<f64>,
    },
    /// Ends the sub-request at this position among those without a reply.
    Reply(usize, Fate),
    /// Delivers an earlier reply again.
    Again(usize),
    Advance(u64),
    /// The upstream gets a new snapshot and may drop the oldest.
    Roll(u32, bool),
    /// The search is repartitioned.
    Repartition(u32, u32),
    /// The upstream takes the shard map that the catalogue has.
    TakeMap(u32),
    UpstreamService(u32, bool),
    ZoneService(u32, bool),
    Abandon(usize),
}

/// The model of the world: it does not know what the searcher decided.
#[derive(Clone, Debug)]
struct World {
    now: Time,
    catalog: Catalog,
    serves: Vec<SnapshotRange>,
    /// For each upstream and search, the shard map that it has.
    maps: Vec<[u32; 2]>,
}

impl ReferenceStateMachine for World {
    type State = World;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<World> {
        let range = (1..3_u64, 0..2_u64);
        let ranges = proptest::collection::vec(range, UPSTREAMS as usize);
        let world = |ranges: Vec<(u64, u64)>| World {
            now: Time::from_ms(1_000),
            catalog: support::catalog(&layout()),
            serves: ranges
                .into_iter()
                .map(|(oldest, more)| SnapshotRange {
                    oldest: Snapshot(oldest),
                    newest: Snapshot(oldest + more),
                })
                .collect(),
            maps: vec![[1; 2]; UPSTREAMS as usize],
        };
        ranges.prop_map(world).boxed()
    }

    fn transitions(_: &World) -> BoxedStrategy<Transition> {
        let upstream = || 0..UPSTREAMS;
        let fate = prop_oneof![
            12 => Just(Fate::Serve),
            1 => Just(Fate::Newest),
            2 => (0..150_u32).prop_map(Fate::Refuse),
            1 => Just(Fate::Unreachable),
            1 => Just(Fate::Fail),
        ];
        let coverage = prop_oneof![Just(None), (0.0..1.01).prop_map(Some)];
        prop_oneof![
            6 => (0..2_u32, 0..400_u64, coverage).prop_map(|(search, deadline_ms, min_coverage)| {
                Transition::Start { search, deadline_ms, min_coverage }
            }),
            30 => (any::<usize>(), fate).prop_map(|(at, fate)| Transition::Reply(at, fate)),
            1 => any::<usize>().prop_map(Transition::Again),
            6 => (1..60_u64).prop_map(Transition::Advance),
            2 => (upstream(), any::<bool>()).prop_map(|(up, drop)| Transition::Roll(up, drop)),
            1 => (0..2_u32, 1..6_u32).prop_map(|(s, count)| Transition::Repartition(s, count)),
            2 => upstream().prop_map(Transition::TakeMap),
            1 => (upstream(), any::<bool>()).prop_map(|(up, on)| Transition::UpstreamService(up, on)),
            1 => (0..3_u32, any::<bool>()).prop_map(|(z, on)| Transition::ZoneService(z, on)),
            1 => any::<usize>().prop_map(Transition::Abandon),
        ]
        .boxed()
    }

    fn apply(mut world: World, transition: &Transition) -> World {
        match *transition {
            Transition::Advance(ms) => world.now = world.now + ms,
            Transition::Roll(upstream, drop) => {
                let serves = &mut world.serves[upstream as usize];
                serves.newest.0 += 1;
                serves.oldest.0 += u64::from(drop);
            }
            Transition::Repartition(search, count) => {
                let key = SearchKey::from_raw(search);
                let search = world.catalog.searches.get_mut(key).unwrap();
                search.map.0 += 1;
                search.shards = support::shards_of(&layout(), count, search.map.0);
            }
            Transition::TakeMap(upstream) => {
                for (search, map) in world.maps[upstream as usize].iter_mut().enumerate() {
                    let key = SearchKey::from_raw(search as u32);
                    *map = world.catalog.searches.get(key).unwrap().map.0;
                }
            }
            Transition::UpstreamService(upstream, on) => {
                let key = UpstreamKey::from_raw(upstream);
                world.catalog.upstreams.get_mut(key).unwrap().in_service = on;
            }
            Transition::ZoneService(zone, on) => {
                let key = ZoneKey::from_raw(zone);
                world.catalog.zones.get_mut(key).unwrap().in_service = on;
            }
            _ => (),
        }
        if changes_catalog(transition) {
            world.catalog.number = world.catalog.number.next();
        }
        world
    }
}

fn changes_catalog(transition: &Transition) -> bool {
    matches!(
        transition,
        Transition::Repartition(..) | Transition::UpstreamService(..) | Transition::ZoneService(..)
    )
}

/// A sub-request, as the model saw it go out.
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

/// What the model knows of a query under way.
#[derive(Clone, Debug)]
struct Asked {
    query: Query,
    /// Whether an upstream may have worked on it, by the replies that were delivered.
    ran: bool,
}

struct Oracle {
    searcher: Searcher,
    now: Time,
    next_query: u64,
    asked: BTreeMap<QueryId, Asked>,
    sent: Vec<Sent>,
    /// The shard maps that ever were, by search and version.
    maps: BTreeMap<(SearchKey, MapVersion), Vec<String>>,
    /// Until when each upstream may be left alone for what it did.
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
            assert!(
                wake >= self.now || self.now == to,
                "a timer lies in the past"
            );
            self.now = wake.max(self.now);
            self.searcher.tick(self.now, &mut self.out);
            self.check_commands(world);
            let next = self.searcher.next_wake();
            assert!(
                next.is_none_or(|next| next > self.now),
                "a tick leaves its timer"
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

    /// The search of a sub-request; queries that ended are named by their sequence number alone.
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
                    .expect("only live queries wait");
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

    fn check_commands(&mut self, world: &World) {
        for command in std::mem::take(&mut self.out) {
            match command {
                SearchCommand::Send { .. } => self.check_send(world, command),
                SearchCommand::Cancel { id, .. } => {
                    let sent = self.sent.iter_mut().find(|sent| sent.id == id);
                    let sent = sent.expect("only what was sent is cancelled");
                    assert!(
                        sent.waited_for,
                        "a sub-request is cancelled once, before its reply"
                    );
                    sent.waited_for = false;
                    // Whoever answers later can't know how much ran before the cancellation.
                    if let Some(asked) = self.asked.get_mut(&sent.query) {
                        asked.ran = true;
                    }
                }
                SearchCommand::Answer { query, answer } => {
                    let asked = self
                        .asked
                        .remove(&query)
                        .expect("one answer for each query");
                    self.check_answer(&asked, &answer);
                }
                SearchCommand::Refuse { query, refusal } => {
                    let asked = self
                        .asked
                        .remove(&query)
                        .expect("one answer for each query");
                    let ran = refusal.reason == Reason::Coverage;
                    assert!(
                        ran || !asked.ran,
                        "refused as not run, but {asked:?}: {refusal}"
                    );
                    let (min_ms, max_ms) = RETRY_AFTER_MS;
                    assert!((min_ms..=max_ms).contains(&refusal.retry_after_ms));
                }
                SearchCommand::Decision(_) => (),
            }
        }
    }

    fn check_send(&mut self, world: &World, command: SearchCommand) {
        let SearchCommand::Send {
            query,
            seq,
            upstream,
            shard,
            snapshot,
            map,
            deadline,
            ..
        } = command
        else {
            unreachable!();
        };
        let asked = &self.asked[&query];
        assert!(
            world.catalog.in_service(upstream),
            "{upstream} is out of service"
        );
        assert!(deadline <= asked.query.deadline && self.now < deadline);
        let same = |sent: &&Sent| sent.query == query && sent.shard == shard && sent.map == map;
        let twin = self.sent.iter().filter(same).any(|sent| sent.waited_for);
        let first = self.sent.iter().find(|sent| same(sent)).is_none();
        self.hedges += u64::from(twin);
        self.firsts += u64::from(first);
        let names = &self.maps[&(asked.query.search, map)];
        assert!(
            usize::from(shard.0) < names.len(),
            "no such shard in that map"
        );
        self.sent.push(Sent {
            id: SubId {
                origin: ORIGIN,
                seq,
            },
            query,
            upstream,
            shard,
            snapshot,
            map,
            waited_for: true,
            reply: None,
        });
    }

    fn check_answer(&self, asked: &Asked, answer: &Answer) {
        let query = &asked.query;
        assert!(self.now <= query.deadline, "answered after the deadline");
        let of_query = self.sent.iter().filter(|sent| sent.query == query.id);
        let map = of_query.clone().map(|sent| sent.map).max().unwrap();
        let names = &self.maps[&(query.search, map)];
        assert_eq!(answer.total as usize, names.len());
        let mut expected_missing = names.clone();
        for shard in &answer.shards {
            assert_eq!(shard.name, names[usize::from(shard.shard.0)]);
            expected_missing.retain(|name| *name != shard.name);
            let wanted = body(query.id, query.search, map, shard.shard, answer.snapshot);
            assert_eq!(
                shard.body, wanted,
                "a result is not this shard's at this snapshot"
            );
        }
        assert_eq!(answer.missing, expected_missing);
        let covered = answer.shards.len() as f64 / f64::from(answer.total);
        assert!(covered > 0.0 && covered + 1e-3 >= query.min_coverage.unwrap_or(0.0));
        // What came back for the final plan before the answer is in it.
        let moved = of_query.clone().filter(|sent| sent.map == map);
        let one_plan = moved
            .clone()
            .all(|sent| sent.snapshot == Some(answer.snapshot));
        for sent in moved.filter(|_| one_plan) {
            let Some(SubOutcome::Answered {
                snapshot, map: of, ..
            }) = sent.reply.as_ref().map(|reply| &reply.outcome)
            else {
                continue;
            };
            let wanted = *snapshot == answer.snapshot && *of == map;
            let held = answer.shards.iter().any(|shard| shard.shard == sent.shard);
            assert!(held || !wanted, "an answer that came in time is left out");
        }
    }

    fn check_bounds(&self) {
        assert_eq!(self.searcher.late_replies(), self.late);
        assert_eq!(self.searcher.in_flight(), self.asked.len());
        let budget = f64::from(HEDGE_BURST) + HEDGE_SHARE * self.firsts as f64;
        assert!(self.hedges as f64 <= budget, "{} hedges", self.hedges);
        for (id, asked) in &self.asked {
            let waits = self
                .sent
                .iter()
                .any(|sent| sent.query == *id && sent.waited_for);
            let troubled = self.troubled_until.iter().any(|until| *until > self.now);
            assert!(
                waits || troubled,
                "{asked:?} is held back though nothing is under way"
            );
        }
    }
}

/// Returns how the sub-request ends.
fn outcome(world: &World, sent: &Sent, search: Option<SearchKey>, fate: Fate) -> SubOutcome {
    let slot = sent.upstream.slot();
    let serves = world.serves[slot];
    // What a cancelled sub-request of an ended query is answered does not matter.
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
