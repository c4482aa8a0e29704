//! Which route a request takes.
//!
//! A request takes the route of its host with the longest prefix that begins its path. Prefixes end
//! with a slash, so there is one candidate for each slash of the path; looking them up from the
//! longest on costs the same however many routes there are.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::RouteEntry;
use hemlockrouter_types::routing::Target;

use super::upstreams::Upstreams;

/// The part of the target latency that must be saved by an upstream of another region.
const OTHER_REGION_PART: f64 = 0.2;

/// A route, with its services as keys.
#[derive(Debug)]
pub struct Route {
    /// The document that the route comes from.
    pub version: u64,
    /// The route as operators wrote it.
    pub entry: RouteEntry,
    /// What serves it.
    pub to: RouteTarget,
}

/// What serves a route, by keys.
#[derive(Debug)]
pub enum RouteTarget {
    /// One of these services, by weight. A route to one service is a split of one.
    Split(Vec<(ServiceKey, f64)>),
    /// All of these services.
    Shards {
        /// The services that hold the shards.
        services: Vec<ServiceKey>,
        /// How many records the merged answer holds at most.
        records_max: usize,
        /// How many shards an answer needs at least.
        needed: usize,
    },
}

/// All routes of one document.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, HashMap<String, Rc<Route>>>,
    routes: usize,
    /// The sets of shards that searches go to; routes often share one.
    searches: BTreeSet<Vec<ServiceKey>>,
}

impl RouteTable {
    /// Compiles `document`, whose services get keys of `upstreams`.
    pub fn new(document: RouteDocument, upstreams: &mut Upstreams) -> RouteTable {
        for service in &document.services {
            upstreams.describe(service);
        }
        let mut table = RouteTable {
            version: document.version,
            hosts: HashMap::new(),
            routes: document.routes.len(),
            searches: BTreeSet::new(),
        };
        for entry in document.routes {
            let to = compile(&entry.target, upstreams);
            if let RouteTarget::Shards { services, .. } = &to {
                table.searches.insert(services.clone());
            }
            let host = table.hosts.entry(entry.host.to_ascii_lowercase());
            let prefix = entry.path_prefix.clone();
            let route = Route {
                version: document.version,
                entry,
                to,
            };
            host.or_default().insert(prefix, Rc::new(route));
        }
        table
    }

    /// Returns the version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Returns the sets of shards that searches go to.
    pub(super) fn searches(&self) -> impl Iterator<Item = &[ServiceKey]> {
        self.searches.iter().map(Vec::as_slice)
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }

    /// Returns the route of a request, if there is one.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let path = path.split(['?', '#']).next().unwrap_or_default();
        path.rmatch_indices('/')
            .find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}

fn compile(target: &Target, upstreams: &mut Upstreams) -> RouteTarget {
    match target {
        Target::Service(name) => RouteTarget::Split(vec![(upstreams.service(name), 1.0)]),
        Target::Split(parts) => {
            let parts = parts
                .iter()
                .map(|part| (upstreams.service(&part.service), part.weight.max(0.0)));
            RouteTarget::Split(parts.collect())
        }
        Target::Shards(shards) => {
            let names = shards.services.iter();
            let services: Vec<ServiceKey> = names.map(|name| upstreams.service(name)).collect();
            let least = services.len() as f64 * shards.coverage_min;
            RouteTarget::Shards {
                needed: needed(least).max(1),
                records_max: shards.records_max,
                services,
            }
        }
    }
}

/// Rounds a share of shards up to whole shards; a product such as 0.85 * 20 may come out a little
/// above the whole number that is meant.
fn needed(least: f64) -> usize {
    const ROUNDING: f64 = 1e-9;
    (least - ROUNDING).ceil().max(0.0) as usize
}

impl Route {
    /// Returns what an upstream of another region costs beside its distance, in milliseconds. A single
    /// request whose target leaves room stays in its region, since its whole answer would cross others; a
    /// search waits for its slowest part, and has no room.
    pub(super) fn far_ms(&self) -> f64 {
        match self.to {
            RouteTarget::Split(_) => self.entry.target_latency_ms as f64 * OTHER_REGION_PART,
            RouteTarget::Shards { .. } => 0.0,
        }
    }

    /// Returns whether the answers of several services are merged.
    pub fn is_gathered(&self) -> bool {
        matches!(self.to, RouteTarget::Shards { .. })
    }
}
