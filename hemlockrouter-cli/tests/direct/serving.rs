//! Tests of the answers that callers get without faults, and of the errors for invalid requests.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use serde_json::Value;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::HOST;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;

/// Sends `bytes` on a new connection, and returns everything that the daemon sends back.
fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).expect("the daemon accepts");
    let limit = Some(Duration::from_secs(5));
    stream
        .set_read_timeout(limit)
        .expect("a timeout can be set");
    // The daemon may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn every_instance_answers_searches_and_single_requests() {
    let deployment = Deployment::start(2);
    for index in 0..2 {
        for path in [SEARCH_PATH, BOOK_PATH, LOOK_UP_PATH] {
            let answer = deployment.call(index, path, 1_000);
            assert_eq!(
                answer.status,
                Some(StatusCode::OK),
                "{path} at {index}: {answer:?}"
            );
            assert_eq!(answer.mismatch, None, "{path} at {index}");
            assert_eq!(answer.shards_missing, 0, "{path} at {index}");
        }
    }
}

#[test]
fn request_without_route_gets_404_and_without_host_400() {
    let deployment = Deployment::start(1);
    assert_eq!(
        deployment.call(0, "/none/x", 500).status,
        Some(StatusCode::NOT_FOUND)
    );
    assert_eq!(
        deployment.call(0, "/search", 500).status,
        Some(StatusCode::NOT_FOUND)
    );
    let to = deployment.daemons[0].callers;
    let answer = send_raw(to, b"GET /search/x HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[test]
fn invalid_requests_get_errors_and_the_daemon_keeps_running() {
    let mut deployment = Deployment::start(1);
    let to = deployment.daemons[0].callers;
    let head = "POST /look-up/x HTTP/1.1\r\nHost: halls.example\r\nConnection: close\r\n";
    let too_large = format!("{head}Content-Length: 70000\r\n\r\n{}", "x".repeat(70_000));
    let bad_deadline = format!("{head}Hemlockrouter-Deadline-Ms: soon\r\n\r\n");
    let flood = format!("{head}X-Flood: {}\r\n\r\n", "x".repeat(40_000));
    let cases = [
        (
            "an unreadable request",
            String::from("\0\0\r\n\r\n"),
            "HTTP/1.1 400",
        ),
        ("a body that is too large", too_large, "HTTP/1.1 413"),
        ("a deadline that is no number", bad_deadline, "HTTP/1.1 400"),
        ("a head that is too large", flood, "HTTP/1.1 431"),
    ];
    for (description, bytes, expected) in cases {
        let answer = send_raw(to, bytes.as_bytes());
        assert!(answer.starts_with(expected), "{description}: {answer:?}");
    }
    // A caller sends half of a request and then closes the connection.
    let mut half_request = TcpStream::connect(to).expect("the daemon accepts");
    half_request
        .write_all(b"GET /search/x HT")
        .expect("the connection is open");
    drop(half_request);
    assert!(deployment.daemons[0].is_running());
    assert_eq!(
        deployment.call(0, SEARCH_PATH, 1_000).status,
        Some(StatusCode::OK)
    );
}

#[test]
fn new_version_takes_effect_and_an_older_one_is_ignored() {
    let mut deployment = Deployment::start(1);
    deployment.write_config(|config| config["routes"][2]["pathPrefix"] = json!("/moved/"));
    eventually("the new route is in force", || {
        deployment.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
    assert_eq!(
        deployment.call(0, LOOK_UP_PATH, 500).status,
        Some(StatusCode::NOT_FOUND)
    );
    // An older version that is written again must be ignored.
    deployment.store.write_config(
        &json!({"version": 1, "routes": [], "services": [], "limits": {
            "maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1, "idleTimeoutMs": 1,
        }}),
    );
    eventually("the older version is logged", || {
        deployment.log(0).contains("routes not newer")
    });
    assert_eq!(
        deployment.call(0, "/moved/x", 500).status,
        Some(StatusCode::OK)
    );
}

#[test]
fn request_appears_in_the_log_and_metrics() {
    let deployment = Deployment::start(1);
    let answer = deployment.call(0, SEARCH_PATH, 1_000);
    eventually("the request is logged", || {
        deployment.log(0).contains(&answer.attempt_id)
    });
    let metrics = deployment.metrics(0);
    assert!(metrics.contains("requests_total"), "{metrics}");
    assert!(metrics.contains("request_ms"), "{metrics}");
}

/// Runs `hemlockctl` against an instance, and returns the client's output and whether the
/// client succeeded.
fn run_hemlockctl(deployment: &Deployment, index: usize, words: &[&str]) -> (String, bool) {
    let output = Command::new(env!("CARGO_BIN_EXE_hemlockctl"))
        .args([
            "--direct",
            "--instance",
            &deployment.daemons[index].ready.to_string(),
        ])
        .args(words)
        .output()
        .expect("the client runs");
    let text = [output.stdout, output.stderr].concat();
    (
        String::from_utf8_lossy(&text).into_owned(),
        output.status.success(),
    )
}

#[test]
fn hemlockctl_prints_status_and_explains_routes() {
    let deployment = Deployment::start(2);
    eventually("the other instance is registered", || {
        run_hemlockctl(&deployment, 0, &["status"])
            .0
            .contains("instance-1")
    });
    let (status, succeeded) = run_hemlockctl(&deployment, 0, &["status"]);
    assert!(succeeded, "{status}");
    let first = "instance instance-0 in north-a: ready, version 1, 3 routes";
    assert!(status.starts_with(first), "{status}");
    for upstream in &deployment.upstreams {
        assert!(status.contains(upstream.id()), "{status}");
    }
    let (explained, succeeded) = run_hemlockctl(&deployment, 0, &["explain", HOST, SEARCH_PATH]);
    assert!(succeeded, "{explained}");
    assert!(
        explained.contains("4 of 6 services must answer"),
        "{explained}"
    );
    assert!(explained.contains("shard-5 (by"), "{explained}");
    let (json, succeeded) =
        run_hemlockctl(&deployment, 0, &["--json", "explain", HOST, SEARCH_PATH]);
    let json: Value = serde_json::from_str(&json).expect("it prints JSON");
    assert!(
        succeeded && json["parts"][0]["upstreams"][0]["state"] == "used",
        "{json}"
    );
    let (refused, succeeded) = run_hemlockctl(&deployment, 0, &["explain", HOST, "/nowhere"]);
    assert!(
        !succeeded && refused.contains("no route takes this host and path"),
        "{refused}"
    );
    let (refused, succeeded) = run_hemlockctl(&deployment, 0, &["explain", HOST, "no path"]);
    assert!(!succeeded && refused.contains("is not a path"), "{refused}");
}

#[test]
fn changed_settings_are_applied_and_invalid_settings_are_ignored() {
    let mut deployment = Deployment::start(1);
    let dir = deployment.dir.clone();
    let cases = [
        (
            r#""repeat_ratio":0.2"#,
            r#""repeat_ratio":0.3"#,
            r#""changed":"bounds.repeat_ratio""#,
        ),
        (
            r#""level":"info""#,
            r#""level":"debug""#,
            r#""changed":"bounds.repeat_ratio log.level""#,
        ),
        (
            r#""name":"instance-0""#,
            r#""name":"other""#,
            r#""fields":"name""#,
        ),
        (
            r#""repeat_ratio":0.2"#,
            r#""repeat_ratio":-1"#,
            "bounds.repeat_ratio: expected",
        ),
    ];
    for (from, to, expected) in cases {
        deployment.daemons[0].change_settings(&dir, |text| {
            assert!(text.contains(from), "{text}");
            *text = text.replace(from, to);
        });
        eventually(expected, || deployment.log(0).contains(expected));
        assert_eq!(
            deployment.call(0, SEARCH_PATH, 1_000).status,
            Some(StatusCode::OK)
        );
    }
}
