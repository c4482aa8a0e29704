//! A catalogue of the size that the design targets.

use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::NoteSummary;
use hemlockrouter_types::catalog::Operation;
use hemlockrouter_types::catalog::Search;
use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::catalog::RECENT_NOTES_MAX;
use hemlockrouter_types::prelude::*;

const UPSTREAM_COUNT: u32 = 3_000;
const SHARD_COUNT: u32 = 270;
const REPLICAS_PER_SHARD: u32 = 2;

/// Returns a catalogue with 7 zones, 3,000 upstreams, and `customers` customers, each of which has
/// an operation and a search over 270 shards.
pub(crate) fn large_catalog(customers: u32) -> Catalog {
    let mut catalog = Catalog {
        number: ConfigNumber(657_000),
        ..Catalog::default()
    };
    let zones: Vec<ZoneKey> = (0..7).map(|n| catalog.zones.insert(zone(n))).collect();
    let upstreams: Vec<UpstreamKey> = (0..UPSTREAM_COUNT)
        .map(|n| {
            catalog
                .upstreams
                .insert(test_upstream(n, zones[n as usize % zones.len()]))
        })
        .collect();
    for n in 0..customers {
        let customer = catalog.customers.insert(customer(n));
        catalog.searches.insert(search(n, customer, &upstreams));
        catalog.operations.insert(Operation {
            name: String::from("confirm"),
            customer,
            weight: 1,
            upstreams: upstreams[..7].to_vec(),
        });
    }
    for n in 0..RECENT_NOTES_MAX {
        catalog.recent.push_back(NoteSummary {
            number: ConfigNumber(656_000 + n as u64),
            id: format!("2026-12-04-change-of-upstreams-{n}"),
            author: String::from("operators"),
            digest: u64::MAX - n as u64,
        });
    }
    catalog
}

fn zone(n: u32) -> Zone {
    Zone {
        name: format!("zone-{n}"),
        region: format!("region-{}", n % 2),
        in_service: true,
    }
}

pub(crate) fn test_upstream(n: u32, zone: ZoneKey) -> Upstream {
    Upstream {
        name: format!(
            "hall-finder-{}-{}",
            n / REPLICAS_PER_SHARD,
            n % REPLICAS_PER_SHARD
        ),
        address: format!("10.{}.{}.7:8080", n / 250, n % 250)
            .parse()
            .expect("an address"),
        zone,
        slots: 2,
        cold_slots: 1,
        connections: 25,
        in_service: true,
    }
}

fn customer(n: u32) -> Customer {
    let mut key_sha256 = [0xa5; 32];
    key_sha256[..4].copy_from_slice(&n.to_be_bytes());
    Customer {
        name: format!("customer-{n}"),
        key_sha256,
        max_in_flight: 200,
        max_per_second: 500,
    }
}

fn search(n: u32, customer: CustomerKey, upstreams: &[UpstreamKey]) -> Search {
    let shards = (0..SHARD_COUNT).map(|shard| {
        let first = ((n * 7 + shard) * REPLICAS_PER_SHARD) % UPSTREAM_COUNT;
        Shard {
            name: format!("halls-{shard}"),
            upstreams: upstreams[first as usize..(first + REPLICAS_PER_SHARD) as usize].to_vec(),
        }
    });
    Search {
        name: String::from("halls"),
        customer,
        weight: 1,
        map: MapVersion(3),
        shards: shards.collect(),
    }
}
