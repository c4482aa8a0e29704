//! Ownership leases on upstreams.
//!
//! The holder's clock is echoed back to it, so a lease runs from when the holder sent its request:
//! the two clocks need not agree, only run at about the same rate.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A message about ownership leases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks the receiver to promise not to own `upstreams` for the lease time.
    Ask {
        /// The sender's clock when it sent this.
        sent_at: Time,
        /// The configuration that the keys belong to.
        config: ConfigNumber,
        /// The upstreams.
        upstreams: Vec<UpstreamKey>,
    },
    /// Answers [`Ask`](LeaseMessage::Ask).
    Answer {
        /// The clock that was sent with the question.
        sent_at: Time,
        /// The configuration that the keys belong to.
        config: ConfigNumber,
        /// The upstreams for which the promise is given.
        granted: Vec<UpstreamKey>,
        /// The upstreams for which it is not, and to whom they are promised.
        refused: Vec<Refused>,
    },
    /// Tells that the sender has stopped dispatching to `upstreams` and gives up its leases.
    Release {
        /// The sender's clock when it sent this; it does not undo a promise that was asked for later.
        sent_at: Time,
        /// The configuration that the keys belong to.
        config: ConfigNumber,
        /// The upstreams.
        upstreams: Vec<UpstreamKey>,
    },
}

/// An upstream for which a promise is not given.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The instance that it is promised to, or that holds it.
    pub holder: InstanceId,
}
