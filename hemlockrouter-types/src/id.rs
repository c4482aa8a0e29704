//! Newtype ids.
//!
//! Two kinds stand here. *Keys* are small `Copy` indices into an [`Arena`](crate::arena::Arena).
//! They are assigned while release notes are applied in their one order, so that every instance
//! assigns the same key to the same thing and keys can travel between instances. *Ids* are random
//! or counted, and are unique over all instances.

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
    /// An availability zone in the catalogue.
    ZoneKey
);
key!(
    /// An upstream (one replica of a service) in the catalogue.
    UpstreamKey
);
key!(
    /// A service that routes name; its upstreams are equivalent.
    ServiceKey
);
key!(
    /// A customer in the catalogue.
    CustomerKey
);
key!(
    /// A search of a customer in the catalogue.
    SearchKey
);
key!(
    /// An operation of a customer that must not be repeated, in the catalogue.
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
    /// The position of a shard in the shard map of its search.
    ShardNo(u16)
);
number!(
    /// A version of the indexes. A later snapshot has a higher number.
    Snapshot(u64)
);
number!(
    /// A version of a search's shard map. Repartitioning raises it.
    MapVersion(u32)
);
number!(
    /// The number of an accepted release note; the configuration in force is named by its last.
    ConfigNumber(u64)
);
number!(
    /// What an upstream reports as the id of its current start; a changed one means a restart.
    StartId(u64)
);

impl ConfigNumber {
    /// Returns the number of the release note that follows this one.
    pub const fn next(self) -> ConfigNumber {
        ConfigNumber(self.0 + 1)
    }
}

/// The inclusive range of snapshots that an upstream can serve.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRange {
    /// The oldest snapshot that can still be served.
    pub oldest: Snapshot,
    /// The newest snapshot that can be served.
    pub newest: Snapshot,
}

impl SnapshotRange {
    /// Returns whether `snapshot` can be served.
    pub fn contains(&self, snapshot: Snapshot) -> bool {
        self.oldest <= snapshot && snapshot <= self.newest
    }
}

/// One start of one instance of the tier.
///
/// It is drawn at random at every start, so it names the incarnation too: nothing that an earlier
/// start promised is ever taken for a promise of this one.
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
    /// Draws the id of a new start.
    pub fn random() -> InstanceId {
        InstanceId(rand::random())
    }
}

/// One request of a caller, named by the instance that accepted it.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{origin}-{seq}")]
pub struct QueryId {
    /// The instance that accepted the request.
    pub origin: InstanceId,
    /// Counts the requests that the instance accepted.
    pub seq: u64,
}

/// One sub-request to one upstream, named by the instance that sent it.
///
/// A hedge or a retry is a sub-request of its own, so an answer that arrives late is told apart
/// from the one that is waited for.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{origin}-{seq}")]
pub struct SubId {
    /// The instance that sent the sub-request.
    pub origin: InstanceId,
    /// Counts the sub-requests that the instance sent.
    pub seq: u64,
}
