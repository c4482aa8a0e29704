//! Sending sub-requests to replicas, retrying them and cancelling them.

use hemlockrouter_types::prelude::*;

use super::plan::Plan;
use super::plan::Progress;
use super::plan::MAX_REPLICAS;
use super::Due;
use super::SearchCommand;
use super::Searcher;
use super::Sub;
use crate::choose::Unavailability;

/// Reason why a sub-request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Try {
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
    pub(super) fn place_all(&mut self, now: Time, plan: &mut Plan, out: &mut Vec<SearchCommand>) {
        for index in 0..plan.parts.len() {
            if plan.parts[index].progress == Progress::Open {
                let kind = match plan.replans {
                    0 => Try::First,
                    _ => Try::Replan,
                };
                self.place(now, plan, ShardNo(index as u16), kind, out);
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
        let part = &plan.parts[usize::from(shard.0)];
        if part.progress != Progress::Open || !part.subs.is_empty() {
            return;
        }
        self.place(now, plan, shard, Try::Retry, out);
    }

    pub(super) fn retry_due(
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
        if usize::from(shard.0) < plan.parts.len() {
            self.retry(now, &mut plan, shard, out);
        }
        self.settle(now, plan, out);
    }

    /// Sends a sub-request for `shard` to the best replica. If none is available, the shard waits
    /// for the first replica whose backoff ends in time, or is given up.
    pub(super) fn place(
        &mut self,
        now: Time,
        plan: &mut Plan,
        shard: ShardNo,
        kind: Try,
        out: &mut Vec<SearchCommand>,
    ) {
        let part = &plan.parts[usize::from(shard.0)];
        if part.tries >= self.config.tries_per_shard || now >= plan.answer_at {
            return plan.give_up(shard);
        }
        let again = kind == Try::Retry && part.tries > 0;
        let Some(replica) = self.choose(now, plan, shard) else {
            return self.wait_or_give_up(now, plan, shard);
        };
        if again && !self.retry_budgets.for_customer(plan.query.customer).spend() {
            return plan.give_up(shard);
        }
        self.send(now, plan, shard, replica, kind, out);
    }

    /// Sends a sub-request for `shard` to one of its replicas.
    pub(super) fn send(
        &mut self,
        now: Time,
        plan: &mut Plan,
        shard: ShardNo,
        replica: usize,
        kind: Try,
        out: &mut Vec<SearchCommand>,
    ) {
        let upstream = plan.shards()[usize::from(shard.0)].upstreams[replica];
        self.next_seq += 1;
        let seq = self.next_seq;
        let sub = Sub {
            query: plan.query.id,
            shard,
            upstream,
            replica,
            sent_at: now,
            hedge: kind == Try::Hedge,
        };
        // After a move every sub-request counts as extra load and earns no budget, even for a shard
        // that had to wait for a replica.
        let moved = plan.replans > 0;
        let part = &mut plan.parts[usize::from(shard.0)];
        let first = part.tries == 0 && !moved;
        part.tries += 1;
        part.asked |= 1 << replica;
        part.subs.push(seq);
        plan.tally.sent += 1;
        plan.tally.hedges += u32::from(kind == Try::Hedge);
        plan.tally.retries += u32::from(kind == Try::Retry && !first);
        self.sent += 1;
        match first {
            true => {
                self.hedge_budgets.for_customer(plan.query.customer).earn();
                self.retry_budgets.for_customer(plan.query.customer).earn();
            }
            false => self.extra += 1,
        }
        self.subs.insert(seq, sub);
        self.upstreams.record_sent(now, upstream);
        let delay_ms = self.hedge_delay_ms(plan.query.search, upstream);
        self.timers.set(now + delay_ms, Due::Hedge(seq));
        out.push(SearchCommand::Send {
            query: plan.query.id,
            seq,
            upstream,
            shard,
            snapshot: plan.snapshot,
            map: plan.map,
            config: plan.catalog.number,
            deadline: self.upstreams.owner_deadline(now, upstream, plan.answer_at),
        });
    }

    /// Selects a replica for `shard`. Replicas that are not suspect come first, and among these the
    /// ones that were not tried before.
    pub(super) fn choose(&mut self, now: Time, plan: &mut Plan, shard: ShardNo) -> Option<usize> {
        let part = &plan.parts[usize::from(shard.0)];
        let replicas = &plan.shards()[usize::from(shard.0)].upstreams;
        let customer = plan.query.customer;
        let mut tiers = [0_u64; 4];
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
            let serving = self.serving(*key, plan.snapshot);
            if part.wrong & bit != 0 || serving == Serving::TooOld {
                continue;
            }
            let fresh = part.asked & bit == 0 && serving == Serving::Yes;
            let suspect = self.upstreams.is_suspect(now, *key);
            tiers[2 * usize::from(suspect) + usize::from(!fresh)] |= bit;
        }
        let best = tiers.iter().find(|tier| **tier != 0);
        let allowed = best.copied().unwrap_or(0);
        let chosen = self
            .upstreams
            .choose(now, replicas, &mut self.rng, |index| {
                index < MAX_REPLICAS && allowed & (1 << index) != 0
            });
        plan.tally.out_of_service += out_of_service;
        plan.tally.backing_off += backing_off;
        chosen
    }

    /// Returns whether `key` can serve `snapshot` according to its last report.
    pub(super) fn serving(&self, key: UpstreamKey, snapshot: Option<Snapshot>) -> Serving {
        let (Some(snapshot), Some(serves)) = (snapshot, self.upstreams.served_snapshots(key))
        else {
            return Serving::Yes;
        };
        if snapshot < serves.oldest {
            return Serving::TooOld;
        }
        match serves.contains(snapshot) {
            true => Serving::Yes,
            false => Serving::NotYet,
        }
    }

    fn wait_or_give_up(&mut self, now: Time, plan: &mut Plan, shard: ShardNo) {
        let back_at = self.back_at(now, plan, shard);
        let delay_ms = self.delays.median_ms(plan.query.search);
        match back_at {
            Some(back_at) if back_at + delay_ms < plan.answer_at => {
                self.timers.set(back_at, Due::Retry(plan.query.id, shard));
            }
            _ => plan.give_up(shard),
        }
    }

    /// Returns the time at which the first usable replica of `shard` ends its backoff.
    fn back_at(&self, now: Time, plan: &Plan, shard: ShardNo) -> Option<Time> {
        let part = &plan.parts[usize::from(shard.0)];
        let replicas = &plan.shards()[usize::from(shard.0)].upstreams;
        let mut first: Option<Time> = None;
        for (index, key) in replicas.iter().enumerate().take(MAX_REPLICAS) {
            let wrong = part.wrong & 1 << index != 0;
            if wrong || self.serving(*key, plan.snapshot) == Serving::TooOld {
                continue;
            }
            let unavailability = self
                .upstreams
                .unavailability(now, plan.query.customer, *key);
            if let Some(Unavailability::Backoff(until)) = unavailability {
                first = Some(first.map_or(until, |first| first.min(until)));
            }
        }
        first
    }

    /// Returns the time until each unanswered shard has a replica that ends its backoff, in
    /// milliseconds.
    pub(super) fn wait_ms(&self, now: Time, plan: &Plan) -> u64 {
        let mut longest_ms = 0;
        for (index, part) in plan.parts.iter().enumerate() {
            if part.answer.is_some() {
                continue;
            }
            let back_at = self.back_at(now, plan, ShardNo(index as u16));
            longest_ms = longest_ms.max(back_at.map_or(0, |at| at.left(now)));
        }
        longest_ms
    }

    /// Cancels the sub-requests in flight for `shard`.
    pub(super) fn cancel_part(
        &mut self,
        now: Time,
        plan: &mut Plan,
        shard: ShardNo,
        out: &mut Vec<SearchCommand>,
    ) {
        let part = &mut plan.parts[usize::from(shard.0)];
        // A cancellation may arrive too late to stop the work.
        plan.ran |= !part.subs.is_empty();
        for seq in part.subs.drain(..) {
            let sub = self
                .subs
                .remove(&seq)
                .expect("a plan lists only sub-requests in flight");
            self.upstreams
                .record_cancellation(now, sub.upstream, sub.sent_at);
            let id = SubId {
                origin: self.origin,
                seq,
            };
            out.push(SearchCommand::Cancel {
                id,
                upstream: sub.upstream,
            });
        }
    }

    /// Cancels all sub-requests in flight for the query.
    pub(super) fn cancel_all(&mut self, now: Time, plan: &mut Plan, out: &mut Vec<SearchCommand>) {
        for index in 0..plan.parts.len() {
            self.cancel_part(now, plan, ShardNo(index as u16), out);
        }
    }
}

/// Whether an upstream can serve a snapshot, according to its last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Serving {
    /// The upstream can serve the snapshot, or has not reported yet.
    Yes,
    /// The upstream did not have the snapshot yet.
    NotYet,
    /// The upstream has already dropped the snapshot.
    TooOld,
}
