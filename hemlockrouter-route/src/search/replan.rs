//! Moving a query to another snapshot or shard map.

use hemlockrouter_types::prelude::*;

use super::answer;
use super::dispatch::Try;
use super::plan::Plan;
use super::plan::Progress;
use super::snapshot;
use super::SearchCommand;
use super::Searcher;
use super::Sub;

/// Minimum time left for a move, as a multiple of the search's median latency.
const MOVE_MEDIANS: u64 = 2;

impl Searcher {
    /// Returns the snapshot that a new query of `search` requests.
    pub(super) fn current_snapshot(&mut self, search: SearchKey) -> Option<Snapshot> {
        let shards = &self.catalog.searches.get(search)?.shards;
        self.snapshots.best(&self.upstreams, search, shards)
    }

    /// Handles a reply from an upstream that can't serve the plan's snapshot. If the shard is given
    /// up and another snapshot covers more shards, the query moves to that snapshot.
    pub(super) fn wrong_snapshot(
        &mut self,
        now: Time,
        plan: &mut Plan,
        sub: Sub,
        out: &mut Vec<SearchCommand>,
    ) {
        self.rule_out(now, plan, sub, out);
        let part = &plan.parts[usize::from(sub.shard.0)];
        if part.progress != Progress::GivenUp || !self.may_move(now, plan) {
            return;
        }
        let Some(best) = snapshot::best(&self.upstreams, plan.shards()) else {
            return;
        };
        let hopeful = plan.parts.len() - plan.given_up;
        if plan.snapshot != Some(best.snapshot) && best.shards > hopeful {
            plan.replans += 1;
            self.cancel_all(now, plan, out);
            plan.move_to(best.snapshot);
            self.place_all(now, plan, out);
        }
    }

    /// Handles a reply from an upstream with the shard map `map`, which is not the plan's. If the
    /// catalogue also has a newer map, the query moves to the catalogue's map.
    pub(super) fn wrong_map(
        &mut self,
        now: Time,
        plan: &mut Plan,
        sub: Sub,
        map: MapVersion,
        out: &mut Vec<SearchCommand>,
    ) {
        let current = self.catalog.searches.get(plan.query.search);
        let newer = current.is_some_and(|search| search.map > plan.map && map > plan.map);
        if !newer || !self.may_move(now, plan) {
            return self.rule_out(now, plan, sub, out);
        }
        plan.replans += 1;
        self.cancel_all(now, plan, out);
        plan.remap(self.catalog.clone());
        plan.snapshot = self.current_snapshot(plan.query.search);
        self.place_all(now, plan, out);
    }

    /// Selects the snapshot of a query that started without one, after every shard has answered at
    /// the newest snapshot of its upstream or was given up.
    pub(super) fn fix_snapshot(
        &mut self,
        now: Time,
        plan: &mut Plan,
        out: &mut Vec<SearchCommand>,
    ) {
        let held = answer::most_common_snapshot(plan);
        let held_count = held.map_or(0, |snapshot| answer::count(plan, snapshot));
        let best = snapshot::best(&self.upstreams, plan.shards());
        let better = best.filter(|best| best.shards > held_count && self.may_move(now, plan));
        let Some(better) = better else {
            plan.snapshot = held;
            return;
        };
        let only_given_up = plan.parts.len() - held_count == plan.given_up;
        if held == Some(better.snapshot) && only_given_up {
            plan.snapshot = held;
            return;
        }
        plan.replans += 1;
        plan.move_to(better.snapshot);
        self.place_all(now, plan, out);
    }

    fn may_move(&self, now: Time, plan: &Plan) -> bool {
        let needs_ms = MOVE_MEDIANS * self.delays.median_ms(plan.query.search);
        plan.replans < self.config.replans && plan.answer_at.left(now) > needs_ms
    }

    /// Excludes the replica of `sub` from the plan and tries another one.
    fn rule_out(&mut self, now: Time, plan: &mut Plan, sub: Sub, out: &mut Vec<SearchCommand>) {
        let part = &mut plan.parts[usize::from(sub.shard.0)];
        part.wrong |= 1 << sub.replica;
        if part.progress == Progress::Open && part.subs.is_empty() {
            self.place(now, plan, sub.shard, Try::Replan, out);
        }
    }
}
