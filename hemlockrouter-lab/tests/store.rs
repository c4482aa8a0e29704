//! Tests that the simulated store follows the rules of the API that it simulates.

use std::thread;
use std::time::Duration;

use hemlockrouter_lab::store::CallKind;
use hemlockrouter_lab::store::SimulatedStore;
use hemlockrouter_lab::store::StoreFaults;
use hemlockrouter_lab::store::StoreOptions;
use hemlockrouter_lab::store::MAX_VALUE_BYTES;
use serde_json::Value;
use ureq::Agent;

struct Client {
    agent: Agent,
    base_url: String,
}

impl Client {
    fn new(store: &SimulatedStore) -> Client {
        let config = Agent::config_builder().http_status_as_error(false);
        Client {
            agent: config.build().into(),
            base_url: format!("http://{}", store.addr()),
        }
    }

    fn put(&self, path: &str, body: &[u8]) -> Result<(u16, String), ureq::Error> {
        let url = format!("{}{path}", self.base_url);
        let mut response = self.agent.put(url).send(body)?;
        Ok((
            response.status().as_u16(),
            response.body_mut().read_to_string()?,
        ))
    }

    fn get(&self, path: &str) -> (u16, u64, String) {
        let url = format!("{}{path}", self.base_url);
        let mut response = self.agent.get(url).call().expect("the store answers");
        let header = response.headers().get("X-Consul-Index");
        let index = header.and_then(|value| value.to_str().ok()?.parse().ok());
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string().expect("a body");
        (status, index.unwrap_or(0), body)
    }
}

fn start_store() -> (SimulatedStore, Client) {
    let store = SimulatedStore::start(StoreOptions {
        listen: "127.0.0.1:0".parse().expect("an address"),
        faults: StoreFaults::default(),
    })
    .expect("a free port");
    let client = Client::new(&store);
    (store, client)
}

#[test]
fn compare_and_swap_with_a_stale_index_fails() {
    let (_store, client) = start_store();
    let wrote = |path: &str, body: &str| client.put(path, body.as_bytes()).expect("an answer").1;
    assert_eq!(wrote("/v1/kv/a?cas=0", "one"), "true");
    assert_eq!(wrote("/v1/kv/a?cas=0", "two"), "false");
    let (_, index, body) = client.get("/v1/kv/a");
    let entries: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(entries[0]["Value"], "b25l");
    assert_eq!(entries[0]["ModifyIndex"], index);
    assert_eq!(wrote(&format!("/v1/kv/a?cas={index}"), "three"), "true");
    assert_eq!(wrote(&format!("/v1/kv/a?cas={index}"), "four"), "false");
    assert_eq!(client.get("/v1/kv/a?raw").2, "three");
    assert_eq!(client.get("/v1/kv/missing").0, 404);
}

#[test]
fn values_over_the_limit_are_refused() {
    let (_store, client) = start_store();
    let fits = vec![b'x'; MAX_VALUE_BYTES];
    assert_eq!(client.put("/v1/kv/a", &fits).expect("an answer").0, 200);
    let too_large = vec![b'x'; MAX_VALUE_BYTES + 1];
    assert_eq!(
        client.put("/v1/kv/a", &too_large).expect("an answer").0,
        413
    );
}

#[test]
fn a_watch_returns_the_first_write_and_counts_once() {
    let (store, client) = start_store();
    let (_, index, _) = client.get("/v1/kv/notes/?recurse");
    thread::scope(|scope| {
        let watch =
            scope.spawn(|| client.get(&format!("/v1/kv/notes/?recurse&index={index}&wait=30s")));
        while store.counts().waiting == 0 {
            thread::sleep(Duration::from_millis(5));
        }
        client.put("/v1/kv/other", b"x").expect("an answer");
        assert_eq!(store.counts().waiting, 1, "another key wakes no watch");
        client.put("/v1/kv/notes/1", b"x").expect("an answer");
        let (status, seen, body) = watch.join().expect("an answer");
        assert_eq!(status, 200);
        assert!(seen > index);
        assert!(body.contains("notes/1"));
    });
    assert_eq!(store.counts().calls_of_kind(CallKind::Watch), 1);
}

#[test]
fn a_write_takes_effect_when_its_answer_is_lost() {
    let (store, client) = start_store();
    store.set_faults(StoreFaults {
        lose_answers_every: 2,
        ..StoreFaults::default()
    });
    assert!(client.put("/v1/kv/a?cas=0", b"first").is_ok());
    assert!(client.put("/v1/kv/b?cas=0", b"second").is_err());
    assert_eq!(store.value("b").as_deref(), Some(&b"second"[..]));
}

#[test]
fn a_destroyed_session_releases_its_lock() {
    let (_store, client) = start_store();
    let create = || {
        let body = client.put("/v1/session/create", b"{\"TTL\":\"60s\"}");
        let session: Value = serde_json::from_str(&body.expect("an answer").1).expect("JSON");
        session["ID"].as_str().expect("an id").to_owned()
    };
    let (first, second) = (create(), create());
    let acquire = |session: &str| {
        let path = format!("/v1/kv/lock?acquire={session}");
        client.put(&path, b"held").expect("an answer").1
    };
    assert_eq!(acquire(&first), "true");
    assert_eq!(acquire(&second), "false");
    let ended = client.put(&format!("/v1/session/destroy/{first}"), b"");
    assert_eq!(ended.expect("an answer").0, 200);
    assert_eq!(acquire(&second), "true");
    assert_eq!(
        client
            .put(&format!("/v1/session/renew/{first}"), b"")
            .expect("an answer")
            .0,
        404
    );
}

#[test]
fn the_list_lags_and_calls_fail_while_the_store_is_down() {
    let (store, client) = start_store();
    store.set_faults(StoreFaults {
        list_lag_ms: 3_600_000,
        ..StoreFaults::default()
    });
    let body =
        br#"{"ID":"i1","Name":"router","Address":"127.0.0.1","Port":80,"Meta":{"zone":"a"}}"#;
    client
        .put("/v1/agent/service/register", body)
        .expect("an answer");
    assert_eq!(client.get("/v1/health/service/router").2, "[]");
    let (_, index, _) = client.get("/v1/health/service/router");
    store.set_faults(StoreFaults::default());
    let (_, _, listed) = client.get(&format!("/v1/health/service/router?index={index}&wait=30s"));
    let entries: Value = serde_json::from_str(&listed).expect("JSON");
    assert_eq!(entries[0]["Service"]["Meta"]["zone"], "a");
    assert_eq!(entries[0]["Checks"][0]["Status"], "passing");
    let down = br#"{"down": true}"#;
    assert_eq!(client.put("/lab/faults", down).expect("an answer").0, 200);
    assert_eq!(client.get("/v1/kv/a").0, 500);
    assert_eq!(
        client
            .put("/lab/faults", br#"{"dwon": true}"#)
            .expect("an answer")
            .0,
        400
    );
}
