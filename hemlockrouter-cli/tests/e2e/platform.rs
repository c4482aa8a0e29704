//! Tests with a store that is down or that loses responses to writes.

use hemlockrouter_lab::load::LoadGenerator;
use hemlockrouter_lab::store::StoreFaults;
use serde_json::json;

use crate::harness::eventually;
use crate::harness::sleep_ms;
use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;

#[test]
fn configured_service_continues_while_the_store_is_down() {
    let mut cluster = Cluster::start(Layout::new());
    cluster.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let caller = Caller::for_teachers();
    let load = LoadGenerator::start(cluster.load_options(41));
    for callers in cluster.callers() {
        let (status, answer) = caller.run_with_key(callers, "key", "booking");
        assert_eq!((status, &answer["ran"]), (503, &json!(false)), "{answer}");
        assert!(answer["retry_after_ms"].is_u64(), "{answer}");
        let ticket = caller.request_ticket(callers);
        let id = format!("by-ticket-{callers}");
        let (_, answer) = caller.run_with_ticket(callers, &ticket, &id);
        assert_eq!(answer["outcome"], "done", "{answer}");
        assert_eq!(cluster.effect_count(&id), 1);
    }
    assert_eq!(cluster.effect_count("booking"), 0);

    // An instance that starts during the outage gets its configuration from its peers.
    cluster.instances[0].kill();
    cluster.instances[0].start_again();
    eventually("the instance is ready again", || cluster.is_ready(0));
    sleep_ms(1_000);
    cluster.store.set_faults(StoreFaults::default());
    eventually("keys are settled again", || {
        caller
            .run_with_key(cluster.callers()[1], "later", "later")
            .1["outcome"]
            == "done"
    });
    let report = load.stop();
    cluster.check_guarantees(&report);
    cluster.wait_until_all_shards_answer();
}

#[test]
fn instance_without_store_or_peers_refuses_and_is_not_ready() {
    let mut cluster = Cluster::start(Layout::new());
    let unreachable_store = cluster.free_address();
    let instance_spec = cluster.instance_spec("alone", "east", unreachable_store);
    let isolated_instance = cluster.start_unregistered(instance_spec);
    cluster.wait_until_reachable(isolated_instance);
    assert!(!cluster.is_ready(isolated_instance));
    let callers = cluster.instances[isolated_instance].instance_spec.callers;
    let (status, answer) = Caller::for_teachers().run_with_key(callers, "key", "booking");
    assert_eq!((status, &answer["ran"]), (503, &json!(false)), "{answer}");
    assert_eq!(cluster.effect_count("booking"), 0);
}

#[test]
fn lost_claim_responses_cause_no_second_run() {
    let mut cluster = Cluster::start(Layout::new());
    cluster.store.set_faults(StoreFaults {
        lose_answers_every: 3,
        ..StoreFaults::default()
    });
    let mut options = cluster.load_options(42);
    options.search = None;
    options.rate = 30;
    options.duration_ms = 3_000;
    let report = LoadGenerator::start(options).wait_for_report();
    cluster.check_run_guarantees(&report);
    assert_eq!(
        report.outcome_count("done"),
        report.sent,
        "{:?}",
        report.outcomes
    );
    cluster.wait_until_all_shards_answer();
}

#[test]
fn note_with_a_lost_response_is_accepted_once() {
    let mut cluster = Cluster::start(Layout::new());
    cluster.store.set_faults(StoreFaults {
        lose_answers_every: 1,
        ..StoreFaults::default()
    });
    let before = cluster.config_number(0).expect("a configuration");
    cluster.submit(&json!({
        "id": "once",
        "author": "kim",
        "changed": {"zones": {"west": {"in_service": false}}},
    }));
    assert_eq!(cluster.config_number(0), Some(before + 1));
    assert_eq!(
        cluster.store.keys("hemlockrouter/notes/").len() as u64,
        before + 1
    );
}
