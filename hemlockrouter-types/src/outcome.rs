//! Refusals and how a request ended. Outcomes are values: nothing here is an error of the program.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Why work was refused. The name in snake case is the stable code that callers see.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The customer's own limit on requests at once or per second is used up.
    #[display("customer_limit")]
    CustomerLimit,
    /// The upstream's queue is full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline can't be met any more.
    #[display("deadline")]
    Deadline,
    /// The upstream answered that it sheds load and did not start the work.
    #[display("shed")]
    Shed,
    /// The upstream is leaving, or its zone was taken out.
    #[display("leaving")]
    Leaving,
    /// The upstream could not be connected to, so that no byte of the work reached it.
    #[display("unreachable")]
    Unreachable,
    /// The receiving instance does not hold the ownership lease of the upstream.
    #[display("not_owner")]
    NotOwner,
    /// The receiving instance has an older configuration, or the key was withdrawn.
    #[display("not_configured")]
    NotConfigured,
    /// The instance is shutting down or has not started fully.
    #[display("not_ready")]
    NotReady,
    /// The platform's store, which must be asked first, is not answering.
    #[display("store_down")]
    StoreDown,
    /// The sender cancelled the work before it started.
    #[display("cancelled")]
    Cancelled,
    /// Fewer shards of a search answered in time than the caller asked for; some were searched.
    #[display("coverage")]
    Coverage,
}

/// A refusal of work that did not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{reason}, retry after {retry_after_ms} ms")]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller should come back, in milliseconds from now.
    pub retry_after_ms: u32,
}
