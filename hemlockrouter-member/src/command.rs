//! What a member asks its daemon to do, and what the daemon tells it.

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Condition;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::Message;

/// Where a message goes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum To {
    /// To a known instance; [`Member::peer`](crate::Member::peer) gives its address.
    Instance(InstanceId),
    /// To whichever instance takes messages at an address.
    Address(SocketAddr),
}

/// What the daemon has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: To,
        /// The message.
        message: Message,
    },
    /// The lease on an upstream is held: dispatch to it until the given instant, and not after.
    Hold {
        /// The upstream.
        upstream: UpstreamKey,
        /// The end of the lease on this instance's clock.
        until: Time,
    },
    /// The lease on an upstream was given up: dispatch nothing more to it.
    Drop {
        /// The upstream.
        upstream: UpstreamKey,
    },
    /// Apply a release note, then call [`Member::configure`](crate::Member::configure).
    Apply {
        /// Its number, which follows the last one.
        number: ConfigNumber,
        /// Its bytes.
        note: Vec<u8>,
    },
    /// Replace the catalogue by a base document, then call
    /// [`Member::configure`](crate::Member::configure).
    ApplyBase {
        /// The document.
        document: Vec<u8>,
    },
    /// Send the catalogue in force as a [`Base`](hemlockrouter_wire::relay::RelayMessage::Base) to
    /// an instance that lacks more notes than are kept.
    SendBase {
        /// The receiver.
        to: InstanceId,
    },
    /// Start to follow the store.
    Watch,
    /// Stop to follow the store.
    Unwatch,
    /// Call the store about the record that this instance shares with another one, then call
    /// [`Member::tie_answered`](crate::Member::tie_answered), also if there is no answer.
    Tie {
        /// The other instance.
        other: InstanceId,
        /// What to do.
        call: TieCall,
    },
    /// Log a placement decision.
    Decision(Decision),
}

/// What to do with the record in the store that two instances of a zone share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TieCall {
    /// Take it, unless the other one has.
    Take,
    /// Give it back, if this instance has it.
    GiveBack,
}

/// How a [`TieCall`] ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TieAnswer {
    /// This instance has the record, and the other one can't take it.
    Taken,
    /// The other one has it.
    Refused,
    /// This instance does not have it any more.
    GivenBack,
    /// The store did not answer, or the record changed meanwhile. The call may take effect later.
    Unavailable,
}

/// The state of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListState {
    /// Its check passes.
    Passing,
    /// Its check fails.
    Critical,
    /// It is marked as leaving.
    Leaving,
}

/// One entry of the platform's list of instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Where the instance takes messages.
    pub address: SocketAddr,
    /// The name of its availability zone.
    pub zone: String,
    /// Its state.
    pub state: ListState,
}

/// What this instance believes of another, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerStatus {
    /// The instance.
    pub peer: Peer,
    /// Its condition.
    pub condition: Condition,
    /// Whether it counts in the quorums of its zone.
    pub established: bool,
    /// The configuration number that was last heard from it.
    pub config: Option<ConfigNumber>,
    /// How long ago this instance heard from it, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}
