//! How an upstream's stand-in is sized and how it behaves.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The size of one upstream, fixed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name, which its results carry.
    pub name: String,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Requests that it works on at once.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests at once that it can bear while it is cold.
    #[serde(default = "cold_slots")]
    pub cold_slots: usize,
    /// Requests beyond the slots that wait; further ones are shed.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Connections that it accepts.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Time that the first request on a connection takes longer, in milliseconds.
    #[serde(default = "connect_ms")]
    pub connect_ms: u64,
    /// Mean time that a request takes when it is warm, in milliseconds.
    #[serde(default = "serve_ms")]
    pub serve_ms: u64,
    /// Mean time that a request takes when it is cold, in milliseconds.
    #[serde(default = "cold_ms")]
    pub cold_ms: u64,
    /// Answers that it needs to become warm.
    #[serde(default = "warm_answers")]
    pub warm_answers: u64,
    /// Time that it needs to become warm, in milliseconds.
    #[serde(default = "warm_ms")]
    pub warm_ms: u64,
    /// Time for which everything fails after an overload while cold, in milliseconds.
    #[serde(default = "fall_ms")]
    pub fall_ms: u64,
    /// Number of snapshots that it keeps.
    #[serde(default = "snapshots_kept")]
    pub snapshots_kept: u64,
    /// Seed of its service times, stragglers and failures.
    #[serde(default)]
    pub seed: u64,
    /// Whether it starts warm.
    #[serde(default)]
    pub warm: bool,
}

impl Spec {
    /// Makes a spec with defaults: 2 slots, 1 while cold, 25 connections at 6 ms, 5 ms a request.
    pub fn new(name: &str, listen: SocketAddr) -> Spec {
        Spec {
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

/// What an upstream does, changed while it runs. `PUT /lab/control` takes these fields, and those
/// left out keep their value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Newest snapshot.
    pub snapshot: u64,
    /// Version of the shard map; `null` accepts any.
    pub map: Option<u32>,
    /// Says in its answers, and late in its health, that it is leaving.
    pub leaving: bool,
    /// Refuses new work while it is leaving.
    pub refuse_when_leaving: bool,
    /// Breaks every exchange off.
    pub down: bool,
    /// Requests in a thousand that straggle.
    pub straggle_per_mille: u32,
    /// How many times longer a straggler takes.
    pub straggle_times: u64,
    /// Requests in a thousand that fail after they ran.
    pub fail_per_mille: u32,
    /// One in so many requests runs without an answer; 0 for none.
    pub lose_answers_every: u64,
    /// How much the health endpoint lags, in milliseconds.
    pub health_lag_ms: u64,
    /// The load that the health endpoint claims, in percent, whatever is true.
    pub claimed_load_percent: Option<u32>,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
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
