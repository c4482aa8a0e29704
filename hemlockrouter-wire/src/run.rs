//! Requests that must not be repeated, on their way to the one instance that may run them.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A message about a request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunMessage {
    /// A request with a ticket that the receiver issued.
    Forward(ForwardRun),
    /// How a forwarded request ended.
    Ended(ForwardEnded),
}

/// A request with a ticket, for the instance that issued the ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRun {
    /// Names the request to the instance that forwards it.
    pub id: QueryId,
    /// The configuration that the keys belong to.
    pub config: ConfigNumber,
    /// The customer.
    pub customer: CustomerKey,
    /// The operation.
    pub operation: OperationKey,
    /// The ticket, as the caller sent it.
    pub ticket: String,
    /// What is left until the deadline, in milliseconds.
    pub deadline_in_ms: u32,
    /// The request, as the caller sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How a forwarded request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardEnded {
    /// The id under which it was forwarded.
    pub id: QueryId,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// How a request that must not be repeated ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It ran, and this is its answer.
    Done {
        /// The upstream's answer.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// It did not run and will not.
    NotRun(Refusal),
    /// It may have run. It will not be run again.
    Unknown,
    /// The idempotency key or ticket was used before for another request; this one did not run.
    Conflict,
}
