//! HTTP server of the operators' port.
//!
//! The platform's probes (`/livez`, `/readyz`, `/metrics`) need no key. All other paths need the
//! operators' key. A call that waits for the platform blocks a thread of this port, but does not
//! block the node.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use hemlockrouter_config::Note;
use hemlockrouter_config::SecretKey;
use hemlockrouter_platform::notes;
use hemlockrouter_platform::notes::Submission;
use hemlockrouter_platform::Store;
use hemlockrouter_types::prelude::*;
use serde_json::json;

use crate::edge::tiny::HttpAnswer;
use crate::edge::tiny::HttpRequest;
use crate::edge::tiny::ServerOptions;
use crate::edge::tiny::TrustedHttpServer;
use crate::metrics::Metrics;
use crate::node::operator::OperatorCall;
use crate::node::operator::OperatorReply;
use crate::node::operator::OperatorRequest;
use crate::node::status::SharedStatus;
use crate::node::Event;
use crate::node::Mailbox;
use crate::outbound::platform::PlatformHandle;

/// Number of threads of this port.
const OPERATORS_THREADS: usize = 4;

/// Maximum body size in bytes. It exceeds the limit on release notes, so that the check can report
/// a note that is too large.
const NOTE_BODY_MAX_BYTES: u64 = 2 << 20;

/// Interval at which the server connects to itself, and thus the maximum time that a new connection
/// waits for a thread. Operators' calls are not sensitive to latency.
const SELF_CONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time to wait for an answer of the node.
const NODE_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time that other instances have to report their configuration numbers before the status is
/// returned.
const PROBE_REPLY_WAIT: Duration = Duration::from_millis(200);

/// Retry-after time while the store is down, in milliseconds.
const STORE_DOWN_RETRY_AFTER_MS: u32 = 2_000;

/// Handler of the operators' calls, with its dependencies.
pub(crate) struct OperatorsHandler {
    pub(crate) key: SecretKey,
    pub(crate) mailbox: Mailbox,
    pub(crate) platform: PlatformHandle,
    pub(crate) shared_status: Arc<SharedStatus>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Starts the server of the port.
///
/// # Errors
///
/// Returns the error of the socket or of starting a thread.
pub(crate) fn start(
    address: SocketAddr,
    operators: OperatorsHandler,
) -> io::Result<TrustedHttpServer> {
    let handler = move |request: HttpRequest| operators.handle(&request);
    let options = ServerOptions {
        threads: OPERATORS_THREADS,
        body_max_bytes: NOTE_BODY_MAX_BYTES,
        self_connect_interval: SELF_CONNECT_INTERVAL,
    };
    TrustedHttpServer::start("operators", address, options, handler)
}

impl OperatorsHandler {
    fn handle(&self, request: &HttpRequest) -> HttpAnswer {
        let path = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/livez") => return HttpAnswer::text(200, "alive\n"),
            ("GET", "/readyz") => return self.readyz(),
            ("GET", "/metrics") => return HttpAnswer::text(200, self.metrics.encode_text()),
            _ => {}
        }
        if !request.is_authorized(&self.key) {
            return error_answer(
                401,
                "unauthorized",
                "the operators' key is missing or wrong",
            );
        }
        let path_segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), path_segments.as_slice()) {
            ("POST", ["v1", "notes", "check"]) => self.check_note(&request.body),
            ("POST", ["v1", "notes"]) => self.submit_note(&request.body),
            ("GET", ["v1", "notes"]) => self.list_notes(),
            ("GET", ["v1", "notes", name]) => self.show_note(name),
            ("GET", ["v1", "status"]) => self.status(),
            ("GET", ["v1", "explain", customer, search]) => {
                self.ask_node(OperatorRequest::Explain {
                    customer: (*customer).to_owned(),
                    search: (*search).to_owned(),
                })
            }
            ("POST", ["v1", "drain", instance]) => self.ask_node(OperatorRequest::Drain {
                instance: (*instance).to_owned(),
            }),
            _ => error_answer(
                404,
                "unknown_path",
                "no such path or method on the operators' port",
            ),
        }
    }

    fn readyz(&self) -> HttpAnswer {
        match self.shared_status.not_ready_reason() {
            None => HttpAnswer::text(
                200,
                format!("ready: configuration {}\n", self.shared_status.config()),
            ),
            Some(why) => HttpAnswer::text(503, format!("not ready: {why}\n")),
        }
    }

    fn status(&self) -> HttpAnswer {
        self.ask_node(OperatorRequest::Probe);
        thread::sleep(PROBE_REPLY_WAIT);
        self.ask_node(OperatorRequest::Status)
    }

    /// Sends a question to the node and waits for the answer.
    fn ask_node(&self, request: OperatorRequest) -> HttpAnswer {
        let (sender, receiver) = sync_channel(1);
        let reply = OperatorReply::new(sender);
        let operator_call = OperatorCall { request, reply };
        if !self.mailbox.try_put(Event::Operator(operator_call)) {
            return error_answer(503, "overloaded", "the instance is behind; try again");
        }
        let answer = receiver.recv_timeout(NODE_ANSWER_TIMEOUT);
        answer
            .unwrap_or_else(|_| error_answer(504, "timeout", "the instance did not answer in time"))
    }

    fn check_note(&self, body: &[u8]) -> HttpAnswer {
        let catalog = self.platform.catalog();
        let check_result =
            Note::from_bytes(body, "note").and_then(|note| notes::check(&note, &catalog));
        match check_result {
            Ok(()) => HttpAnswer::json(200, &json!({ "number": catalog.number })),
            Err(err) => invalid_note(&err),
        }
    }

    fn submit_note(&self, body: &[u8]) -> HttpAnswer {
        let note = match Note::from_bytes(body, "note") {
            Ok(note) => note,
            Err(err) => return invalid_note(&err),
        };
        let catalog = self.platform.catalog();
        match notes::submit(self.platform.store(), &note, &catalog) {
            Submission::Accepted { number } => {
                self.platform
                    .apply_accepted_note(number, note.bytes().to_vec());
                HttpAnswer::json(200, &json!({ "number": number }))
            }
            Submission::Refused(err) => invalid_note(&err),
            Submission::Conflict { number, id, author } => {
                let body = json!({
                    "code": "conflict",
                    "message": format!("note {number} ({id}, by {author}) came first"),
                    "number": number,
                    "id": id,
                    "author": author,
                });
                HttpAnswer::json(409, &body)
            }
            Submission::Unavailable {
                may_have_taken_effect,
            } => {
                let body = json!({
                    "code": "store_down",
                    "message": "the store does not answer; submitting the same file again is safe",
                    "maybe": may_have_taken_effect,
                    "retry_after_ms": STORE_DOWN_RETRY_AFTER_MS,
                });
                HttpAnswer::json(503, &body)
            }
        }
    }

    fn list_notes(&self) -> HttpAnswer {
        let catalog = self.platform.catalog();
        let notes: Vec<serde_json::Value> = catalog
            .recent
            .iter()
            .map(|head| json!({ "number": head.number, "id": head.id, "author": head.author }))
            .collect();
        HttpAnswer::json(200, &json!({ "config": catalog.number, "notes": notes }))
    }

    fn show_note(&self, name: &str) -> HttpAnswer {
        let catalog = self.platform.catalog();
        let number_by_id = catalog.find_note(name).map(|head| head.number);
        let number = number_by_id.or_else(|| name.parse().ok().map(ConfigNumber));
        let head =
            number.and_then(|number| catalog.recent.iter().find(|recent| recent.number == number));
        let Some(head) = head else {
            return error_answer(
                404,
                "unknown_note",
                "no accepted note has this number or id",
            );
        };
        let Ok(read) = self.platform.store().get(&notes::note_key(head.number)) else {
            return error_answer(503, "store_down", "the store does not answer");
        };
        let document = read
            .entry
            .and_then(|entry| Note::from_bytes(&entry.value, "note").ok());
        let document = document.map(|note| String::from_utf8_lossy(note.bytes()).into_owned());
        let body = json!({
            "number": head.number,
            "id": head.id,
            "author": head.author,
            "document": document,
        });
        HttpAnswer::json(200, &body)
    }
}

fn invalid_note(err: &hemlockrouter_config::Error) -> HttpAnswer {
    let body = json!({
        "code": "invalid",
        "message": format!("{}: {}", err.field_path(), err.message()),
        "line": err.line(),
        "field": err.field_path(),
    });
    HttpAnswer::json(422, &body)
}

fn error_answer(status: u16, code: &str, message: &str) -> HttpAnswer {
    HttpAnswer::json(status, &json!({ "code": code, "message": message }))
}
