//! Tests of upstreams whose answers have a status that is none of a final answer.

use hemlockrouter_corporation_lab::RawUpstream;
use http::StatusCode;

use crate::caller_connection::CallerConnection;
use crate::caller_connection::Exchange;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;
use crate::deployment::ZONES;
use crate::stops::new_attempt_id;

/// Statuses outside of 200 to 599, as they stand in the status line.
const ODD_STATUSES: [&str; 6] = ["000", "099", "101", "199", "600", "999"];

/// The number of requests of each kind.
const REQUESTS_PER_KIND: usize = 6;

const DEADLINE_MS: u64 = 800;

/// Starts one instance, and upstreams of `service` that answer with `status`.
fn start_with_status(service: &str, status: &str) -> (Deployment, Vec<RawUpstream>) {
    let mut deployment = Deployment::start(0);
    let daemon = deployment.new_daemon(|_| {});
    deployment.daemons.push(daemon);
    for upstream in &deployment.upstreams {
        if upstream.service() == service {
            upstream.unregister(&deployment.store);
        }
    }
    let odd = ZONES.map(|zone| {
        let upstream = RawUpstream::start_with_status(deployment.runtime.handle(), status);
        let upstream = upstream.expect("a port is free");
        upstream.register(&deployment.store, service, zone);
        upstream
    });
    deployment.start_daemon(0);
    deployment.wait_ready(0);
    (deployment, odd.into())
}

/// Guards against an answer with such a status that reaches the caller, and against callers'
/// connections that are cut after a status 101.
#[test]
fn answer_with_an_odd_status_is_not_passed_on() {
    for odd_status in ODD_STATUSES {
        let (deployment, _odd) = start_with_status("ledger", odd_status);
        for path in [BOOK_PATH, LOOK_UP_PATH] {
            let connection = CallerConnection::open(deployment.daemons[0].callers);
            let mut connection = connection.expect("the instance accepts connections");
            for _ in 0..REQUESTS_PER_KIND {
                let exchange = connection.call(path, &new_attempt_id(), DEADLINE_MS);
                let Exchange::Answered { status, .. } = exchange else {
                    panic!("{odd_status}, {path}: {exchange:?}");
                };
                let is_own = [502, 503, 504].contains(&status);
                assert!(is_own, "{odd_status}, {path}: {status}");
            }
        }
    }
}

/// Guards against a part of a search with such a status.
#[test]
fn shard_with_an_odd_status_is_missing() {
    for odd_status in ODD_STATUSES {
        let (deployment, _odd) = start_with_status("shard-0", odd_status);
        for _ in 0..REQUESTS_PER_KIND {
            let answer = deployment.call(0, SEARCH_PATH, DEADLINE_MS);
            assert_eq!(
                (answer.status, answer.shards_missing, &answer.mismatch),
                (Some(StatusCode::OK), 1, &None),
                "{odd_status}: {answer:?}"
            );
        }
    }
}
