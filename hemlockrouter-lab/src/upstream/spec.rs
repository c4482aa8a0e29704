//! The capacity and the behaviour of a simulated upstream.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The capacity and timing of one simulated upstream, fixed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name of the upstream, which its results carry.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of requests served at once.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Maximum number of requests in flight that a cold upstream withstands.
    #[serde(default = "cold_slots")]
    pub cold_slots: usize,
    /// Maximum number of queued requests; further requests are shed.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Maximum number of open connections.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Extra service time of the first request on a connection, in milliseconds.
    #[serde(default = "connect_ms")]
    pub connect_ms: u64,
    /// Mean service time of a warm upstream, in milliseconds.
    #[serde(default = "serve_ms")]
    pub serve_ms: u64,
    /// Mean service time of a cold upstream, in milliseconds.
    #[serde(default = "cold_ms")]
    pub cold_ms: u64,
    /// Minimum number of answers before a cold upstream becomes warm.
    #[serde(default = "warm_answers")]
    pub warm_answers: u64,
    /// Minimum time before a cold upstream becomes warm, in milliseconds.
    #[serde(default = "warm_ms")]
    pub warm_ms: u64,
    /// Time for which all requests fail after an overload of the cold upstream, in milliseconds.
    #[serde(default = "fall_ms")]
    pub fall_ms: u64,
    /// Number of snapshots that the upstream keeps.
    #[serde(default = "snapshots_kept")]
    pub snapshots_kept: u64,
    /// Seed of the random service times, stragglers and failures.
    #[serde(default)]
    pub seed: u64,
    /// Whether the upstream starts warm.
    #[serde(default)]
    pub warm: bool,
}

impl UpstreamSpec {
    /// Creates a spec with the defaults: 2 slots, 1 slot while cold, 25 connections with a setup time
    /// of 6 ms each, and 5 ms for each request.
    pub fn new(name: &str, listen: SocketAddr) -> UpstreamSpec {
        UpstreamSpec {
            name: name.to_owned(),
            listen,
            slots: slots(),
            cold_slots: cold_slots(),
            queue: queue(),
            connections: connections(),
            connect_ms: connect_ms(),
            serve_ms: serve_ms(),
            cold_ms: cold_ms(),
            warm_answers: warm_answers(),
            warm_ms: warm_ms(),
            fall_ms: fall_ms(),
            snapshots_kept: snapshots_kept(),
            seed: 0,
            warm: false,
        }
    }
}

fn slots() -> usize {
    2
}

fn cold_slots() -> usize {
    1
}

fn queue() -> usize {
    2
}

fn connections() -> usize {
    25
}

fn connect_ms() -> u64 {
    6
}

fn serve_ms() -> u64 {
    5
}

fn cold_ms() -> u64 {
    20
}

fn warm_answers() -> u64 {
    10
}

fn warm_ms() -> u64 {
    500
}

fn fall_ms() -> u64 {
    2_000
}

fn snapshots_kept() -> u64 {
    3
}

/// The behaviour of a simulated upstream, which can change while it runs.
///
/// `PUT /lab/control` accepts these fields; omitted fields keep their value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamBehaviour {
    /// Newest snapshot that the upstream serves.
    pub snapshot: u64,
    /// Version of the shard map; `null` accepts any.
    pub map: Option<u32>,
    /// Whether the upstream is leaving, which its answers state at once and its health after a lag.
    pub leaving: bool,
    /// Whether a leaving upstream refuses new requests.
    pub refuse_when_leaving: bool,
    /// Whether the upstream breaks off every exchange.
    pub down: bool,
    /// Requests in a thousand that are stragglers.
    pub straggle_per_mille: u32,
    /// Factor by which the service time of a straggler is longer.
    pub straggle_times: u64,
    /// Requests in a thousand that fail after they have run.
    pub fail_per_mille: u32,
    /// Interval, in requests, at which an answer is lost after the request has run; 0 loses none.
    pub lose_answers_every: u64,
    /// Lag of the health endpoint, in milliseconds.
    pub health_lag_ms: u64,
    /// Load that the health endpoint reports instead of the actual load, in percent.
    pub claimed_load_percent: Option<u32>,
}

impl Default for UpstreamBehaviour {
    fn default() -> UpstreamBehaviour {
        UpstreamBehaviour {
            snapshot: 1,
            map: None,
            leaving: false,
            refuse_when_leaving: false,
            down: false,
            straggle_per_mille: 0,
            straggle_times: 20,
            fail_per_mille: 0,
            lose_answers_every: 0,
            health_lag_ms: 2_000,
            claimed_load_percent: None,
        }
    }
}
