//! Tests of the output and the exit codes of `hemlockctl`, against a scripted operators' port.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::thread;

use insta::assert_snapshot;
use tiny_http::Header;
use tiny_http::Response;
use tiny_http::Server;

const OPERATORS_KEY: &str = "operators-key-of-the-test";
const NOTE_FILE: &str = "../examples/note.jsonc";

/// An expected request line, and the status and body of the response.
type ExpectedCall = (&'static str, u16, &'static str);

const STATUS_WITH_TWO_OF_THREE_IN_FORCE: &str = r#"{
    "instance": "a", "zone": "z1", "config": 7, "ready": true, "store": "up",
    "instances": [
        {"instance": "a", "zone": "z1", "address": "127.0.0.1:1", "condition": "alive",
         "config": null, "heard_ms_ago": null},
        {"instance": "b", "zone": "z1", "address": "127.0.0.1:2", "condition": "alive",
         "config": 8, "heard_ms_ago": 40},
        {"instance": "c", "zone": "z2", "address": "127.0.0.1:3", "condition": "suspect",
         "config": 6, "heard_ms_ago": 900},
        {"instance": "d", "zone": "z2", "address": "127.0.0.1:4", "condition": "dead",
         "config": 1, "heard_ms_ago": null}
    ],
    "upstreams": [
        {"name": "hall-finder-1a", "zone": "z1", "owner": "a", "owned_here": true,
         "limit": 2, "in_flight": 1, "queued": 3, "cold": false},
        {"name": "hall-finder-1b", "zone": "z2", "owner": null, "owned_here": false}
    ]
}"#;

/// Starts a server that answers the expected requests in order, and checks each request's line and
/// key.
fn start_server(exchanges: Vec<ExpectedCall>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let server = Server::from_listener(listener, None).expect("a server");
    thread::spawn(move || {
        for (line, status, body) in exchanges {
            let request = server.recv().expect("a request");
            assert_eq!(format!("{} {}", request.method(), request.url()), line);
            let key = request
                .headers()
                .iter()
                .find(|header| header.field.equiv("Authorization"));
            assert_eq!(
                key.expect("a key").value.as_str(),
                format!("Bearer {OPERATORS_KEY}")
            );
            let json = Header::from_bytes("Content-Type", "application/json").expect("a header");
            let response = Response::from_string(body).with_status_code(status);
            request
                .respond(response.with_header(json))
                .expect("a connection");
        }
    });
    address
}

/// Runs the client, and returns its exit code, standard output and standard error as text.
fn run_hemlockctl(instance: SocketAddr, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_hemlockctl"))
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
        .env("HEMLOCK_OPERATORS_KEY", OPERATORS_KEY)
        .args(["--instance", &instance.to_string()])
        .args(args)
        .output()
        .expect("the client starts");
    let code = output.status.code().expect("an exit code");
    let stdout_text = String::from_utf8_lossy(&output.stdout);
    let stderr_text = String::from_utf8_lossy(&output.stderr);
    let output_text = format!("exit code {code}\n{stdout_text}--\n{stderr_text}");
    output_text.replace(&instance.to_string(), "INSTANCE")
}

#[test]
fn submit_prints_the_number_of_instances_with_the_note_in_force() {
    let instance = start_server(vec![
        ("POST /v1/notes", 200, r#"{"number": 7}"#),
        ("GET /v1/status", 200, STATUS_WITH_TWO_OF_THREE_IN_FORCE),
    ]);
    assert_snapshot!(run_hemlockctl(instance, &["note", "submit", NOTE_FILE, "--wait-ms", "0"]), @r#"
    exit code 4
    accepted as number 7
    in force on 2 of 3 instances
    --
    "#);
}

#[test]
fn conflict_names_the_note_that_was_accepted_first() {
    let body = r#"{"code": "conflict", "number": 7, "id": "mill-two", "author": "lee"}"#;
    let instance = start_server(vec![("POST /v1/notes", 409, body)]);
    assert_snapshot!(run_hemlockctl(instance, &["note", "submit", NOTE_FILE]), @r#"
    exit code 1
    --
    hemlockctl: not accepted: number 7, mill-two by lee, came first
    See 'hemlockctl note show 7', then submit again if the note still fits.
    "#);
}

#[test]
fn submit_distinguishes_a_lost_response_from_a_refusal() {
    let maybe_accepted_body = r#"{"code": "store_down", "maybe": true, "retry_after_ms": 1000}"#;
    let not_accepted_body = r#"{"code": "store_down", "maybe": false, "retry_after_ms": 1000}"#;
    let instance = start_server(vec![
        ("POST /v1/notes", 503, maybe_accepted_body),
        ("POST /v1/notes", 503, not_accepted_body),
    ]);
    assert_snapshot!(run_hemlockctl(instance, &["note", "submit", NOTE_FILE]), @r#"
    exit code 5
    --
    hemlockctl: the platform's store did not answer
    The note may have been accepted. Submit the same file again, which is safe:
      hemlockctl note submit ../examples/note.jsonc
    "#);
    assert_snapshot!(run_hemlockctl(instance, &["--json", "note", "submit", NOTE_FILE]), @r#"
    exit code 3
    {"code":"store_down","maybe":false,"retry_after_ms":1000}
    --
    hemlockctl: 503: store_down (retry in 1000 ms)
    "#);
    let unused_address =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let output_text = run_hemlockctl(
        unused_address.expect("a free port"),
        &["note", "submit", NOTE_FILE],
    );
    assert!(output_text.starts_with("exit code 3\n"), "{output_text}");
}

#[test]
fn invalid_note_is_reported_with_file_and_line() {
    let body = r#"{"code": "invalid", "message": "added.zones.daegu-1: the zone exists already",
        "line": 9}"#;
    let instance = start_server(vec![("POST /v1/notes/check", 422, body)]);
    assert_snapshot!(run_hemlockctl(instance, &["note", "check", NOTE_FILE]), @r#"
    exit code 1
    --
    ../examples/note.jsonc:9: added.zones.daegu-1: the zone exists already
    "#);
    let settings = "../examples/settings.jsonc";
    assert_snapshot!(run_hemlockctl(instance, &["note", "check", settings]), @r#"
    exit code 1
    --
    ../examples/settings.jsonc:4: zone: unknown field; expected one of id, author, text, added, changed, withdrawn
    "#);
}

#[test]
fn status_lists_instances_and_upstreams() {
    let instance = start_server(vec![(
        "GET /v1/status",
        200,
        STATUS_WITH_TWO_OF_THREE_IN_FORCE,
    )]);
    assert_snapshot!(run_hemlockctl(instance, &["status"]), @r#"
    exit code 0
    instance a in z1: ready, configuration 7, store up

    instances:
      instance          zone          address                condition  config  heard ms
      a                 z1            127.0.0.1:1            alive           7         -
      b                 z1            127.0.0.1:2            alive           8        40
      c                 z2            127.0.0.1:3            suspect         6       900
      d                 z2            127.0.0.1:4            dead            1         -

    upstreams:
      upstream                  zone          owner             limit  in flight  queued  state
      hall-finder-1a            z1            a                     2          1       3  warm
      hall-finder-1b            z2            -                     -          -       -  owned elsewhere
    --
    "#);
}

#[test]
fn explain_prints_rejected_upstreams() {
    let body = r#"{"config": 7, "shards": [{"shard": "halls-1", "upstream": "hall-finder-1a",
        "owner": "a", "why": "fastest",
        "passed_over": [{"upstream": "hall-finder-1b", "why": "cold"}]}]}"#;
    let instance = start_server(vec![("GET /v1/explain/teachers/halls", 200, body)]);
    assert_snapshot!(run_hemlockctl(instance, &["explain", "teachers", "halls"]), @r#"
    exit code 0
    teachers/halls under configuration 7:
      halls-1: hall-finder-1a by a, fastest
        not hall-finder-1b: cold
    --
    "#);
}

#[test]
fn plain_text_responses_are_interpreted_by_their_status() {
    let instance = start_server(vec![
        ("POST /v1/drain/a1", 202, "draining"),
        ("GET /v1/explain/teachers/none", 404, "no such search"),
    ]);
    assert!(run_hemlockctl(instance, &["drain", "a1"]).starts_with("exit code 0\n"));
    assert_snapshot!(run_hemlockctl(instance, &["explain", "teachers", "none"]), @r#"
    exit code 1
    --
    hemlockctl: 404: no such search
    "#);
}

#[test]
fn wrong_usage_sends_no_request() {
    let instance = start_server(Vec::new());
    for args in [
        vec!["frobnicate"],
        vec!["explain", "a/b", "c"],
        vec!["--key-file", "/none", "status"],
    ] {
        let output_text = run_hemlockctl(instance, &args);
        assert!(output_text.starts_with("exit code 2\n"), "{output_text}");
    }
}
