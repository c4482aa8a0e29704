//! Envelope that carries messages between instances, and its encoding.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use hemlockrouter_types::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::data::CancelSubRequests;
use crate::data::RunSubRequest;
use crate::data::SearchBatch;
use crate::data::SubRequestReply;
use crate::lease::LeaseMessage;
use crate::member::MemberMessage;
use crate::relay::RelayMessage;
use crate::run::RunMessage;

/// Version of the protocol. An instance refuses envelopes of any other version.
pub const PROTOCOL_VERSION: u16 = 1;

/// Messages from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    version: u16,
    /// Instance that sends the messages.
    pub from: InstanceId,
    /// Address at which the sender receives answers, for a receiver that does not know the sender
    /// yet.
    pub reply_to: Option<SocketAddr>,
    /// Messages in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// Message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sub-requests of one search, for upstreams that the receiver owns.
    Search(SearchBatch),
    /// Sub-request that must not be repeated, for an upstream that the receiver owns.
    Run(RunSubRequest),
    /// Outcome of a sub-request.
    Reply(SubRequestReply),
    /// Cancellation of sub-requests whose answers are no longer awaited.
    Cancel(CancelSubRequests),
    /// Request that must not be repeated, for the instance that may run it, or the answer to such a
    /// request.
    Forward(RunMessage),
    /// Message of the membership protocol.
    Member(MemberMessage),
    /// Message about ownership leases.
    Lease(LeaseMessage),
    /// Message of the configuration relay.
    Relay(RelayMessage),
    /// Request of an operator that the receiver shut down gracefully.
    Drain,
}

/// Error of decoding an envelope.
#[derive(Debug, Display, Error)]
pub enum DecodeError {
    /// The bytes are not a well-formed envelope.
    #[display("malformed envelope: {source}")]
    Malformed {
        /// Error of the MessagePack decoder.
        source: rmp_serde::decode::Error,
    },
    /// The envelope has another version than [`PROTOCOL_VERSION`].
    #[display("envelope of version {version}, expected version {PROTOCOL_VERSION}")]
    Version {
        /// Version of the received envelope.
        version: u16,
    },
}

impl Envelope {
    /// Creates an envelope of the current version.
    pub fn new(from: InstanceId, messages: Vec<Message>) -> Envelope {
        Envelope {
            version: PROTOCOL_VERSION,
            from,
            reply_to: None,
            messages,
        }
    }

    /// Sets the address at which the sender receives answers.
    pub fn with_reply_to(mut self, address: SocketAddr) -> Envelope {
        self.reply_to = Some(address);
        self
    }

    /// Encodes the envelope as MessagePack.
    ///
    /// # Panics
    ///
    /// Never panics for messages of this package, since MessagePack can represent all of them.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("every message can be represented in MessagePack")
    }

    /// Decodes an envelope from MessagePack.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if `bytes` are malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
        let envelope: Envelope =
            rmp_serde::from_slice(bytes).map_err(|source| DecodeError::Malformed { source })?;
        if envelope.version != PROTOCOL_VERSION {
            return Err(DecodeError::Version {
                version: envelope.version,
            });
        }
        Ok(envelope)
    }
}
