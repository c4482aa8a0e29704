//! Experiments: the tier's decisions under load and faults, in virtual time and beside baselines.
//!
//! An experiment drives the decision code that the daemons drive, `Searcher` and `Admission` at the
//! entry instances and `Limiter` at the owners, over a queue of messages with the delays of a real
//! deployment. Upstreams are small fakes. Nothing waits for a clock and all randomness comes from a
//! seed, so that the same options give the same report everywhere.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_lab::experiment;
//! use hemlockrouter_lab::experiment::Deployment;
//! use hemlockrouter_lab::experiment::Options;
//! use hemlockrouter_lab::experiment::Policy;
//! use hemlockrouter_lab::experiment::Scenario;
//!
//! let options = Options::new(Deployment::Daegu, Scenario::Calm, Policy::Owners).seconds(1);
//! let report = experiment::run(options);
//! assert_eq!(report.lost, 0);
//! ```
//!
//! # Modules
//!
//! - `layout`: the deployments.
//! - `fake`: upstreams.
//! - `instance`: instances of the tier.
//! - `aimd`: the dispatcher of one of the baselines.
//! - `sim`: the queue of messages, and the entry's side of it.
//! - `dispatch`: the owner's side.
//! - `fault`: what goes wrong in each scenario.
//! - `record`: what is recorded of queries, and the report.
//! - `table`: reports as text.

mod aimd;
mod dispatch;
mod fake;
mod fault;
mod instance;
mod layout;
mod record;
mod sim;
mod table;

use derive_more::Display;
use serde::Serialize;

pub use self::record::Latency;
pub use self::record::Report;
pub use self::table::table;

/// Whose places, services and queries.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Hall searches, the reservation ledger and the notice board; 9 instances.
    #[display("daegu")]
    Daegu,
    /// Mill Queries, Crew Queries, scale tickets and the mill board; 8 instances.
    #[display("brazos")]
    Brazos,
}

/// What happens.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing, at 30 % of the slots.
    #[display("calm")]
    Calm,
    /// One sub-request in a hundred takes 20 times as long.
    #[display("stragglers")]
    Stragglers,
    /// Queries ask for 150 % of the slots.
    #[display("overload")]
    Overload,
    /// One replica is lost for good.
    #[display("replica_lost")]
    ReplicaLost,
    /// One upstream in ten restarts at the same moment, without warning, and is cold.
    #[display("cold_restart")]
    ColdRestart,
    /// A zone is taken out by a release note, and comes back cold.
    #[display("zone_out")]
    ZoneOut,
    /// The platform's store does not answer for the whole time.
    #[display("store_down")]
    StoreDown,
}

/// How the tier decides: as designed, or as one of the baselines, which each differ in one thing.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// This design: one owner for each upstream, hedges within a budget.
    #[display("owners")]
    Owners,
    /// The same without hedges.
    #[display("no_hedging")]
    NoHedging,
    /// Each instance dispatches directly, with its share of the slots of each upstream, at least 1.
    #[display("split_limits")]
    SplitLimits,
    /// Each instance dispatches directly, with limits that rise on answers and halve on shed ones.
    #[display("aimd")]
    Aimd,
    /// Owners, but the replica is chosen by the load that its health endpoint reports late.
    #[display("least_loaded")]
    LeastLoaded,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Deployment; 2] = [Deployment::Daegu, Deployment::Brazos];
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 7] = [
        Scenario::Calm,
        Scenario::Stragglers,
        Scenario::Overload,
        Scenario::ReplicaLost,
        Scenario::ColdRestart,
        Scenario::ZoneOut,
        Scenario::StoreDown,
    ];

    /// Returns how long it is measured by default, in seconds.
    pub fn default_seconds(self) -> u64 {
        match self {
            Scenario::ZoneOut => 40,
            Scenario::StoreDown => 600,
            _ => 20,
        }
    }
}

impl Policy {
    /// All policies, this design first.
    pub const ALL: [Policy; 5] = [
        Policy::Owners,
        Policy::NoHedging,
        Policy::SplitLimits,
        Policy::Aimd,
        Policy::LeastLoaded,
    ];

    /// Returns whether every instance dispatches to every upstream.
    fn is_direct(self) -> bool {
        matches!(self, Policy::SplitLimits | Policy::Aimd)
    }
}

/// What to run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Options {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The policy.
    pub policy: Policy,
    /// Where all randomness comes from.
    pub seed: u64,
    /// How long is measured, in seconds of virtual time.
    pub seconds: u64,
}

impl Options {
    /// Makes options with seed 1 and the scenario's own length.
    pub fn new(deployment: Deployment, scenario: Scenario, policy: Policy) -> Options {
        Options {
            deployment,
            scenario,
            policy,
            seed: 1,
            seconds: scenario.default_seconds(),
        }
    }

    /// Sets the seed.
    pub fn seed(mut self, seed: u64) -> Options {
        self.seed = seed;
        self
    }

    /// Sets how long is measured, in seconds of virtual time.
    pub fn seconds(mut self, seconds: u64) -> Options {
        self.seconds = seconds.max(1);
        self
    }
}

/// Runs one experiment.
pub fn run(options: Options) -> Report {
    sim::Sim::new(options).run()
}
