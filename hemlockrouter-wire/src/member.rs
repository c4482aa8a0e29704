//! Probes and rumours of the membership protocol.

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A message of the membership protocol. Each carries the sender's configuration number, so that
/// whoever lags notices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// The last release note that the sender has in force.
    pub config: ConfigNumber,
    /// Whether the sender counts in the quorums of its zone. Rumours say it too, but are told a few
    /// times only; who misses them all would refuse the sender what it ranks first for.
    pub is_established: bool,
    /// News about instances.
    pub rumours: Vec<Rumour>,
    /// What is asked or answered.
    pub kind: MemberKind,
}

/// What a [`MemberMessage`] asks or answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberKind {
    /// Asks the receiver for an [`Ack`](MemberKind::Ack).
    Probe {
        /// Names the probe.
        seq: u32,
    },
    /// Answers a probe.
    Ack {
        /// The probe that it answers.
        seq: u32,
    },
    /// Asks the receiver to probe `target` and to pass its answer on.
    ProbeFor {
        /// Names the probe.
        seq: u32,
        /// The instance to probe.
        target: InstanceId,
    },
    /// Introduces the sender and asks for all instances that the receiver knows.
    Join,
    /// Tells all instances that the sender knows, in its rumours.
    Table,
    /// Carries only rumours.
    News,
    /// Introduces the sender, which is joining its zone, to one member of it.
    Introduce {
        /// The digest of the members of the zone that the sender knows.
        digest: u64,
    },
    /// Answers an introduction: the sender counts the receiver among the joining members. Its
    /// rumours tell the members of the zone if the digests differ.
    Introduced,
    /// Asks for a [`Table`](MemberKind::Table) of one zone if the receiver's digest of it differs.
    Compare {
        /// The name of the zone.
        zone: String,
        /// The sender's digest of its members.
        digest: u64,
    },
}

/// What the sender believes of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rumour {
    /// The instance.
    pub peer: Peer,
    /// Its condition.
    pub condition: Condition,
    /// Counts how often the instance refuted a suspicion; a higher count outweighs a lower one.
    pub refutations: u32,
    /// Whether all members of its zone know it, so that it counts in their quorums.
    pub established: bool,
}

impl Rumour {
    /// The count of refutations with which an instance tells its own end, which nothing outweighs.
    pub const FINAL: u32 = u32::MAX;
}

/// An instance of the tier, as others know it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Its id.
    pub id: InstanceId,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// The name of its availability zone.
    pub zone: String,
}

/// The condition of an instance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Condition {
    /// It answers probes.
    Alive,
    /// It did not answer and may be dead.
    Suspect,
    /// It is shutting down and takes no new work.
    Leaving,
    /// It is gone.
    Dead,
}
