//! Random events of the fuzz test, and the model of the upstreams and the catalogue that they
//! change.

use hemlockrouter_types::prelude::*;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use super::SHARDS;
use super::UPSTREAMS;
use crate::support;
use crate::support::Layout;

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

/// Outcome of a sub-request at its upstream.
#[derive(Clone, Copy, Debug)]
pub(super) enum InjectedOutcome {
    /// The upstream answers as requested, as far as its snapshots and shard maps allow.
    Serve,
    /// The upstream answers from its newest snapshot and its own shard map, regardless of the
    /// request.
    Newest,
    Refuse(u32),
    Unreachable,
    Fail,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    Start {
        search: u32,
        deadline_ms: u64,
        min_coverage: Option<f64>,
    },
    /// Ends the sub-request at this position among the ones without a reply.
    Reply(usize, InjectedOutcome),
    /// Delivers an earlier reply a second time.
    ReplyAgain(usize),
    Advance(u64),
    /// Adds a new snapshot to an upstream, and drops its oldest one if the flag is set.
    AddSnapshot(u32, bool),
    /// Changes the number of shards of a search.
    Repartition(u32, u32),
    /// Updates the shard map of an upstream to that of the catalogue.
    UpdateMap(u32),
    UpstreamService(u32, bool),
    ZoneService(u32, bool),
    Abandon(usize),
}

/// Model of the upstreams and the catalogue. It does not depend on the decisions of the searcher.
#[derive(Clone, Debug)]
pub(super) struct Environment {
    pub(super) now: Time,
    pub(super) catalog: Catalog,
    pub(super) serves: Vec<SnapshotRange>,
    /// The version of the shard map at each upstream, by search.
    pub(super) maps: Vec<[u32; 2]>,
}

impl ReferenceStateMachine for Environment {
    type State = Environment;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Environment> {
        let range = (1..3_u64, 0..2_u64);
        let ranges = proptest::collection::vec(range, UPSTREAMS as usize);
        let environment = |ranges: Vec<(u64, u64)>| Environment {
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
        ranges.prop_map(environment).boxed()
    }

    fn transitions(_: &Environment) -> BoxedStrategy<Transition> {
        let upstream = || 0..UPSTREAMS;
        let injected = prop_oneof![
            12 => Just(InjectedOutcome::Serve),
            1 => Just(InjectedOutcome::Newest),
            2 => (0..150_u32).prop_map(InjectedOutcome::Refuse),
            1 => Just(InjectedOutcome::Unreachable),
            1 => Just(InjectedOutcome::Fail),
        ];
        let coverage = prop_oneof![Just(None), (0.0..1.01).prop_map(Some)];
        prop_oneof![
            6 => (0..2_u32, 0..400_u64, coverage).prop_map(|(search, deadline_ms, min_coverage)| {
                Transition::Start { search, deadline_ms, min_coverage }
            }),
            30 => (any::<usize>(), injected).prop_map(|(pick, injected)| {
                Transition::Reply(pick, injected)
            }),
            1 => any::<usize>().prop_map(Transition::ReplyAgain),
            6 => (1..60_u64).prop_map(Transition::Advance),
            2 => (upstream(), any::<bool>()).prop_map(|(upstream, drop_oldest)| {
                Transition::AddSnapshot(upstream, drop_oldest)
            }),
            1 => (0..2_u32, 1..6_u32).prop_map(|(search, count)| {
                Transition::Repartition(search, count)
            }),
            2 => upstream().prop_map(Transition::UpdateMap),
            1 => (upstream(), any::<bool>()).prop_map(|(upstream, in_service)| {
                Transition::UpstreamService(upstream, in_service)
            }),
            1 => (0..3_u32, any::<bool>()).prop_map(|(zone, in_service)| {
                Transition::ZoneService(zone, in_service)
            }),
            1 => any::<usize>().prop_map(Transition::Abandon),
        ]
        .boxed()
    }

    fn apply(mut environment: Environment, transition: &Transition) -> Environment {
        match *transition {
            Transition::Advance(ms) => environment.now = environment.now + ms,
            Transition::AddSnapshot(upstream, drop_oldest) => {
                let serves = &mut environment.serves[upstream as usize];
                serves.newest.0 += 1;
                serves.oldest.0 += u64::from(drop_oldest);
            }
            Transition::Repartition(search, count) => {
                let key = SearchKey::from_raw(search);
                let search = environment.catalog.searches.get_mut(key).unwrap();
                search.map.0 += 1;
                search.shards = support::shards_of(&layout(), count, search.map.0);
            }
            Transition::UpdateMap(upstream) => {
                for (search, map) in environment.maps[upstream as usize].iter_mut().enumerate() {
                    let key = SearchKey::from_raw(search as u32);
                    *map = environment.catalog.searches.get(key).unwrap().map.0;
                }
            }
            Transition::UpstreamService(upstream, in_service) => {
                let key = UpstreamKey::from_raw(upstream);
                environment
                    .catalog
                    .upstreams
                    .get_mut(key)
                    .unwrap()
                    .in_service = in_service;
            }
            Transition::ZoneService(zone, in_service) => {
                let key = ZoneKey::from_raw(zone);
                environment.catalog.zones.get_mut(key).unwrap().in_service = in_service;
            }
            _ => (),
        }
        if changes_catalog(transition) {
            environment.catalog.number = environment.catalog.number.next();
        }
        environment
    }
}

pub(super) fn changes_catalog(transition: &Transition) -> bool {
    matches!(
        transition,
        Transition::Repartition(..) | Transition::UpstreamService(..) | Transition::ZoneService(..)
    )
}
