//! Protocol between instances.
//!
//! Instances exchange one-way messages. An [`Envelope`] carries all messages that wait for the same
//! receiver, and is sent as the body of one HTTP POST, encoded as MessagePack. An answer is a
//! separate message in the opposite direction: an HTTP response would have to wait for the slowest
//! sub-request of a batch and so delay all others.
//!
//! Messages refer to objects of the catalogue by arena keys, so each message of the data path
//! contains the number of the configuration to which its keys belong.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_types::prelude::*;
//! use hemlockrouter_wire::CancelSubRequests;
//! use hemlockrouter_wire::Envelope;
//! use hemlockrouter_wire::Message;
//!
//! let from = InstanceId(7);
//! let cancel = CancelSubRequests { ids: vec![SubRequestId { origin: from, seq: 1 }] };
//! let envelope = Envelope::new(from, vec![Message::Cancel(cancel)]);
//! let bytes = envelope.encode();
//! assert_eq!(Envelope::decode(&bytes).unwrap(), envelope);
//! ```
//!
//! # Modules
//!
//! - [`data`]: sub-requests, their answers and their cancellation.
//! - [`run`]: requests that must not be repeated, forwarded to the instance that may run them.
//! - [`member`]: probes and rumours of the membership protocol.
//! - [`lease`]: ownership leases on upstreams.
//! - [`relay`]: distribution of release notes through the zones.

pub mod data;
mod envelope;
pub mod lease;
pub mod member;
pub mod relay;
pub mod run;

pub use crate::data::CancelSubRequests;
pub use crate::data::RunSubRequest;
pub use crate::data::SearchBatch;
pub use crate::data::SearchSubRequest;
pub use crate::data::SubRequestOutcome;
pub use crate::data::SubRequestReply;
pub use crate::envelope::DecodeError;
pub use crate::envelope::Envelope;
pub use crate::envelope::Message;
pub use crate::envelope::PROTOCOL_VERSION;
