//! What a dispatcher knows, and where it would send a request now, for operators.

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use serde::Serialize;

use super::dispatcher::Dispatcher;
use super::table::RouteTarget;
use super::upstreams::Among;
use super::upstreams::Wanted;

/// What a dispatcher knows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The name of the instance.
    pub instance: String,
    /// The availability zone of the instance.
    pub zone: String,
    /// The version of the routes in force.
    pub version: u64,
    /// The number of routes.
    pub routes: usize,
    /// Requests that have not ended.
    pub pending: usize,
    /// The instances of the tier.
    pub instances: Vec<InstanceStatus>,
    /// The registered upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// What is known of an instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it serves other instances.
    pub relay: Option<SocketAddr>,
    /// Whether it is registered; one that has gone is counted for a while.
    pub present: bool,
    /// Whether parts of searches are given to it.
    pub collects: bool,
}

/// What is known of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Its id.
    pub id: String,
    /// The service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Why it is not used like others, if it is not.
    pub state: UpstreamState,
    /// Calls that have not ended.
    pub in_flight: u32,
    /// What a call is expected to cost there, in milliseconds; the lowest cost is chosen.
    pub cost_ms: f64,
}

/// Whether an upstream is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// It is used.
    Used,
    /// It is leaving, or its registration has ended: it is used for a moment if nothing else is left.
    Leaving,
    /// It is not used: its availability zone is out of service, it has left, or the route does not
    /// allow its region.
    Excluded,
    /// It has asked to be left alone for a while.
    Resting,
    /// No connection to it came about lately.
    Unreachable,
    /// It has started lately, and gets little.
    Cold,
}

/// Where a request would go now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explained {
    /// The route that takes it.
    pub route: String,
    /// The version of the routes in force.
    pub version: u64,
    /// How many services must answer.
    pub needed: usize,
    /// The services, each with who would ask it.
    pub parts: Vec<ExplainedPart>,
}

/// Where a part of a request would go now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExplainedPart {
    /// The service.
    pub service: String,
    /// The instance that would collect it; none if this one would.
    pub collector: Option<SocketAddr>,
    /// The upstreams, the one that would be asked first at the front.
    pub upstreams: Vec<UpstreamStatus>,
}

impl Dispatcher {
    /// Returns what is known.
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
                collects: entry.relay.is_some_and(|relay| self.collects(now, relay)),
            });
        Status {
            instance: config.name.clone(),
            zone: config.zone.clone(),
            version: self.table().version(),
            routes: self.table().len(),
            pending: self.pending(),
            instances: instances.collect(),
            upstreams: upstreams.status(now),
        }
    }

    /// Returns where a request would go now; `None` if no route takes it.
    pub fn explain(&self, now: Time, host: &str, path: &str) -> Option<Explained> {
        let route = self.table().find(host, path)?;
        let services: Vec<ServiceKey> = match &route.to {
            RouteTarget::Split(parts) => parts.iter().map(|(service, _)| *service).collect(),
            RouteTarget::Shards { services, .. } => services.clone(),
        };
        let collectors = self.collectors_of(now, route);
        let parts = services.iter().zip(collectors);
        let parts = parts.map(|(service, collector)| {
            let wanted = Wanted {
                service: *service,
                regions: &route.entry.regions,
                among: Among::AllBut(&[]),
                far_ms: route.far_ms(),
            };
            ExplainedPart {
                service: String::from(self.upstreams().name(*service)),
                collector,
                upstreams: self.upstreams().explain(now, &wanted),
            }
        });
        Some(Explained {
            route: route.entry.name.clone(),
            version: route.version,
            needed: match &route.to {
                RouteTarget::Split(_) => 1,
                RouteTarget::Shards { needed, .. } => *needed,
            },
            parts: parts.collect(),
        })
    }
}
