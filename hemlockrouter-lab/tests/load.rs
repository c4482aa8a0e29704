//! Tests that the load generator detects answers that violate the tier's guarantees.

use hemlockrouter_lab::load::LoadGenerator;
use hemlockrouter_lab::load::LoadOptions;
use hemlockrouter_lab::load::LoadReport;
use hemlockrouter_lab::load::Violation;
use hemlockrouter_lab::server::HttpResponse;
use hemlockrouter_lab::server::Server;
use hemlockrouter_lab::server::ServerOptions;
use serde_json::json;
use serde_json::Value;

/// Runs the load generator against a server that answers each request with `answer(id)`.
fn run_load(answer: fn(&str) -> Value) -> LoadReport {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let server = Server::start(listen, ServerOptions::default(), move |exchange| {
        let body: Value = exchange.json().expect("JSON");
        let id = body["query"]["id"]
            .as_str()
            .or(body["request"]["id"].as_str());
        let body = answer(id.expect("an id"));
        exchange.answer(HttpResponse::json(200, &body));
    })
    .expect("a free port");
    let mut options = LoadOptions::new(vec![server.addr()], "key");
    options.search = Some("halls".to_owned());
    options.operation = Some("book".to_owned());
    options.rate = 500;
    options.duration_ms = 200;
    options.deadline_ms = 5_000;
    LoadGenerator::start(options).wait_for_report()
}

fn result(shard: &str, snapshot: u64, id: &str) -> Value {
    json!({"shard": shard, "snapshot": snapshot, "for": id})
}

fn answer(results: Vec<Value>, answered: u64, missing: &[&str]) -> Value {
    json!({
        "outcome": "done",
        "result": results[0],
        "results": results,
        "snapshot": 4,
        "coverage": {"shards_answered": answered, "shards_total": 3, "missing": missing},
    })
}

#[test]
fn correct_answers_have_no_faults() {
    let report = run_load(|id| answer(vec![result("a", 4, id), result("b", 4, id)], 2, &["c"]));
    assert!(report.faults.is_empty(), "{:?}", report.faulty);
    assert_eq!(report.answered, report.sent);
    assert_eq!(report.outcome_count("done") + report.searched, report.sent);
    assert_eq!((report.lost, report.coverage_per_mille), (0, 666));
}

#[test]
fn latency_includes_the_time_of_the_server() {
    let report = run_load(|id| {
        let delayed_answer = answer(vec![result("a", 4, id)], 1, &["b", "c"]);
        std::thread::sleep(std::time::Duration::from_millis(20));
        delayed_answer
    });
    // The server sleeps for 20 ms before each answer, so no latency can be shorter.
    let latency = report.latency;
    assert!(latency.p50_us >= 20_000, "{latency:?}");
}

#[test]
fn violated_guarantees_are_reported() {
    let fault_kinds = |report: LoadReport| report.faults.into_keys().collect::<Vec<Violation>>();
    let foreign_result = run_load(|_| answer(vec![result("a", 4, "x")], 1, &["b", "c"]));
    assert_eq!(fault_kinds(foreign_result), [Violation::ForeignResult]);
    let mixed_snapshots = run_load(|id| answer(vec![result("a", 3, id)], 1, &["b", "c"]));
    assert_eq!(fault_kinds(mixed_snapshots), [Violation::MixedSnapshots]);
    let counted_twice = run_load(|id| answer(vec![result("a", 4, id); 2], 2, &["c"]));
    assert_eq!(fault_kinds(counted_twice), [Violation::FalseCoverage]);
    let overstated = run_load(|id| answer(vec![result("a", 4, id)], 2, &["c"]));
    assert_eq!(fault_kinds(overstated), [Violation::FalseCoverage]);
}
