//! The handling of API calls by the simulated store.

use std::time::Duration;
use std::time::Instant;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;
use tiny_http::Method;

use super::counts::Counts;
use super::counts::Kind;
use super::faults::Faults;
use super::kv::Entry;
use super::kv::Guard;
use super::kv::Kv;
use super::kv::MAX_VALUE_BYTES;
use super::list::List;
use crate::server::Answer;
use crate::server::Exchange;

/// Default and maximum wait time of a blocking read.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
const MAX_WAIT: Duration = Duration::from_secs(600);

/// The state of the simulated store.
#[derive(Default)]
pub(super) struct State {
    pub(super) kv: Kv,
    stale: Option<Kv>,
    pub(super) list: List,
    pub(super) faults: Faults,
    pub(super) counts: Counts,
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

/// A read that may block until a change.
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

/// The result of handling a call.
pub(super) enum Outcome {
    Answer(Exchange, Answer),
    BreakOff(Exchange),
    Parked,
}

impl State {
    pub(super) fn counts(&self) -> Counts {
        let mut counts = self.counts.clone();
        counts.waiting = self.waiting.len();
        counts
    }

    pub(super) fn set_faults(&mut self, faults: Faults) {
        if faults.stale_reads && self.stale.is_none() {
            self.stale = Some(self.kv.clone());
        }
        if !faults.stale_reads {
            self.stale = None;
        }
        self.faults = faults;
    }

    pub(super) fn call(&mut self, exchange: Exchange, start: Instant) -> Outcome {
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

    pub(super) fn take_ready(&mut self, now: Instant) -> Vec<Outcome> {
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

    /// Returns the index of the last change to the data that `read` selects.
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

/// Parses a duration such as `500ms`, `10s` or `5m`.
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
