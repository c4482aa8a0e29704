//! Tests with index snapshots and shard maps that change while searches run.

use hemlockrouter_lab::load::LoadGenerator;
use hemlockrouter_lab::upstream::UpstreamBehaviour;
use serde_json::json;

use crate::harness::sleep_ms;
use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;

/// The time between the steps of a change, in milliseconds.
const CHANGE_STEP_MS: u64 = 150;

#[test]
fn every_answer_uses_one_snapshot_while_indexes_change() {
    let cluster = Cluster::start(Layout::new());
    let mut options = cluster.load_options(31);
    options.operation = None;
    let load = LoadGenerator::start(options);
    for snapshot in 2..=6 {
        // The upstreams change one after another, so that replicas have different snapshots.
        for upstream in &cluster.upstreams {
            upstream.set_behaviour(UpstreamBehaviour {
                snapshot,
                ..upstream.behaviour()
            });
            sleep_ms(CHANGE_STEP_MS);
        }
    }
    let report = load.stop();
    cluster.check_guarantees(&report);
    assert!(report.snapshots.len() > 1, "{:?}", report.snapshots);
}

#[test]
fn shards_without_a_common_snapshot_are_reported_missing() {
    let mut layout = Layout::new();
    layout.single_zone_shard = true;
    layout.search_spec.snapshots_kept = 1;
    let cluster = Cluster::start(layout);
    cluster
        .upstream("finder-lonely-west")
        .set_behaviour(UpstreamBehaviour {
            snapshot: 9,
            ..UpstreamBehaviour::default()
        });
    let caller = Caller::for_teachers();
    for callers in cluster.callers() {
        let (status, answer) = caller.search(callers, "q");
        assert_eq!(status, 200, "{answer}");
        let results = answer["results"].as_array().expect("results");
        assert!(results
            .iter()
            .all(|result| result["snapshot"] == answer["snapshot"]));
        let answered = &answer["coverage"]["shards_answered"];
        assert_eq!(*answered, json!(results.len()), "{answer}");
        assert_eq!(*answered, 4, "{answer}");
        assert_eq!(answer["coverage"]["missing"], json!(["halls-lonely"]));
    }
}

#[test]
fn repartitioning_under_load_mixes_no_shard_maps() {
    let mut cluster = Cluster::start(Layout::new());
    let mut options = cluster.load_options(32);
    options.operation = None;
    let load = LoadGenerator::start(options);
    sleep_ms(CHANGE_STEP_MS);
    let map = cluster.layout.shard_map();
    cluster.submit(&json!({
        "id": "repartitioned",
        "author": "kim",
        "changed": {"searches": {"teachers/halls": {"map": 2, "shards": map}}},
    }));
    for upstream in &cluster.upstreams {
        upstream.set_behaviour(UpstreamBehaviour {
            map: Some(2),
            ..upstream.behaviour()
        });
        sleep_ms(CHANGE_STEP_MS);
    }
    cluster.wait_until_all_shards_answer();
    let report = load.stop();
    cluster.check_guarantees(&report);
}
