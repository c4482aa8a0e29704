//! Reports the dispatcher's state to operators, and explains where a request would be sent now.

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use serde::Serialize;

use super::dispatcher::Dispatcher;
use super::table::RouteTarget;
use super::upstreams::CandidateFilter;
use super::upstreams::Criteria;

/// The state of a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The name of the instance.
    pub instance: String,
    /// The availability zone of the instance.
    pub zone: String,
    /// The version of the routes in force.
    pub version: u64,
    /// The number of routes in force.
    pub routes: usize,
    /// The number of requests that have not ended.
    pub pending: usize,
    /// The instances of the tier that are known to this instance.
    pub instances: Vec<InstanceStatus>,
    /// The registered upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// The state of an instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The name of the instance.
    pub name: String,
    /// The availability zone of the instance.
    pub zone: String,
    /// The address at which the instance serves other instances.
    pub relay: Option<SocketAddr>,
    /// Whether the instance is registered. An instance that is no longer registered is counted for
    /// a while.
    pub present: bool,
    /// Whether parts of searches are delegated to the instance.
    pub collects: bool,
}

/// The state of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// The id of the upstream.
    pub id: String,
    /// The name of the upstream's service.
    pub service: String,
    /// The availability zone of the upstream.
    pub zone: String,
    /// The address at which the upstream serves requests.
    pub address: SocketAddr,
    /// The usability of the upstream, with the reason if its use is restricted.
    pub state: UpstreamState,
    /// The number of calls that have not ended.
    pub in_flight: u32,
    /// The expected cost of a call, in milliseconds. The upstream with the lowest cost is chosen.
    pub cost_ms: f64,
}

/// The usability of an upstream, with the reason if its use is restricted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream is used without restriction.
    Used,
    /// The upstream is shutting down, or its registration has ended: it is used for a short time if
    /// no other upstream is available.
    Leaving,
    /// The upstream is not used: its availability zone is out of service, the upstream has left, or
    /// the route does not allow its region.
    Excluded,
    /// The upstream has asked for a pause.
    Resting,
    /// Recent connections to the upstream have failed.
    Unreachable,
    /// The upstream has started recently, and receives few requests.
    Cold,
}

/// An explanation of where a request would be sent now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The name of the route that the request takes.
    pub route: String,
    /// The version of the routes in force.
    pub version: u64,
    /// The number of services that must answer.
    pub needed: usize,
    /// The services of the route, each with the instance and the upstreams that would be used.
    pub parts: Vec<PartExplanation>,
}

/// An explanation of where a part of a request would be sent now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PartExplanation {
    /// The name of the service that serves the part.
    pub service: String,
    /// The instance that would collect the part; `None` for this instance.
    pub collector: Option<SocketAddr>,
    /// The upstreams of the service, in the order in which they would be chosen.
    pub upstreams: Vec<UpstreamStatus>,
}

impl Dispatcher {
    /// Returns the state of the dispatcher.
    pub fn status(&self, now: Time) -> Status {
        let config = self.config();
        let upstreams = self.upstreams();
        let instances = upstreams
            .instances()
            .all()
            .map(|(entry, present)| InstanceStatus {
                name: entry.name.clone(),
                zone: entry.zone.clone(),
                relay: entry.relay,
                present,
                collects: entry
                    .relay
                    .is_some_and(|relay| self.is_collector(now, relay)),
            });
        Status {
            instance: config.name.clone(),
            zone: config.zone.clone(),
            version: self.route_table().version(),
            routes: self.route_table().len(),
            pending: self.pending_requests(),
            instances: instances.collect(),
            upstreams: upstreams.status(now),
        }
    }

    /// Explains where a request would be sent now; returns `None` if no route matches.
    pub fn explain(&self, now: Time, host: &str, path: &str) -> Option<Explanation> {
        let route = self.route_table().find(host, path)?;
        let services: Vec<ServiceKey> = match &route.target {
            RouteTarget::Split(parts) => parts.iter().map(|(service, _)| *service).collect(),
            RouteTarget::Shards { services, .. } => services.clone(),
        };
        let collectors = self.collectors_of(now, route);
        let parts = services.iter().zip(collectors);
        let parts = parts.map(|(service, collector)| {
            let criteria = Criteria {
                service: *service,
                regions: &route.entry.regions,
                candidate_filter: CandidateFilter::AllBut(&[]),
                other_region_cost_ms: route.other_region_cost_ms(),
            };
            PartExplanation {
                service: String::from(self.upstreams().service_name(*service)),
                collector,
                upstreams: self.upstreams().explain(now, &criteria),
            }
        });
        Some(Explanation {
            route: route.entry.name.clone(),
            version: route.version,
            needed: match &route.target {
                RouteTarget::Split(_) => 1,
                RouteTarget::Shards { answers_min, .. } => *answers_min,
            },
            parts: parts.collect(),
        })
    }
}
