//! Moving a query to another snapshot or shard map.

use hemlockrouter_types::prelude::*;

use super::answer;
use super::dispatch::SendReason;
use super::plan::Plan;
use super::plan::Progress;
use super::snapshot;
use super::PendingSubRequest;
use super::SearchCommand;
use super::Searcher;

/// Minimum time left for a move, as a multiple of the search's median latency.
const MIN_REPLAN_TIME_MEDIANS: u64 = 2;

impl Searcher {
    /// Returns the snapshot that a new query of `search` requests.
    pub(super) fn current_snapshot(&mut self, search: SearchKey) -> Option<Snapshot> {
        let shards = &self.catalog.searches.get(search)?.shards;
        self.best_snapshots.best(&self.upstreams, search, shards)
    }

    /// Handles a reply from an upstream that can't serve the plan's snapshot. If the shard is given
    /// up and another snapshot covers more shards, the query moves to that snapshot.
    pub(super) fn on_wrong_snapshot(
        &mut self,
        now: Time,
        plan: &mut Plan,
        sub_request: PendingSubRequest,
        out: &mut Vec<SearchCommand>,
    ) {
        self.exclude_replica(now, plan, sub_request, out);
        let shard_state = &plan.shard_states[usize::from(sub_request.shard.0)];
        if shard_state.progress != Progress::GivenUp || !self.may_replan(now, plan) {
            return;
        }
        let Some(best_candidate) = snapshot::best_snapshot(&self.upstreams, plan.shards()) else {
            return;
        };
        let answerable_shards = plan.shard_states.len() - plan.given_up_shards;
        if plan.snapshot != Some(best_candidate.snapshot)
            && best_candidate.shards > answerable_shards
        {
            plan.replans += 1;
            self.cancel_all(now, plan, out);
            plan.switch_snapshot(best_candidate.snapshot);
            self.send_to_open_shards(now, plan, out);
        }
    }

    /// Handles a reply from an upstream with the shard map `map`, which is not the plan's. If the
    /// catalogue also has a newer map, the query moves to the catalogue's map.
    pub(super) fn on_wrong_map(
        &mut self,
        now: Time,
        plan: &mut Plan,
        sub_request: PendingSubRequest,
        map: MapVersion,
        out: &mut Vec<SearchCommand>,
    ) {
        let current_search = self.catalog.searches.get(plan.query.search);
        let has_newer_map =
            current_search.is_some_and(|search| search.map > plan.map && map > plan.map);
        if !has_newer_map || !self.may_replan(now, plan) {
            return self.exclude_replica(now, plan, sub_request, out);
        }
        plan.replans += 1;
        self.cancel_all(now, plan, out);
        plan.switch_map(self.catalog.clone());
        plan.snapshot = self.current_snapshot(plan.query.search);
        self.send_to_open_shards(now, plan, out);
    }

    /// Selects the snapshot of a query that started without one, after every shard has answered at
    /// the newest snapshot of its upstream or was given up.
    pub(super) fn select_final_snapshot(
        &mut self,
        now: Time,
        plan: &mut Plan,
        out: &mut Vec<SearchCommand>,
    ) {
        let most_common_answered = answer::most_common_snapshot(plan);
        let answer_count =
            most_common_answered.map_or(0, |snapshot| answer::count_answers(plan, snapshot));
        let best_candidate = snapshot::best_snapshot(&self.upstreams, plan.shards());
        let better_snapshot = best_candidate.filter(|best_candidate| {
            best_candidate.shards > answer_count && self.may_replan(now, plan)
        });
        let Some(better_snapshot) = better_snapshot else {
            plan.snapshot = most_common_answered;
            return;
        };
        let all_others_given_up = plan.shard_states.len() - answer_count == plan.given_up_shards;
        if most_common_answered == Some(better_snapshot.snapshot) && all_others_given_up {
            plan.snapshot = most_common_answered;
            return;
        }
        plan.replans += 1;
        plan.switch_snapshot(better_snapshot.snapshot);
        self.send_to_open_shards(now, plan, out);
    }

    fn may_replan(&self, now: Time, plan: &Plan) -> bool {
        let required_ms =
            MIN_REPLAN_TIME_MEDIANS * self.search_latencies.median_ms(plan.query.search);
        plan.replans < self.config.max_replans
            && plan.answer_deadline.remaining_ms(now) > required_ms
    }

    /// Excludes the replica of `sub_request` from the plan and tries another one.
    fn exclude_replica(
        &mut self,
        now: Time,
        plan: &mut Plan,
        sub_request: PendingSubRequest,
        out: &mut Vec<SearchCommand>,
    ) {
        let shard_state = &mut plan.shard_states[usize::from(sub_request.shard.0)];
        shard_state.unusable_replicas |= 1 << sub_request.replica;
        if shard_state.progress == Progress::Open && shard_state.sub_requests.is_empty() {
            self.send_to_best_replica(now, plan, sub_request.shard, SendReason::Replan, out);
        }
    }
}
