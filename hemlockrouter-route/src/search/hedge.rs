//! Hedging: sending a second sub-request to another replica when the first one is slow.
//!
//! The slowest shard of a query determines its latency, so a hedge helps most in a query that waits
//! for few shards. If the budget does not suffice for all stragglers that are due, queries with the
//! fewest open shards are hedged first. Delaying hedges while a query waits for many shards was
//! tried, and raised the p99 under load.

use hemlockrouter_types::prelude::*;

use super::dispatch::SendReason;
use super::plan::Plan;
use super::plan::Progress;
use super::PendingSubRequest;
use super::SearchCommand;
use super::Searcher;
use super::TimerAction;
use crate::latency::LatencyHistogram;

/// Minimum number of latencies of an upstream for its own quantile to be used. With fewer, the
/// quantile of the search is used.
const MIN_UPSTREAM_SAMPLES: u32 = 64;

/// Minimum number of latencies of a search for its quantile to be used.
const MIN_SEARCH_SAMPLES: u32 = 32;

/// Maximum hedge delay as a multiple of the median, however long the tail is.
const MAX_HEDGE_DELAY_MEDIANS: u64 = 4;

/// Median latency that is assumed while none is known, in milliseconds.
const ASSUMED_MEDIAN_MS: u64 = 10;

/// Latencies of each search, over all its upstreams.
#[derive(Debug)]
pub(super) struct SearchLatencies {
    quantile: f64,
    initial_delay_ms: u64,
    searches: Vec<Option<(SearchKey, ZoneLatencies)>>,
}

/// Latencies of one search.
#[derive(Debug)]
struct ZoneLatencies {
    all_zones: LatencyHistogram,
    /// Latencies of upstreams in the instance's own zone.
    own_zone: LatencyHistogram,
}

impl SearchLatencies {
    pub(super) fn new(quantile: f64, initial_delay_ms: u64) -> SearchLatencies {
        SearchLatencies {
            quantile,
            initial_delay_ms,
            searches: Vec::new(),
        }
    }

    /// Applies a new catalogue and keeps the latencies of searches that are in both catalogues.
    pub(super) fn configure(&mut self, catalog: &Catalog) {
        let mut old_latencies = std::mem::take(&mut self.searches);
        for (key, _) in catalog.searches.iter() {
            let slot = key.slot();
            let known_latencies = old_latencies.get_mut(slot).and_then(Option::take);
            let known_latencies = known_latencies.filter(|(known_key, _)| *known_key == key);
            if self.searches.len() <= slot {
                self.searches.resize_with(slot + 1, || None);
            }
            let new = || {
                let latencies = ZoneLatencies {
                    all_zones: LatencyHistogram::new(self.quantile),
                    own_zone: LatencyHistogram::new(self.quantile),
                };
                (key, latencies)
            };
            self.searches[slot] = Some(known_latencies.unwrap_or_else(new));
        }
    }

    /// Records a latency of `search`, observed at `now`. `in_own_zone` says whether the upstream is
    /// in the zone of this instance.
    pub(super) fn record(
        &mut self,
        now: Time,
        search: SearchKey,
        in_own_zone: bool,
        latency_ms: u64,
    ) {
        let entry = self
            .searches
            .get_mut(search.slot())
            .and_then(Option::as_mut);
        if let Some((key, latencies)) = entry {
            if *key == search {
                latencies.all_zones.record(now, latency_ms);
                if in_own_zone {
                    latencies.own_zone.record(now, latency_ms);
                }
            }
        }
    }

    /// Returns the median latency of `search` in milliseconds, or a default while none is known.
    pub(super) fn median_ms(&self, search: SearchKey) -> u64 {
        let median_ms = self
            .get(search)
            .and_then(|latencies| latencies.all_zones.median_ms());
        median_ms.unwrap_or(ASSUMED_MEDIAN_MS)
    }

    /// Returns the median latency of `search` at upstreams in the own zone, in milliseconds, or
    /// `None` with too few latencies.
    fn own_zone_median_ms(&self, search: SearchKey) -> Option<u64> {
        let own_zone = &self.get(search)?.own_zone;
        (own_zone.sample_count() >= MIN_SEARCH_SAMPLES).then(|| own_zone.median_ms())?
    }

    fn get(&self, search: SearchKey) -> Option<&ZoneLatencies> {
        let (key, latencies) = self.searches.get(search.slot())?.as_ref()?;
        (*key == search).then_some(latencies)
    }
}

impl Searcher {
    /// Returns the time after which a sub-request counts as a straggler, in milliseconds.
    pub(super) fn hedge_delay_ms(&self, search: SearchKey, upstream: UpstreamKey) -> u64 {
        let search_latency = self
            .search_latencies
            .get(search)
            .map(|latencies| &latencies.all_zones);
        let search_latency =
            search_latency.filter(|latency| latency.sample_count() >= MIN_SEARCH_SAMPLES);
        let upstream_high_ms = self
            .upstreams
            .high_quantile_ms(upstream, MIN_UPSTREAM_SAMPLES);
        let high_ms = upstream_high_ms.or_else(|| search_latency?.high_quantile_ms());
        let Some(high_ms) = high_ms else {
            return self.search_latencies.initial_delay_ms;
        };
        high_ms.min(self.max_hedge_delay_ms(search, upstream)) + 1
    }

    /// Returns the maximum hedge delay in milliseconds.
    ///
    /// The maximum is based on the median of the own zone, because the median of all upstreams
    /// includes the network delay to other zones. For an upstream in another zone, the amount by
    /// which its median exceeds that of the own zone is added.
    fn max_hedge_delay_ms(&self, search: SearchKey, upstream: UpstreamKey) -> u64 {
        let Some(own_zone_ms) = self.search_latencies.own_zone_median_ms(search) else {
            return MAX_HEDGE_DELAY_MEDIANS * self.search_latencies.median_ms(search).max(1);
        };
        let own_zone_ms = own_zone_ms.max(1);
        let upstream_median_ms = match self.upstreams.is_in_own_zone(upstream) {
            true => own_zone_ms,
            false => self.upstreams.median_ms(upstream).unwrap_or(own_zone_ms),
        };
        (MAX_HEDGE_DELAY_MEDIANS - 1) * own_zone_ms + upstream_median_ms.max(own_zone_ms)
    }

    /// Hedges the sub-requests `straggler_seqs`, as far as the budget allows.
    pub(super) fn hedge_stragglers(
        &mut self,
        now: Time,
        straggler_seqs: Vec<u64>,
        out: &mut Vec<SearchCommand>,
    ) {
        let mut stragglers: Vec<Straggler> = Vec::with_capacity(straggler_seqs.len());
        for seq in straggler_seqs {
            let Some(sub_request) = self.sub_requests.get(&seq) else {
                continue;
            };
            let plan = &self.plans[&sub_request.query];
            stragglers.push(Straggler {
                open_shards: plan.open_shards,
                seq,
            });
        }
        stragglers.sort_unstable();
        for straggler in stragglers {
            self.hedge(now, straggler.seq, out);
        }
    }

    fn hedge(&mut self, now: Time, seq: u64, out: &mut Vec<SearchCommand>) {
        let Some(sub_request) = self.sub_requests.get(&seq).copied() else {
            return;
        };
        let mut plan = self
            .plans
            .remove(&sub_request.query)
            .expect("a sub-request in flight belongs to a query in flight");
        match self.decide_hedge(&plan, sub_request) {
            HedgeDecision::Now => self.send_hedge(now, &mut plan, seq, out),
            HedgeDecision::Later => self.schedule_recheck(now, &plan, seq),
            HedgeDecision::Never => (),
        }
        self.plans.insert(plan.query.id, plan);
    }

    fn decide_hedge(&mut self, plan: &Plan, sub_request: PendingSubRequest) -> HedgeDecision {
        let shard_state = &plan.shard_states[usize::from(sub_request.shard.0)];
        let hedges_used_up = shard_state.hedges >= self.config.max_hedges_per_shard;
        let tries_used_up = shard_state.tries >= self.config.max_tries_per_shard;
        if shard_state.progress != Progress::Open
            || hedges_used_up
            || tries_used_up
            || self.config.max_hedge_share == 0.0
        {
            return HedgeDecision::Never;
        }
        let has_token = self
            .hedge_budgets
            .for_customer(plan.query.customer)
            .has_token();
        match has_token && !self.queueing_monitor.most_are_queued() {
            true => HedgeDecision::Now,
            false => HedgeDecision::Later,
        }
    }

    fn send_hedge(&mut self, now: Time, plan: &mut Plan, seq: u64, out: &mut Vec<SearchCommand>) {
        let shard = self.sub_requests[&seq].shard;
        let Some(replica) = self.choose(now, plan, shard) else {
            return self.schedule_recheck(now, plan, seq);
        };
        if self.hedge_budgets.for_customer(plan.query.customer).spend() {
            plan.shard_states[usize::from(shard.0)].hedges += 1;
            self.send(now, plan, shard, replica, SendReason::Hedge, out);
        }
    }

    fn schedule_recheck(&mut self, now: Time, plan: &Plan, seq: u64) {
        let upstream = self.sub_requests[&seq].upstream;
        let delay_ms = self.hedge_delay_ms(plan.query.search, upstream);
        let recheck_at = now + (delay_ms / 2).max(1);
        if recheck_at < plan.answer_deadline {
            self.timers.set(recheck_at, TimerAction::Hedge(seq));
        }
    }
}

/// A sub-request that counts as a straggler. The order of the fields is the order in which
/// stragglers are hedged.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Straggler {
    open_shards: usize,
    seq: u64,
}

/// Decision on whether a straggler is hedged.
enum HedgeDecision {
    Now,
    Later,
    Never,
}
