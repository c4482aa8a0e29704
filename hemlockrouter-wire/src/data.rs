//! The data path: sub-requests to the owners of upstreams, and their answers.
//!
//! Durations travel, instants do not: a deadline is sent as the milliseconds that are left.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The sub-requests of one search for the upstreams of one owner.
///
/// The query stands once, however many sub-requests carry it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchBatch {
    /// The search that they belong to; its origin is the sender and the origin of every sub-request.
    pub query: QueryId,
    /// The configuration that the keys belong to.
    pub config: ConfigNumber,
    /// The customer.
    pub customer: CustomerKey,
    /// The search.
    pub search: SearchKey,
    /// The only snapshot whose answers will be used, or `None` to learn which can be served.
    pub snapshot: Option<Snapshot>,
    /// The version of the shard map that the shard numbers belong to.
    pub map: MapVersion,
    /// What is left until the deadline, in milliseconds.
    pub deadline_in_ms: u32,
    /// The query, as the caller sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The sub-requests.
    pub subs: Vec<SearchSub>,
}

/// One sub-request of a [`SearchBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchSub {
    /// The sequence number of the sub-request's [`SubId`].
    pub seq: u64,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The shard.
    pub shard: ShardNo,
}

/// A sub-request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSub {
    /// Its id.
    pub id: SubId,
    /// The configuration that the keys belong to.
    pub config: ConfigNumber,
    /// The customer.
    pub customer: CustomerKey,
    /// The operation.
    pub operation: OperationKey,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Names the request to the upstream, the same at every try.
    pub run_id: String,
    /// What is left until the deadline, in milliseconds.
    pub deadline_in_ms: u32,
    /// The request, as the caller sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Sub-requests that are not waited for any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    /// Their ids.
    pub ids: Vec<SubId>,
}

/// How a sub-request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubReply {
    /// Its id.
    pub id: SubId,
    /// How it ended.
    pub outcome: SubOutcome,
    /// How long it waited in the owner's queue, in milliseconds.
    pub queued_ms: u32,
    /// How long the upstream took, in milliseconds; 0 if it was not sent there.
    pub served_ms: u32,
}

/// How a sub-request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubOutcome {
    /// The upstream answered.
    Answered {
        /// The snapshot that the answer is from.
        snapshot: Snapshot,
        /// The shard map version that the answer belongs to.
        map: MapVersion,
        /// The snapshots that the upstream can serve now.
        serves: SnapshotRange,
        /// The answer.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The upstream can't serve the snapshot that was named, and did not run the work.
    WrongSnapshot {
        /// The snapshots that it can serve now.
        serves: SnapshotRange,
    },
    /// The upstream has another shard map, and did not run the work.
    WrongMap {
        /// The version that it has.
        map: MapVersion,
    },
    /// The work did not run: no byte of it reached the upstream, or the upstream said so.
    NotRun(Refusal),
    /// The upstream failed, or its answer was lost: the work may have run.
    Failed,
}
