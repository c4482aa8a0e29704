//! Sending sub-requests to replicas, retrying them and cancelling them.

use hemlockrouter_types::prelude::*;

use super::plan::Plan;
use super::plan::Progress;
use super::plan::MAX_REPLICAS;
use super::PendingSubRequest;
use super::SearchCommand;
use super::Searcher;
use super::TimerAction;
use crate::choose::Unavailability;

/// Reason why a sub-request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SendReason {
    /// The sub-request is the first one of its shard.
    First,
    /// An earlier sub-request was refused or failed.
    Retry,
    /// An earlier sub-request is slow.
    Hedge,
    /// The query moved to another snapshot or shard map.
    Replan,
}

impl Searcher {
    /// Sends a first sub-request for every open shard.
    pub(super) fn send_to_open_shards(
        &mut self,
        now: Time,
        plan: &mut Plan,
        out: &mut Vec<SearchCommand>,
    ) {
        for index in 0..plan.shard_states.len() {
            if plan.shard_states[index].progress == Progress::Open {
                let reason = match plan.replans {
                    0 => SendReason::First,
                    _ => SendReason::Replan,
                };
                self.send_to_best_replica(now, plan, ShardNo(index as u16), reason, out);
            }
        }
    }

    /// Retries a shard whose sub-request was refused or failed, unless another one is in flight.
    pub(super) fn retry(
        &mut self,
        now: Time,
        plan: &mut Plan,
        shard: ShardNo,
        out: &mut Vec<SearchCommand>,
    ) {
        let shard_state = &plan.shard_states[usize::from(shard.0)];
        if shard_state.progress != Progress::Open || !shard_state.sub_requests.is_empty() {
            return;
        }
        self.send_to_best_replica(now, plan, shard, SendReason::Retry, out);
    }

    pub(super) fn on_retry_timer(
        &mut self,
        now: Time,
        id: QueryId,
        shard: ShardNo,
        out: &mut Vec<SearchCommand>,
    ) {
        let Some(mut plan) = self.plans.remove(&id) else {
            return;
        };
        // The plan may have moved to a shard map with fewer shards in the meantime.
        if usize::from(shard.0) < plan.shard_states.len() {
            self.retry(now, &mut plan, shard, out);
        }
        self.finish_or_store(now, plan, out);
    }

    /// Sends a sub-request for `shard` to the best replica. If none is available, the shard waits
    /// for the first replica whose backoff ends in time, or is given up.
    pub(super) fn send_to_best_replica(
        &mut self,
        now: Time,
        plan: &mut Plan,
        shard: ShardNo,
        reason: SendReason,
        out: &mut Vec<SearchCommand>,
    ) {
        let shard_state = &plan.shard_states[usize::from(shard.0)];
        if shard_state.tries >= self.config.max_tries_per_shard || now >= plan.answer_deadline {
            return plan.give_up(shard);
        }
        let is_retry = reason == SendReason::Retry && shard_state.tries > 0;
        let Some(replica) = self.choose(now, plan, shard) else {
            return self.wait_or_give_up(now, plan, shard);
        };
        if is_retry && !self.retry_budgets.for_customer(plan.query.customer).spend() {
            return plan.give_up(shard);
        }
        self.send(now, plan, shard, replica, reason, out);
    }

    /// Sends a sub-request for `shard` to one of its replicas.
    pub(super) fn send(
        &mut self,
        now: Time,
        plan: &mut Plan,
        shard: ShardNo,
        replica: usize,
        reason: SendReason,
        out: &mut Vec<SearchCommand>,
    ) {
        let upstream = plan.shards()[usize::from(shard.0)].upstreams[replica];
        self.next_seq += 1;
        let seq = self.next_seq;
        let sub_request = PendingSubRequest {
            query: plan.query.id,
            shard,
            upstream,
            replica,
            sent_at: now,
            is_hedge: reason == SendReason::Hedge,
        };
        // After a move every sub-request counts as extra load and earns no budget, even for a shard
        // that had to wait for a replica.
        let was_replanned = plan.replans > 0;
        let shard_state = &mut plan.shard_states[usize::from(shard.0)];
        let is_first_try = shard_state.tries == 0 && !was_replanned;
        shard_state.tries += 1;
        shard_state.tried_replicas |= 1 << replica;
        shard_state.sub_requests.push(seq);
        plan.counters.sent += 1;
        plan.counters.hedges += u32::from(reason == SendReason::Hedge);
        plan.counters.retries += u32::from(reason == SendReason::Retry && !is_first_try);
        self.sub_requests_sent += 1;
        match is_first_try {
            true => {
                self.hedge_budgets.for_customer(plan.query.customer).earn();
                self.retry_budgets.for_customer(plan.query.customer).earn();
            }
            false => self.extra_sent += 1,
        }
        self.sub_requests.insert(seq, sub_request);
        self.upstreams.record_sent(now, upstream);
        let delay_ms = self.hedge_delay_ms(plan.query.search, upstream);
        self.timers.set(now + delay_ms, TimerAction::Hedge(seq));
        out.push(SearchCommand::Send {
            query: plan.query.id,
            seq,
            upstream,
            shard,
            snapshot: plan.snapshot,
            map: plan.map,
            config: plan.catalog.number,
            deadline: self
                .upstreams
                .owner_deadline(now, upstream, plan.answer_deadline),
        });
    }

    /// Selects a replica for `shard`. Replicas that are not suspect come first, and among these the
    /// ones that were not tried before and already have the snapshot.
    pub(super) fn choose(&mut self, now: Time, plan: &mut Plan, shard: ShardNo) -> Option<usize> {
        let shard_state = &plan.shard_states[usize::from(shard.0)];
        let replicas = &plan.shards()[usize::from(shard.0)].upstreams;
        let customer = plan.query.customer;
        let mut replica_tiers = [0_u64; 4];
        let mut out_of_service = 0;
        let mut backing_off = 0;
        for (index, key) in replicas.iter().enumerate().take(MAX_REPLICAS) {
            match self.upstreams.unavailability(now, customer, *key) {
                Some(Unavailability::OutOfService) => {
                    out_of_service += 1;
                    continue;
                }
                Some(Unavailability::Backoff(_)) => {
                    backing_off += 1;
                    continue;
                }
                None => (),
            }
            let bit = 1 << index;
            let availability = self.snapshot_availability(*key, plan.snapshot);
            if shard_state.unusable_replicas & bit != 0
                || availability == SnapshotAvailability::Dropped
            {
                continue;
            }
            let is_preferred = shard_state.tried_replicas & bit == 0
                && availability == SnapshotAvailability::Available;
            let is_suspect = self.upstreams.is_suspect(now, *key);
            replica_tiers[2 * usize::from(is_suspect) + usize::from(!is_preferred)] |= bit;
        }
        let best = replica_tiers.iter().find(|tier| **tier != 0);
        let allowed_mask = best.copied().unwrap_or(0);
        let chosen = self
            .upstreams
            .choose(now, replicas, &mut self.rng, |index| {
                index < MAX_REPLICAS && allowed_mask & (1 << index) != 0
            });
        plan.counters.out_of_service += out_of_service;
        plan.counters.backing_off += backing_off;
        chosen
    }

    /// Returns whether `key` can serve `snapshot` according to its last report.
    pub(super) fn snapshot_availability(
        &self,
        key: UpstreamKey,
        snapshot: Option<Snapshot>,
    ) -> SnapshotAvailability {
        let (Some(snapshot), Some(serves)) = (snapshot, self.upstreams.served_snapshots(key))
        else {
            return SnapshotAvailability::Available;
        };
        if snapshot < serves.oldest {
            return SnapshotAvailability::Dropped;
        }
        match serves.contains(snapshot) {
            true => SnapshotAvailability::Available,
            false => SnapshotAvailability::NotYet,
        }
    }

    fn wait_or_give_up(&mut self, now: Time, plan: &mut Plan, shard: ShardNo) {
        let first_backoff_end = self.first_backoff_end(now, plan, shard);
        let delay_ms = self.search_latencies.median_ms(plan.query.search);
        match first_backoff_end {
            Some(first_backoff_end) if first_backoff_end + delay_ms < plan.answer_deadline => {
                self.timers
                    .set(first_backoff_end, TimerAction::Retry(plan.query.id, shard));
            }
            _ => plan.give_up(shard),
        }
    }

    /// Returns the time at which the first usable replica of `shard` ends its backoff.
    fn first_backoff_end(&self, now: Time, plan: &Plan, shard: ShardNo) -> Option<Time> {
        let shard_state = &plan.shard_states[usize::from(shard.0)];
        let replicas = &plan.shards()[usize::from(shard.0)].upstreams;
        let mut earliest: Option<Time> = None;
        for (index, key) in replicas.iter().enumerate().take(MAX_REPLICAS) {
            let is_unusable = shard_state.unusable_replicas & 1 << index != 0;
            if is_unusable
                || self.snapshot_availability(*key, plan.snapshot) == SnapshotAvailability::Dropped
            {
                continue;
            }
            let unavailability = self
                .upstreams
                .unavailability(now, plan.query.customer, *key);
            if let Some(Unavailability::Backoff(until)) = unavailability {
                earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
            }
        }
        earliest
    }

    /// Returns the time until each unanswered shard has a replica that ends its backoff, in
    /// milliseconds.
    pub(super) fn longest_backoff_ms(&self, now: Time, plan: &Plan) -> u64 {
        let mut max_backoff_ms = 0;
        for (index, shard_state) in plan.shard_states.iter().enumerate() {
            if shard_state.answer.is_some() {
                continue;
            }
            let first_backoff_end = self.first_backoff_end(now, plan, ShardNo(index as u16));
            max_backoff_ms =
                max_backoff_ms.max(first_backoff_end.map_or(0, |at| at.remaining_ms(now)));
        }
        max_backoff_ms
    }

    /// Cancels the sub-requests in flight for `shard`.
    pub(super) fn cancel_shard(
        &mut self,
        now: Time,
        plan: &mut Plan,
        shard: ShardNo,
        out: &mut Vec<SearchCommand>,
    ) {
        let shard_state = &mut plan.shard_states[usize::from(shard.0)];
        // A cancellation may arrive too late to stop the work.
        plan.may_have_run |= !shard_state.sub_requests.is_empty();
        for seq in shard_state.sub_requests.drain(..) {
            let sub_request = self
                .sub_requests
                .remove(&seq)
                .expect("a plan lists only sub-requests in flight");
            self.upstreams
                .record_cancellation(now, sub_request.upstream, sub_request.sent_at);
            let id = SubRequestId {
                origin: self.origin,
                seq,
            };
            out.push(SearchCommand::Cancel {
                id,
                upstream: sub_request.upstream,
            });
        }
    }

    /// Cancels all sub-requests in flight for the query.
    pub(super) fn cancel_all(&mut self, now: Time, plan: &mut Plan, out: &mut Vec<SearchCommand>) {
        for index in 0..plan.shard_states.len() {
            self.cancel_shard(now, plan, ShardNo(index as u16), out);
        }
    }
}

/// Availability of a snapshot at an upstream, according to the last report of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SnapshotAvailability {
    /// The upstream can serve the snapshot, or has not reported yet.
    Available,
    /// The upstream did not have the snapshot yet.
    NotYet,
    /// The upstream has already dropped the snapshot.
    Dropped,
}
