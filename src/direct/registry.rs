//! Calls to the registry, and to instances that pass on what they read there.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use hemlockrouter_edge::Generation;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_types::prelude::*;
use http::header;
use http::response;
use http::HeaderValue;
use http::Request;
use http_body_util::Full;
use log::warn;

use super::connection::within_ms;
use super::connection::Connection;
use super::connection::NoAnswer;

/// How long a call that does not wait for a change may take, in milliseconds.
pub(super) const CALL_MS: u64 = 1_000;

/// How long connecting to the registry may take, in milliseconds. A call that waits for a change may take
/// much longer than this, so it must not wait for a first packet that a broken link has dropped.
const CONNECT_MS: u64 = 1_000;

/// How long connecting to an instance may take, in milliseconds: a few times the way between regions and
/// back. A machine that has no power yet drops the first packet, and there are other instances to ask.
const INSTANCE_CONNECT_MS: u64 = 150;

/// A connection to the registry.
pub(super) struct Registry {
    address: SocketAddr,
    connect_ms: u64,
    connection: Option<Connection>,
    /// Why the generation of an answer was not used, the last time.
    unused_generation: Option<String>,
}

/// A whole answer.
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

/// Why a call failed.
#[derive(Debug, Display)]
pub(super) enum CallError {
    /// The registry did not do what it was asked for.
    #[display("{_0}")]
    Refused(RegistryError),
    /// There was no answer.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The other end knows less than is known already, or has not heard of the registry for long.
    #[display("the answer is {age_ms} ms old")]
    Outdated {
        /// How long ago the other end heard from the registry, in milliseconds.
        age_ms: u64,
    },
}

impl Registry {
    pub(super) fn new(address: SocketAddr) -> Registry {
        Registry {
            address,
            connect_ms: CONNECT_MS,
            connection: None,
            unused_generation: None,
        }
    }

    /// Returns the way to an instance that passes on what it has read.
    pub(super) fn of_instance(address: SocketAddr) -> Registry {
        Registry {
            address,
            connect_ms: INSTANCE_CONNECT_MS,
            connection: None,
            unused_generation: None,
        }
    }

    /// Makes a call and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer within `limit_ms`.
    pub(super) async fn call(
        &mut self,
        request: Request<Bytes>,
        limit_ms: u64,
    ) -> Result<Answer, CallError> {
        let answer = within_ms(limit_ms, self.try_call(request)).await;
        let answer = answer.unwrap_or_else(|| Err(String::from("the time is over")));
        if answer.is_err() {
            self.connection = None;
        }
        answer.map_err(CallError::NoAnswer)
    }

    async fn try_call(&mut self, request: Request<Bytes>) -> Result<Answer, String> {
        let mut request = request.map(Full::new);
        let host = HeaderValue::try_from(self.address.to_string());
        let host = host.map_err(|err| err.to_string())?;
        request.headers_mut().insert(header::HOST, host);
        if !self.connection.as_ref().is_some_and(Connection::is_open) {
            self.connection = Some(Connection::open(self.address, self.connect_ms, true).await?);
        }
        let connection = self.connection.as_mut().expect("it was just opened");
        match connection.call(request).await {
            Ok((head, body)) => Ok(Answer { head, body }),
            Err(NoAnswer::NotSent) => Err(String::from("the connection was closed")),
            Err(NoAnswer::Lost(why)) => Err(why),
        }
    }
}

impl Registry {
    /// Returns the generation that an answer of the registry is of. One that is unreadable, or earlier than
    /// the `known` one, is noted and has no effect.
    pub(super) fn generation(
        &mut self,
        protocol: &dyn Protocol,
        answer: &Answer,
        known: Generation,
    ) -> Generation {
        let why = match protocol.read_generation(&answer.head) {
            Ok(None) => return known,
            Ok(Some(generation)) if generation >= known => return generation,
            Ok(Some(generation)) => format!("generation {generation} after {known}"),
            Err(why) => why,
        };
        if self.unused_generation.as_ref() != Some(&why) {
            warn!(target: "belief", why = why.as_str(); "the registry's generation is not used");
            self.unused_generation = Some(why);
        }
        known
    }
}

/// Notes that the registry does not answer, with a log line if it did before.
pub(super) fn note_lost(lost_since: &mut Option<Time>, now: Time, err: &CallError) {
    if lost_since.is_none() {
        *lost_since = Some(now);
        warn!(target: "dependency", why = err.to_string(); "registry lost");
    }
}
