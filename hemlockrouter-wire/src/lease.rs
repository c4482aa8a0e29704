//! Messages about ownership leases on upstreams.
//!
//! The receiver of a request returns the time on the sender's clock at which the request was sent,
//! so a lease runs from that instant. The two clocks need not agree, but must run at about the same
//! rate.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Message about ownership leases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Requests from the receiver a promise that it will not own `upstreams` for the lease time.
    Ask {
        /// Time on the sender's clock when it sent the request.
        sent_at: Time,
        /// Number of the configuration to which the keys belong.
        config: ConfigNumber,
        /// Upstreams whose lease is requested.
        upstreams: Vec<UpstreamKey>,
    },
    /// Answers [`Ask`](LeaseMessage::Ask).
    Answer {
        /// Time on the clock of the requesting instance, copied from the request.
        sent_at: Time,
        /// Number of the configuration to which the keys belong.
        config: ConfigNumber,
        /// Upstreams for which the promise is given.
        granted: Vec<UpstreamKey>,
        /// Upstreams for which the promise is refused, with the instances that they are promised
        /// to.
        refused: Vec<LeaseRefusal>,
    },
    /// Announces that the sender has stopped dispatching to `upstreams` and gives up its leases.
    Release {
        /// Time on the sender's clock when it sent the release. The release does not end a promise
        /// that the sender requested later.
        sent_at: Time,
        /// Number of the configuration to which the keys belong.
        config: ConfigNumber,
        /// Upstreams whose lease is given up.
        upstreams: Vec<UpstreamKey>,
    },
}

/// Upstream for which a promise is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRefusal {
    /// Upstream whose lease was requested.
    pub upstream: UpstreamKey,
    /// Instance to which the upstream is promised, or that holds its lease.
    pub holder: InstanceId,
}
