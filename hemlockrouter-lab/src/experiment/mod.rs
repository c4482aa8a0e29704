//! A discrete-event simulation that compares the tier's decisions with baselines under load and
//! faults.
//!
//! An experiment runs the production decision code: `Searcher` and `Admission` at the entry
//! instances, and `Limiter` at the owners. Messages pass through an event queue with the delays of
//! a real deployment, and upstreams are small fakes. Time is virtual and all randomness comes from
//! a seed, so the same options give the same report everywhere.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_lab::experiment;
//! use hemlockrouter_lab::experiment::Deployment;
//! use hemlockrouter_lab::experiment::ExperimentOptions;
//! use hemlockrouter_lab::experiment::Policy;
//! use hemlockrouter_lab::experiment::Scenario;
//!
//! let options = ExperimentOptions::new(Deployment::Daegu, Scenario::Calm, Policy::Owners).seconds(1);
//! let report = experiment::run(options);
//! assert_eq!(report.lost, 0);
//! ```
//!
//! # Modules
//!
//! - `layout`: the zones, services, customers and queries of the deployments.
//! - `fake`: a fake of an upstream.
//! - `instance`: one simulated router instance.
//! - `aimd`: a dispatcher with additive-increase, multiplicative-decrease limits, a baseline.
//! - `sim`: the event queue, and the events at entry instances.
//! - `dispatch`: the events at dispatching instances and upstreams.
//! - `fault`: the faults injected in each scenario.
//! - `record`: the record of each query, and the report.
//! - `table`: the text form of reports.

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

pub use self::record::ExperimentReport;
pub use self::record::LatencyPercentiles;
pub use self::table::table;

/// The deployment to simulate: its zones, services and queries.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// A deployment with hall searches, the reservation ledger, the notice board and 9 instances.
    #[display("daegu")]
    Daegu,
    /// A deployment with Mill Queries, Crew Queries, scale tickets, the mill board and 8 instances.
    #[display("brazos")]
    Brazos,
}

/// The load and the faults to simulate.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// No faults, with queries that ask for 30 % of the slots.
    #[display("calm")]
    Calm,
    /// One sub-request in a hundred takes 20 times its normal service time.
    #[display("stragglers")]
    Stragglers,
    /// Overload by queries that ask for 150 % of the slots.
    #[display("overload")]
    Overload,
    /// One replica is permanently lost.
    #[display("replica_lost")]
    ReplicaLost,
    /// One upstream in ten restarts cold and without warning, all at the same time.
    #[display("cold_restart")]
    ColdRestart,
    /// A release note takes a zone out of service, and the zone comes back cold.
    #[display("zone_out")]
    ZoneOut,
    /// The platform's store is down for the whole run.
    #[display("store_down")]
    StoreDown,
}

/// The dispatch policy: the production policy, or a baseline that differs from it in one respect.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The production policy: one owner for each upstream, and hedges within a budget.
    #[display("owners")]
    Owners,
    /// The production policy without hedges.
    #[display("no_hedging")]
    NoHedging,
    /// Each instance dispatches directly, with an equal share of each upstream's slots, but at
    /// least 1.
    #[display("split_limits")]
    SplitLimits,
    /// Each instance dispatches directly, with a limit for each upstream that rises on answers and
    /// halves on shed or failed requests.
    #[display("aimd")]
    Aimd,
    /// Owners dispatch, but the replica is chosen by the lagging load of its health endpoint.
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

    /// Returns the default length of the measured time, in seconds of virtual time.
    pub fn default_seconds(self) -> u64 {
        match self {
            Scenario::ZoneOut => 40,
            Scenario::StoreDown => 600,
            _ => 20,
        }
    }
}

impl Policy {
    /// All policies, with the production policy first.
    pub const ALL: [Policy; 5] = [
        Policy::Owners,
        Policy::NoHedging,
        Policy::SplitLimits,
        Policy::Aimd,
        Policy::LeastLoaded,
    ];

    /// Returns whether every instance dispatches to every upstream directly, without an owner.
    fn is_direct(self) -> bool {
        matches!(self, Policy::SplitLimits | Policy::Aimd)
    }
}

/// Options of an experiment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ExperimentOptions {
    /// Deployment to simulate.
    pub deployment: Deployment,
    /// Scenario to simulate.
    pub scenario: Scenario,
    /// Dispatch policy of the instances.
    pub policy: Policy,
    /// Seed of all randomness.
    pub seed: u64,
    /// Length of the measured time, in seconds of virtual time.
    pub seconds: u64,
}

impl ExperimentOptions {
    /// Creates options with seed 1 and the default length of the scenario.
    pub fn new(deployment: Deployment, scenario: Scenario, policy: Policy) -> ExperimentOptions {
        ExperimentOptions {
            deployment,
            scenario,
            policy,
            seed: 1,
            seconds: scenario.default_seconds(),
        }
    }

    /// Sets the seed.
    pub fn seed(mut self, seed: u64) -> ExperimentOptions {
        self.seed = seed;
        self
    }

    /// Sets the length of the measured time, in seconds of virtual time, to at least 1.
    pub fn seconds(mut self, seconds: u64) -> ExperimentOptions {
        self.seconds = seconds.max(1);
        self
    }
}

/// Runs one experiment and returns its report.
pub fn run(options: ExperimentOptions) -> ExperimentReport {
    sim::Simulation::new(options).run()
}
