//! Commands of a member to its daemon, and the values that the daemon passes in.

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::member::PeerCondition;
use hemlockrouter_wire::Message;

/// Destination of a message.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Destination {
    /// A known instance, whose address [`Member::peer`](crate::Member::peer) returns.
    Instance(InstanceId),
    /// The instance that receives messages at an address, if there is one.
    Address(SocketAddr),
}

/// Command that the daemon executes, in the order in which commands are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message, which may be lost.
    Send {
        /// Destination of the message.
        to: Destination,
        /// Message to send.
        message: Message,
    },
    /// Dispatch to an upstream until the given instant and not after, because this instance holds
    /// its lease.
    HoldLease {
        /// Upstream whose lease is held.
        upstream: UpstreamKey,
        /// End of the lease, on this instance's clock.
        until: Time,
    },
    /// Dispatch nothing more to an upstream, because this instance gave up its lease.
    DropLease {
        /// Upstream whose lease was given up.
        upstream: UpstreamKey,
    },
    /// Apply a release note, then call [`Member::apply_catalog`](crate::Member::apply_catalog).
    ApplyNote {
        /// Number of the note, which follows that of the last applied note.
        number: ConfigNumber,
        /// Encoded release note.
        note: Vec<u8>,
    },
    /// Replace the catalogue by a base document, then call
    /// [`Member::apply_catalog`](crate::Member::apply_catalog).
    ApplyBase {
        /// Encoded base document.
        document: Vec<u8>,
    },
    /// Send the catalogue in force as a [`Base`](hemlockrouter_wire::relay::RelayMessage::Base)
    /// message to an instance that lacks more notes than this one keeps.
    SendBase {
        /// Instance to which the catalogue is sent.
        to: InstanceId,
    },
    /// Start to follow the store for new release notes.
    WatchStore,
    /// Stop following the store.
    UnwatchStore,
    /// Call the store about the tie-break record that this instance shares with another one, then
    /// call [`Member::handle_tie_break_answer`](crate::Member::handle_tie_break_answer), even if
    /// the store did not answer.
    BreakTie {
        /// Other instance that shares the tie-break record.
        other: InstanceId,
        /// Operation on the tie-break record.
        call: TieBreakCall,
    },
    /// Log a placement decision.
    Decision(Decision),
}

/// Operation on the tie-break record that two instances of a zone share in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TieBreakCall {
    /// Take the record, unless the other instance has it.
    Take,
    /// Give the record back, if this instance has it.
    GiveBack,
}

/// Result of a [`TieBreakCall`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TieBreakAnswer {
    /// This instance has the record, and the other one can't take it.
    Taken,
    /// The other instance already has the tie-break record.
    Refused,
    /// This instance no longer has the tie-break record.
    GivenBack,
    /// The store did not answer, or the record changed during the call. The call may take effect
    /// later.
    Unavailable,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// The health check of the instance passes.
    Passing,
    /// The health check of the instance fails.
    Critical,
    /// The instance is marked as leaving.
    Leaving,
}

/// Entry of one instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Address at which the instance receives messages.
    pub address: SocketAddr,
    /// Name of the availability zone of the instance.
    pub zone: String,
    /// State of the instance in the list.
    pub state: ListedState,
}

/// State of an instance as this instance knows it, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerStatus {
    /// Id, address and zone of the instance.
    pub peer: Peer,
    /// Condition of the instance.
    pub condition: PeerCondition,
    /// Whether the instance counts in the quorums of its zone.
    pub established: bool,
    /// Configuration number that the instance reported last.
    pub config: Option<ConfigNumber>,
    /// Time since this instance last received a message from the other one, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}
