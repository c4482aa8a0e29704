//! Messages of the data path: sub-requests to the owners of upstreams, and their answers.
//!
//! Messages contain durations and no instants: a deadline is sent as the milliseconds that are
//! left.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Sub-requests of one search for the upstreams of one owner.
///
/// The query is included once for all sub-requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchBatch {
    /// Search to which the sub-requests belong. Its origin is the sender and the origin of every
    /// sub-request.
    pub query: QueryId,
    /// Number of the configuration to which the keys belong.
    pub config: ConfigNumber,
    /// Customer that sent the search.
    pub customer: CustomerKey,
    /// Search that the caller requested.
    pub search: SearchKey,
    /// The only snapshot whose answers are used, or `None` to learn which snapshots can be served.
    pub snapshot: Option<Snapshot>,
    /// Version of the shard map to which the shard numbers belong.
    pub map: MapVersion,
    /// Time left until the deadline, in milliseconds.
    pub deadline_in_ms: u32,
    /// Body of the query, as the caller sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Sub-requests for single upstreams and shards.
    pub subs: Vec<SearchSubRequest>,
}

/// Sub-request of a [`SearchBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchSubRequest {
    /// Sequence number in the sub-request's [`SubRequestId`].
    pub seq: u64,
    /// Upstream that is to answer the sub-request.
    pub upstream: UpstreamKey,
    /// Shard that is to be searched.
    pub shard: ShardNo,
}

/// Sub-request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSubRequest {
    /// Id of the sub-request.
    pub id: SubRequestId,
    /// Number of the configuration to which the keys belong.
    pub config: ConfigNumber,
    /// Customer that sent the request.
    pub customer: CustomerKey,
    /// Operation that the request calls.
    pub operation: OperationKey,
    /// Upstream that is to run the operation.
    pub upstream: UpstreamKey,
    /// Id of the request for the upstream, the same at every attempt.
    pub run_id: String,
    /// Time left until the deadline, in milliseconds.
    pub deadline_in_ms: u32,
    /// Body of the request, as the caller sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Cancellation of sub-requests whose answers are no longer awaited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelSubRequests {
    /// Ids of the cancelled sub-requests.
    pub ids: Vec<SubRequestId>,
}

/// Reply of the owner to a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubRequestReply {
    /// Id of the sub-request.
    pub id: SubRequestId,
    /// Outcome of the sub-request.
    pub outcome: SubRequestOutcome,
    /// Time that the sub-request spent in the owner's queue, in milliseconds.
    pub queued_ms: u32,
    /// Time that the upstream took, in milliseconds, or 0 if the sub-request was not sent to it.
    pub served_ms: u32,
}

/// Outcome of a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubRequestOutcome {
    /// The upstream answered.
    Answered {
        /// Snapshot from which the answer was computed.
        snapshot: Snapshot,
        /// Version of the shard map to which the answer belongs.
        map: MapVersion,
        /// Snapshots that the upstream can serve now.
        serves: SnapshotRange,
        /// Body of the upstream's answer.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The upstream can't serve the requested snapshot and did not run the work.
    WrongSnapshot {
        /// Snapshots that the upstream can serve now.
        serves: SnapshotRange,
    },
    /// The upstream has another version of the shard map and did not run the work.
    WrongMap {
        /// Version of the shard map that the upstream has.
        map: MapVersion,
    },
    /// The work did not run: no byte of it reached the upstream, or the upstream reported that it
    /// did not run it.
    NotRun(Refusal),
    /// The upstream failed or its answer was lost, so the work may have run.
    Failed,
}
