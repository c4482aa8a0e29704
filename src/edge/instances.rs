//! Port for other instances, which receives envelopes of the internal protocol.
//!
//! An envelope is acknowledged as soon as it is in the node's queue. Its messages are answered
//! later by separate messages.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlockrouter_config::SecretKey;
use hemlockrouter_wire::Envelope;

use crate::edge::tiny::HttpAnswer;
use crate::edge::tiny::HttpRequest;
use crate::edge::tiny::ServerOptions;
use crate::edge::tiny::TrustedHttpServer;
use crate::metrics::Metrics;
use crate::node::Event;
use crate::node::Mailbox;

/// Path to which envelopes are posted.
pub(crate) const ENVELOPE_PATH: &str = "/v1/envelope";

/// Maximum size of an envelope, in bytes.
const ENVELOPE_MAX_BYTES: u64 = 16 << 20;

/// Interval at which the server connects to itself, and thus the maximum time that a new connection
/// waits for a thread. Instances have few connections and keep them open, so only the first message
/// after a pause can be delayed.
const SELF_CONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the server of the port.
///
/// # Errors
///
/// Returns the error of the socket or of starting a thread.
pub(crate) fn start(
    address: SocketAddr,
    threads: usize,
    key: SecretKey,
    mailbox: Mailbox,
    metrics: Arc<Metrics>,
) -> io::Result<TrustedHttpServer> {
    let handler = move |request| handle(&request, &key, &mailbox, &metrics);
    let options = ServerOptions {
        threads,
        body_max_bytes: ENVELOPE_MAX_BYTES,
        self_connect_interval: SELF_CONNECT_INTERVAL,
    };
    TrustedHttpServer::start("instances", address, options, handler)
}

fn handle(
    request: &HttpRequest,
    key: &SecretKey,
    mailbox: &Mailbox,
    metrics: &Metrics,
) -> HttpAnswer {
    if !request.is_authorized(key) {
        return HttpAnswer::text(401, "the instances' key is missing or wrong");
    }
    if request.path != ENVELOPE_PATH || request.method != "POST" {
        return HttpAnswer::text(404, format!("post envelopes to {ENVELOPE_PATH}"));
    }
    match Envelope::decode(&request.body) {
        Ok(envelope) => {
            let count = envelope.messages.len() as u64;
            if !mailbox.try_put(Event::Envelope(envelope)) {
                return HttpAnswer::text(
                    503,
                    "the node is behind; nothing of the envelope was taken",
                );
            }
            metrics.count_messages(count);
            HttpAnswer::empty(204)
        }
        Err(error) => HttpAnswer::text(400, error.to_string()),
    }
}
