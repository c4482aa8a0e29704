//! Newtype keys and ids.
//!
//! *Keys* are small `Copy` indices into an [`Arena`](crate::arena::Arena). They are assigned while
//! release notes are applied in their one order, so that every instance assigns the same key to the
//! same object and keys can travel between instances. *Ids* are random or sequential, and unique
//! over all instances.

use derive_more::Display;
use derive_more::From;
use derive_more::Into;
use serde::Deserialize;
use serde::Serialize;

use crate::arena::Key;

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        pub struct $name(u32);

        impl Key for $name {
            fn from_raw(raw: u32) -> Self {
                $name(raw)
            }

            fn raw(self) -> u32 {
                self.0
            }
        }
    };
}

key!(
    /// Key of an availability zone in the catalogue.
    ZoneKey
);
key!(
    /// Key of an upstream (one replica of a service) in the catalogue.
    UpstreamKey
);
key!(
    /// Key of a service that routes name. All upstreams of a service are equivalent.
    ServiceKey
);
key!(
    /// Key of a customer in the catalogue.
    CustomerKey
);
key!(
    /// Key of a customer's search in the catalogue.
    SearchKey
);
key!(
    /// Key of a customer's operation that must not be repeated, in the catalogue.
    OperationKey
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);
    };
}

number!(
    /// Position of a shard in the shard map of its search.
    ShardNo(u16)
);
number!(
    /// Version of the indexes. A later snapshot has a higher number.
    Snapshot(u64)
);
number!(
    /// Version of a search's shard map. Each repartitioning increases it.
    MapVersion(u32)
);
number!(
    /// Number of an accepted release note. The number of the last applied note identifies the
    /// configuration in force.
    ConfigNumber(u64)
);
number!(
    /// Id that an upstream reports for its current start. A changed id means that the upstream
    /// restarted.
    StartId(u64)
);

impl ConfigNumber {
    /// Returns the number of the release note that follows this one.
    pub const fn next(self) -> ConfigNumber {
        ConfigNumber(self.0 + 1)
    }
}

/// Inclusive range of the snapshots that an upstream can serve.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRange {
    /// Oldest snapshot that the upstream can still serve.
    pub oldest: Snapshot,
    /// Newest snapshot that the upstream can serve.
    pub newest: Snapshot,
}

impl SnapshotRange {
    /// Returns whether the range contains `snapshot`.
    pub fn contains(&self, snapshot: Snapshot) -> bool {
        self.oldest <= snapshot && snapshot <= self.newest
    }
}

/// Id of one start of one instance of the tier.
///
/// The id is drawn at random at every start, so it also identifies the incarnation: a promise that
/// an earlier start made is never attributed to this one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// Draws a random id for a new start.
    pub fn random() -> InstanceId {
        InstanceId(rand::random())
    }
}

/// Id of one request of a caller, assigned by the instance that accepted the request.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{origin}-{seq}")]
pub struct QueryId {
    /// Instance that accepted the request.
    pub origin: InstanceId,
    /// Sequence number of the request among those that the instance accepted.
    pub seq: u64,
}

/// Id of one sub-request to one upstream, assigned by the instance that sent it.
///
/// A hedge or a retry is a sub-request with its own id, so a late answer can be distinguished from
/// the one that is awaited.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{origin}-{seq}")]
pub struct SubRequestId {
    /// Instance that sent the sub-request.
    pub origin: InstanceId,
    /// Sequence number of the sub-request among those that the instance sent.
    pub seq: u64,
}
