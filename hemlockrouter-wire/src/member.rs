//! Probes and rumours of the membership protocol.

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Message of the membership protocol. It contains the sender's configuration number, so that the
/// receiver notices if it lacks release notes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// Number of the last release note that the sender has applied.
    pub config: ConfigNumber,
    /// Whether the sender counts in the quorums of its zone. Rumours contain that too, but are sent
    /// only a few times. An instance that missed them all would refuse the sender the leases for
    /// which the sender ranks first.
    pub is_established: bool,
    /// Rumours about instances.
    pub rumours: Vec<Rumour>,
    /// Request or answer that the message carries.
    pub kind: MemberKind,
}

/// Request or answer in a [`MemberMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberKind {
    /// Asks the receiver for an [`Ack`](MemberKind::Ack).
    Probe {
        /// Sequence number of the probe.
        seq: u32,
    },
    /// Answers a [`Probe`](MemberKind::Probe).
    Ack {
        /// Sequence number of the answered probe.
        seq: u32,
    },
    /// Asks the receiver to probe `target` and to forward the answer.
    ProbeFor {
        /// Sequence number of the probe.
        seq: u32,
        /// Instance to probe.
        target: InstanceId,
    },
    /// Introduces the sender and asks for all instances that the receiver knows.
    Join,
    /// Sends all instances that the sender knows as rumours.
    Table,
    /// Carries only rumours and asks for no answer.
    News,
    /// Introduces the sender, which is joining its zone, to one member of the zone.
    Introduce {
        /// Digest of the zone's members that the sender knows.
        digest: u64,
    },
    /// Answers an introduction: the sender counts the receiver among the joining members. If the
    /// digests differ, the rumours contain the members of the zone.
    Introduced,
    /// Asks for a [`Table`](MemberKind::Table) of one zone if the receiver's digest of it differs.
    Compare {
        /// Name of the compared zone.
        zone: String,
        /// Sender's digest of the zone's members.
        digest: u64,
    },
}

/// State of an instance as the sender knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rumour {
    /// Instance that the rumour is about.
    pub peer: Peer,
    /// Condition of the instance.
    pub condition: PeerCondition,
    /// Number of suspicions that the instance has refuted. A rumour with a higher number overrides
    /// one with a lower number.
    pub refutations: u32,
    /// Whether all members of the zone know the instance, so that it counts in their quorums.
    pub established: bool,
}

impl Rumour {
    /// Value of [`refutations`](Rumour::refutations) with which an instance announces its own end.
    /// No other rumour overrides it.
    pub const FINAL_REFUTATIONS: u32 = u32::MAX;
}

/// Instance of the tier, as other instances know it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Id of this start of the instance.
    pub id: InstanceId,
    /// Address at which the instance receives messages.
    pub address: SocketAddr,
    /// Name of the instance's availability zone.
    pub zone: String,
}

/// Condition of an instance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum PeerCondition {
    /// The instance answers probes.
    Alive,
    /// The instance did not answer a probe and may be dead.
    Suspect,
    /// The instance is shutting down and accepts no new work.
    Leaving,
    /// The instance has ended or is unreachable.
    Dead,
}
