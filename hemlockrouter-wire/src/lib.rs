//! The protocol between instances.
//!
//! Instances talk by one-way messages. An [`Envelope`] carries whatever waits for the same receiver
//! and travels as the body of one HTTP POST, encoded as MessagePack. An answer is a message of its
//! own in the other direction: a response that waited for the slowest sub-request would hold back
//! all the others of its batch.
//!
//! Messages name things of the catalogue by arena keys, so each message of the data path carries the
//! configuration number that its keys belong to.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_types::prelude::*;
//! use hemlockrouter_wire::Cancel;
//! use hemlockrouter_wire::Envelope;
//! use hemlockrouter_wire::Message;
//!
//! let from = InstanceId(7);
//! let cancel = Cancel { ids: vec![SubId { origin: from, seq: 1 }] };
//! let envelope = Envelope::new(from, vec![Message::Cancel(cancel)]);
//! let bytes = envelope.encode();
//! assert_eq!(Envelope::decode(&bytes).unwrap(), envelope);
//! ```
//!
//! # Modules
//!
//! - [`data`]: sub-requests, their answers and their cancellation.
//! - [`run`]: requests that must not be repeated, on their way to the instance that may run them.
//! - [`member`]: probes and rumours of the membership protocol.
//! - [`lease`]: ownership leases on upstreams.
//! - [`relay`]: release notes on their way through the zones.

pub mod data;
mod envelope;
pub mod lease;
pub mod member;
pub mod relay;
pub mod run;

pub use crate::data::Cancel;
pub use crate::data::RunSub;
pub use crate::data::SearchBatch;
pub use crate::data::SearchSub;
pub use crate::data::SubOutcome;
pub use crate::data::SubReply;
pub use crate::envelope::DecodeError;
pub use crate::envelope::Envelope;
pub use crate::envelope::Message;
pub use crate::envelope::VERSION;
