//! Tests with a zone that is partitioned from the other zone and from the platform.

use hemlockrouter_lab::link::LinkCondition;
use hemlockrouter_lab::load::LoadGenerator;
use serde_json::json;

use crate::harness::eventually;
use crate::harness::sleep_ms;
use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;

/// The duration of the partition, in milliseconds, which is longer than any lease and any suspicion
/// timeout.
const PARTITION_MS: u64 = 8_000;

/// Returns a layout of two zones with one instance each, so that every link between instances
/// connects the two zones.
fn two_zone_layout() -> Layout {
    let mut layout = Layout::new();
    layout.zones = vec![("east", 1), ("west", 1)];
    layout.single_zone_shard = true;
    layout.has_links = true;
    layout
}

/// Sets the condition of the links between the zones, and of the link from the zone `east` to the
/// store.
fn set_links(cluster: &Cluster, condition: LinkCondition) {
    for instance in &cluster.instances {
        instance
            .instance_spec
            .link
            .as_ref()
            .expect("a link")
            .set_condition(condition);
    }
    let links = cluster.store_links.iter();
    for (_, link) in links.filter(|(zone, _)| zone == "east") {
        link.set_condition(condition);
    }
}

fn check_partitioned_zone(broken: LinkCondition, seed: u64) {
    let mut cluster = Cluster::start(two_zone_layout());
    let caller = Caller::for_teachers();
    let load = LoadGenerator::start(cluster.load_options(seed));
    sleep_ms(1_000);
    set_links(&cluster, broken);
    sleep_ms(PARTITION_MS);
    let (east, west) = (cluster.callers()[0], cluster.callers()[1]);

    // The zone `east` serves searches from its own replicas, and names the shard that is
    // unreachable.
    let (status, answer) = caller.search(east, "q");
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["coverage"]["missing"], json!(["halls-lonely"]));
    assert_eq!(answer["coverage"]["shards_answered"], 4);
    let (_, answer) = caller.search(west, "q");
    assert_eq!(answer["coverage"]["shards_answered"], 5, "{answer}");

    // Without the store, a request with a ticket runs, and a request with an idempotency key does
    // not.
    let ticket = caller.request_ticket(east);
    let (_, answer) = caller.run_with_ticket(east, &ticket, "by-ticket");
    assert_eq!(answer["outcome"], "done", "{answer}");
    let (status, answer) = caller.run_with_key(east, "by-key", "by-key");
    assert_eq!((status, &answer["ran"]), (503, &json!(false)), "{answer}");
    assert_eq!(cluster.effect_count("by-key"), 0);

    set_links(&cluster, LinkCondition::default());
    cluster.wait_until_all_shards_answer();
    eventually("keys are settled again", || {
        caller.run_with_key(east, "healed", "healed").1["outcome"] == "done"
    });
    let report = load.stop();
    cluster.check_guarantees(&report);
}

#[test]
fn partitioned_zone_serves_local_replicas_and_recovers() {
    let cut = LinkCondition {
        cut: true,
        ..LinkCondition::default()
    };
    check_partitioned_zone(cut, 51);
}

#[test]
fn zone_behind_half_open_links_serves_local_replicas_and_recovers() {
    let half_open = LinkCondition {
        half_open: true,
        ..LinkCondition::default()
    };
    check_partitioned_zone(half_open, 52);
}
