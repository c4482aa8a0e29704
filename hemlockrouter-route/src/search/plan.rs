//! State of one query: its snapshot, its shard map and the progress of each shard.

use std::sync::Arc;

use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::prelude::*;

use super::Query;

/// Maximum number of replicas that are used for a shard, since positions are stored in a 64-bit
/// mask.
pub(super) const MAX_REPLICAS: usize = 64;

/// State of a query in flight.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) query: Query,
    /// The catalogue whose shard map the plan uses. A newer catalogue may be in force by now.
    pub(super) catalog: Arc<Catalog>,
    pub(super) map: MapVersion,
    /// The only snapshot whose answers are used, or `None` until one is known.
    pub(super) snapshot: Option<Snapshot>,
    pub(super) started_at: Time,
    pub(super) answer_deadline: Time,
    pub(super) shard_states: Vec<ShardState>,
    /// The number of shards that are open.
    pub(super) open_shards: usize,
    pub(super) given_up_shards: usize,
    pub(super) replans: u8,
    pub(super) counters: QueryCounters,
    /// Whether any upstream may have worked on the query.
    pub(super) may_have_run: bool,
    pub(super) last_refusal: Option<RefusalReason>,
}

/// State of one shard of a query.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    pub(super) progress: Progress,
    pub(super) tries: u8,
    pub(super) hedges: u8,
    /// Bit mask of the positions of replicas that can't serve the plan's snapshot and map.
    pub(super) unusable_replicas: u64,
    /// Bit mask of the positions of replicas that a sub-request was sent to.
    pub(super) tried_replicas: u64,
    /// The sequence numbers of the sub-requests in flight.
    pub(super) sub_requests: Vec<u64>,
    pub(super) answer: Option<StoredAnswer>,
}

/// Progress of one shard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Progress {
    /// The shard may still be answered.
    #[default]
    Open,
    /// The answer of the shard has arrived and is kept.
    Answered,
    /// No replica can answer the shard in time.
    GivenUp,
}

/// An answer that is kept until the query ends.
#[derive(Debug)]
pub(super) struct StoredAnswer {
    pub(super) snapshot: Snapshot,
    pub(super) body: Vec<u8>,
}

/// Counters of one query for its decision record.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueryCounters {
    pub(super) sent: u32,
    pub(super) hedges: u32,
    pub(super) hedges_won: u32,
    pub(super) retries: u32,
    pub(super) out_of_service: u32,
    pub(super) backing_off: u32,
}

impl Plan {
    pub(super) fn new(
        query: Query,
        catalog: Arc<Catalog>,
        started_at: Time,
        answer_deadline: Time,
    ) -> Plan {
        let search_entry = catalog.searches.get(query.search);
        let map = search_entry
            .map(|search_entry| search_entry.map)
            .unwrap_or_default();
        let shard_count = search_entry.map_or(0, |search_entry| search_entry.shards.len());
        let shard_states = new_shard_states(shard_count);
        Plan {
            query,
            catalog,
            map,
            snapshot: None,
            started_at,
            answer_deadline,
            shard_states,
            open_shards: shard_count,
            given_up_shards: 0,
            replans: 0,
            counters: QueryCounters::default(),
            may_have_run: false,
            last_refusal: None,
        }
    }

    /// Returns the shards of the plan's shard map.
    pub(super) fn shards(&self) -> &[Shard] {
        let search_entry = self.catalog.searches.get(self.query.search);
        search_entry.map_or(&[], |search_entry| search_entry.shards.as_slice())
    }

    /// Moves the query to the shard map of `catalog` and resets all shards.
    pub(super) fn switch_map(&mut self, catalog: Arc<Catalog>) {
        let search_entry = catalog.searches.get(self.query.search);
        self.map = search_entry
            .map(|search_entry| search_entry.map)
            .unwrap_or_default();
        let shard_count = search_entry.map_or(0, |search_entry| search_entry.shards.len());
        self.catalog = catalog;
        self.shard_states = new_shard_states(shard_count);
        self.open_shards = shard_count;
        self.given_up_shards = 0;
    }

    /// Moves the query to `snapshot`. Answers from that snapshot are kept, and every other shard is
    /// reopened.
    pub(super) fn switch_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
        self.open_shards = 0;
        self.given_up_shards = 0;
        for shard_state in &mut self.shard_states {
            if shard_state
                .answer
                .as_ref()
                .is_some_and(|answer| answer.snapshot == snapshot)
            {
                continue;
            }
            *shard_state = ShardState::default();
            self.open_shards += 1;
        }
    }

    /// Stores the answer of a shard and marks the shard as answered.
    pub(super) fn store_answer(&mut self, shard: ShardNo, answer: StoredAnswer) {
        let shard_state = &mut self.shard_states[usize::from(shard.0)];
        debug_assert_eq!(shard_state.progress, Progress::Open);
        shard_state.progress = Progress::Answered;
        shard_state.answer = Some(answer);
        self.open_shards -= 1;
    }

    /// Marks a shard as given up.
    pub(super) fn give_up(&mut self, shard: ShardNo) {
        let shard_state = &mut self.shard_states[usize::from(shard.0)];
        debug_assert_eq!(shard_state.progress, Progress::Open);
        shard_state.progress = Progress::GivenUp;
        self.open_shards -= 1;
        self.given_up_shards += 1;
    }

    /// Returns whether `answered` shards reach the minimum coverage that the caller asked for.
    pub(super) fn meets_min_coverage(&self, answered: usize) -> bool {
        let Some(share) = self.query.min_coverage else {
            return true;
        };
        // The tolerance covers shares such as 0.7 that have no exact binary representation.
        answered as f64 + 1e-6 >= share * self.shard_states.len() as f64
    }
}

fn new_shard_states(shard_count: usize) -> Vec<ShardState> {
    std::iter::repeat_with(ShardState::default)
        .take(shard_count)
        .collect()
}
