//! Refusals and their reasons. A refusal is an ordinary value and not an error of the program.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Reason for a refusal. The name in snake case is the stable code that callers see.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The customer's own limit on concurrent requests or on requests per second is exhausted.
    #[display("customer_limit")]
    CustomerLimit,
    /// The upstream's queue is full, or the estimated wait in the queue exceeds the deadline.
    #[display("overloaded")]
    Overloaded,
    /// The deadline can't be met any more.
    #[display("deadline")]
    Deadline,
    /// The upstream answered that it sheds load, and did not start the work.
    #[display("shed")]
    Shed,
    /// The upstream is shutting down, or its zone was taken out of service.
    #[display("leaving")]
    Leaving,
    /// No connection to the upstream could be made, so no byte of the work reached it.
    #[display("unreachable")]
    Unreachable,
    /// The receiving instance does not hold the ownership lease of the upstream.
    #[display("not_owner")]
    NotOwner,
    /// The receiving instance has an older configuration, or the key was withdrawn from its
    /// configuration.
    #[display("not_configured")]
    NotConfigured,
    /// The instance is shutting down or has not finished starting.
    #[display("not_ready")]
    NotReady,
    /// The platform's store, which has to be asked first, does not answer.
    #[display("store_down")]
    StoreDown,
    /// The sender cancelled the work before it started.
    #[display("cancelled")]
    Cancelled,
    /// Some shards of a search answered in time, but fewer than the caller asked for.
    #[display("coverage")]
    Coverage,
}

/// Refusal of work that did not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{reason}, retry after {retry_after_ms} ms")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time from now after which the caller should retry, in milliseconds.
    pub retry_after_ms: u32,
}
