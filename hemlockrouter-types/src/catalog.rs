//! Catalogue: the configuration that results from all accepted release notes.
//!
//! Every instance derives the same catalogue by applying the same notes in the same order. The
//! package `hemlockrouter-config` parses and checks notes and applies them to a [`Catalog`]. The
//! decision packages only read the catalogue.

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

/// Largest number of recently accepted notes that a catalogue remembers.
pub const RECENT_NOTES_MAX: usize = 1_024;

/// Configuration that results from the release notes up to [`number`](Catalog::number).
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Number of the last applied note.
    pub number: ConfigNumber,
    /// Availability zones, by key.
    pub zones: Arena<ZoneKey, Zone>,
    /// Upstreams of all zones, by key.
    pub upstreams: Arena<UpstreamKey, Upstream>,
    /// All customers, by key.
    pub customers: Arena<CustomerKey, Customer>,
    /// Searches of all customers, by key.
    pub searches: Arena<SearchKey, Search>,
    /// Operations that must not be repeated, by key.
    pub operations: Arena<OperationKey, Operation>,
    /// Most recently accepted notes, oldest first, at most [`RECENT_NOTES_MAX`]. They identify a
    /// note that is submitted again because its answer was lost.
    #[serde(default)]
    pub recent: VecDeque<NoteSummary>,
}

/// Summary of an accepted release note.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NoteSummary {
    /// Number under which the note was accepted.
    pub number: ConfigNumber,
    /// Id that the author of the note chose.
    pub id: String,
    /// Author of the note.
    pub author: String,
    /// Hash of the note's text, which distinguishes a note submitted again from another note with
    /// the same id.
    pub digest: u64,
}

/// Availability zone in which instances and upstreams run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Name of the zone, which instances give as their own in their settings.
    pub name: String,
    /// Region in which the zone lies.
    pub region: String,
    /// Whether operators let the zone receive new work.
    pub in_service: bool,
}

/// Upstream: one replica of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: String,
    /// HTTP address of the upstream.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneKey,
    /// Number of requests that the upstream processes at once when it is warm.
    pub slots: u32,
    /// Number of requests that the upstream can process at once while it is cold.
    pub cold_slots: u32,
    /// Number of connections that the upstream accepts.
    pub connections: u32,
    /// Whether operators let the upstream receive new work.
    pub in_service: bool,
}

/// Customer and its limits.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// SHA-256 hash of the customer's bearer key.
    #[serde_as(as = "Hex")]
    pub key_sha256: [u8; 32],
    /// Number of the customer's requests that one instance accepts at once.
    pub max_in_flight: u32,
    /// Number of the customer's requests that one instance accepts each second, over a burst of one
    /// second.
    pub max_per_second: u32,
}

/// Search, which fans out over shards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// Name of the search, unique for the customer.
    pub name: String,
    /// Customer that may call the search.
    pub customer: CustomerKey,
    /// Weight of the search's sub-requests in the queues of upstreams.
    pub weight: u32,
    /// Version of the search's shard map.
    pub map: MapVersion,
    /// Shards of the search. The index in this list is the `ShardNo`.
    pub shards: Vec<Shard>,
}

/// Shard of a search and the upstreams that hold it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the shard, unique for the search. Coverage reports contain it.
    pub name: String,
    /// Upstreams that hold a replica of the shard.
    pub upstreams: Vec<UpstreamKey>,
}

/// Operation that must not be repeated, such as a booking.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Name of the operation, unique for the customer.
    pub name: String,
    /// Customer that may call the operation.
    pub customer: CustomerKey,
    /// Weight of the operation's requests in the queues of upstreams.
    pub weight: u32,
    /// Upstreams, any one of which can run the operation.
    pub upstreams: Vec<UpstreamKey>,
}

impl Catalog {
    /// Returns whether `upstream` may receive new work, because both it and its zone are in
    /// service.
    pub fn is_in_service(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(upstream).is_some_and(|upstream| {
            upstream.in_service
                && self
                    .zones
                    .get(upstream.zone)
                    .is_some_and(|zone| zone.in_service)
        })
    }

    /// Returns the summary of the recently accepted note with this id.
    pub fn find_note(&self, id: &str) -> Option<&NoteSummary> {
        self.recent.iter().rev().find(|note| note.id == id)
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
