//! The zones, instances and upstreams of a cluster.

use std::collections::BTreeMap;

use hemlockrouter_lab::ports::PortBlock;
use hemlockrouter_lab::upstream::UpstreamSpec;
use serde_json::json;
use serde_json::Value;

/// The key of the customer `teachers`, and its SHA-256 hash.
pub(crate) const TEACHERS_KEY: &str = "example-key-of-teachers";
const TEACHERS_KEY_SHA256: &str =
    "72ab9aed9201865bac76f3001b5e528a39be289654273fd2b2173ce214df87d4";

/// The numbers of zones, instances, shards and links of a cluster.
pub(crate) struct Layout {
    /// The names of the zones, and the number of instances in each zone.
    pub(crate) zones: Vec<(&'static str, usize)>,
    /// The number of shards with one replica in each zone.
    pub(crate) shards: usize,
    /// Whether there is another shard, with a replica only in the last zone.
    pub(crate) single_zone_shard: bool,
    /// Whether instances reach each other and the store through links.
    pub(crate) has_links: bool,
    /// The limits of the upstreams that serve searches. The name and the address are replaced for
    /// each upstream.
    pub(crate) search_spec: UpstreamSpec,
    /// The time that a graceful shutdown may take, in milliseconds.
    pub(crate) shutdown_ms: u64,
}

impl Layout {
    /// Creates a layout of two zones, each with two instances, a replica of each of four shards,
    /// and a ledger upstream.
    pub(crate) fn new() -> Layout {
        let free_address = "127.0.0.1:0".parse().expect("an address");
        Layout {
            zones: vec![("east", 2), ("west", 2)],
            shards: 4,
            single_zone_shard: false,
            has_links: false,
            search_spec: UpstreamSpec::new("", free_address),
            shutdown_ms: 30_000,
        }
    }

    /// Returns the names of the upstreams of each shard.
    pub(crate) fn shard_map(&self) -> BTreeMap<String, Vec<String>> {
        let mut map = BTreeMap::new();
        for shard in 1..=self.shards {
            let zones = self.zones.iter();
            let replicas = zones.map(|(zone, _)| format!("finder-{shard}-{zone}"));
            map.insert(format!("halls-{shard}"), replicas.collect());
        }
        if self.single_zone_shard {
            let (zone, _) = self.zones.last().expect("a layout has a zone");
            map.insert(
                "halls-lonely".to_owned(),
                vec![format!("finder-lonely-{zone}")],
            );
        }
        map
    }

    fn ledger_names(&self) -> Vec<String> {
        let zones = self.zones.iter();
        zones.map(|(zone, _)| format!("ledger-{zone}")).collect()
    }

    /// Returns the specifications of all upstreams.
    pub(crate) fn upstream_specs(&self, ports: &mut PortBlock) -> Vec<UpstreamSpec> {
        let mut upstream_specs = Vec::new();
        let search_upstreams = self.shard_map().into_values().flatten();
        for (name, slots) in search_upstreams
            .map(|name| (name, None))
            .chain(self.ledger_names().into_iter().map(|name| (name, Some(3))))
        {
            let mut spec = self.search_spec.clone();
            spec.name = name;
            spec.listen = ports.next_free_addr();
            spec.seed = upstream_specs.len() as u64;
            spec.slots = slots.unwrap_or(spec.slots);
            upstream_specs.push(spec);
        }
        upstream_specs
    }

    /// Returns the first release note, which adds all zones, upstreams, the customer, its search
    /// and its operation.
    pub(crate) fn first_note(&self, upstream_specs: &[UpstreamSpec]) -> Value {
        let zones = self.zones.iter();
        let zones: BTreeMap<&str, Value> = zones
            .map(|(zone, _)| (*zone, json!({"region": "daegu"})))
            .collect();
        let upstreams: BTreeMap<&str, Value> = upstream_specs
            .iter()
            .map(|spec| {
                let zone = spec.name.rsplit('-').next().expect("names end with a zone");
                let value = json!({
                    "address": spec.listen,
                    "zone": zone,
                    "slots": spec.slots,
                    "cold_slots": spec.cold_slots,
                    "connections": spec.connections,
                });
                (spec.name.as_str(), value)
            })
            .collect();
        json!({
            "id": "first",
            "author": "kim",
            "added": {
                "zones": zones,
                "upstreams": upstreams,
                "customers": {
                    "teachers": {
                        "key_sha256": TEACHERS_KEY_SHA256,
                        "max_in_flight": 1000,
                        "max_per_second": 10000,
                    },
                },
                "searches": {"teachers/halls": {"shards": self.shard_map()}},
                "operations": {"teachers/confirm": {"upstreams": self.ledger_names()}},
            },
        })
    }
}
