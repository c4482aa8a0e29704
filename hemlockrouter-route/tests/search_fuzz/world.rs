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
pub(super) enum Fate {
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
    Reply(usize, Fate),
    /// Delivers an earlier reply a second time.
    Again(usize),
    Advance(u64),
    /// Adds a new snapshot to an upstream, and drops its oldest one if the flag is set.
    Roll(u32, bool),
    /// Changes the number of shards of a search.
    Repartition(u32, u32),
    /// Updates the shard map of an upstream to that of the catalogue.
    TakeMap(u32),
    UpstreamService(u32, bool),
    ZoneService(u32, bool),
    Abandon(usize),
}

/// Model of the upstreams and the catalogue. It does not depend on the decisions of the searcher.
#[derive(Clone, Debug)]
pub(super) struct World {
    pub(super) now: Time,
    pub(super) catalog: Catalog,
    pub(super) serves: Vec<SnapshotRange>,
    /// The version of the shard map at each upstream, by search.
    pub(super) maps: Vec<[u32; 2]>,
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

pub(super) fn changes_catalog(transition: &Transition) -> bool {
    matches!(
        transition,
        Transition::Repartition(..) | Transition::UpstreamService(..) | Transition::ZoneService(..)
    )
}
