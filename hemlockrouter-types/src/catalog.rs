//! The catalogue: what all accepted release notes together say.
//!
//! It is the state that every instance derives by applying the same notes in the same order. The
//! package `hemlockrouter-config` parses notes, checks them and applies them to a [`Catalog`]; the
//! decision packages only read it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::arena::Arena;
use crate::id::ConfigNumber;
use crate::id::CustomerKey;
use crate::id::MapVersion;
use crate::id::OperationKey;
use crate::id::SearchKey;
use crate::id::UpstreamKey;
use crate::id::ZoneKey;

/// How many of the last accepted notes a catalogue remembers.
pub const RECENT_NOTES_MAX: usize = 1_024;

/// Everything that the release notes up to [`number`](Catalog::number) say.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The number of the last note applied.
    pub number: ConfigNumber,
    /// The availability zones.
    pub zones: Arena<ZoneKey, Zone>,
    /// The upstreams.
    pub upstreams: Arena<UpstreamKey, Upstream>,
    /// The customers.
    pub customers: Arena<CustomerKey, Customer>,
    /// The searches.
    pub searches: Arena<SearchKey, Search>,
    /// The operations that must not be repeated.
    pub operations: Arena<OperationKey, Operation>,
    /// The last accepted notes, oldest first, at most [`RECENT_NOTES_MAX`]. A note that is submitted
    /// again after a lost answer is found here.
    #[serde(default)]
    pub recent: VecDeque<NoteHead>,
}

/// What is remembered of an accepted release note.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NoteHead {
    /// The number under which it was accepted.
    pub number: ConfigNumber,
    /// The id that its author chose.
    pub id: String,
    /// Who wrote it.
    pub author: String,
    /// A hash of its text, which tells a note submitted again from another one of the same id.
    pub digest: u64,
}

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name, which instances give as their own in their settings.
    pub name: String,
    /// The region that it lies in.
    pub region: String,
    /// Whether operators let it receive new work.
    pub in_service: bool,
}

/// One replica of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// How many requests it works on at once when it is warm.
    pub slots: u32,
    /// How many requests at once it can bear while it is cold.
    pub cold_slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// Whether operators let it receive new work.
    pub in_service: bool,
}

/// A customer.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// The SHA-256 hash of its bearer key.
    #[serde_as(as = "Hex")]
    pub key_sha256: [u8; 32],
    /// How many of its requests one instance accepts at once.
    pub max_in_flight: u32,
    /// How many of its requests one instance accepts each second, over a burst of one second.
    pub max_per_second: u32,
}

/// A search: a fan-out over shards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// Its name, unique within the customer.
    pub name: String,
    /// The customer that may call it.
    pub customer: CustomerKey,
    /// The weight of its sub-requests in the queues of upstreams.
    pub weight: u32,
    /// The version of the shard map.
    pub map: MapVersion,
    /// The shards; the index in this list is the `ShardNo`.
    pub shards: Vec<Shard>,
}

/// One shard of a search.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Its name, unique within the search; coverage reports name it.
    pub name: String,
    /// The upstreams that hold a replica of it.
    pub upstreams: Vec<UpstreamKey>,
}

/// An operation that must not be repeated, such as a booking.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Its name, unique within the customer.
    pub name: String,
    /// The customer that may call it.
    pub customer: CustomerKey,
    /// The weight of its requests in the queues of upstreams.
    pub weight: u32,
    /// The upstreams of which any one can run it.
    pub upstreams: Vec<UpstreamKey>,
}

impl Catalog {
    /// Returns whether `upstream` may receive new work: it and its zone are in service.
    pub fn in_service(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(upstream).is_some_and(|up| {
            up.in_service && self.zones.get(up.zone).is_some_and(|zone| zone.in_service)
        })
    }

    /// Returns what is remembered of the accepted note with this id.
    pub fn find_note(&self, id: &str) -> Option<&NoteHead> {
        self.recent.iter().rev().find(|head| head.id == id)
    }

    /// Returns the key of the zone called `name`.
    pub fn find_zone(&self, name: &str) -> Option<ZoneKey> {
        find(&self.zones, |zone| zone.name == name)
    }

    /// Returns the key of the upstream called `name`.
    pub fn find_upstream(&self, name: &str) -> Option<UpstreamKey> {
        find(&self.upstreams, |upstream| upstream.name == name)
    }

    /// Returns the key of the customer called `name`.
    pub fn find_customer(&self, name: &str) -> Option<CustomerKey> {
        find(&self.customers, |customer| customer.name == name)
    }

    /// Returns the key of `customer`'s search called `name`.
    pub fn find_search(&self, customer: CustomerKey, name: &str) -> Option<SearchKey> {
        find(&self.searches, |search| {
            search.customer == customer && search.name == name
        })
    }

    /// Returns the key of `customer`'s operation called `name`.
    pub fn find_operation(&self, customer: CustomerKey, name: &str) -> Option<OperationKey> {
        find(&self.operations, |operation| {
            operation.customer == customer && operation.name == name
        })
    }
}

/// Returns the first key whose value satisfies `wanted`.
fn find<K, V, F>(arena: &Arena<K, V>, wanted: F) -> Option<K>
where
    K: crate::arena::Key,
    F: Fn(&V) -> bool,
{
    arena
        .iter()
        .find(|(_, value)| wanted(value))
        .map(|(key, _)| key)
}
