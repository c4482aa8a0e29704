//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::util::{base64, response, Json, Wire};

const PAGE_ITEMS_MAX: usize = 200;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
    era: u64,
    /// First revision after which changes are known.
    history_from: u64,
    mode: Mode,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Serving,
    /// Every call gets 503.
    Busy,
}

/// A copy of the store's content.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let state = State { revision: 10, next_lease: 77_000, era: 1, ..State::default() };
        let store = Store { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().remove(key);
        changed.notify_all();
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { revision: state.revision, items: state.items.clone() }
    }

    /// Restores the store from a copy; leases and leased items are gone.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.items.retain(|_, item| item.lease == 0);
        state.leases.clear();
        state.events.clear();
        state.history_from = copy.revision;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(request) = wire.read_request() {
            let Some((status, body, era)) = self.answer(request.word(0), request.word(1), &request.body) else {
                return;
            };
            let era = era.to_string();
            let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
            if wire.write(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> Option<(&'static str, String, u64)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value)).unwrap_or_default()
        };
        let mut state = self.state.0.lock().unwrap();
        if state.mode == Mode::Busy {
            return Some(("503 Service Unavailable", String::from("{}"), state.era));
        }
        state.expire();
        let era = state.era;
        let (status, body) = match (method, path) {
            ("GET", "/kv-range") => ("200 OK", state.range(&param("pathPrefix"), &param("after"))),
            ("GET", "/kv-watch") => {
                let prefix = param("pathPrefix");
                let after: u64 = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    if state.era != era || state.mode != Mode::Serving {
                        return None;
                    }
                    state.expire();
                    if after < state.history_from || after > state.revision {
                        break ("410 Gone", String::from("{}"));
                    }
                    let events: Vec<String> = state.events.iter()
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                        .map(Event::json).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), state.revision);
                        break ("200 OK", body);
                    }
                    let wait = left.min(Duration::from_millis(100));
                    state = self.state.1.wait_timeout(state, wait).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let json = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
                let holds = json.get("expect").list().iter().all(|row| {
                    let item = state.items.get(row.get("key").text());
                    item.map_or(0, |item| item.revision) == row.get("revision").number()
                });
                let has_leases = json.get("puts").list().iter().all(|put| {
                    let lease = put.get("lease").number();
                    lease == 0 || state.leases.contains_key(&lease)
                });
                if !holds {
                    ("412 Precondition Failed", String::from("{\"items\":[]}"))
                } else if !has_leases {
                    ("404 Not Found", String::from("{}"))
                } else {
                    for put in json.get("puts").list() {
                        state.put(put.get("key").text(), put.get("value").text().to_string(), put.get("lease").number());
                    }
                    for key in json.get("remove").list() {
                        state.remove(key.text());
                    }
                    ("200 OK", format!("{{\"revision\":{}}}", state.revision))
                }
            }
            ("POST", "/kv-lease") => {
                let json = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
                let ttl_ms = json.get("ttlMs").number();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl_ms, Instant::now() + Duration::from_millis(ttl_ms)));
                ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path[9..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl_ms, until)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl_ms);
                        ("200 OK", format!("{{\"ttlMs\":{ttl_ms}}}"))
                    }
                    None => ("404 Not Found", String::from("{}")),
                }
            }
            _ => ("404 Not Found", String::from("{}")),
        };
        let era = state.era;
        drop(state);
        self.state.1.notify_all();
        Some((status, body, era))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.events.push(Event { key: key.to_string(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event { key: key.to_string(), revision: self.revision, item: None });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
        let has_more = items.len() > PAGE_ITEMS_MAX;
        items.truncate(PAGE_ITEMS_MAX);
        format!("{{\"items\":[{}],\"hasMore\":{has_more},\"storeRevision\":{}}}", items.join(","), self.revision)
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

impl Event {
    fn json(&self) -> String {
        match &self.item {
            Some(item) => item.json(&self.key),
            None => format!("{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}", self.key, self.revision),
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|code| std::str::from_utf8(code).ok());
        match (bytes[at], code.and_then(|code| u8::from_str_radix(code, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
