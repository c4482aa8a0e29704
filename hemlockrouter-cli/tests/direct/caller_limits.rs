//! Tests of limits on callers' requests that versions change while connections are kept.
//!
//! `HEMLOCK_LIMITS_SEEDS=100..150` selects other seeds of the randomized test than those that CI runs.

use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use serde_json::Value;

use crate::caller_connection::CallerConnection;
use crate::caller_connection::Exchange;
use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::LOOK_UP_PATH;
use crate::soak::parse_seeds;

const DEADLINE_MS: u64 = 1_000;

/// The number of versions with other limits in a randomized run.
const VERSION_COUNT: usize = 6;

/// Bytes of a test request's head beside its further header lines, at most.
const HEAD_BASE_MAX_BYTES: usize = 300;

/// Writes a version with other limits, and waits until it is in force.
fn write_limits<F>(deployment: &mut Deployment, change: F)
where
    F: FnOnce(&mut Value),
{
    deployment.write_config(|config| change(&mut config["limits"]));
    let version = deployment.version;
    eventually("the version is in force", || {
        deployment.version_in_force(0) == Some(version)
    });
}

/// Returns header lines of about `bytes` bytes in all, in lines of about `line_bytes` each.
fn header_lines(bytes: usize, line_bytes: usize) -> String {
    let mut lines = String::new();
    while lines.len() < bytes {
        let value_bytes = line_bytes.min(bytes - lines.len());
        lines.push_str("x:");
        lines.push_str(&"v".repeat(value_bytes));
        lines.push_str("\r\n");
    }
    lines
}

fn open(deployment: &Deployment) -> CallerConnection {
    CallerConnection::open(deployment.daemons[0].callers).expect("the port is open")
}

fn check_status(connection: &mut CallerConnection, lines: &str, expected: u16) {
    let attempt_id = format!("{:016x}", rand::random::<u64>());
    let exchange = connection.call_with_headers(LOOK_UP_PATH, &attempt_id, DEADLINE_MS, lines);
    let is_expected = matches!(exchange, Exchange::Answered { status, .. } if status == expected);
    let head_bytes = lines.len();
    assert!(
        is_expected,
        "{head_bytes} bytes: {exchange:?}, not {expected}"
    );
}

/// Guards against long heads that are refused on connections accepted under a lower limit, or served
/// on ones accepted under a higher limit (review 15).
#[test]
fn kept_connection_has_the_limit_on_heads_that_is_in_force() {
    let mut deployment = Deployment::start(1);
    let mut connection = open(&deployment);
    check_status(&mut connection, "", 200);
    write_limits(&mut deployment, |limits| {
        limits["maxHeaderBytes"] = 32_768.into();
    });
    check_status(&mut connection, &header_lines(20_000, 20_000), 200);
    write_limits(&mut deployment, |limits| {
        limits["maxHeaderBytes"] = 9_000.into();
    });
    check_status(&mut connection, &header_lines(12_000, 12_000), 431);
    check_status(&mut open(&deployment), &header_lines(12_000, 12_000), 431);
}

/// Guards against connections that are closed by the idle timeout under which they were accepted,
/// although callers may keep them longer by now, and against ones kept too long (review 15).
#[test]
fn kept_connection_has_the_idle_timeout_that_is_in_force() {
    let mut deployment = Deployment::start(1);
    let set_timeouts_ms = |idle_ms: u64| {
        move |limits: &mut Value| {
            limits["idleTimeoutMs"] = idle_ms.into();
            limits["headerTimeoutMs"] = 200.into();
        }
    };
    write_limits(&mut deployment, set_timeouts_ms(800));
    let mut connection = open(&deployment);
    check_status(&mut connection, "", 200);
    write_limits(&mut deployment, set_timeouts_ms(10_000));
    std::thread::sleep(Duration::from_millis(2_000));
    check_status(&mut connection, "", 200);
    write_limits(&mut deployment, set_timeouts_ms(500));
    std::thread::sleep(Duration::from_millis(1_500));
    let exchange = connection.call(LOOK_UP_PATH, "0123456789abcdef", DEADLINE_MS);
    assert!(matches!(exchange, Exchange::NotSent), "{exchange:?}");
}

/// Guards against proper requests that are refused because they have many short header lines
/// (review 15, related).
#[test]
fn number_of_header_lines_is_not_limited_below_their_size() {
    let deployment = Deployment::start(1);
    for line_bytes in [1, 2, 12] {
        check_status(
            &mut open(&deployment),
            &header_lines(8_000, line_bytes),
            200,
        );
    }
}

/// Guards against heads without end that fill the memory, as the HTTP library has no limit of its own.
#[test]
fn head_without_end_is_refused_at_the_limit() {
    let deployment = Deployment::start(1);
    let before_kb = deployment.daemons[0].peak_memory_kb();
    let mut connection = open(&deployment);
    let lines = header_lines(1 << 20, 1_000);
    let attempt_id = "0123456789abcdef";
    let exchange = connection.call_with_headers(LOOK_UP_PATH, attempt_id, DEADLINE_MS, &lines);
    // The rest of the head is not read, and the reset for that can overtake the answer.
    let is_refused = matches!(exchange, Exchange::Answered { status: 431, .. });
    assert!(
        is_refused || matches!(exchange, Exchange::Cut),
        "{exchange:?}"
    );
    let grown_kb = deployment.daemons[0].peak_memory_kb() - before_kb;
    assert!(grown_kb < 512, "{grown_kb} kB");
}

/// Runs one seed: limits on heads and idle times move up and down under connections of any age. A
/// request is served if the versions that may be in force allow it.
fn run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(1);
    let mut connections = vec![open(&deployment)];
    for _ in 0..VERSION_COUNT {
        let head_max_bytes = rng.random_range(2_000..60_000);
        let idle_ms: u64 = rng.random_range(300..3_000);
        write_limits(&mut deployment, |limits| {
            limits["maxHeaderBytes"] = head_max_bytes.into();
            limits["idleTimeoutMs"] = idle_ms.into();
            limits["headerTimeoutMs"] = 300.into();
        });
        connections.push(open(&deployment));
        let until = Instant::now() + Duration::from_millis(rng.random_range(200..1_500));
        while Instant::now() < until {
            let index = rng.random_range(0..connections.len());
            let lines_bytes = rng.random_range(0..head_max_bytes - HEAD_BASE_MAX_BYTES);
            let line_bytes = rng.random_range(20..5_000);
            let attempt_id = format!("{:016x}", rng.random::<u64>());
            let lines = header_lines(lines_bytes - lines_bytes / 8, line_bytes);
            let exchange = connections[index].call_with_headers(
                LOOK_UP_PATH,
                &attempt_id,
                DEADLINE_MS,
                &lines,
            );
            match exchange {
                Exchange::Answered { status: 200, .. } => {}
                // The connection was idle for longer than a version allowed.
                Exchange::NotSent => connections[index] = open(&deployment),
                other => panic!(
                    "seed {seed}: {} bytes of {head_max_bytes}: {other:?}",
                    lines.len()
                ),
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(1..200)));
        }
    }
}

#[test]
fn kept_connections_serve_what_moving_limits_allow() {
    let seeds = match std::env::var("HEMLOCK_LIMITS_SEEDS") {
        Ok(range) => parse_seeds(&range),
        Err(_) => vec![1, 2],
    };
    seeds.into_iter().for_each(run);
}
