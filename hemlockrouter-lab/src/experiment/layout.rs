//! The simulated deployments: zones, services, customers and queries in their real sizes.
//!
//! The operators specify the sizes of services and the delays between zones. The service time of a
//! query, the mix of queries and the delay within a zone are assumptions.

use std::slice;

use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::Search;
use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::prelude::*;

use super::Deployment;

/// Number of zones, each in a region of its own.
pub(super) const ZONE_COUNT: u32 = 3;

/// One-way delay within a zone, in microseconds.
const SAME_ZONE_DELAY_US: u64 = 100;

/// One-way delay between zones of two regions, in microseconds.
const CROSS_ZONE_DELAY_US: u64 = 10_000;

/// One-way delay between a caller and its entry instance, in microseconds.
pub(super) const CALLER_DELAY_US: u64 = 1_000;

/// Number of shards that every fan-out query searches.
const SHARD_COUNT: u32 = 50;

const REPLICAS_PER_SHARD: u32 = 2;
const SLOTS_PER_REPLICA: u32 = 2;

/// Limits of each customer, above the demand of every scenario, so that only upstreams limit the
/// load.
const CUSTOMER_MAX_IN_FLIGHT: u32 = 2_000;
const CUSTOMER_MAX_PER_SECOND: u32 = 5_000;

/// The layout of a deployment.
pub(super) struct Layout {
    pub(super) catalog: Catalog,
    /// The zone of each instance.
    pub(super) instances: Vec<u32>,
    /// Sizes of each upstream, indexed by the slot of the upstream's key.
    pub(super) upstreams: Vec<UpstreamSizes>,
    pub(super) kinds: Vec<QueryKind>,
}

/// The zone and the limits of a simulated upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamSizes {
    pub(super) zone: u32,
    pub(super) slots: usize,
    pub(super) cold_slots: usize,
    pub(super) connections: u32,
    pub(super) connect_us: u64,
}

/// A kind of query with its customer, weight and rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueryKind {
    pub(super) customer: CustomerKey,
    pub(super) search: SearchKey,
    pub(super) shards: u32,
    /// Weight of an answer in the report.
    pub(super) weight: u32,
    /// Mean service time of a warm upstream for one shard, in microseconds.
    pub(super) serve_us: u64,
    /// Number of queries of this kind for each fan-out query.
    pub(super) queries_per_fan_out: f64,
}

impl QueryKind {
    /// Returns whether queries of this kind search all shards.
    pub(super) fn is_fan_out(&self) -> bool {
        self.shards > 1
    }
}

/// A service whose replicas all hold the same data.
struct Service {
    name: &'static str,
    replicas: u32,
    slots: u32,
    connections: u32,
    connect_us: u64,
}

impl Layout {
    /// Creates the layout of `deployment`.
    pub(super) fn new(deployment: Deployment) -> Layout {
        match deployment {
            Deployment::Daegu => daegu_layout(),
            Deployment::Brazos => brazos_layout(),
        }
    }

    /// Returns the one-way delay between two zones, in microseconds.
    pub(super) fn zone_delay_us(from: u32, to: u32) -> u64 {
        match from == to {
            true => SAME_ZONE_DELAY_US,
            false => CROSS_ZONE_DELAY_US,
        }
    }

    /// Returns the number of fan-out queries per second that occupy the share `load` of the slots of
    /// their services.
    pub(super) fn fan_out_rate(&self, load: f64) -> f64 {
        let slots = f64::from(REPLICAS_PER_SHARD * SLOTS_PER_REPLICA);
        let fan_out = self.kinds.iter().filter(|kind| kind.is_fan_out());
        let busy_us: f64 = fan_out
            .map(|kind| kind.queries_per_fan_out * kind.serve_us as f64)
            .sum();
        load * slots * 1_000_000.0 / busy_us
    }

    /// Returns the total number of slots of the services that fan-out queries search.
    pub(super) fn fan_out_slots(&self) -> u32 {
        SHARD_COUNT * REPLICAS_PER_SHARD * SLOTS_PER_REPLICA
    }

    fn without_services(instances: u32) -> Layout {
        let mut catalog = Catalog {
            number: ConfigNumber(1),
            ..Catalog::default()
        };
        for zone in 0..ZONE_COUNT {
            catalog.zones.insert(Zone {
                name: zone_name(zone),
                region: format!("region-{zone}"),
                in_service: true,
            });
        }
        Layout {
            catalog,
            instances: (0..instances)
                .map(|instance| instance % ZONE_COUNT)
                .collect(),
            upstreams: Vec::new(),
            kinds: Vec::new(),
        }
    }

    /// Adds the replicas of a service in consecutive zones, starting with `zone`.
    fn add_service(&mut self, service: &Service, name: &str, zone: u32) -> Shard {
        let mut keys = Vec::new();
        for replica in 0..service.replicas {
            let zone = (zone + replica) % ZONE_COUNT;
            keys.push(self.catalog.upstreams.insert(Upstream {
                name: format!("{name}-{replica}"),
                address: ([127, 0, 0, 1], 9).into(),
                zone: ZoneKey::from_raw(zone),
                slots: service.slots,
                cold_slots: 1,
                connections: service.connections,
                in_service: true,
            }));
            self.upstreams.push(UpstreamSizes {
                zone,
                slots: service.slots as usize,
                cold_slots: 1,
                connections: service.connections,
                connect_us: service.connect_us,
            });
        }
        Shard {
            name: name.to_owned(),
            upstreams: keys,
        }
    }

    /// Adds the services that fan-out queries search.
    fn add_shards(&mut self, name: &'static str) -> Vec<Shard> {
        let service = Service {
            name,
            replicas: REPLICAS_PER_SHARD,
            slots: SLOTS_PER_REPLICA,
            connections: 25,
            connect_us: 6_000,
        };
        let mut shards = Vec::new();
        for n in 0..SHARD_COUNT {
            let name = format!("{}-{n}", service.name);
            shards.push(self.add_service(&service, &name, n));
        }
        shards
    }

    fn add_customer(&mut self, name: &str) -> CustomerKey {
        self.catalog.customers.insert(Customer {
            name: name.to_owned(),
            key_sha256: [0; 32],
            max_in_flight: CUSTOMER_MAX_IN_FLIGHT,
            max_per_second: CUSTOMER_MAX_PER_SECOND,
        })
    }

    fn add_kind(
        &mut self,
        customer: CustomerKey,
        name: &str,
        shards: &[Shard],
        weight: u32,
        serve_us: u64,
        queries_per_fan_out: f64,
    ) {
        let search = self.catalog.searches.insert(Search {
            name: name.to_owned(),
            customer,
            weight,
            map: MapVersion(1),
            shards: shards.to_vec(),
        });
        self.kinds.push(QueryKind {
            customer,
            search,
            shards: shards.len() as u32,
            weight,
            serve_us,
            queries_per_fan_out,
        });
    }
}

/// Returns the name of a zone.
pub(super) fn zone_name(zone: u32) -> String {
    format!("zone-{zone}")
}

fn daegu_layout() -> Layout {
    let mut layout = Layout::without_services(9);
    let halls = layout.add_shards("halls");
    let ledger = layout.add_service(&single_shard_service("ledger", 7, 3, 100), "ledger", 0);
    let board = layout.add_service(
        &single_shard_service("notice-board", 3, 3, 100),
        "notice-board",
        0,
    );
    for name in ["universities", "associations", "schoolteachers"] {
        let customer = layout.add_customer(name);
        layout.add_kind(customer, "halls", &halls, 1, 10_000, 1.0 / 3.0);
        layout.add_kind(customer, "ledger", slice::from_ref(&ledger), 1, 5_000, 0.25);
        layout.add_kind(customer, "notices", slice::from_ref(&board), 1, 5_000, 0.1);
    }
    layout
}

fn brazos_layout() -> Layout {
    let mut layout = Layout::without_services(8);
    let woodyards = layout.add_shards("woodyards");
    let scale_house = layout.add_service(
        &single_shard_service("scale-house", 3, 6, 50),
        "scale-house",
        0,
    );
    let mill_board = layout.add_service(
        &single_shard_service("mill-board", 3, 6, 50),
        "mill-board",
        1,
    );
    let mills = layout.add_customer("mills");
    let foremen = layout.add_customer("foremen");
    let truckers = layout.add_customer("truckers");
    layout.add_kind(mills, "mill-query", &woodyards, 2, 12_000, 1.0 / 3.0);
    layout.add_kind(foremen, "crew-query", &woodyards, 1, 5_000, 2.0 / 3.0);
    layout.add_kind(truckers, "scale-ticket", &[scale_house], 1, 4_000, 1.0);
    layout.add_kind(mills, "mill-board", &[mill_board], 1, 4_000, 0.25);
    layout
}

fn single_shard_service(
    name: &'static str,
    replicas: u32,
    slots: u32,
    connections: u32,
) -> Service {
    Service {
        name,
        replicas,
        slots,
        connections,
        connect_us: 1_000,
    }
}
