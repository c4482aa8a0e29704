//! Tests of single moments of a planned stop.

use std::io::Write;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Behaviour;
use serde_json::Value;

use crate::caller_connection::CallerConnection;
use crate::caller_connection::Exchange;
use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::HOST;
use crate::deployment::LOOK_UP_PATH;

const CALLER_COUNT: usize = 24;

/// The deadline of a request whose upstream never answers, in milliseconds: longer than the
/// shutdown time.
pub(crate) const LONG_DEADLINE_MS: u64 = 6_000;

/// The longest time from SIGTERM until the process is gone: the shutdown time and a margin for a
/// busy machine.
const STOP_MAX: Duration = Duration::from_millis(4_500);

/// The time from SIGTERM until idle connections are closed.
const CLOSING_AFTER: Duration = Duration::from_millis(1_500);

/// The time from SIGTERM until the last requests get their final answer.
const FINAL_ANSWERS_AFTER: Duration = Duration::from_millis(2_500);

/// The time from SIGTERM for which callers that do not cease are served: until the final answers, less
/// 300 ms for a first request and its target latency of 150 ms, and a margin for a busy machine.
const PORT_OPEN_MIN: Duration = Duration::from_millis(1_950);

/// The time without a new connection after which the port is closed.
const PORT_QUIET: Duration = Duration::from_millis(500);

/// The margin for the end of a stop on a busy machine.
const STOP_MARGIN: Duration = Duration::from_millis(400);

pub(crate) fn new_attempt_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

pub(crate) fn silence_upstreams(deployment: &Deployment, service: &str) {
    let upstreams = deployment.upstreams.iter();
    for upstream in upstreams.filter(|upstream| upstream.service() == service) {
        upstream.set_behaviour(Behaviour {
            never_responds: true,
            ..Behaviour::default()
        });
    }
}

/// Lets requests last longer than the shutdown time.
pub(crate) fn use_long_timeouts(config: &mut Value) {
    let routes = config["routes"].as_array_mut().expect("there are routes");
    for route in routes {
        route["timeoutMs"] = LONG_DEADLINE_MS.into();
    }
}

/// Waits until the processes of stopped instances are gone, at most for [`STOP_MAX`].
pub(crate) fn wait_until_gone(
    deployment: &mut Deployment,
    stopped: &[usize],
) -> Result<(), String> {
    let started = Instant::now();
    for index in stopped {
        while deployment.daemons[*index].is_running() {
            if started.elapsed() > STOP_MAX {
                return Err(format!("instance {index} has not stopped in time"));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    Ok(())
}

/// Guards against a request that is taken late in a shutdown and cut off when the process exits.
#[test]
fn request_that_outlasts_the_shutdown_gets_an_answer() {
    let mut deployment = Deployment::start(1);
    deployment.write_config(use_long_timeouts);
    eventually("the version is in force", || {
        deployment.version_in_force(0) == Some(deployment.version)
    });
    silence_upstreams(&deployment, "ledger");
    let address = deployment.daemons[0].callers;
    let mut before = CallerConnection::open(address).expect("the instance accepts");
    let pending =
        thread::spawn(move || before.call(LOOK_UP_PATH, &new_attempt_id(), LONG_DEADLINE_MS));
    thread::sleep(Duration::from_millis(100));
    deployment.daemons[0].signal("TERM");
    thread::sleep(Duration::from_millis(1_000));
    let mut late = CallerConnection::open(address).expect("the instance accepts");
    let late_look_up = late.call(LOOK_UP_PATH, &new_attempt_id(), LONG_DEADLINE_MS);
    let is_answered = |exchange: &Exchange| {
        matches!(
            exchange,
            Exchange::Answered {
                status: 502..=504,
                ..
            }
        )
    };
    assert!(is_answered(&late_look_up), "{late_look_up:?}");
    let pending = pending.join().expect("the caller has not panicked");
    assert!(is_answered(&pending), "{pending:?}");
}

/// Guards against a booking that is passed on although the shutdown leaves too little time for its
/// answer.
#[test]
fn booking_that_would_outlast_the_shutdown_is_refused_and_not_run() {
    let mut deployment = Deployment::start(1);
    let address = deployment.daemons[0].callers;
    deployment.daemons[0].signal("TERM");
    // The route's timeout is 1.5 s, and the final answers are due 2.5 s after the signal.
    thread::sleep(Duration::from_millis(1_200));
    let mut connection = CallerConnection::open(address).expect("the instance accepts");
    let attempt_id = new_attempt_id();
    let exchange = connection.call(BOOK_PATH, &attempt_id, LONG_DEADLINE_MS);
    let status = match exchange {
        Exchange::Answered { status, .. } => status,
        other => panic!("{other:?}"),
    };
    let runs = deployment.ledger.runs_of(&attempt_id);
    assert!(status == 503 && runs.is_empty(), "{status}: {runs:?}");
    let mut connection = CallerConnection::open(address).expect("the instance accepts");
    let exchange = connection.call(BOOK_PATH, &new_attempt_id(), 500);
    let is_served = matches!(exchange, Exchange::Answered { status: 200, .. });
    assert!(is_served, "{exchange:?}");
}

/// Guards against a request that crosses the close of its kept connection and gets no answer.
#[test]
fn request_that_crosses_the_close_of_its_connection_gets_an_answer() {
    let mut deployment = Deployment::start(1);
    let address = deployment.daemons[0].callers;
    let connections = (0..CALLER_COUNT).map(|_| {
        let mut connection = CallerConnection::open(address).expect("the instance accepts");
        let exchange = connection.call(LOOK_UP_PATH, &new_attempt_id(), 800);
        assert!(
            matches!(exchange, Exchange::Answered { .. }),
            "{exchange:?}"
        );
        connection
    });
    let connections: Vec<CallerConnection> = connections.collect();
    deployment.daemons[0].signal("TERM");
    let closing_at = Instant::now() + CLOSING_AFTER;
    let callers: Vec<JoinHandle<Exchange>> = connections
        .into_iter()
        .enumerate()
        .map(|(index, mut connection)| {
            thread::spawn(move || {
                // The requests are written from 12 ms before the close until 12 ms after it, and
                // the callers do not look whether the connection is closed.
                let offset = Duration::from_millis(index as u64);
                let send_at = closing_at - Duration::from_millis(12) + offset;
                thread::sleep(send_at.saturating_duration_since(Instant::now()));
                let request = format!(
                    "GET {LOOK_UP_PATH} HTTP/1.1\r\nHost: {HOST}\r\n\
                     Hemlockrouter-Attempt-Id: {}\r\n\r\n",
                    new_attempt_id()
                );
                // Even if the connection is reset, the answer that came before can be read.
                let _ = connection.stream.write_all(request.as_bytes());
                connection.read_answer().unwrap_or(Exchange::Cut)
            })
        })
        .collect();
    for caller in callers {
        let exchange = caller.join().expect("the caller has not panicked");
        let is_answered = matches!(
            exchange,
            Exchange::Answered {
                status: 200 | 408 | 503,
                ..
            }
        );
        assert!(is_answered, "{exchange:?}");
    }
}

/// Guards against a port that is closed while callers still open connections, so that those that are
/// being opened are reset, and against one that stays open until requests are refused.
#[test]
fn callers_that_do_not_cease_are_served_until_little_time_is_left() {
    let mut deployment = Deployment::start(1);
    deployment.set_behaviour(Behaviour {
        work_duration: Duration::from_millis(100),
        ..Behaviour::default()
    });
    let address = deployment.daemons[0].callers;
    deployment.daemons[0].signal("TERM");
    let signalled_at = Instant::now();
    // One of the callers always has a request under way.
    let callers = (0..4).map(|index| {
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(30 * index));
            let mut refused = Vec::new();
            while let Some(mut connection) = CallerConnection::open(address) {
                let sent_at = signalled_at.elapsed();
                match connection.call(LOOK_UP_PATH, &new_attempt_id(), 800) {
                    Exchange::Answered { status: 200, .. } => {}
                    // A connection that is opened just when the port is closed is reset.
                    Exchange::NotSent | Exchange::Cut if sent_at >= PORT_OPEN_MIN => {}
                    other => refused.push(format!("sent at {sent_at:?}: {other:?}")),
                }
            }
            (signalled_at.elapsed(), refused)
        })
    });
    let callers: Vec<JoinHandle<(Duration, Vec<String>)>> = callers.collect();
    for caller in callers {
        let (port_closed_after, refused) = caller.join().expect("the caller has not panicked");
        assert!(refused.is_empty(), "{refused:?}");
        let is_in_time = (PORT_OPEN_MIN..FINAL_ANSWERS_AFTER).contains(&port_closed_after);
        assert!(is_in_time, "the port is open for {port_closed_after:?}");
    }
}

/// Guards against a stop that goes on although its callers have ceased to open connections.
#[test]
fn stop_ends_soon_after_the_last_new_connection() {
    let mut deployment = Deployment::start(1);
    let address = deployment.daemons[0].callers;
    deployment.daemons[0].signal("TERM");
    let signalled_at = Instant::now();
    let last_at = CLOSING_AFTER - Duration::from_millis(300);
    while signalled_at.elapsed() < last_at {
        let mut connection = CallerConnection::open(address).expect("the instance accepts");
        let exchange = connection.call(LOOK_UP_PATH, &new_attempt_id(), 800);
        let is_served = matches!(exchange, Exchange::Answered { status: 200, .. });
        assert!(is_served, "{exchange:?}");
        thread::sleep(Duration::from_millis(20));
    }
    wait_until_gone(&mut deployment, &[0]).expect("the instance stops");
    let stopped_after = signalled_at.elapsed();
    let stopped_after_max = last_at + PORT_QUIET + STOP_MARGIN;
    assert!(stopped_after < stopped_after_max, "{stopped_after:?}");
}

/// Guards against a new connection that is closed before its first request is read.
#[test]
fn first_request_of_a_connection_is_served_around_the_close() {
    let mut deployment = Deployment::start(1);
    let address = deployment.daemons[0].callers;
    deployment.daemons[0].signal("TERM");
    let closing_at = Instant::now() + CLOSING_AFTER;
    let callers = (0..CALLER_COUNT as u64).map(|index| {
        thread::spawn(move || {
            let open_at = closing_at - Duration::from_millis(60 + index);
            thread::sleep(open_at.saturating_duration_since(Instant::now()));
            let mut connection = CallerConnection::open(address).expect("the instance accepts");
            thread::sleep(Duration::from_millis(100));
            connection.call(LOOK_UP_PATH, &new_attempt_id(), 800)
        })
    });
    let callers: Vec<JoinHandle<Exchange>> = callers.collect();
    for caller in callers {
        let exchange = caller.join().expect("the caller has not panicked");
        let is_served = matches!(exchange, Exchange::Answered { status: 200, .. });
        assert!(is_served, "{exchange:?}");
    }
}

/// Guards against a 408, which promises that nothing ran, for a request that was passed on and whose
/// caller has closed its sending side.
#[test]
fn request_under_way_is_not_answered_408_when_its_caller_stops_sending() {
    let mut deployment = Deployment::start(1);
    silence_upstreams(&deployment, "ledger");
    let address = deployment.daemons[0].callers;
    deployment.daemons[0].signal("TERM");
    thread::sleep(CLOSING_AFTER - Duration::from_millis(300));
    let mut connection = CallerConnection::open(address).expect("the instance accepts");
    let request = format!(
        "GET {LOOK_UP_PATH} HTTP/1.1\r\nHost: {HOST}\r\nHemlockrouter-Attempt-Id: {}\r\n\r\n",
        new_attempt_id()
    );
    let written = connection.stream.write_all(request.as_bytes());
    written.expect("the instance reads");
    thread::sleep(Duration::from_millis(500));
    let stopped = connection.stream.shutdown(std::net::Shutdown::Write);
    stopped.expect("the connection is open");
    let exchange = connection.read_answer();
    let is_refused = matches!(exchange, Some(Exchange::Answered { status: 408, .. }));
    assert!(!is_refused, "{exchange:?}");
}
