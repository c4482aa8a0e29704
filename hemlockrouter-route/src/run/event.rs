//! Inputs and commands of a [`Runner`](super::Runner).

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;

use super::Claim;

/// Request that must not be repeated, as a caller sent it to this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRequest {
    /// The id of the call.
    pub id: QueryId,
    /// The customer that sent the request.
    pub customer: CustomerKey,
    /// The operation to run.
    pub operation: OperationKey,
    /// The identifier that stays the same in each repeat of the request.
    pub identifier: RunIdentifier,
    /// The SHA-256 hash of the request's body.
    pub body_hash: [u8; 32],
    /// The time by which the caller must have the outcome.
    pub deadline: Time,
}

/// Identifier that stays the same in each repeat of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunIdentifier {
    /// A ticket that an instance issued.
    Ticket(String),
    /// An idempotency key that the caller chose.
    Key(String),
}

/// Result of a [`RunCommand::Claim`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim was written, or a claim with the same nonce was already in the store.
    Won,
    /// Another claim, given here, was already in the store.
    Taken(Claim),
    /// The store did not answer, so the claim may or may not have been written.
    Unavailable,
}

/// Command of a [`Runner`](super::Runner) to its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum RunCommand {
    /// Write `claim` to the store unless a claim exists under `key`.
    Claim {
        /// The call that waits for the result.
        id: QueryId,
        /// The last segment of the key in the store.
        key: String,
        /// The claim to write.
        claim: Claim,
    },
    /// Forward the request to the only instance that may run it.
    Forward {
        /// The id of the call.
        id: QueryId,
        /// The instance that may run the request.
        to: InstanceId,
        /// The ticket or claim token that identifies the request at that instance.
        ticket: String,
    },
    /// Send the request to the owner of `upstream`. From here on the request may run.
    Dispatch {
        /// The id of the sub-request.
        id: SubRequestId,
        /// The call whose body the sub-request carries.
        query: QueryId,
        /// The upstream that runs the request.
        upstream: UpstreamKey,
        /// The identifier of the request for the upstream, the same in every try.
        run_id: String,
        /// The number of the configuration that the keys belong to.
        config: ConfigNumber,
        /// The time by which the owner must finish. The reply arrives here one round trip later.
        deadline: Time,
    },
    /// Answer a caller of this instance.
    Answer {
        /// The id of the call.
        id: QueryId,
        /// The outcome of the request.
        outcome: RunOutcome,
        /// The ticket that came with the call, if any.
        ticket: Option<String>,
    },
    /// Answer the instance that forwarded a request.
    ForwardAnswer {
        /// The instance that forwarded the request.
        to: InstanceId,
        /// The id under which the request was forwarded.
        id: QueryId,
        /// The outcome of the request.
        outcome: RunOutcome,
    },
    /// Log how a request was decided. The runner sends this once for each answered caller.
    Decision(Decision),
}
