//! Looks up the route of a request.
//!
//! A request takes the route of its host with the longest matching path prefix. Prefixes end with a
//! slash, so there is one candidate for each slash of the path. Looking the candidates up from the
//! longest to the shortest takes the same time however many routes there are.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::RouteEntry;
use hemlockrouter_types::routing::TargetServices;

use super::upstreams::Upstreams;

/// The fraction of the target latency that an upstream of another region must save to be chosen.
const OTHER_REGION_SAVING_FRACTION: f64 = 0.2;

/// A route whose services are resolved to keys.
#[derive(Debug)]
pub struct Route {
    /// The version of the route document.
    pub version: u64,
    /// The route as written by operators.
    pub entry: RouteEntry,
    /// The services of the route.
    pub target: RouteTarget,
}

/// The services of a route, resolved to keys.
#[derive(Debug)]
pub enum RouteTarget {
    /// One of these services, chosen by weight. A route to a single service is a split with one
    /// entry.
    Split(Vec<(ServiceKey, f64)>),
    /// All of these services; their answers are merged.
    Shards {
        /// The services that hold the shards.
        services: Vec<ServiceKey>,
        /// The maximum number of records in the merged answer.
        records_max: usize,
        /// The minimum number of shards that must answer.
        answers_min: usize,
    },
}

/// All routes of one document.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, HashMap<String, Rc<Route>>>,
    routes: usize,
    /// The sets of shards that searches are sent to. Several routes may share a set.
    searches: BTreeSet<Vec<ServiceKey>>,
}

impl RouteTable {
    /// Compiles `document` into a table, and registers its services in `upstreams`.
    pub fn new(document: RouteDocument, upstreams: &mut Upstreams) -> RouteTable {
        for service in &document.services {
            upstreams.update_service_limits(service);
        }
        let mut table = RouteTable {
            version: document.version,
            hosts: HashMap::new(),
            routes: document.routes.len(),
            searches: BTreeSet::new(),
        };
        for entry in document.routes {
            let compiled_target = compile_target(&entry.target, upstreams);
            if let RouteTarget::Shards { services, .. } = &compiled_target {
                table.searches.insert(services.clone());
            }
            let host = table.hosts.entry(entry.host.to_ascii_lowercase());
            let prefix = entry.path_prefix.clone();
            let route = Route {
                version: document.version,
                entry,
                target: compiled_target,
            };
            host.or_default().insert(prefix, Rc::new(route));
        }
        table
    }

    /// Returns the version of the route document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of routes in the table.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Returns the shortest target latency of a route, in milliseconds; 0 without routes.
    pub fn target_latency_min_ms(&self) -> u64 {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let latencies_ms = routes.map(|route| route.entry.target_latency_ms);
        latencies_ms.min().unwrap_or(0)
    }

    /// Returns the sets of shards that searches are sent to.
    pub(super) fn searches(&self) -> impl Iterator<Item = &[ServiceKey]> {
        self.searches.iter().map(Vec::as_slice)
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }

    /// Returns the route of a request; `None` if no route matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let path = path.split(['?', '#']).next().unwrap_or_default();
        path.rmatch_indices('/')
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
    }
}

fn compile_target(target: &TargetServices, upstreams: &mut Upstreams) -> RouteTarget {
    match target {
        TargetServices::Service(name) => {
            RouteTarget::Split(vec![(upstreams.service_key(name), 1.0)])
        }
        TargetServices::Split(parts) => {
            let parts = parts
                .iter()
                .map(|part| (upstreams.service_key(&part.service), part.weight.max(0.0)));
            RouteTarget::Split(parts.collect())
        }
        TargetServices::Shards(shards) => {
            let names = shards.services.iter();
            let services: Vec<ServiceKey> = names.map(|name| upstreams.service_key(name)).collect();
            let shards_min = services.len() as f64 * shards.coverage_min;
            RouteTarget::Shards {
                answers_min: round_up_shards(shards_min).max(1),
                records_max: shards.records_max,
                services,
            }
        }
    }
}

/// Rounds a fraction of the shards up to whole shards. Because of rounding errors, a product such
/// as 0.85 * 20 may be slightly above the intended whole number.
fn round_up_shards(shards_min: f64) -> usize {
    const ROUNDING_TOLERANCE: f64 = 1e-9;
    (shards_min - ROUNDING_TOLERANCE).ceil().max(0.0) as usize
}

impl Route {
    /// Returns the cost added for an upstream of another region, on top of its distance, in
    /// milliseconds. A single request stays in its region if its target latency allows, since its
    /// complete answer would cross regions; a search waits for its slowest shard, so no cost is
    /// added.
    pub(super) fn other_region_cost_ms(&self) -> f64 {
        match self.target {
            RouteTarget::Split(_) => {
                self.entry.target_latency_ms as f64 * OTHER_REGION_SAVING_FRACTION
            }
            RouteTarget::Shards { .. } => 0.0,
        }
    }

    /// Returns whether the answers of several services are merged.
    pub fn is_search(&self) -> bool {
        matches!(self.target, RouteTarget::Shards { .. })
    }
}
