//! Tests that keys and the content of customers' requests do not leak.

use std::fs;

use serde_json::json;

use crate::harness::instance::INSTANCES_KEY;
use crate::harness::instance::OPERATORS_KEY;
use crate::harness::layout::TEACHERS_KEY;
use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;

#[test]
fn logs_and_metrics_contain_no_key_and_no_request_body() {
    let mut cluster = Cluster::start(Layout::new());
    let caller = Caller::for_teachers();
    for (number, callers) in cluster.callers().into_iter().enumerate() {
        let id = format!("body-of-a-customer-{number}");
        assert_eq!(caller.search(callers, &id).0, 200);
        assert_eq!(
            caller
                .run_with_key(callers, &format!("key-{number}"), &id)
                .0,
            200
        );
        let wrong = json!({"search": "body-of-a-customer", "query": {}, "deadline_ms": 1_000});
        let (status, refused) = caller.post(callers, "/v1/search", None, &wrong);
        assert_eq!(status, 404);
        assert!(!refused.to_string().contains(TEACHERS_KEY), "{refused}");
        assert_eq!(Caller::new("wrong-key").search(callers, &id).0, 401);
    }
    let secrets = [
        TEACHERS_KEY,
        OPERATORS_KEY,
        INSTANCES_KEY,
        "wrong-key",
        "body-of-a-customer",
    ];
    for index in cluster.running() {
        let log = fs::read_to_string(cluster.instances[index].log()).expect("the log");
        assert!(log.contains("decision"), "the log has the decisions");
        let metrics = cluster.metrics(index);
        for secret in secrets {
            assert!(!log.contains(secret), "{secret} is in the log");
            assert!(!metrics.contains(secret), "{secret} is in the metrics");
        }
    }
}
