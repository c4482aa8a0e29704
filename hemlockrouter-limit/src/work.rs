//! Events and commands of the limiter.

use hemlockrouter_types::prelude::*;

/// A sub-request that is offered for dispatch to one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubRequest {
    /// Id of the sub-request.
    pub id: SubRequestId,
    /// Customer on whose behalf the sub-request is sent.
    pub customer: CustomerKey,
    /// Upstream that serves the sub-request.
    pub upstream: UpstreamKey,
    /// Weight in the fair queue: a sub-request of weight 2 gets twice the share of one of weight 1.
    pub weight: u32,
    /// Time after which an answer is useless.
    pub deadline: Time,
    /// Whether the sub-request must not be repeated.
    pub non_repeatable: bool,
}

/// Outcome of a dispatched sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchOutcome {
    /// The upstream answered. This includes answers that only report a different snapshot or shard
    /// map.
    Answered {
        /// Time that the upstream took to answer, in milliseconds.
        served_ms: u32,
        /// Id of the upstream's current start.
        start_id: Option<StartId>,
        /// Whether the upstream announces that it is leaving.
        leaving: bool,
    },
    /// The upstream sheds load and did not start the sub-request.
    Shed {
        /// Time until the upstream can accept work again, in milliseconds.
        retry_after_ms: u32,
        /// Id of the upstream's current start.
        start_id: Option<StartId>,
    },
    /// The upstream is leaving and did not start the sub-request.
    Leaving,
    /// The connection to the upstream could not be established.
    Unreachable,
    /// No answer arrived before the deadline.
    TimedOut,
    /// The connection broke without an answer. The upstream may have restarted.
    ConnectionBroken,
    /// The upstream failed to process the sub-request.
    Failed,
    /// The sub-request was not sent, because the lease had expired.
    NotSent,
    /// The sub-request was cancelled, and the upstream confirmed the cancellation or closed the
    /// connection.
    Cancelled,
}

/// An action that the caller of the limiter carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send the sub-request to the upstream if the clock, read again immediately before, is below
    /// `lease_until`. Otherwise report [`DispatchOutcome::NotSent`].
    Dispatch {
        /// Id of the sub-request.
        id: SubRequestId,
        /// Upstream to send the sub-request to.
        upstream: UpstreamKey,
        /// Time at which the ownership lease expires.
        lease_until: Time,
        /// Time after which an answer is useless.
        deadline: Time,
    },
    /// Tell the sender that the sub-request was not run.
    Refuse {
        /// Id of the sub-request.
        id: SubRequestId,
        /// Reason for the refusal and the time after which to retry.
        refusal: Refusal,
    },
    /// Ask the upstream to cancel the sub-request. The sub-request counts as in flight until
    /// [`Limiter::finish`](crate::Limiter::finish) is called.
    CancelAtUpstream {
        /// Id of the sub-request.
        id: SubRequestId,
        /// Upstream that was sent the sub-request.
        upstream: UpstreamKey,
    },
    /// Log a decision.
    Decision(Decision),
}

/// Status of one upstream, as its owner sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimiterStatus {
    /// Maximum number of sub-requests in flight.
    pub limit: u32,
    /// Number of sub-requests in flight.
    pub in_flight: u32,
    /// Number of sub-requests that wait.
    pub queued: u32,
    /// Whether the upstream is in a cold start.
    pub cold: bool,
    /// Whether the upstream is leaving or out of service.
    pub leaving: bool,
}
