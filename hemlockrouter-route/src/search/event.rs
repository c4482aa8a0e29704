//! Inputs and commands of a [`Searcher`](super::Searcher).

use hemlockrouter_types::prelude::*;

/// Search request of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Query {
    /// The id of the query.
    pub id: QueryId,
    /// The customer that sent the query.
    pub customer: CustomerKey,
    /// The search to run.
    pub search: SearchKey,
    /// The time by which the caller must have the answer.
    pub deadline: Time,
    /// The minimum share of the shards, from 0 to 1, below which the query is refused. `None`
    /// accepts any share.
    pub min_coverage: Option<f64>,
}

/// Command of a [`Searcher`](super::Searcher) to its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum SearchCommand {
    /// Send a sub-request to the owner of `upstream`.
    Send {
        /// The query whose body the sub-request carries.
        query: QueryId,
        /// The sequence number in the [`SubRequestId`] of the sub-request.
        seq: u64,
        /// The upstream that runs the sub-request.
        upstream: UpstreamKey,
        /// The shard to search.
        shard: ShardNo,
        /// The only snapshot whose answer will be used, or `None` while no snapshot is known.
        snapshot: Option<Snapshot>,
        /// The shard map that `shard` belongs to.
        map: MapVersion,
        /// The number of the configuration that the keys belong to.
        config: ConfigNumber,
        /// The time by which the owner must finish. The answer arrives here one round trip later.
        deadline: Time,
    },
    /// Cancel a sub-request that is no longer needed.
    Cancel {
        /// The id of the sub-request.
        id: SubRequestId,
        /// The upstream that the sub-request was sent to.
        upstream: UpstreamKey,
    },
    /// Answer the caller.
    Answer {
        /// The query to answer.
        query: QueryId,
        /// The answer to send.
        answer: Answer,
    },
    /// Refuse the caller.
    Refuse {
        /// The query to refuse.
        query: QueryId,
        /// The reason, and the time after which the caller may retry.
        refusal: Refusal,
    },
    /// Log how a query was decided. The searcher sends this once, at the end of the query.
    Decision(Decision),
}

/// Answer to a search: the results of one snapshot, and the shards that they cover.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The snapshot that all results are from.
    pub snapshot: Snapshot,
    /// The results by shard.
    pub shards: Vec<ShardAnswer>,
    /// The number of shards that the search has.
    pub total: u32,
    /// The names of the shards without a result.
    pub missing: Vec<String>,
    /// The duration of the search in milliseconds.
    pub took_ms: u64,
}

/// Results of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardAnswer {
    /// The number of the shard.
    pub shard: ShardNo,
    /// The name of the shard.
    pub name: String,
    /// The results, unchanged from the upstream's reply.
    pub body: Vec<u8>,
}

/// The upstream that a sub-request for a shard would be sent to now, with the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardChoice {
    /// The number of the shard.
    pub shard: ShardNo,
    /// The name of the shard.
    pub name: String,
    /// The snapshot that would be requested, if one is known.
    pub snapshot: Option<Snapshot>,
    /// The upstream that would be selected, or `None` if none is available.
    pub chosen: Option<UpstreamKey>,
    /// The reason for the selection, as a short text.
    pub why: String,
    /// The other upstreams of the shard, with the reasons against them.
    pub passed_over: Vec<RejectedUpstream>,
}

/// An upstream that would not be selected, with the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedUpstream {
    /// The key of the upstream.
    pub upstream: UpstreamKey,
    /// The reason against the upstream, as a short text.
    pub why: String,
}
