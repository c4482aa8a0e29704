//! The events and commands of the limiter.

use hemlockrouter_types::prelude::*;

/// A sub-request that is offered for dispatch to one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Its id.
    pub id: SubId,
    /// The customer that it is done for.
    pub customer: CustomerKey,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its weight against other work: work of weight 2 gets twice the share of weight 1.
    pub weight: u32,
    /// When its answer is of no use any more.
    pub deadline: Time,
    /// Whether it must not be repeated.
    pub once: bool,
}

/// How a dispatched sub-request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The upstream answered, if only that it has another snapshot or shard map.
    Answered {
        /// How long it took, in milliseconds.
        served_ms: u32,
        /// The id of the upstream's start.
        start: Option<StartId>,
        /// Whether the upstream says that it is leaving.
        leaving: bool,
    },
    /// The upstream sheds load and did not start the work.
    Shed {
        /// When the upstream can take work again, in milliseconds.
        retry_after_ms: u32,
        /// The id of the upstream's start.
        start: Option<StartId>,
    },
    /// The upstream is leaving and did not start the work.
    Leaving,
    /// The upstream could not be connected to.
    Unreachable,
    /// No answer came in time.
    TimedOut,
    /// The connection broke off without an answer: the upstream may have restarted.
    Broken,
    /// The upstream failed.
    Failed,
    /// The work was not sent, because the lease had run out.
    NotSent,
    /// The work was cancelled, and the upstream confirmed it or closed the connection.
    Cancelled,
}

/// What the limiter wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send the work to the upstream, if the clock, read again just before, is below `lease_until`;
    /// otherwise report [`Ended::NotSent`].
    Dispatch {
        /// The work.
        id: SubId,
        /// The upstream.
        upstream: UpstreamKey,
        /// When the ownership lease runs out.
        lease_until: Time,
        /// When the answer is of no use any more.
        deadline: Time,
    },
    /// Tell the sender that the work did not run.
    Refuse {
        /// The work.
        id: SubId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Ask the upstream to cancel the work. It counts as in flight until
    /// [`Limiter::finish`](crate::Limiter::finish).
    CancelUpstream {
        /// The work.
        id: SubId,
        /// The upstream.
        upstream: UpstreamKey,
    },
    /// Log a decision.
    Decision(Decision),
}

/// The condition of one upstream, as its owner sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// How many sub-requests may be in flight.
    pub limit: u32,
    /// How many sub-requests are in flight.
    pub in_flight: u32,
    /// How many sub-requests wait.
    pub queued: u32,
    /// Whether it is in a cold start.
    pub cold: bool,
    /// Whether it is leaving or out of service.
    pub leaving: bool,
}
