//! Tests with responses of upstreams that are truncated or sent twice.

use std::time::Duration;

use hemlockrouter_corporation_lab::Behaviour;
use hemlockrouter_corporation_lab::TruncatingUpstream;
use hemlockrouter_corporation_lab::TruncationPoint;
use hemlockrouter_corporation_lab::Upstream;
use http::StatusCode;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;
use crate::deployment::ZONES;
use crate::repeating_proxy::RepeatingProxy;

/// The number of requests of each kind.
const REQUESTS_PER_KIND: usize = 12;

/// The time for which an upstream that has left may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// The number of bookings at an upstream that rejects half of them.
const REJECTED_BOOKINGS: usize = 60;

const TRUNCATED_PARTS: [TruncationPoint; 5] = [
    TruncationPoint::Head,
    TruncationPoint::HeadLine,
    TruncationPoint::ContentLengthBody,
    TruncationPoint::ChunkedBody,
    TruncationPoint::Reset,
];

fn upstreams_of<'w>(
    deployment: &'w Deployment,
    service: &'w str,
) -> impl Iterator<Item = &'w Upstream> {
    let upstreams = deployment.upstreams.iter();
    upstreams.filter(move |upstream| upstream.service() == service)
}

/// Starts a deployment in which all upstreams of a service truncate their responses.
fn start_with_truncated_responses(
    service: &str,
    part: TruncationPoint,
) -> (Deployment, Vec<TruncatingUpstream>) {
    let deployment = Deployment::start(1);
    upstreams_of(&deployment, service).for_each(|upstream| upstream.unregister(&deployment.store));
    let truncating = ZONES.map(|zone| {
        let upstream =
            TruncatingUpstream::start(deployment.runtime.handle(), part).expect("a port is free");
        upstream.register(&deployment.store, service, zone);
        upstream
    });
    // One request that is sent elsewhere does not show that none will be sent there any more.
    std::thread::sleep(DRAIN_TIME);
    let path = if service == "ledger" {
        LOOK_UP_PATH
    } else {
        SEARCH_PATH
    };
    let healthy_ids =
        upstreams_of(&deployment, service).map(|upstream| String::from(upstream.id()));
    let healthy_ids: Vec<String> = healthy_ids.collect();
    eventually(
        "the upstreams that are in order are not used any more",
        || {
            let answer = deployment.call(0, path, 800);
            let runs = deployment.ledger.runs_of(&answer.attempt_id);
            !runs.iter().any(|run| healthy_ids.contains(&run.upstream))
        },
    );
    (deployment, truncating.into())
}

#[test]
fn truncated_response_is_not_a_success() {
    for part in TRUNCATED_PARTS {
        let (deployment, truncating) = start_with_truncated_responses("ledger", part);
        for path in [LOOK_UP_PATH, BOOK_PATH] {
            for _ in 0..REQUESTS_PER_KIND {
                let answer = deployment.call(0, path, 800);
                let is_success = answer.status.is_some_and(|status| status.is_success());
                assert!(!is_success, "{part:?}: {answer:?}");
                // A request with a truncated response may have run, so it must not be reported as
                // refused.
                let is_refused = answer.status == Some(StatusCode::SERVICE_UNAVAILABLE);
                let was_sent = truncating
                    .iter()
                    .any(|one| one.has_received(&answer.attempt_id));
                assert!(!is_refused || !was_sent, "{part:?}: {answer:?}");
            }
        }
    }
}

#[test]
fn shard_with_a_truncated_response_is_missing() {
    for part in TRUNCATED_PARTS {
        let (deployment, _torn) = start_with_truncated_responses("shard-0", part);
        for _ in 0..REQUESTS_PER_KIND {
            let answer = deployment.call(0, SEARCH_PATH, 800);
            assert_eq!(answer.status, Some(StatusCode::OK), "{part:?}: {answer:?}");
            assert_eq!(
                (answer.shards_missing, &answer.mismatch),
                (1, &None),
                "{part:?}: {answer:?}"
            );
        }
    }
}

/// Guards against a success whose signature is missing, which the instance passes on although it
/// does not count as a success.
#[test]
fn response_without_signature_is_not_a_success() {
    let deployment = Deployment::start(1);
    deployment.set_behaviour(Behaviour {
        unsigned_response_permille: 1_000,
        ..Behaviour::default()
    });
    for path in [BOOK_PATH, LOOK_UP_PATH, SEARCH_PATH] {
        for _ in 0..REQUESTS_PER_KIND {
            let answer = deployment.call(0, path, 800);
            let is_success = answer.status.is_some_and(|status| status.is_success());
            assert!(!is_success, "{path}: {answer:?}");
            let is_refused = answer.status == Some(StatusCode::SERVICE_UNAVAILABLE);
            let runs = deployment.ledger.runs_of(&answer.attempt_id);
            assert!(!is_refused || runs.is_empty(), "{path}: {answer:?}");
        }
    }
}

/// Sends bookings to an upstream that rejects half of them and repeats its responses, and checks
/// that a refused booking has not run and no booking runs twice.
fn check_bookings_with_repeated_rejections(behaviour: Behaviour) {
    let deployment = Deployment::start(1);
    deployment.wait_until_instance_list_settles();
    let mut upstreams = upstreams_of(&deployment, "ledger");
    let upstream = upstreams.next().expect("the service has an upstream");
    upstreams.for_each(|other| other.unregister(&deployment.store));
    std::thread::sleep(DRAIN_TIME);
    upstream.set_behaviour(behaviour);
    let repeating_proxy = RepeatingProxy::start(upstream.address(), 1);
    upstream.register_with_proxy_address(&deployment.store, repeating_proxy.address());
    eventually("responses are repeated", || {
        deployment.call(0, BOOK_PATH, 800);
        repeating_proxy.repeated_responses() > 0
    });
    for _ in 0..REJECTED_BOOKINGS {
        let answer = deployment.call(0, BOOK_PATH, 800);
        let runs = deployment.ledger.runs_of(&answer.attempt_id);
        assert_eq!(answer.mismatch, None, "{answer:?}");
        assert!(runs.len() <= 1, "{answer:?} ran {runs:?}");
        let is_refused = answer.status == Some(StatusCode::SERVICE_UNAVAILABLE);
        assert!(!is_refused || runs.is_empty(), "{answer:?} ran {runs:?}");
    }
}

/// Guards against a late copy of a rejection that is taken for the answer to the next attempt at
/// the same booking, which then runs although it is refused.
#[test]
fn repeated_rejection_is_not_used_for_the_next_attempt() {
    check_bookings_with_repeated_rejections(Behaviour {
        reject_permille: 500,
        ..Behaviour::default()
    });
}

/// Guards against a late copy of a rejection without an id that is taken for the answer to another
/// booking, which then runs twice.
#[test]
fn repeated_rejection_without_id_is_not_used_for_another_booking() {
    check_bookings_with_repeated_rejections(Behaviour {
        reject_permille: 500,
        omits_id_in_rejections: true,
        ..Behaviour::default()
    });
}

#[test]
fn repeated_upstream_response_is_not_used_for_another_request() {
    let deployment = Deployment::start(1);
    let mut proxies = Vec::new();
    for upstream in &deployment.upstreams {
        let repeating_proxy = RepeatingProxy::start(upstream.address(), 1);
        upstream.register_with_proxy_address(&deployment.store, repeating_proxy.address());
        proxies.push(repeating_proxy);
    }
    let repeated_responses = || {
        proxies
            .iter()
            .map(RepeatingProxy::repeated_responses)
            .sum::<usize>()
    };
    eventually("responses are repeated", || {
        deployment.call(0, SEARCH_PATH, 800);
        repeated_responses() > 0
    });
    for _ in 0..REQUESTS_PER_KIND {
        for path in [SEARCH_PATH, LOOK_UP_PATH, BOOK_PATH] {
            let answer = deployment.call(0, path, 800);
            assert_eq!(answer.mismatch, None, "{path}: {answer:?}");
            let runs = deployment.ledger.runs_of(&answer.attempt_id);
            assert!(
                path != BOOK_PATH || runs.len() <= 1,
                "{answer:?} ran {runs:?}"
            );
        }
    }
}
