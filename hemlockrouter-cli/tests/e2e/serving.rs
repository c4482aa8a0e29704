//! Tests of searches and of non-idempotent requests without faults.

use serde_json::json;

use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;

#[test]
fn every_instance_serves_searches_and_operations() {
    let cluster = Cluster::start(Layout::new());
    let caller = Caller::for_teachers();
    for (number, callers) in cluster.callers().into_iter().enumerate() {
        let (status, answer) = caller.search(callers, "q");
        assert_eq!(status, 200, "{answer}");
        assert_eq!(
            answer["coverage"],
            json!({"shards_answered": 4, "shards_total": 4, "missing": []})
        );
        assert_eq!(answer["snapshot"], 1);
        let id = format!("booking-{number}");
        let (status, answer) = caller.run_with_key(callers, &id, &id);
        assert_eq!(status, 200, "{answer}");
        assert_eq!(answer["outcome"], "done");
        assert_eq!(answer["result"]["for"], json!(id));
        assert_eq!(cluster.effect_count(&id), 1);
    }
    cluster.check_cold_bounds();
}

#[test]
fn repeated_idempotency_key_runs_once_on_any_instance() {
    let cluster = Cluster::start(Layout::new());
    let caller = Caller::for_teachers();
    for callers in cluster.callers() {
        let (_, answer) = caller.run_with_key(callers, "same-key", "booking");
        // An instance other than the first can't know the result, but must not run the request
        // again.
        assert!(
            answer["outcome"] == "done" || answer["outcome"] == "unknown",
            "{answer}"
        );
        assert_eq!(cluster.effect_count("booking"), 1);
    }
    let (status, answer) = caller.run_with_key(cluster.callers()[1], "same-key", "another body");
    assert_eq!((status, &answer["outcome"]), (409, &json!("conflict")));
    assert_eq!(cluster.effect_count("another body"), 0);
}

#[test]
fn ticket_runs_once_on_any_instance() {
    let cluster = Cluster::start(Layout::new());
    let caller = Caller::for_teachers();
    let ticket = caller.request_ticket(cluster.callers()[0]);
    for callers in cluster.callers() {
        let (status, answer) = caller.run_with_ticket(callers, &ticket, "booking");
        assert_eq!(
            (status, &answer["outcome"]),
            (200, &json!("done")),
            "{answer}"
        );
        assert_eq!(cluster.effect_count("booking"), 1);
    }
}
