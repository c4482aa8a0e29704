//! Configuration of instances that dispatch directly: routes, services and registered upstreams.
//!
//! A [`RouteDocument`] replaces the previous one as a whole, so an instance that missed some
//! versions needs only the newest. Upstreams register one by one and come and go between versions;
//! an [`UpstreamEntry`] is one such registration. Names are text in these types, and the code that
//! makes decisions converts them to keys once.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Routing document: one version of all routes and services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// Version number, which increases with each version, but not always by one.
    pub version: u64,
    /// All routes of this version.
    pub routes: Vec<RouteEntry>,
    /// All services that the routes name.
    pub services: Vec<ServiceEntry>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Faults of the routes and services that can't be read. Requests of such a route are refused.
    #[serde(default)]
    pub unreadable: Vec<String>,
}

/// Route of the requests with one host and path prefix: their target, limits and priority.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteEntry {
    /// Name of the route in logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the request's path, which begins and ends with a slash.
    pub path_prefix: String,
    /// Services that answer the request.
    pub target: TargetServices,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Number of upstreams of one service to which a request may be sent.
    pub attempts_max: u32,
    /// Longest time for which a request may wait for its answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use to the caller, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority of the request. 0 is the most urgent.
    pub priority: u32,
    /// Regions whose upstreams may serve the request. An empty list allows all regions.
    pub regions: Vec<String>,
}

/// Services that answer the requests of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TargetServices {
    /// One upstream of this service answers the request.
    Service(String),
    /// One upstream of one of these services, chosen by weight.
    Split(Vec<WeightedService>),
    /// One upstream of each of these services. Their answers are merged.
    Shards(ShardTarget),
}

/// Service in a weighted traffic split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of requests that the service receives, in proportion to the other weights.
    pub weight: f64,
}

/// Set of shards whose answers are merged into one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardTarget {
    /// Names of the services that hold the shards.
    pub services: Vec<String>,
    /// Largest number of records in the merged answer.
    pub records_max: usize,
    /// Smallest share of shards, from 0 to 1, with which an answer is useful.
    pub coverage_min: f64,
}

/// Properties of a service other than its upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceEntry {
    /// Name of the service, as routes use it.
    pub name: String,
    /// Number of connections that an upstream accepts from all instances together.
    pub connections_max: u32,
    /// Number of requests per second that a cold upstream can process from all instances together,
    /// or `None` if there is no limit.
    pub cold_per_s: Option<f64>,
    /// Path at which an upstream reports its own health, if the service has one.
    #[serde(default)]
    pub health_path: Option<String>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub header_max_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_max_bytes: usize,
    /// Longest time for which a caller may take to send a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for which a kept-alive connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Registration of an upstream, as the upstream itself wrote it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEntry {
    /// Id of the upstream, which may stay the same after a restart.
    pub id: String,
    /// Number of this start of the upstream. A later start has a greater number.
    pub incarnation: u64,
    /// Sequence number of the registration, which increases each time that this start of the
    /// upstream writes.
    pub sequence: u64,
    /// Name of the service to which the upstream belongs.
    pub service: String,
    /// Address at which the upstream serves requests.
    pub address: SocketAddr,
    /// Availability zone in which the upstream runs.
    pub zone: String,
    /// Number of requests that the upstream processes at once.
    pub slots: u32,
    /// Whether the upstream has announced that it will stop.
    pub draining: bool,
    /// Remaining time for which the upstream is cold, in milliseconds.
    pub cold_ms: u64,
}

/// Part of a search that one instance collects on behalf of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Name of the search's route.
    pub route: String,
    /// Version of the routes with which the search is served.
    pub version: u64,
    /// Number of upstreams of one service to which the request may be sent.
    pub attempts_max: u32,
    /// Time within which an answer is of full use to the caller, in milliseconds.
    pub target_latency_ms: u64,
    /// Largest number of records in the merged answer. Records that can't be among them may be left
    /// out.
    pub records_max: usize,
    /// Services whose answers are to be collected.
    pub parts: Vec<BatchPart>,
}

/// Contribution of one service to a [`Batch`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchPart {
    /// Name of the service.
    pub service: String,
    /// Ids of the upstreams that may be asked, so that the two instances together ask no others.
    pub upstreams: Vec<String>,
    /// Part of its retry budget that the instance that sends the batch lends to the collecting one,
    /// in thousandths of a retry.
    pub repeats_permille: u32,
}

/// Registration of an instance of the tier, as other instances read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Name of the instance, which stays the same after a restart.
    pub name: String,
    /// Availability zone in which the instance runs.
    pub zone: String,
    /// Address at which the instance relays what it reads in the registry, if it does.
    pub relay: Option<SocketAddr>,
    /// Processor time available to the instance, in thousandths of a core.
    #[serde(default = "one_core")]
    pub cpu_permille: u32,
    /// Name of the instance that registered this one.
    #[serde(default)]
    pub registered_by: Option<String>,
}

/// Returns the processor time assumed for an instance that reports none, in thousandths of a core.
fn one_core() -> u32 {
    1_000
}

/// Instructions for how an instance learns the contents of the registry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegistryAccess {
    /// Whether the instance reads the registry itself.
    pub reads_registry: bool,
    /// Relays that the instance follows if it does not read the registry or can't reach it, in the
    /// order of preference.
    pub relays: Vec<SocketAddr>,
}
