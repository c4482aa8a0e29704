//! The envelope around messages and its encoding.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use hemlockrouter_types::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::data::Cancel;
use crate::data::RunSub;
use crate::data::SearchBatch;
use crate::data::SubReply;
use crate::lease::LeaseMessage;
use crate::member::MemberMessage;
use crate::relay::RelayMessage;
use crate::run::RunMessage;

/// The version of the protocol. An instance refuses envelopes of any other.
pub const VERSION: u16 = 1;

/// Messages from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    version: u16,
    /// The instance that sends the messages.
    pub from: InstanceId,
    /// Where the sender takes answers, for a receiver that has not heard of it yet.
    pub reply_to: Option<SocketAddr>,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// One message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sub-requests of one search, for upstreams that the receiver owns.
    Search(SearchBatch),
    /// A sub-request that must not be repeated, for an upstream that the receiver owns.
    Run(RunSub),
    /// How a sub-request ended.
    Reply(SubReply),
    /// Sub-requests that are not waited for any more.
    Cancel(Cancel),
    /// A request that must not be repeated, for the instance that may run it, or its answer.
    Forward(RunMessage),
    /// Membership.
    Member(MemberMessage),
    /// Ownership leases.
    Lease(LeaseMessage),
    /// Configuration.
    Relay(RelayMessage),
    /// An operator asks the receiver to shut down gracefully.
    Drain,
}

/// Why bytes are not an envelope that this version can take.
#[derive(Debug, Display, Error)]
pub enum DecodeError {
    /// The bytes are not a well-formed envelope.
    #[display("malformed envelope: {source}")]
    Malformed {
        /// What the codec found.
        source: rmp_serde::decode::Error,
    },
    /// The envelope has another version.
    #[display("envelope of version {version}, expected version {VERSION}")]
    Version {
        /// The version that it has.
        version: u16,
    },
}

impl Envelope {
    /// Makes an envelope of the current version.
    pub fn new(from: InstanceId, messages: Vec<Message>) -> Envelope {
        Envelope {
            version: VERSION,
            from,
            reply_to: None,
            messages,
        }
    }

    /// Names the address at which the sender takes answers.
    pub fn with_reply_to(mut self, address: SocketAddr) -> Envelope {
        self.reply_to = Some(address);
        self
    }

    /// Encodes the envelope as MessagePack.
    ///
    /// # Panics
    ///
    /// Never for messages of this package: all of them can be represented.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("every message can be represented in MessagePack")
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if `bytes` are malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
        let envelope: Envelope =
            rmp_serde::from_slice(bytes).map_err(|source| DecodeError::Malformed { source })?;
        if envelope.version != VERSION {
            return Err(DecodeError::Version {
                version: envelope.version,
            });
        }
        Ok(envelope)
    }
}
