//! A stand-in for the platform's store and its instance list.
//!
//! It speaks the parts of Consul's published HTTP API that the tier uses: keys with
//! compare-and-swap, sessions that hold locks, reads that wait for a change, and the health
//! endpoint as the list. It keeps everything in memory. Its faults are those that the platform is
//! known for: outages, slowness, writes that take effect while their answer is lost, stale reads,
//! and a list that lags.
//!
//! Two paths are its own: `PUT /lab/faults` takes [`Faults`] (fields left out keep their value)
//! and `GET /lab/counts` returns [`Counts`].

mod counts;
mod kv;
mod list;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;
use tiny_http::Method;

pub use self::counts::Counts;
pub use self::counts::Kind;
pub use self::kv::MAX_VALUE_BYTES;
pub use self::list::Registration;

use self::kv::Entry;
use self::kv::Guard;
use self::kv::Kv;
use self::list::List;
use crate::server::overlay;
use crate::server::Answer;
use crate::server::Exchange;
use crate::server::Server;
use crate::server::ServerOptions;
use crate::timer::Timer;

/// How often sessions, the list's lag and waiting reads are looked at, in milliseconds.
const TICK_MS: u64 = 20;

/// How long a read waits when it doesn't say, and the longest that it may wait.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
const MAX_WAIT: Duration = Duration::from_secs(600);

/// How the store's stand-in runs.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The faults to start with.
    pub faults: Faults,
}

/// What goes wrong.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with status 500, and waiting reads fail too.
    pub down: bool,
    /// No call is answered until this is cleared; then they fail.
    pub hang: bool,
    /// Every answer is this late, in milliseconds.
    pub delay_ms: u64,
    /// One in so many writes takes effect without an answer; 0 for none.
    pub lose_answers_every: u64,
    /// The list shows changes this late, in milliseconds.
    pub list_lag_ms: u64,
    /// Reads of keys see what was stored when this was set.
    pub stale_reads: bool,
}

/// The running stand-in. It stops when dropped.
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub fn start(options: StoreOptions) -> eyre::Result<Store> {
        let timer = Timer::start();
        let shared = Arc::new(Shared {
            start: Instant::now(),
            timer: timer.clone(),
            state: Mutex::new(State {
                faults: options.faults,
                ..State::default()
            }),
        });
        tick(Arc::downgrade(&shared), timer);
        let handler = Arc::clone(&shared);
        let server = Server::start(options.listen, ServerOptions::default(), move |exchange| {
            Shared::serve(&handler, exchange);
        })?;
        Ok(Store { server, shared })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns what was counted.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts()
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().set_faults(faults);
    }

    /// Returns what goes wrong.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults.clone()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        state.kv.get(key).map(|entry| entry.value.clone())
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        state.kv.range(prefix).map(|(key, _)| key.clone()).collect()
    }
}

struct Shared {
    start: Instant,
    timer: Timer,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    kv: Kv,
    stale: Option<Kv>,
    list: List,
    faults: Faults,
    counts: Counts,
    writes: u64,
    sessions: u64,
    waiting: Vec<Waiting>,
    hanging: Vec<Exchange>,
}

struct Waiting {
    read: Read,
    index: u64,
    until: Instant,
    exchange: Exchange,
}

/// A read that may wait.
#[derive(Clone, Debug)]
enum Read {
    Keys {
        key: String,
        recurse: bool,
        raw: bool,
        names_only: bool,
    },
    List {
        service: String,
        passing_only: bool,
    },
}

/// What becomes of a call.
enum Outcome {
    Answer(Exchange, Answer),
    BreakOff(Exchange),
    Parked,
}

fn tick(shared: std::sync::Weak<Shared>, timer: Timer) {
    let again = timer.clone();
    timer.after(Duration::from_millis(TICK_MS), move || {
        if let Some(live) = shared.upgrade() {
            live.on_tick();
            tick(shared, again);
        }
    });
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics under the lock")
    }

    fn serve(shared: &Arc<Shared>, exchange: Exchange) {
        if exchange.path.starts_with("/lab/") {
            let answer = shared.control(&exchange);
            exchange.answer(answer);
            return;
        }
        let (outcome, delay_ms) = {
            let mut state = shared.lock();
            let outcome = state.call(exchange, shared.start);
            (outcome, state.faults.delay_ms)
        };
        shared.send(outcome, delay_ms);
        // A write may have been what others wait for.
        shared.wake();
    }

    fn control(&self, exchange: &Exchange) -> Answer {
        let mut state = self.lock();
        match (exchange.method(), exchange.path.as_str()) {
            (Method::Get, "/lab/counts") => Answer::json(200, &state.counts()),
            (Method::Delete, "/lab/counts") => {
                state.counts = Counts::default();
                Answer::json(200, &true)
            }
            (Method::Get, "/lab/faults") => Answer::json(200, &state.faults),
            (Method::Put, "/lab/faults") => match exchange
                .json()
                .and_then(|fields| overlay(&state.faults, fields))
            {
                Ok(faults) => {
                    state.set_faults(faults);
                    Answer::json(200, &state.faults)
                }
                Err(err) => Answer::bad_request(err),
            },
            _ => Answer::not_found(),
        }
    }

    fn send(&self, outcome: Outcome, delay_ms: u64) {
        let act: Box<dyn FnOnce() + Send> = match outcome {
            Outcome::Answer(exchange, answer) => Box::new(move || exchange.answer(answer)),
            Outcome::BreakOff(exchange) => Box::new(move || exchange.break_off()),
            Outcome::Parked => return,
        };
        if delay_ms == 0 {
            act();
        } else {
            self.timer.after(Duration::from_millis(delay_ms), act);
        }
    }

    fn on_tick(&self) {
        let now = Instant::now();
        {
            let mut state = self.lock();
            state.kv.expire_sessions(now);
            let lag = Duration::from_millis(state.faults.list_lag_ms);
            state.list.advance(lag, now);
        }
        self.wake();
    }

    fn wake(&self) {
        let (ready, delay_ms) = {
            let mut state = self.lock();
            (state.take_ready(Instant::now()), state.faults.delay_ms)
        };
        for outcome in ready {
            self.send(outcome, delay_ms);
        }
    }
}

impl State {
    fn counts(&self) -> Counts {
        let mut counts = self.counts.clone();
        counts.waiting = self.waiting.len();
        counts
    }

    fn set_faults(&mut self, faults: Faults) {
        if faults.stale_reads && self.stale.is_none() {
            self.stale = Some(self.kv.clone());
        }
        if !faults.stale_reads {
            self.stale = None;
        }
        self.faults = faults;
    }

    fn call(&mut self, exchange: Exchange, start: Instant) -> Outcome {
        let Some(kind) = kind_of(&exchange) else {
            return Outcome::Answer(exchange, Answer::not_found());
        };
        self.counts.add(kind, start);
        if self.faults.hang {
            self.counts.faulted += 1;
            self.hanging.push(exchange);
            return Outcome::Parked;
        }
        if self.faults.down {
            self.counts.faulted += 1;
            return Outcome::Answer(exchange, no_leader());
        }
        match kind {
            Kind::Read | Kind::Watch | Kind::ListRead | Kind::ListWatch => self.read(exchange),
            Kind::Write => {
                let answer = self.write(&exchange);
                self.lose_or_answer(exchange, answer)
            }
            Kind::Session => {
                let answer = self.session(&exchange);
                self.lose_or_answer(exchange, answer)
            }
            Kind::Register => {
                let answer = self.change_list(&exchange);
                Outcome::Answer(exchange, answer)
            }
        }
    }

    fn lose_or_answer(&mut self, exchange: Exchange, answer: Answer) -> Outcome {
        self.writes += 1;
        let every = self.faults.lose_answers_every;
        if every > 0 && self.writes % every == 0 {
            self.counts.faulted += 1;
            return Outcome::BreakOff(exchange);
        }
        Outcome::Answer(exchange, answer)
    }

    fn read(&mut self, exchange: Exchange) -> Outcome {
        let Some(read) = Read::of(&exchange) else {
            return Outcome::Answer(exchange, Answer::not_found());
        };
        let index = number(&exchange, "index").unwrap_or(0);
        if index == 0 || self.index_of(&read) > index {
            let answer = self.look_up(&read);
            return Outcome::Answer(exchange, answer);
        }
        let wait = exchange.param("wait").and_then(parse_duration);
        let wait = wait.unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
        self.waiting.push(Waiting {
            read,
            index,
            until: Instant::now() + wait,
            exchange,
        });
        Outcome::Parked
    }

    fn take_ready(&mut self, now: Instant) -> Vec<Outcome> {
        let mut ready = Vec::new();
        if !self.faults.hang {
            let hanging = self.hanging.drain(..);
            ready.extend(hanging.map(|exchange| Outcome::Answer(exchange, no_leader())));
        }
        if self.faults.hang {
            return ready;
        }
        for waiting in std::mem::take(&mut self.waiting) {
            if self.faults.down {
                self.counts.faulted += 1;
                ready.push(Outcome::Answer(waiting.exchange, no_leader()));
            } else if self.index_of(&waiting.read) > waiting.index || waiting.until <= now {
                let answer = self.look_up(&waiting.read);
                ready.push(Outcome::Answer(waiting.exchange, answer));
            } else {
                self.waiting.push(waiting);
            }
        }
        ready
    }

    /// Returns the index of the last change of what is read.
    fn index_of(&self, read: &Read) -> u64 {
        match read {
            Read::Keys { key, recurse, .. } => self.readable().changed(key, *recurse),
            Read::List { .. } => self.list.index(),
        }
    }

    fn readable(&self) -> &Kv {
        self.stale.as_ref().unwrap_or(&self.kv)
    }

    fn look_up(&self, read: &Read) -> Answer {
        match read {
            Read::List {
                service,
                passing_only,
            } => {
                let entries = self.list.entries(service, *passing_only);
                with_index(Answer::json(200, &entries), self.list.index())
            }
            Read::Keys {
                key,
                recurse,
                raw,
                names_only,
            } => {
                let kv = self.readable();
                let index = match kv.changed(key, *recurse || *names_only) {
                    0 => kv.index(),
                    index => index,
                };
                with_index(key_answer(kv, key, *recurse, *raw, *names_only), index)
            }
        }
    }

    fn write(&mut self, exchange: &Exchange) -> Answer {
        let key = exchange.path.trim_start_matches("/v1/kv/");
        let cas = number(exchange, "cas");
        if *exchange.method() == Method::Delete {
            if exchange.param("recurse").is_some() {
                self.kv.delete_prefix(key);
                return Answer::json(200, &true);
            }
            return Answer::json(200, &self.kv.delete(key, cas));
        }
        if exchange.body.len() > MAX_VALUE_BYTES {
            let message = format!("Value for key {key:?} is too large");
            return Answer::bytes(413, message.into_bytes());
        }
        let acquire = exchange.param("acquire");
        let guard = match (cas, acquire, exchange.param("release")) {
            (Some(index), _, _) => Guard::Index(index),
            (_, Some(session), _) => Guard::Acquire(session.to_owned()),
            (_, _, Some(session)) => Guard::Release(session.to_owned()),
            (None, None, None) => Guard::Always,
        };
        let written = self.kv.put(key, exchange.body.clone(), &guard);
        Answer::json(200, &written)
    }

    fn session(&mut self, exchange: &Exchange) -> Answer {
        let now = Instant::now();
        let path = exchange.path.trim_start_matches("/v1/session/");
        match path.split_once('/').unwrap_or((path, "")) {
            ("create", _) => {
                let wanted: SessionWanted = exchange.json().unwrap_or_default();
                self.sessions += 1;
                let id = format!("00000000-0000-4000-8000-{:012x}", self.sessions);
                let ttl = wanted.ttl.as_deref().and_then(parse_duration);
                let delete_keys = wanted.behavior.as_deref() == Some("delete");
                self.kv.create_session(&id, ttl, delete_keys, now);
                Answer::json(200, &json!({"ID": id}))
            }
            ("renew", id) if self.kv.renew_session(id, now) => {
                Answer::json(200, &json!([{"ID": id}]))
            }
            ("destroy", id) => {
                self.kv.destroy_session(id);
                Answer::json(200, &true)
            }
            _ => Answer::not_found(),
        }
    }

    fn change_list(&mut self, exchange: &Exchange) -> Answer {
        let now = Instant::now();
        let path = exchange.path.trim_start_matches("/v1/agent/");
        if path == "service/register" {
            return match exchange.json() {
                Ok(registration) => {
                    self.list.register(registration, now);
                    Answer::bytes(200, Vec::new())
                }
                Err(err) => Answer::bad_request(err),
            };
        }
        if let Some(id) = path.strip_prefix("service/deregister/") {
            self.list.deregister(id, now);
        } else if let Some(id) = path.strip_prefix("check/pass/service:") {
            self.list.check(id, true, now);
        } else if let Some(id) = path.strip_prefix("check/fail/service:") {
            self.list.check(id, false, now);
        } else {
            return Answer::not_found();
        }
        Answer::bytes(200, Vec::new())
    }
}

#[derive(Debug, Default, Deserialize)]
struct SessionWanted {
    #[serde(rename = "TTL")]
    ttl: Option<String>,
    #[serde(rename = "Behavior")]
    behavior: Option<String>,
}

impl Read {
    fn of(exchange: &Exchange) -> Option<Read> {
        let has = |name: &str| exchange.param(name).is_some();
        if let Some(key) = exchange.path.strip_prefix("/v1/kv/") {
            return Some(Read::Keys {
                key: key.to_owned(),
                recurse: has("recurse"),
                raw: has("raw"),
                names_only: has("keys"),
            });
        }
        let service = exchange.path.strip_prefix("/v1/health/service/")?;
        Some(Read::List {
            service: service.to_owned(),
            passing_only: has("passing"),
        })
    }
}

fn kind_of(exchange: &Exchange) -> Option<Kind> {
    let waits = number(exchange, "index").is_some_and(|index| index > 0);
    let path = exchange.path.as_str();
    match exchange.method() {
        Method::Get if path.starts_with("/v1/kv/") && waits => Some(Kind::Watch),
        Method::Get if path.starts_with("/v1/kv/") => Some(Kind::Read),
        Method::Get if path.starts_with("/v1/health/service/") && waits => Some(Kind::ListWatch),
        Method::Get if path.starts_with("/v1/health/service/") => Some(Kind::ListRead),
        Method::Put | Method::Delete if path.starts_with("/v1/kv/") => Some(Kind::Write),
        Method::Put if path.starts_with("/v1/session/") => Some(Kind::Session),
        Method::Put if path.starts_with("/v1/agent/") => Some(Kind::Register),
        _ => None,
    }
}

fn key_answer(kv: &Kv, key: &str, recurse: bool, raw: bool, names_only: bool) -> Answer {
    if names_only {
        let names: Vec<&String> = kv.range(key).map(|(name, _)| name).collect();
        return match names.is_empty() {
            true => Answer::bytes(404, Vec::new()),
            false => Answer::json(200, &names),
        };
    }
    let found: Vec<(&str, &Entry)> = if recurse {
        let range = kv.range(key);
        range.map(|(name, entry)| (name.as_str(), entry)).collect()
    } else {
        kv.get(key).map(|entry| (key, entry)).into_iter().collect()
    };
    match found.first() {
        None => Answer::bytes(404, Vec::new()),
        Some((_, entry)) if raw && !recurse => Answer::bytes(200, entry.value.clone()),
        Some(_) => {
            let entries = found.iter().map(|(name, entry)| entry_json(name, entry));
            Answer::json(200, &entries.collect::<Vec<Value>>())
        }
    }
}

fn entry_json(key: &str, entry: &Entry) -> Value {
    let mut fields = json!({
        "Key": key,
        "Flags": 0,
        "LockIndex": entry.lock_index,
        "CreateIndex": entry.create_index,
        "ModifyIndex": entry.modify_index,
        "Value": STANDARD.encode(&entry.value),
    });
    if let Some(session) = &entry.session {
        fields["Session"] = json!(session);
    }
    fields
}

fn with_index(answer: Answer, index: u64) -> Answer {
    answer.with_header("X-Consul-Index", index.to_string())
}

fn no_leader() -> Answer {
    Answer::bytes(500, b"No cluster leader".to_vec())
}

fn number(exchange: &Exchange, param: &str) -> Option<u64> {
    exchange.param(param)?.parse().ok()
}

/// Reads a duration such as `500ms`, `10s` or `5m`.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let amount: u64 = digits.parse().ok()?;
    match &text[digits.len()..] {
        "ms" => Some(Duration::from_millis(amount)),
        "" | "s" => Some(Duration::from_secs(amount)),
        "m" => Some(Duration::from_secs(amount * 60)),
        _ => None,
    }
}
