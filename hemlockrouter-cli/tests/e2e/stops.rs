//! Tests of planned stops.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_lab::upstream::UpstreamBehaviour;

use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;

/// The time after SIGTERM at which the caller connects. The instance closes its connections 2 s
/// after the signal, and a connection without a request 1 s after it was opened.
const CONNECT_AFTER: Duration = Duration::from_millis(1_500);

/// The time after SIGTERM until which the caller opens connections.
const CONNECT_UNTIL: Duration = Duration::from_millis(3_500);

/// A shutdown time that is shorter than the deadline of a search, in milliseconds.
const SHORT_SHUTDOWN_MS: u64 = 2_500;

/// Guards against a request that is pending when the process exits and gets no answer.
#[test]
fn search_that_outlasts_the_shutdown_gets_an_answer() {
    let mut cluster = Cluster::start(Layout {
        shutdown_ms: SHORT_SHUTDOWN_MS,
        ..Layout::new()
    });
    for upstream in &cluster.upstreams {
        upstream.set_behaviour(UpstreamBehaviour {
            straggle_per_mille: 1_000,
            straggle_times: 10_000,
            ..UpstreamBehaviour::default()
        });
    }
    let address = cluster.callers()[0];
    // `search` panics if there is no answer.
    let caller = thread::spawn(move || Caller::for_teachers().search(address, "late"));
    thread::sleep(Duration::from_millis(300));
    cluster.instances[0].shut_down();
    let (status, body) = caller.join().expect("the caller gets an answer");
    assert_eq!(status, 502, "{body}");
}

/// Guards against a booking that is passed on although the shutdown leaves too little time for its
/// answer.
#[test]
fn booking_that_would_outlast_the_shutdown_is_refused() {
    let mut cluster = Cluster::start(Layout {
        shutdown_ms: SHORT_SHUTDOWN_MS,
        ..Layout::new()
    });
    let address = cluster.callers()[0];
    let caller = thread::spawn(move || {
        // The instance has got the signal by then.
        thread::sleep(Duration::from_millis(500));
        // The deadline of the booking is 5 s.
        Caller::for_teachers().run_with_key(address, "late", "late")
    });
    cluster.instances[0].shut_down();
    let (status, body) = caller.join().expect("the caller gets an answer");
    assert_eq!(
        (status, body["code"].as_str()),
        (503, Some("not_ready")),
        "{body}"
    );
}

/// Guards against a request that crosses the close of its connection and gets no answer.
#[test]
fn connection_without_a_request_is_closed_with_an_answer() {
    let mut cluster = Cluster::start(Layout::new());
    let address = cluster.callers()[0];
    let caller = thread::spawn(move || {
        thread::sleep(CONNECT_AFTER);
        let mut connection = TcpStream::connect(address).expect("the instance accepts");
        let mut answer = String::new();
        // A reset after the answer would lose nothing.
        let _ = connection.read_to_string(&mut answer);
        answer
    });
    assert!(cluster.instances[0].shut_down().success());
    let answer = caller.join().expect("the caller has not panicked");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
}

/// Guards against a port that is closed while callers still open connections, so that those that are
/// being opened are reset.
#[test]
fn callers_that_still_connect_when_idle_connections_are_closed_are_served() {
    let mut cluster = Cluster::start(Layout::new());
    let address = cluster.callers()[0];
    let caller = thread::spawn(move || {
        let started_at = Instant::now();
        let caller = Caller::for_teachers();
        while started_at.elapsed() < CONNECT_UNTIL {
            // `search` panics if there is no answer.
            let (status, body) = caller.search(address, "new");
            assert_eq!(status, 200, "{body}");
            thread::sleep(Duration::from_millis(50));
        }
    });
    assert!(cluster.instances[0].shut_down().success());
    caller.join().expect("each search is answered");
}
