//! What a [`Searcher`](super::Searcher) is told and what it commands.

use hemlockrouter_types::prelude::*;

/// A search that a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Query {
    /// Its id.
    pub id: QueryId,
    /// The customer that asks.
    pub customer: CustomerKey,
    /// The search.
    pub search: SearchKey,
    /// When the caller must have the answer.
    pub deadline: Time,
    /// The share of the shards, from 0 to 1, below which the caller prefers a refusal.
    pub min_coverage: Option<f64>,
}

/// What a [`Searcher`](super::Searcher) wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SearchCommand {
    /// Send a sub-request to the owner of `upstream`.
    Send {
        /// The query whose body it carries.
        query: QueryId,
        /// The sequence number of its [`SubId`].
        seq: u64,
        /// The upstream.
        upstream: UpstreamKey,
        /// The shard.
        shard: ShardNo,
        /// The only snapshot whose answer will be used, or `None` while none is known.
        snapshot: Option<Snapshot>,
        /// The shard map that `shard` belongs to.
        map: MapVersion,
        /// The configuration that the keys belong to.
        config: ConfigNumber,
        /// When the owner must be done: the answer is due here a round trip to it later.
        deadline: Time,
    },
    /// Cancel a sub-request that is not waited for any more.
    Cancel {
        /// The sub-request.
        id: SubId,
        /// The upstream that it went to.
        upstream: UpstreamKey,
    },
    /// Answer the caller.
    Answer {
        /// The query.
        query: QueryId,
        /// The answer.
        answer: Answer,
    },
    /// Refuse the caller.
    Refuse {
        /// The query.
        query: QueryId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Log how a query was decided, once at its end.
    Decision(Decision),
}

/// The answer to a search: results of one snapshot and what they cover.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The snapshot that all results are from.
    pub snapshot: Snapshot,
    /// The results, by shard.
    pub shards: Vec<ShardAnswer>,
    /// How many shards the search has.
    pub total: u32,
    /// The names of the shards without a result.
    pub missing: Vec<String>,
    /// How long the search took, in milliseconds.
    pub took_ms: u64,
}

/// The results of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardAnswer {
    /// The shard.
    pub shard: ShardNo,
    /// Its name.
    pub name: String,
    /// The results, as the upstream sent them.
    pub body: Vec<u8>,
}

/// Which upstream a shard's sub-request would go to now, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardChoice {
    /// The shard.
    pub shard: ShardNo,
    /// Its name.
    pub name: String,
    /// The snapshot that would be asked for, if one is known.
    pub snapshot: Option<Snapshot>,
    /// The upstream that would be asked, or `None` if none can be.
    pub chosen: Option<UpstreamKey>,
    /// Why that one, in a few words.
    pub why: String,
    /// The other upstreams of the shard.
    pub passed_over: Vec<PassedOver>,
}

/// An upstream that would not be asked, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct PassedOver {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Why not, in a few words.
    pub why: String,
}
