//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{answer, Connection, Message};
use crate::json::{base64, Json};
use crate::replica::Entry;

/// Largest number of items in a page.
const PAGE_ITEMS_MAX: usize = 500;

/// Largest size of a page, in bytes of values.
const PAGE_BYTES_MAX: usize = 1 << 20;

/// How long the history of changes is kept.
const HISTORY: Duration = Duration::from_secs(20);

/// Size of the pieces in which an answer is sent.
const PIECE_BYTES: usize = 16 << 10;

/// Latency of an answer.
const LATENCY: Duration = Duration::from_millis(4);

/// Answer of a store that is down: nothing was done.
const UNAVAILABLE: (u16, String) = (503, String::new());

#[derive(Clone)]
struct Item {
    /// The value in base64, as all calls hold it.
    value: Arc<str>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// The item as it was written; `None` for a removal.
    item: Option<Item>,
    at: Instant,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Revision up to which the history was dropped.
    dropped_revision: u64,
    leases: BTreeMap<u64, Lease>,
    /// What the entries of replicas hold beside their sequences, by key.
    entries: BTreeMap<String, String>,
    is_down: bool,
}

/// The store. Clones share one state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    /// Bandwidth of the link of each machine.
    link_mbps: u64,
}

impl Store {
    /// Starts a store on a free port of `ip`. Its answers take the time that they need on a link of
    /// `link_mbps`.
    pub fn start(ip: &str, link_mbps: u64) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("the port is bound"),
            link_mbps,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item without a lease, as the operator and the replicas do.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        let revision = state.put(key, base64(value.as_bytes()).into(), 0);
        self.state.1.notify_all();
        revision
    }

    /// Executes a write of a replica. The entry changes only if more than its sequence changes.
    pub fn write_entry(&self, entry: &Entry) {
        let mut state = self.lock();
        let key = entry.key();
        let content = entry.value_with_sequence(0);
        if state.entries.get(&key) == Some(&content) {
            return;
        }
        state.put(&key, base64(entry.value().as_bytes()).into(), 0);
        state.entries.insert(key, content);
        self.state.1.notify_all();
    }

    /// Refuses all calls from now on.
    pub fn go_down(&self) {
        self.lock().is_down = true;
        self.state.1.notify_all();
    }

    /// Answers again. All leases have run out meanwhile.
    pub fn come_back(&self) {
        let mut state = self.lock();
        state.is_down = false;
        for lease in state.leases.values_mut() {
            lease.ends_at = Instant::now();
        }
        state.expire();
        self.state.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(call) = connection.read(false) {
            thread::sleep(LATENCY);
            let (status, body) = self.handle(&call);
            let headers = [("content-type", "application/json"), ("store-era", "1")];
            let answer = answer(status, &headers, body.as_bytes());
            if self.send(&mut connection, &answer).is_err() {
                return;
            }
        }
    }

    /// Sends an answer at the pace of the link.
    fn send(&self, connection: &mut Connection, answer: &[u8]) -> io::Result<()> {
        let started_at = Instant::now();
        let mut sent_bytes = 0;
        for piece in answer.chunks(PIECE_BYTES) {
            connection.write(piece)?;
            sent_bytes += piece.len() as u64;
            let due = Duration::from_micros(sent_bytes * 8 / self.link_mbps);
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
        Ok(())
    }

    fn handle(&self, call: &Message) -> (u16, String) {
        if self.lock().is_down {
            return UNAVAILABLE;
        }
        let path = call.path();
        match (call.method(), path) {
            ("GET", "/kv-key") => self.key(call),
            ("GET", "/kv-range") => self.range(call),
            ("GET", "/kv-watch") => self.watch(call),
            ("POST", "/kv-txn") => self.transaction(call),
            ("POST", "/kv-lease") => self.grant(call),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(&path["/kv-keep/".len()..]),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                self.end(&path["/kv-lease-end/".len()..])
            }
            _ => (404, String::from("{}")),
        }
    }

    fn key(&self, call: &Message) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let key = call.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => (200, item.to_json(&key, Some(state.revision))),
            None => (404, String::from("{}")),
        }
    }

    fn range(&self, call: &Message) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let prefix = call.query("pathPrefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let items = state.items.iter();
        let items =
            items.filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
        let mut page: Vec<String> = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, item) in items {
            if page.len() >= PAGE_ITEMS_MAX || bytes > PAGE_BYTES_MAX {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            page.push(item.to_json(key, None));
        }
        let revision = state.revision;
        let page = page.join(",");
        (
            200,
            format!(r#"{{"items":[{page}],"hasMore":{has_more},"storeRevision":{revision}}}"#),
        )
    }

    fn watch(&self, call: &Message) -> (u16, String) {
        let number = |name: &str| {
            call.query(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let (after, wait_ms): (u64, u64) = (number("after"), number("waitMs"));
        let prefix = call.query("pathPrefix").unwrap_or_default();
        let ends_at = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            state.expire();
            state.forget_old();
            if state.is_down {
                return UNAVAILABLE;
            }
            if after < state.dropped_revision || after > state.revision {
                return (410, String::from("{}"));
            }
            let events = state.events.iter();
            let events =
                events.filter(|event| event.revision > after && event.key.starts_with(&prefix));
            let events: Vec<String> = events.map(Event::to_json).collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    200,
                    format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#),
                );
            }
            let wait = left.min(Duration::from_millis(100));
            let woken = self.state.1.wait_timeout(state, wait);
            state = woken.expect("no thread panics with the lock").0;
        }
    }

    fn transaction(&self, call: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&call.body) else {
            return (400, String::from("{}"));
        };
        let entries = |name: &str| body.get(name).map(Json::list).unwrap_or(&[]).to_vec();
        let text = |row: &Json, name: &str| row.get(name).map(Json::text).unwrap_or("").to_string();
        let number = |row: &Json, name: &str| row.get(name).map(Json::number).unwrap_or(0.0) as u64;
        let (expect, puts, remove) = (entries("expect"), entries("puts"), entries("remove"));
        let written = puts.iter().map(|row| text(row, "key"));
        let written = written.chain(remove.iter().map(|key| key.text().to_string()));
        if written
            .into_iter()
            .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
        {
            return (403, String::from("{}"));
        }
        let mut state = self.lock();
        state.expire();
        let is_met = |row: &Json| {
            let item = state.items.get(&text(row, "key"));
            item.map_or(0, |item| item.revision) == number(row, "revision")
        };
        if !expect.iter().all(is_met) {
            return (412, String::from(r#"{"items":[]}"#));
        }
        let mut leases = puts.iter().map(|row| number(row, "lease"));
        if leases.any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return (404, String::from("{}"));
        }
        for row in &puts {
            state.put(
                &text(row, "key"),
                text(row, "value").into(),
                number(row, "lease"),
            );
        }
        for key in &remove {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }

    fn grant(&self, call: &Message) -> (u16, String) {
        static LAST_LEASE: AtomicU64 = AtomicU64::new(7_000);
        let ttl_ms = Json::parse(&call.body).and_then(|body| Some(body.get("ttlMs")?.number()));
        let ttl_ms = ttl_ms.unwrap_or(0.0).clamp(1_000.0, 600_000.0) as u64;
        let ttl = Duration::from_millis(ttl_ms);
        let id = LAST_LEASE.fetch_add(1, Ordering::Relaxed);
        let ends_at = Instant::now() + ttl;
        self.lock().leases.insert(id, Lease { ttl, ends_at });
        (200, format!(r#"{{"lease":{id},"ttlMs":{ttl_ms}}}"#))
    }

    fn keep(&self, id: &str) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let id: u64 = id.parse().unwrap_or(0);
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, String::from("{}"))
            }
            None => (404, String::from("{}")),
        }
    }

    fn end(&self, id: &str) -> (u16, String) {
        let mut state = self.lock();
        if let Some(lease) = state.leases.get_mut(&id.parse().unwrap_or(0)) {
            lease.ends_at = Instant::now();
        }
        state.expire();
        self.state.1.notify_all();
        (200, String::from("{}"))
    }
}

impl Item {
    fn to_json(&self, key: &str, store_revision: Option<u64>) -> String {
        let Item {
            value,
            revision,
            created,
            lease,
        } = self;
        let store_revision =
            store_revision.map(|revision| format!(r#","storeRevision":{revision}"#));
        let store_revision = store_revision.unwrap_or_default();
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"createdRev":{created},"lease":{lease}{store_revision}}}"#
        )
    }
}

impl Event {
    fn to_json(&self) -> String {
        match &self.item {
            Some(item) => item.to_json(&self.key, None),
            None => format!(
                r#"{{"key":"{}","revision":{},"tombstone":true}}"#,
                self.key, self.revision
            ),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Arc<str>, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(String::from(key), item.clone());
        self.record(key, Some(item));
        revision
    }

    fn remove(&mut self, key: &str) {
        self.entries.remove(key);
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.events.push(Event {
            key: String::from(key),
            revision: self.revision,
            item,
            at: Instant::now(),
        });
    }

    /// Ends the leases that were not renewed, and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.leases.remove(&id);
            let keys = self.items.iter().filter(|(_, item)| item.lease == id);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn forget_old(&mut self) {
        let old = self
            .events
            .iter()
            .take_while(|event| event.at.elapsed() > HISTORY);
        let old = old.count();
        if let Some(last) = old.checked_sub(1) {
            self.dropped_revision = self.events[last].revision;
            self.events.drain(..old);
        }
    }
}
