//! Tests of requests with wrong keys, and of invalid requests.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use serde_json::json;
use serde_json::Value;

use crate::harness::client::Answer;
use crate::harness::instance::INSTANCES_KEY;
use crate::harness::instance::OPERATORS_KEY;
use crate::harness::layout::TEACHERS_KEY;
use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;
use crate::harness::LIVENESS_TIMEOUT;

/// The number of incomplete requests, which is more than the connections that an instance accepts.
const INCOMPLETE_REQUESTS: usize = 300;

fn start_small_cluster() -> Cluster {
    let mut layout = Layout::new();
    layout.zones = vec![("east", 1)];
    layout.shards = 1;
    Cluster::start(layout)
}

fn check_refused(refused: &Answer, status: u16) {
    let (actual_status, body) = refused;
    assert_eq!(*actual_status, status, "{body}");
    assert!(body["code"].is_string(), "{body}");
    assert_eq!(body["ran"], false, "{body}");
}

#[test]
fn wrong_keys_are_rejected_on_every_port() {
    let cluster = start_small_cluster();
    let instance_spec = &cluster.instances[0].instance_spec;
    let search = json!({"search": "halls", "query": {"id": "q"}, "deadline_ms": 1_000});
    for key in ["", "wrong", OPERATORS_KEY, INSTANCES_KEY] {
        let refused = Caller::new(key).post(instance_spec.callers, "/v1/search", None, &search);
        check_refused(&refused, 401);
    }
    let note = json!({"id": "n", "author": "kim", "added": {"zones": {"x": {"region": "r"}}}});
    for key in ["", "wrong", TEACHERS_KEY, INSTANCES_KEY] {
        let caller = Caller::new(key);
        let (status, _) = caller.post(instance_spec.operators, "/v1/notes", None, &note);
        assert_eq!(status, 401, "a note with the key {key:?}");
        let (status, _) = caller
            .get(instance_spec.operators, "/v1/status")
            .expect("an answer");
        assert_eq!(status, 401, "the status with the key {key:?}");
    }
    for key in ["", "wrong", TEACHERS_KEY, OPERATORS_KEY] {
        let (status, _) = Caller::new(key).post(instance_spec.instances, "/", None, &Value::Null);
        assert!(
            (401..=404).contains(&status),
            "the inner port said {status}"
        );
    }
    assert_eq!(cluster.config_number(0), Some(1));
}

#[test]
fn invalid_requests_are_refused_and_the_daemon_keeps_running() {
    let mut cluster = start_small_cluster();
    let callers = cluster.callers()[0];
    let caller = Caller::for_teachers();
    let search = |fields: Value| caller.post(callers, "/v1/search", None, &fields);
    check_refused(&search(json!({"search": "halls"})), 400);
    check_refused(
        &search(json!({"search": "halls", "query": {}, "deadline_ms": 0})),
        400,
    );
    check_refused(
        &search(json!({"search": "halls", "query": {}, "deadline_ms": 1_000_000_000})),
        400,
    );
    check_refused(
        &search(json!({"search": "none", "query": {}, "deadline_ms": 9})),
        404,
    );
    let large = "x".repeat(1 << 20);
    check_refused(
        &search(json!({"search": "halls", "query": large, "deadline_ms": 1_000})),
        413,
    );
    let run = json!({"operation": "confirm", "request": {}, "deadline_ms": 1_000});
    check_refused(&caller.post(callers, "/v1/run", None, &run), 400);
    let auth = format!("Authorization: Bearer {TEACHERS_KEY}\r\n");
    let bad_json =
        format!("POST /v1/search HTTP/1.1\r\n{auth}Content-Length: 9\r\n\r\n{{\"search\"");
    assert_eq!(send_raw(callers, bad_json.as_bytes()), Some(400));
    assert_eq!(
        send_raw(callers, b"\x16\x03\x01 no HTTP at all\r\n\r\n"),
        Some(400)
    );
    cluster.wait_until_all_shards_answer();
}

#[test]
fn header_flood_is_refused() {
    let mut cluster = start_small_cluster();
    let callers = cluster.callers()[0];
    let mut flood = b"POST /v1/search HTTP/1.1\r\n".to_vec();
    for number in 0..4_000 {
        flood.extend(format!("X-Flood-{number}: {}\r\n", "x".repeat(100)).bytes());
    }
    let status = send_raw(callers, &flood);
    assert!(status.is_none_or(|status| status == 431), "{status:?}");
    cluster.wait_until_all_shards_answer();
}

#[test]
fn incomplete_requests_are_refused_and_block_no_other_caller() {
    let mut cluster = start_small_cluster();
    let callers = cluster.callers()[0];
    let head = format!("POST /v1/search HTTP/1.1\r\nAuthorization: Bearer {TEACHERS_KEY}\r\n");
    let half_body = format!("{head}Content-Length: 100\r\n\r\n{{\"search");
    assert_eq!(send_raw(callers, half_body.as_bytes()), Some(408));
    let mut open = Vec::new();
    for _ in 0..INCOMPLETE_REQUESTS {
        let mut stream = TcpStream::connect(callers).expect("the port listens");
        stream.write_all(head.as_bytes()).expect("a connection");
        open.push(stream);
    }
    cluster.wait_until_all_shards_answer();
    drop(open);
}

/// Sends `bytes`, and returns the status of the response, or `None` if the connection is closed
/// without a response.
fn send_raw(to: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(to).expect("the port listens");
    stream
        .set_read_timeout(Some(LIVENESS_TIMEOUT))
        .expect("a socket");
    // The daemon may refuse the request before it has read all bytes.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    let status = text.strip_prefix("HTTP/1.1 ")?;
    status.get(..3)?.parse().ok()
}
