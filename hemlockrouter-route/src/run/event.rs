//! What a [`Runner`](super::Runner) is told and what it commands.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;

use super::Claim;

/// A request that must not be repeated, as a caller sent it to this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Its id.
    pub id: QueryId,
    /// The customer that asks.
    pub customer: CustomerKey,
    /// The operation.
    pub operation: OperationKey,
    /// What names the request at each repeat.
    pub via: Via,
    /// The SHA-256 hash of the request's body.
    pub body_hash: [u8; 32],
    /// When the caller must have the outcome.
    pub deadline: Time,
}

/// What names a request at each repeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Via {
    /// A ticket that an instance issued.
    Ticket(String),
    /// An idempotency key that the caller chose.
    Key(String),
}

/// What came of a [`RunCommand::Claim`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim is written, or was found written with the same nonce.
    Won,
    /// This claim was there before.
    Taken(Claim),
    /// The store did not answer: the claim may or may not be written.
    Unavailable,
}

/// What a [`Runner`](super::Runner) wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RunCommand {
    /// Write `claim` to the store, if there is none under `key`.
    Claim {
        /// The request that waits for it.
        id: QueryId,
        /// The last part of the store's key.
        key: String,
        /// The claim.
        claim: Claim,
    },
    /// Send the request to the instance that alone may run it.
    Forward {
        /// The request.
        id: QueryId,
        /// The instance.
        to: InstanceId,
        /// What names the request there.
        ticket: String,
    },
    /// Send the request to the owner of `upstream`. It may run from here on.
    Dispatch {
        /// The sub-request.
        id: SubId,
        /// The request whose body it carries.
        query: QueryId,
        /// The upstream.
        upstream: UpstreamKey,
        /// Names the request to the upstream, the same at every try.
        run_id: String,
        /// The configuration that the keys belong to.
        config: ConfigNumber,
        /// When the owner must be done: its reply is due here a round trip to it later.
        deadline: Time,
    },
    /// Answer a caller of this instance.
    Answer {
        /// The request.
        id: QueryId,
        /// How it ended.
        outcome: RunOutcome,
        /// The ticket that it came with, if it came with one.
        ticket: Option<String>,
    },
    /// Answer the instance that forwarded a request.
    ForwardAnswer {
        /// The instance.
        to: InstanceId,
        /// The id under which it was forwarded.
        id: QueryId,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// Log how a request was decided, once for each caller that is answered.
    Decision(Decision),
}
