//! What an instance that dispatches directly is told: routes, services and upstreams.
//!
//! A [`RouteDocument`] replaces the one before it as a whole, so that an instance that missed
//! versions needs nothing but the newest. Upstreams register one by one and come and go between
//! versions; an [`UpstreamEntry`] is one such registration. Names are text here; whoever decides
//! turns them into keys once.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// One version of all routes and services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// Grows with each version, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteEntry>,
    /// All services that routes name.
    pub services: Vec<ServiceEntry>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Where requests of one host and path prefix go, and what may be done with them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteEntry {
    /// Names the route in logs.
    pub name: String,
    /// The host that the request names.
    pub host: String,
    /// The beginning of the path. It begins and ends with a slash.
    pub path_prefix: String,
    /// What serves the request.
    pub target: Target,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// To how many upstreams of one service a request may be sent.
    pub attempts_max: u32,
    /// How long a request may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Within which time an answer is of full use to the caller, in milliseconds.
    pub target_latency_ms: u64,
    /// The rank of the request; 0 is the most urgent.
    pub priority: u32,
    /// The regions whose upstreams may serve the request; empty for all.
    pub regions: Vec<String>,
}

/// What serves the requests of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Target {
    /// One upstream of this service.
    Service(String),
    /// One upstream of one of these services, by weight.
    Split(Vec<WeightedService>),
    /// One upstream of each of these services, whose answers are merged.
    Shards(ShardTarget),
}

/// One service of a split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its share, in proportion to the other weights.
    pub weight: f64,
}

/// A set of shards whose answers are merged into one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardTarget {
    /// The services that hold the shards.
    pub services: Vec<String>,
    /// How many records the merged answer holds at most.
    pub records_max: usize,
    /// The least share of shards, from 0 to 1, with which an answer is of use.
    pub coverage_min: f64,
}

/// What is known of a service beside its upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceEntry {
    /// The name that routes use.
    pub name: String,
    /// How many connections an upstream accepts from all instances together.
    pub connections_max: u32,
    /// How many requests a second a cold upstream bears from all instances together; `None` if
    /// there is no bound.
    pub cold_per_s: Option<f64>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_max_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// How long a caller may take to send a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a kept connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// What one upstream says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEntry {
    /// The upstream's id; a restart may keep it.
    pub id: String,
    /// Tells one start of this id from another; a later one is greater.
    pub incarnation: u64,
    /// Grows with each time that this start of it writes.
    pub sequence: u64,
    /// The service that it is an upstream of.
    pub service: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it has said that it is about to stop.
    pub draining: bool,
    /// How much longer it stays cold, in milliseconds.
    pub cold_ms: u64,
}

/// The part of a search that one instance collects for another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The name of the search's route.
    pub route: String,
    /// The version of the routes that the search is served by.
    pub version: u64,
    /// To how many upstreams of one service the request may be sent.
    pub attempts_max: u32,
    /// Within which time an answer is of full use to the caller, in milliseconds.
    pub target_latency_ms: u64,
    /// How many records the merged answer holds at most; records that can't be among them may be left out.
    pub records_max: usize,
    /// What is to be collected.
    pub parts: Vec<BatchPart>,
}

/// What one service contributes to a [`Batch`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchPart {
    /// The service.
    pub service: String,
    /// The ids of the upstreams that may be asked, so that both instances together ask no others.
    pub upstreams: Vec<String>,
    /// What the other instance gives of its own part of the bound on repeats, in thousandths of one.
    pub repeats_permille: u32,
}

/// What one instance of the tier says of itself to the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Its name, which a restart keeps.
    pub name: String,
    /// The availability zone that it runs in.
    pub zone: String,
    /// Where it passes on what it reads in the registry, if it does.
    pub relay: Option<SocketAddr>,
    /// How much of a processor it has, in thousandths of a core.
    #[serde(default = "one_core")]
    pub cpu_permille: u32,
    /// The name of the instance that has registered it.
    #[serde(default)]
    pub registered_by: Option<String>,
}

/// Returns the processor time of an instance that does not say what it has.
fn one_core() -> u32 {
    1_000
}

/// How an instance is to learn what the registry holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reading {
    /// It reads the registry for itself.
    pub reads: bool,
    /// Whom it follows if it does not read, or can't: the best one first.
    pub relays: Vec<SocketAddr>,
}
