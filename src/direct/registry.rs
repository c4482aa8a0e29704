//! Client for the registry and for instances that relay it.

use std::cell::Cell;
use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_edge::RestoreGeneration;
use hemlockrouter_types::prelude::*;
use http::header;
use http::response;
use http::HeaderValue;
use http::Request;
use http_body_util::Full;
use log::warn;

use super::connection::read_to_end;
use super::connection::with_timeout_ms;
use super::connection::Connection;
use super::connection::SendError;

/// Timeout for a call that does not wait for a change, in milliseconds.
pub(super) const CALL_TIMEOUT_MS: u64 = 1_000;

/// Maximum size of the body of an answer, in bytes: several times all entries.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Timeout for connecting to the registry, in milliseconds. A call that waits for a change has a
/// much longer timeout, which must not be spent waiting for a first packet that a broken link has
/// dropped.
const REGISTRY_CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Timeout for connecting to an instance, in milliseconds: a few times the round trip between
/// regions. A machine without power drops the first packet, and there are other instances to ask.
const INSTANCE_CONNECT_TIMEOUT_MS: u64 = 150;

/// Client with one connection to the registry or to an instance that relays it.
pub(super) struct RegistryClient {
    address: SocketAddr,
    connect_timeout_ms: u64,
    connection: Option<Connection>,
    /// Reason for which the last invalid generation was ignored. It is kept so that the same reason
    /// is logged only once in a row.
    ignored_generation_reason: Option<String>,
}

/// HTTP answer with its complete body.
pub(super) struct Answer {
    head: response::Parts,
    pub(super) body: Bytes,
}

impl Answer {
    /// Returns the HTTP status.
    pub(super) fn status(&self) -> u16 {
        self.head.status.as_u16()
    }
}

/// Error of a call to the registry or to a relay.
#[derive(Debug, Display)]
pub(super) enum CallError {
    /// The registry rejected the request.
    #[display("{_0}")]
    Refused(RegistryError),
    /// No usable answer was received.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The other end answered, but its answer is too large or did not arrive whole in time.
    #[display("incomplete answer: {_0}")]
    Incomplete(String),
    /// The other end has older data than this instance, or no recent contact with the registry.
    #[display("the answer is {age_ms} ms old")]
    Outdated {
        /// Age of the other end's contact with the registry, in milliseconds.
        age_ms: u64,
    },
}

impl RegistryClient {
    pub(super) fn new(address: SocketAddr) -> RegistryClient {
        RegistryClient {
            address,
            connect_timeout_ms: REGISTRY_CONNECT_TIMEOUT_MS,
            connection: None,
            ignored_generation_reason: None,
        }
    }

    /// Creates a client for an instance that relays the registry.
    pub(super) fn for_instance(address: SocketAddr) -> RegistryClient {
        RegistryClient {
            address,
            connect_timeout_ms: INSTANCE_CONNECT_TIMEOUT_MS,
            connection: None,
            ignored_generation_reason: None,
        }
    }

    /// Makes a call and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NoAnswer`] if there is no answer within `timeout_ms` milliseconds, or
    /// [`CallError::Incomplete`] if it is not whole by then.
    pub(super) async fn call(
        &mut self,
        request: Request<Bytes>,
        timeout_ms: u64,
    ) -> Result<Answer, CallError> {
        self.call_limited(request, timeout_ms, BODY_MAX_BYTES).await
    }

    /// Makes a call like [`RegistryClient::call`], whose answer has a body of at most
    /// `body_max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`RegistryClient::call`].
    pub(super) async fn call_limited(
        &mut self,
        request: Request<Bytes>,
        timeout_ms: u64,
        body_max_bytes: usize,
    ) -> Result<Answer, CallError> {
        let has_answered = Cell::new(false);
        let calling = self.try_call(request, body_max_bytes, &has_answered);
        let answer = with_timeout_ms(timeout_ms, calling).await;
        let answer = answer.unwrap_or_else(|| Err(String::from("the time is over")));
        if answer.is_err() {
            self.connection = None;
        }
        answer.map_err(match has_answered.get() {
            true => CallError::Incomplete,
            false => CallError::NoAnswer,
        })
    }

    /// Makes a call, and sets `has_answered` when the head of the answer has arrived.
    async fn try_call(
        &mut self,
        request: Request<Bytes>,
        body_max_bytes: usize,
        has_answered: &Cell<bool>,
    ) -> Result<Answer, String> {
        let mut request = request.map(Full::new);
        let host = HeaderValue::try_from(self.address.to_string());
        let host = host.map_err(|err| err.to_string())?;
        request.headers_mut().insert(header::HOST, host);
        if !self.connection.as_ref().is_some_and(Connection::is_open) {
            self.connection =
                Some(Connection::open(self.address, self.connect_timeout_ms, true).await?);
        }
        let connection = self
            .connection
            .as_mut()
            .expect("the connection was just opened");
        let answer = connection.send(request).await.map_err(|err| match err {
            SendError::NotSent => String::from("the connection was closed"),
            SendError::Lost(reason) => reason,
        })?;
        has_answered.set(true);
        let (head, body) = read_to_end(answer, body_max_bytes).await?;
        Ok(Answer { head, body })
    }
}

impl RegistryClient {
    /// Returns the generation of a registry answer. A generation that is unreadable or earlier than
    /// `known_generation` is logged and ignored.
    pub(super) fn generation(
        &mut self,
        protocol: &dyn Protocol,
        answer: &Answer,
        known_generation: RestoreGeneration,
    ) -> RestoreGeneration {
        let reason = match protocol.read_generation(&answer.head) {
            Ok(None) => return known_generation,
            Ok(Some(generation)) if generation >= known_generation => return generation,
            Ok(Some(generation)) => format!("generation {generation} after {known_generation}"),
            Err(err) => err,
        };
        if self.ignored_generation_reason.as_ref() != Some(&reason) {
            warn!(target: "belief", why = reason.as_str(); "the registry's generation is not used");
            self.ignored_generation_reason = Some(reason);
        }
        known_generation
    }
}

/// Records that the registry does not answer, and logs the start of the outage.
pub(super) fn record_registry_lost(lost_since: &mut Option<Time>, now: Time, err: &CallError) {
    if lost_since.is_none() {
        *lost_since = Some(now);
        warn!(target: "dependency", why = err.to_string(); "registry lost");
    }
}
