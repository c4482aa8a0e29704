//! The store in which routes, upstreams and instances are registered.
//!
//! It is read whole once, page by page, and then followed by watches from the revision that the first
//! page named. Reading it again is always right, and is what an instance does when the registry has
//! dropped the history that it asks for.

use derive_more::Display;
use derive_more::Error;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::UpstreamEntry;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::generation::Position;

/// One page of the registry, or what has changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// What was read, in order.
    pub entries: Vec<Entry>,
    /// From where the next page is read, if there is one.
    pub next: Option<String>,
    /// The revision to follow from.
    pub revision: u64,
}

/// One entry of the registry, as it was at a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// When it was written or removed.
    pub revision: u64,
    /// What it says.
    pub change: Change,
}

/// What an entry says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// All routes, in their newest version.
    Routes(RouteDocument),
    /// An availability zone is out of service, or back in.
    Zone {
        /// The zone.
        zone: String,
        /// Whether it is out of service.
        out: bool,
    },
    /// An upstream is registered.
    Upstream(UpstreamEntry),
    /// The registration of an upstream has ended.
    UpstreamGone {
        /// The upstream's id.
        id: String,
    },
    /// An instance is registered.
    Instance(InstanceEntry),
    /// The registration of an instance has ended.
    InstanceGone {
        /// The instance's name.
        name: String,
    },
    /// An entry can't be read. It names nothing that may be used.
    Unreadable {
        /// The entry's key.
        key: String,
        /// The upstream that the entry would name, if it would name one.
        upstream: Option<String>,
        /// What is wrong with it.
        why: String,
    },
}

/// What an instance passes on of the registry to another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayPage {
    /// Whether the entries are all that the registry holds, and not only what has changed.
    pub is_whole: bool,
    /// From where to follow.
    pub position: Position,
    /// How long ago the sender last heard from the registry, in milliseconds.
    pub age_ms: u64,
    /// The instances that this came through: the one that read the registry first, the sender last.
    pub path: Vec<String>,
    /// The entries, encoded apart so that those of a whole page are encoded once for many receivers.
    pub entries: EncodedEntries,
}

/// Entries as they travel between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EncodedEntries(ByteBuf);

impl EncodedEntries {
    /// Encodes entries.
    ///
    /// # Errors
    ///
    /// Returns why they can't be encoded.
    pub fn encode(entries: &[Entry]) -> Result<EncodedEntries, rmp_serde::encode::Error> {
        let encoded = rmp_serde::to_vec(entries)?;
        Ok(EncodedEntries(ByteBuf::from(encoded)))
    }

    /// Decodes the entries.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with them.
    pub fn decode(&self) -> Result<Vec<Entry>, rmp_serde::decode::Error> {
        rmp_serde::from_slice(&self.0)
    }
}

/// The lease that keeps an instance registered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The lease's id.
    pub id: u64,
    /// How long it lasts without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Why the registry did not do what it was asked for.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RegistryError {
    /// The history before the revision that was asked for is gone: read the feed again.
    #[display("the history is gone")]
    HistoryGone,
    /// What the call names does not exist any more.
    #[display("not found")]
    NotFound,
    /// The registry does not serve the call now.
    #[display("status {status}")]
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// The answer can't be read.
    #[display("unreadable answer: {why}")]
    Unreadable {
        /// What is wrong with it.
        why: String,
    },
}
