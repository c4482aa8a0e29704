//! Requests that must not be repeated, forwarded to the one instance that may run them.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Message about a request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunMessage {
    /// Request with a ticket that the receiver issued.
    Forward(ForwardedRun),
    /// Outcome of a forwarded request.
    Ended(ForwardedRunEnded),
}

/// Request with a ticket, for the instance that issued the ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRun {
    /// Id of the request, assigned by the instance that forwards it.
    pub id: QueryId,
    /// Number of the configuration to which the keys belong.
    pub config: ConfigNumber,
    /// Customer that sent the request.
    pub customer: CustomerKey,
    /// Operation that the request calls.
    pub operation: OperationKey,
    /// Ticket of the request, as the caller sent it.
    pub ticket: String,
    /// Time left until the deadline, in milliseconds.
    pub deadline_in_ms: u32,
    /// Body of the request, as the caller sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Outcome of a forwarded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRunEnded {
    /// Id under which the request was forwarded.
    pub id: QueryId,
    /// Outcome of the request.
    pub outcome: RunOutcome,
}

/// Outcome of a request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The request ran and was answered.
    Done {
        /// Body of the upstream's answer.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The request did not run and will not run.
    NotRun(Refusal),
    /// The request may have run and will not be run again.
    Unknown,
    /// The idempotency key or ticket was used before for another request, and this request did not
    /// run.
    Conflict,
}
