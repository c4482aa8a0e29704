//! A stand-in for the platform's store.
//!
//! Stale reads can be served by two copies in turn: one that is up to date, and one that lags behind.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::from_base64;
use crate::json::quote;
use crate::json::to_base64;
use crate::json::Json;

/// Number of items in a page.
const PAGE_ITEMS: usize = 50;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    /// The item as it was written; `None` if it was removed.
    item: Option<Item>,
    revision: u64,
    at: Instant,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    era: u64,
    /// Earliest revision from which a watch may continue.
    history_start: u64,
    /// How far the lagging copy is behind; zero if all copies are up to date.
    lag: Duration,
    /// Index of the store's address at which the lagging copy has the first turn.
    lagging_first: usize,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store at several addresses, so that each machine can be given its own.
    pub fn start(addresses: &[SocketAddr]) -> std::io::Result<Store> {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            era: 1,
            history_start: 0,
            lag: Duration::ZERO,
            lagging_first: 0,
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        for (index, address) in addresses.iter().enumerate() {
            let served = store.clone();
            let listener = TcpListener::bind(address)?;
            http::serve(listener, move |stream| served.serve(stream, index));
        }
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(50));
            expiring.expire_leases();
        });
        Ok(store)
    }

    /// Writes an item, and returns its revision. The return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.put(key, value.as_bytes().to_vec(), 0);
        self.state.1.notify_all();
        state.revision
    }

    /// Lets one of the two copies that serve stale reads lag behind. The stale reads of a connection
    /// go to both copies in turn. The lagging copy has the first turn at the address with the index
    /// `lagging_first`, and the other copy at all other addresses.
    pub fn set_lag(&self, lag: Duration, lagging_first: usize) {
        let mut state = self.state.0.lock().unwrap();
        state.lag = lag;
        state.lagging_first = lagging_first;
    }

    fn expire_leases(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream, address_index: usize) {
        let mut reader = BufReader::new(&stream);
        let mut stale_reads = 0;
        while let Some(request) = http::read_message(&mut reader) {
            let era = self.state.0.lock().unwrap().era;
            let (status, body) = self.answer(&request, address_index, &mut stale_reads);
            if self.state.0.lock().unwrap().era != era {
                return;
            }
            let era = era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            let response = http::response(status, &headers, body.as_bytes());
            if (&stream).write_all(&response).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        request: &Message,
        address_index: usize,
        stale_reads: &mut usize,
    ) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/kv-key") => self.read_key(request),
            ("GET", "/kv-range") => self.read_range(request, address_index, stale_reads),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(request),
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", path) => self.renew(path.strip_prefix("/kv-keep/")),
            ("DELETE", path) => {
                let id = path.strip_prefix("/kv-lease-end/");
                let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
                self.state.0.lock().unwrap().end_lease(id);
                self.state.1.notify_all();
                (200, String::from("{}"))
            }
            _ => (404, String::from("{}")),
        }
    }

    fn read_key(&self, request: &Message) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let key = request.query("key");
        match state.items.get(key) {
            Some(item) => {
                let revision = state.revision;
                let item = item.to_json(key);
                let fields = item.trim_end_matches('}');
                (200, format!("{fields},\"storeRevision\":{revision}}}"))
            }
            None => (404, format!("{{\"storeRevision\":{}}}", state.revision)),
        }
    }

    fn read_range(
        &self,
        request: &Message,
        address_index: usize,
        stale_reads: &mut usize,
    ) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let mut lag = Duration::ZERO;
        if request.query("staleOk") == "1" {
            let lagging_first = address_index == state.lagging_first;
            let is_lagging = (*stale_reads % 2 == 0) == lagging_first;
            *stale_reads += 1;
            lag = if is_lagging {
                state.lag
            } else {
                Duration::ZERO
            };
        }
        let (revision, items) = state.as_of(lag);
        let prefix = request.query("pathPrefix");
        let after = request.query("after");
        let mut rest = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page = rest.by_ref().take(PAGE_ITEMS);
        let page: Vec<String> = page.map(|(key, item)| item.to_json(key)).collect();
        let has_more = rest.next().is_some();
        let page = page.join(",");
        let body =
            format!("{{\"items\":[{page}],\"hasMore\":{has_more},\"storeRevision\":{revision}}}");
        (200, body)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let prefix = request.query("pathPrefix");
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            if state.era != era {
                return (503, String::from("{}"));
            }
            if after < state.history_start || after > state.revision {
                return (410, String::from("{}"));
            }
            let events = state.events.iter();
            let events = events.filter(|event| event.revision > after);
            let events = events.filter(|event| event.key.starts_with(prefix));
            let events: Vec<String> = events.map(Event::to_json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                );
            }
            let (next, _) = self.state.1.wait_timeout(state, deadline - now).unwrap();
            state = next;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(call) = Json::parse(&request.body) else {
            return (400, String::from("{}"));
        };
        let list = |name: &str| call.get(name).map(Json::list).unwrap_or_default().to_vec();
        let mut state = self.state.0.lock().unwrap();
        for expected in list("expect") {
            let key = expected.get("key").map(Json::text).unwrap_or_default();
            let revision = expected.get("revision").map_or(0, Json::number);
            let current = state.items.get(key).map_or(0, |item| item.revision);
            if current != revision {
                return (412, String::from("{\"items\":[]}"));
            }
        }
        let puts = list("puts");
        for put in &puts {
            let lease = put.get("lease").map_or(0, Json::number);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, String::from("{}"));
            }
        }
        for put in &puts {
            let key = put.get("key").map(Json::text).unwrap_or_default();
            let value = put.get("value").map(Json::text).unwrap_or_default();
            let lease = put.get("lease").map_or(0, Json::number);
            let value = from_base64(value).unwrap_or_default();
            state.put(key, value, lease);
        }
        for key in list("remove") {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, request: &Message) -> (u16, String) {
        let call = Json::parse(&request.body);
        let ttl_ms = call.as_ref().and_then(|call| call.get("ttlMs"));
        let ttl_ms = ttl_ms.map_or(1_000, Json::number).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.state.0.lock().unwrap();
        state.last_lease += 1;
        let id = state.last_lease;
        let ends_at = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, ends_at });
        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
    }

    fn renew(&self, id: Option<&str>) -> (u16, String) {
        let id = id.and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, String::from("{}")),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(String::from(key), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.events.push(Event {
            key: String::from(key),
            item,
            revision: self.revision,
            at: Instant::now(),
        });
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Returns the revision and the items of a copy that is `lag` behind.
    fn as_of(&self, lag: Duration) -> (u64, BTreeMap<String, Item>) {
        if lag.is_zero() {
            return (self.revision, self.items.clone());
        }
        let now = Instant::now();
        let mut items = BTreeMap::new();
        let mut revision = 1;
        for event in &self.events {
            if now.duration_since(event.at) < lag {
                break;
            }
            revision = event.revision;
            match &event.item {
                Some(item) => items.insert(event.key.clone(), item.clone()),
                None => items.remove(&event.key),
            };
        }
        (revision, items)
    }
}

impl Item {
    fn to_json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
            quote(key),
            to_base64(&self.value),
            self.revision,
            self.created,
            self.lease
        )
    }
}

impl Event {
    fn to_json(&self) -> String {
        match &self.item {
            Some(item) => item.to_json(&self.key),
            None => format!(
                "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                quote(&self.key),
                self.revision
            ),
        }
    }
}
