//! Tests that simulated upstreams enforce the limits of real upstreams.

use std::thread;
use std::time::Duration;

use hemlockrouter_lab::upstream::SimulatedUpstream;
use hemlockrouter_lab::upstream::UpstreamBehaviour;
use hemlockrouter_lab::upstream::UpstreamSpec;
use serde_json::json;
use serde_json::Value;
use ureq::Agent;

fn start_upstream(change: fn(&mut UpstreamSpec)) -> SimulatedUpstream {
    let mut spec = UpstreamSpec::new("mill-1", "127.0.0.1:0".parse().expect("an address"));
    spec.connect_ms = 0;
    change(&mut spec);
    let started = SimulatedUpstream::start_all(&[spec], &UpstreamBehaviour::default());
    started.expect("a free port").remove(0)
}

fn agent() -> Agent {
    let config = Agent::config_builder().http_status_as_error(false);
    config.build().into()
}

fn post(agent: &Agent, upstream: &SimulatedUpstream, path: &str, body: Value) -> (u16, Value) {
    let url = format!("http://{}{path}", upstream.addr());
    let mut response = agent.post(url).send_json(body).expect("an answer");
    let status = response.status().as_u16();
    (status, response.body_mut().read_json().expect("JSON"))
}

fn search_body(id: u32, snapshot: Option<u64>) -> Value {
    json!({"id": id, "shard": "yard-7", "snapshot": snapshot, "map": 1, "query": {"id": id}})
}

#[test]
fn results_name_shard_snapshot_and_query() {
    let upstream = start_upstream(|spec| spec.warm = true);
    upstream.set_behaviour(UpstreamBehaviour {
        snapshot: 9,
        ..UpstreamBehaviour::default()
    });
    let agent = agent();
    let (status, answer) = post(&agent, &upstream, "/search", search_body(1, Some(8)));
    assert_eq!(status, 200);
    assert_eq!(
        answer["results"],
        json!([{"shard": "yard-7", "snapshot": 8, "upstream": "mill-1", "for": 1}])
    );
    let (status, answer) = post(&agent, &upstream, "/search", search_body(2, Some(6)));
    assert_eq!(status, 409);
    assert_eq!(
        (&answer["oldest"], &answer["newest"]),
        (&json!(7), &json!(9))
    );
}

#[test]
fn an_overload_while_cold_fails_all_requests() {
    let upstream = start_upstream(|spec| spec.cold_ms = 200);
    let agent = agent();
    thread::scope(|scope| {
        let first = scope.spawn(|| post(&agent, &upstream, "/search", search_body(1, None)));
        while upstream.counts().arrived == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        assert_eq!(
            post(&agent, &upstream, "/search", search_body(2, None)).0,
            500
        );
        assert_eq!(first.join().expect("an answer").0, 500);
    });
    let counts = upstream.counts();
    assert_eq!(counts.cold_bound_passed, 1);
    assert_eq!(counts.peak_cold_in_flight, 2);
}

#[test]
fn an_upstream_warms_up_after_answers_and_can_turn_cold() {
    let upstream = start_upstream(|spec| {
        spec.warm_answers = 2;
        spec.warm_ms = 0;
        spec.cold_ms = 1;
    });
    let agent = agent();
    assert!(upstream.counts().cold);
    for id in 0..2 {
        assert_eq!(
            post(&agent, &upstream, "/search", search_body(id, None)).0,
            200
        );
    }
    assert!(!upstream.counts().cold);
    upstream.turn_cold();
    assert!(upstream.counts().cold);
}

#[test]
fn a_run_takes_effect_when_its_answer_is_lost() {
    let upstream = start_upstream(|spec| spec.warm = true);
    upstream.set_behaviour(UpstreamBehaviour {
        lose_answers_every: 1,
        ..UpstreamBehaviour::default()
    });
    let url = format!("http://{}/run", upstream.addr());
    let body = json!({"id": 1, "run_id": "r1", "operation": "book", "request": {}});
    assert!(agent().post(url).send_json(body).is_err());
    assert_eq!(upstream.counts().runs["r1"], 1);
}

#[test]
fn requests_over_the_connection_limit_are_shed() {
    let upstream = start_upstream(|spec| {
        spec.warm = true;
        spec.connections = 1;
    });
    let (first, second) = (agent(), agent());
    assert_eq!(
        post(&first, &upstream, "/search", search_body(1, None)).0,
        200
    );
    assert_eq!(
        post(&second, &upstream, "/search", search_body(2, None)).0,
        503
    );
    assert_eq!(
        post(&first, &upstream, "/search", search_body(3, None)).0,
        200
    );
    assert_eq!(upstream.counts().connections, 1);
}

#[test]
fn the_cold_limit_is_enforced_only_after_a_restart_is_visible() {
    let upstream = start_upstream(|spec| {
        spec.warm = true;
        spec.cold_ms = 200;
    });
    let agents = [agent(), agent()];
    let search_on_both_connections = || {
        thread::scope(|scope| {
            let [first, second] = agents.each_ref().map(|agent| {
                let upstream = &upstream;
                scope.spawn(move || {
                    let url = format!("http://{}/search", upstream.addr());
                    let sent = agent.post(url).send_json(search_body(1, None));
                    // The agent reuses a connection only after the answer has been read.
                    sent.and_then(|mut response| response.body_mut().read_to_string())
                        .is_ok()
                })
            });
            [first, second].map(|handle| handle.join().expect("an end"))
        })
    };
    assert_eq!(search_on_both_connections(), [true, true]);
    upstream.restart();
    assert_eq!(
        search_on_both_connections(),
        [false, false],
        "the old connections have ended"
    );
    assert_eq!(upstream.counts().cold_bound_passed, 0);
    thread::sleep(Duration::from_millis(100));
    search_on_both_connections();
    assert_eq!(upstream.counts().cold_bound_passed, 1);
}

#[test]
fn a_silent_cold_start_is_known_after_eight_answers() {
    let upstream = start_upstream(|spec| {
        spec.warm = true;
        spec.cold_ms = 1;
        spec.warm_answers = 1_000;
    });
    let agent = agent();
    upstream.turn_cold();
    for id in 0..8 {
        assert!(!upstream.counts().known_cold);
        assert_eq!(
            post(&agent, &upstream, "/search", search_body(id, None)).0,
            200
        );
    }
    thread::sleep(Duration::from_millis(100));
    assert!(upstream.counts().known_cold);
}
