//! The handling of API calls by the simulated store.

use std::time::Duration;
use std::time::Instant;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;
use tiny_http::Method;

use super::counts::CallKind;
use super::counts::StoreCounts;
use super::faults::StoreFaults;
use super::kv::Entry;
use super::kv::Kv;
use super::kv::WritePrecondition;
use super::kv::MAX_VALUE_BYTES;
use super::list::List;
use crate::server::Exchange;
use crate::server::HttpResponse;

/// Default and maximum wait time of a blocking read.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
const MAX_WAIT: Duration = Duration::from_secs(600);

/// The state of the simulated store.
#[derive(Default)]
pub(super) struct State {
    pub(super) kv: Kv,
    stale_kv: Option<Kv>,
    pub(super) list: List,
    pub(super) faults: StoreFaults,
    pub(super) counts: StoreCounts,
    writes: u64,
    sessions: u64,
    waiting: Vec<BlockedRead>,
    unanswered: Vec<Exchange>,
}

struct BlockedRead {
    read: ReadQuery,
    index: u64,
    until: Instant,
    exchange: Exchange,
}

/// A read that may block until a change.
#[derive(Clone, Debug)]
enum ReadQuery {
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
pub(super) enum CallOutcome {
    Answer(Exchange, HttpResponse),
    BreakOff(Exchange),
    Pending,
}

impl State {
    pub(super) fn counts(&self) -> StoreCounts {
        let mut counts = self.counts.clone();
        counts.waiting = self.waiting.len();
        counts
    }

    pub(super) fn set_faults(&mut self, faults: StoreFaults) {
        if faults.stale_reads && self.stale_kv.is_none() {
            self.stale_kv = Some(self.kv.clone());
        }
        if !faults.stale_reads {
            self.stale_kv = None;
        }
        self.faults = faults;
    }

    pub(super) fn handle_call(&mut self, exchange: Exchange, start: Instant) -> CallOutcome {
        let Some(kind) = call_kind(&exchange) else {
            return CallOutcome::Answer(exchange, HttpResponse::not_found());
        };
        self.counts.add(kind, start);
        if self.faults.hang {
            self.counts.faulted += 1;
            self.unanswered.push(exchange);
            return CallOutcome::Pending;
        }
        if self.faults.down {
            self.counts.faulted += 1;
            return CallOutcome::Answer(exchange, no_leader_answer());
        }
        match kind {
            CallKind::Read | CallKind::Watch | CallKind::ListRead | CallKind::ListWatch => {
                self.handle_read(exchange)
            }
            CallKind::Write => {
                let answer = self.handle_write(&exchange);
                self.answer_unless_lost(exchange, answer)
            }
            CallKind::Session => {
                let answer = self.handle_session_call(&exchange);
                self.answer_unless_lost(exchange, answer)
            }
            CallKind::Register => {
                let answer = self.handle_list_change(&exchange);
                CallOutcome::Answer(exchange, answer)
            }
        }
    }

    fn answer_unless_lost(&mut self, exchange: Exchange, answer: HttpResponse) -> CallOutcome {
        self.writes += 1;
        let loss_interval = self.faults.lose_answers_every;
        if loss_interval > 0 && self.writes % loss_interval == 0 {
            self.counts.faulted += 1;
            return CallOutcome::BreakOff(exchange);
        }
        CallOutcome::Answer(exchange, answer)
    }

    fn handle_read(&mut self, exchange: Exchange) -> CallOutcome {
        let Some(read) = ReadQuery::of(&exchange) else {
            return CallOutcome::Answer(exchange, HttpResponse::not_found());
        };
        let index = parse_number_param(&exchange, "index").unwrap_or(0);
        if index == 0 || self.index_of(&read) > index {
            let answer = self.answer_read(&read);
            return CallOutcome::Answer(exchange, answer);
        }
        let wait = exchange.query_param("wait").and_then(parse_duration);
        let wait = wait.unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
        self.waiting.push(BlockedRead {
            read,
            index,
            until: Instant::now() + wait,
            exchange,
        });
        CallOutcome::Pending
    }

    pub(super) fn take_completed_reads(&mut self, now: Instant) -> Vec<CallOutcome> {
        let mut ready = Vec::new();
        if !self.faults.hang {
            let unanswered = self.unanswered.drain(..);
            ready.extend(
                unanswered.map(|exchange| CallOutcome::Answer(exchange, no_leader_answer())),
            );
        }
        if self.faults.hang {
            return ready;
        }
        for waiting in std::mem::take(&mut self.waiting) {
            if self.faults.down {
                self.counts.faulted += 1;
                ready.push(CallOutcome::Answer(waiting.exchange, no_leader_answer()));
            } else if self.index_of(&waiting.read) > waiting.index || waiting.until <= now {
                let answer = self.answer_read(&waiting.read);
                ready.push(CallOutcome::Answer(waiting.exchange, answer));
            } else {
                self.waiting.push(waiting);
            }
        }
        ready
    }

    /// Returns the index of the last change to the data that `read` selects.
    fn index_of(&self, read: &ReadQuery) -> u64 {
        match read {
            ReadQuery::Keys { key, recurse, .. } => {
                self.visible_kv().last_change_index(key, *recurse)
            }
            ReadQuery::List { .. } => self.list.index(),
        }
    }

    fn visible_kv(&self) -> &Kv {
        self.stale_kv.as_ref().unwrap_or(&self.kv)
    }

    fn answer_read(&self, read: &ReadQuery) -> HttpResponse {
        match read {
            ReadQuery::List {
                service,
                passing_only,
            } => {
                let entries = self.list.entries(service, *passing_only);
                with_index(HttpResponse::json(200, &entries), self.list.index())
            }
            ReadQuery::Keys {
                key,
                recurse,
                raw,
                names_only,
            } => {
                let kv = self.visible_kv();
                let index = match kv.last_change_index(key, *recurse || *names_only) {
                    0 => kv.index(),
                    index => index,
                };
                with_index(key_answer(kv, key, *recurse, *raw, *names_only), index)
            }
        }
    }

    fn handle_write(&mut self, exchange: &Exchange) -> HttpResponse {
        let key = exchange.path.trim_start_matches("/v1/kv/");
        let cas = parse_number_param(exchange, "cas");
        if *exchange.method() == Method::Delete {
            if exchange.query_param("recurse").is_some() {
                self.kv.delete_prefix(key);
                return HttpResponse::json(200, &true);
            }
            return HttpResponse::json(200, &self.kv.delete(key, cas));
        }
        if exchange.body.len() > MAX_VALUE_BYTES {
            let message = format!("Value for key {key:?} is too large");
            return HttpResponse::bytes(413, message.into_bytes());
        }
        let acquire = exchange.query_param("acquire");
        let precondition = match (cas, acquire, exchange.query_param("release")) {
            (Some(index), _, _) => WritePrecondition::Index(index),
            (_, Some(session), _) => WritePrecondition::Acquire(session.to_owned()),
            (_, _, Some(session)) => WritePrecondition::Release(session.to_owned()),
            (None, None, None) => WritePrecondition::Always,
        };
        let written = self.kv.put(key, exchange.body.clone(), &precondition);
        HttpResponse::json(200, &written)
    }

    fn handle_session_call(&mut self, exchange: &Exchange) -> HttpResponse {
        let now = Instant::now();
        let path = exchange.path.trim_start_matches("/v1/session/");
        match path.split_once('/').unwrap_or((path, "")) {
            ("create", _) => {
                let request: SessionRequest = exchange.json().unwrap_or_default();
                self.sessions += 1;
                let id = format!("00000000-0000-4000-8000-{:012x}", self.sessions);
                let ttl = request.ttl.as_deref().and_then(parse_duration);
                let delete_keys = request.behavior.as_deref() == Some("delete");
                self.kv.create_session(&id, ttl, delete_keys, now);
                HttpResponse::json(200, &json!({"ID": id}))
            }
            ("renew", id) if self.kv.renew_session(id, now) => {
                HttpResponse::json(200, &json!([{"ID": id}]))
            }
            ("destroy", id) => {
                self.kv.destroy_session(id);
                HttpResponse::json(200, &true)
            }
            _ => HttpResponse::not_found(),
        }
    }

    fn handle_list_change(&mut self, exchange: &Exchange) -> HttpResponse {
        let now = Instant::now();
        let path = exchange.path.trim_start_matches("/v1/agent/");
        if path == "service/register" {
            return match exchange.json() {
                Ok(registration) => {
                    self.list.register(registration, now);
                    HttpResponse::bytes(200, Vec::new())
                }
                Err(err) => HttpResponse::bad_request(err),
            };
        }
        if let Some(id) = path.strip_prefix("service/deregister/") {
            self.list.deregister(id, now);
        } else if let Some(id) = path.strip_prefix("check/pass/service:") {
            self.list.set_check(id, true, now);
        } else if let Some(id) = path.strip_prefix("check/fail/service:") {
            self.list.set_check(id, false, now);
        } else {
            return HttpResponse::not_found();
        }
        HttpResponse::bytes(200, Vec::new())
    }
}

#[derive(Debug, Default, Deserialize)]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: Option<String>,
    #[serde(rename = "Behavior")]
    behavior: Option<String>,
}

impl ReadQuery {
    fn of(exchange: &Exchange) -> Option<ReadQuery> {
        let has = |name: &str| exchange.query_param(name).is_some();
        if let Some(key) = exchange.path.strip_prefix("/v1/kv/") {
            return Some(ReadQuery::Keys {
                key: key.to_owned(),
                recurse: has("recurse"),
                raw: has("raw"),
                names_only: has("keys"),
            });
        }
        let service = exchange.path.strip_prefix("/v1/health/service/")?;
        Some(ReadQuery::List {
            service: service.to_owned(),
            passing_only: has("passing"),
        })
    }
}

fn call_kind(exchange: &Exchange) -> Option<CallKind> {
    let waits = parse_number_param(exchange, "index").is_some_and(|index| index > 0);
    let path = exchange.path.as_str();
    match exchange.method() {
        Method::Get if path.starts_with("/v1/kv/") && waits => Some(CallKind::Watch),
        Method::Get if path.starts_with("/v1/kv/") => Some(CallKind::Read),
        Method::Get if path.starts_with("/v1/health/service/") && waits => {
            Some(CallKind::ListWatch)
        }
        Method::Get if path.starts_with("/v1/health/service/") => Some(CallKind::ListRead),
        Method::Put | Method::Delete if path.starts_with("/v1/kv/") => Some(CallKind::Write),
        Method::Put if path.starts_with("/v1/session/") => Some(CallKind::Session),
        Method::Put if path.starts_with("/v1/agent/") => Some(CallKind::Register),
        _ => None,
    }
}

fn key_answer(kv: &Kv, key: &str, recurse: bool, raw: bool, names_only: bool) -> HttpResponse {
    if names_only {
        let names: Vec<&String> = kv.range(key).map(|(name, _)| name).collect();
        return match names.is_empty() {
            true => HttpResponse::bytes(404, Vec::new()),
            false => HttpResponse::json(200, &names),
        };
    }
    let found: Vec<(&str, &Entry)> = if recurse {
        let range = kv.range(key);
        range.map(|(name, entry)| (name.as_str(), entry)).collect()
    } else {
        kv.get(key).map(|entry| (key, entry)).into_iter().collect()
    };
    match found.first() {
        None => HttpResponse::bytes(404, Vec::new()),
        Some((_, entry)) if raw && !recurse => HttpResponse::bytes(200, entry.value.clone()),
        Some(_) => {
            let entries = found.iter().map(|(name, entry)| entry_json(name, entry));
            HttpResponse::json(200, &entries.collect::<Vec<Value>>())
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

fn with_index(answer: HttpResponse, index: u64) -> HttpResponse {
    answer.with_header("X-Consul-Index", index.to_string())
}

fn no_leader_answer() -> HttpResponse {
    HttpResponse::bytes(500, b"No cluster leader".to_vec())
}

fn parse_number_param(exchange: &Exchange, param: &str) -> Option<u64> {
    exchange.query_param(param)?.parse().ok()
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
