//! Builders of catalogues for tests and benches.

#![allow(dead_code, reason = "each test binary uses some of this")]

use std::net::SocketAddr;

use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::Operation;
use hemlockrouter_types::catalog::Search;
use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::prelude::*;

/// Sizes of a catalogue.
pub(crate) struct Layout {
    pub(crate) zones: u32,
    pub(crate) upstreams: u32,
    pub(crate) customers: u32,
    /// The number of shards of each search.
    pub(crate) searches: Vec<u32>,
    pub(crate) replicas: u32,
    /// The number of upstreams of each operation.
    pub(crate) operations: Vec<u32>,
}

/// Builds a catalogue in which upstream `n` is in zone `n % zones`, shard `s` of each search is on
/// the upstreams from `s * replicas` on, and customer 0 owns all searches and operations.
pub(crate) fn catalog(layout: &Layout) -> Catalog {
    let mut catalog = Catalog {
        number: ConfigNumber(1),
        ..Catalog::default()
    };
    for zone in 0..layout.zones {
        catalog.zones.insert(Zone {
            name: format!("zone-{zone}"),
            region: "region".to_owned(),
            in_service: true,
        });
    }
    for upstream in 0..layout.upstreams {
        catalog.upstreams.insert(Upstream {
            name: format!("upstream-{upstream}"),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: ZoneKey::from_raw(upstream % layout.zones),
            slots: 2,
            cold_slots: 1,
            connections: 25,
            in_service: true,
        });
    }
    for customer in 0..layout.customers {
        catalog.customers.insert(Customer {
            name: format!("customer-{customer}"),
            key_sha256: [0; 32],
            max_in_flight: 100,
            max_per_second: 100,
        });
    }
    for (index, shards) in layout.searches.iter().enumerate() {
        catalog.searches.insert(Search {
            name: format!("search-{index}"),
            customer: CustomerKey::from_raw(0),
            weight: 1,
            map: MapVersion(1),
            shards: shards_of(layout, *shards, 1),
        });
    }
    for (index, upstreams) in layout.operations.iter().enumerate() {
        catalog.operations.insert(Operation {
            name: format!("operation-{index}"),
            customer: CustomerKey::from_raw(0),
            weight: 1,
            upstreams: (0..*upstreams).map(UpstreamKey::from_raw).collect(),
        });
    }
    catalog
}

/// Builds the shards of a search. Their names contain the version of the shard map.
pub(crate) fn shards_of(layout: &Layout, count: u32, map: u32) -> Vec<Shard> {
    let replica = |shard, replica| (shard * layout.replicas + replica + map - 1) % layout.upstreams;
    let shard = |shard| Shard {
        name: format!("shard-{shard}-of-map-{map}"),
        upstreams: (0..layout.replicas)
            .map(|index| UpstreamKey::from_raw(replica(shard, index)))
            .collect(),
    };
    (0..count).map(shard).collect()
}
