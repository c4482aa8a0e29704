//! Tests with responses of upstreams that are truncated or sent twice.

use hemlockrouter_corporation_lab::Torn;
use hemlockrouter_corporation_lab::TornPart;
use hemlockrouter_corporation_lab::Upstream;
use http::StatusCode;

use crate::replayer::Replayer;
use crate::world::eventually;
use crate::world::World;
use crate::world::BOOK;
use crate::world::LOOK_UP;
use crate::world::SEARCH;
use crate::world::ZONES;

/// The number of requests of each kind.
const REQUESTS: usize = 12;

const PARTS: [TornPart; 4] = [
    TornPart::Head,
    TornPart::Length,
    TornPart::Chunks,
    TornPart::Reset,
];

fn of<'w>(world: &'w World, service: &'w str) -> impl Iterator<Item = &'w Upstream> {
    let upstreams = world.upstreams.iter();
    upstreams.filter(move |upstream| upstream.service() == service)
}

/// Starts a deployment in which all upstreams of a service truncate their responses.
fn torn(service: &str, part: TornPart) -> (World, Vec<Torn>) {
    let world = World::start(1);
    of(&world, service).for_each(|upstream| upstream.unregister(&world.store));
    let torn = ZONES.map(|zone| {
        let torn = Torn::start(world.runtime.handle(), part).expect("a port is free");
        torn.register(&world.store, service, zone);
        torn
    });
    let path = if service == "ledger" { LOOK_UP } else { SEARCH };
    let gone = of(&world, service).map(|upstream| String::from(upstream.id()));
    let gone: Vec<String> = gone.collect();
    eventually(
        "the upstreams that are in order are not used any more",
        || {
            let seen = world.call(0, path, 800);
            let runs = world.ledger.runs_of(&seen.attempt_id);
            !runs.iter().any(|run| gone.contains(&run.upstream))
        },
    );
    (world, torn.into())
}

#[test]
fn truncated_response_is_not_a_success() {
    for part in PARTS {
        let (world, torn) = torn("ledger", part);
        for path in [LOOK_UP, BOOK] {
            for _ in 0..REQUESTS {
                let seen = world.call(0, path, 800);
                let is_success = seen.status.is_some_and(|status| status.is_success());
                assert!(!is_success, "{part:?}: {seen:?}");
                // A request with a truncated response may have run, so it must not be reported as
                // refused.
                let is_refused = seen.status == Some(StatusCode::SERVICE_UNAVAILABLE);
                let was_sent = torn.iter().any(|one| one.has_seen(&seen.attempt_id));
                assert!(!is_refused || !was_sent, "{part:?}: {seen:?}");
            }
        }
    }
}

#[test]
fn shard_with_a_truncated_response_is_missing() {
    for part in PARTS {
        let (world, _torn) = torn("shard-0", part);
        for _ in 0..REQUESTS {
            let seen = world.call(0, SEARCH, 800);
            assert_eq!(seen.status, Some(StatusCode::OK), "{part:?}: {seen:?}");
            assert_eq!(
                (seen.missing, &seen.wrong),
                (1, &None),
                "{part:?}: {seen:?}"
            );
        }
    }
}

#[test]
fn repeated_upstream_response_is_not_used_for_another_request() {
    let world = World::start(1);
    let mut replayers = Vec::new();
    for upstream in &world.upstreams {
        let replayer = Replayer::start(upstream.address(), 1);
        upstream.register_behind(&world.store, replayer.address());
        replayers.push(replayer);
    }
    let replayed = || replayers.iter().map(Replayer::replayed).sum::<usize>();
    eventually("answers are handed out twice", || {
        world.call(0, SEARCH, 800);
        replayed() > 0
    });
    for _ in 0..REQUESTS {
        for path in [SEARCH, LOOK_UP, BOOK] {
            let seen = world.call(0, path, 800);
            assert_eq!(seen.wrong, None, "{path}: {seen:?}");
            let runs = world.ledger.runs_of(&seen.attempt_id);
            assert!(path != BOOK || runs.len() <= 1, "{seen:?} ran {runs:?}");
        }
    }
}
