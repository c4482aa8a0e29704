//! Entries of the store in which routes, upstreams and instances are registered.
//!
//! An instance reads the registry completely once, page by page, and then watches it from the
//! revision of the first page. Reading it completely again is always correct. An instance does so
//! when the registry has discarded the history after the revision that the instance has reached.

use derive_more::Display;
use derive_more::Error;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::UpstreamEntry;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::generation::HistoryPosition;

/// One page of the registry, or the changes returned by a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Entries of the page, in order.
    pub entries: Vec<Entry>,
    /// Token at which the next page starts, if there is one.
    pub next: Option<String>,
    /// Revision from which to watch for changes.
    pub revision: u64,
}

/// One entry of the registry at a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Revision at which the entry was written or removed.
    pub revision: u64,
    /// Content of the entry.
    pub change: EntryChange,
}

/// Content of a registry entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryChange {
    /// The routes were replaced by a new version of the routing document.
    Routes(RouteDocument),
    /// An availability zone was taken out of service or put back in service.
    Zone {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is out of service.
        out: bool,
    },
    /// An upstream was registered or updated its registration.
    Upstream(UpstreamEntry),
    /// The registration of an upstream ended.
    UpstreamGone {
        /// Id of the upstream.
        id: String,
    },
    /// An instance was registered or updated its registration.
    Instance(InstanceEntry),
    /// The registration of an instance ended.
    InstanceGone {
        /// Name of the instance.
        name: String,
    },
    /// An entry can't be read, and whatever it names must not be used.
    Unreadable {
        /// Registry key of the entry.
        key: String,
        /// Id of the upstream that the entry was meant to register, if it was one for an upstream.
        upstream: Option<String>,
        /// Description of the fault in the entry.
        why: String,
    },
}

/// Registry entries that an instance relays to another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayPage {
    /// Whether the entries are the complete content of the registry rather than only changes.
    pub is_whole: bool,
    /// Position from which to follow the registry.
    pub position: HistoryPosition,
    /// Time since the sender last received an answer from the registry, in milliseconds.
    pub age_ms: u64,
    /// Instances through which the entries were relayed, from the one that read the registry to the
    /// sender.
    pub path: Vec<String>,
    /// Encoded entries. They are encoded separately, so that a complete page is encoded only once
    /// for many receivers.
    pub entries: EncodedEntries,
}

/// MessagePack encoding of registry entries, as sent between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EncodedEntries(ByteBuf);

impl EncodedEntries {
    /// Encodes entries.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry can't be encoded.
    pub fn encode(entries: &[Entry]) -> Result<EncodedEntries, rmp_serde::encode::Error> {
        let encoded = rmp_serde::to_vec(entries)?;
        Ok(EncodedEntries(ByteBuf::from(encoded)))
    }

    /// Decodes the entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid encoding.
    pub fn decode(&self) -> Result<Vec<Entry>, rmp_serde::decode::Error> {
        rmp_serde::from_slice(&self.0)
    }
}

/// Lease that keeps an instance registered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistrationLease {
    /// Id of the lease.
    pub id: u64,
    /// Time after which the lease expires unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// Error of a call to the registry.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RegistryError {
    /// The history after the requested revision was discarded. The caller must read the registry
    /// completely again.
    #[display("the history after the requested revision was discarded")]
    HistoryDiscarded,
    /// The entry or lease that the call names does not exist.
    #[display("not found")]
    NotFound,
    /// The registry did not accept the call.
    #[display("status {status}")]
    Rejected {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer could not be parsed.
    #[display("unreadable answer: {why}")]
    Unreadable {
        /// Description of the parse error.
        why: String,
    },
}
