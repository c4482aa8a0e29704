//! Hedging: sending a second sub-request to another replica when the first one is slow.
//!
//! The slowest shard of a query determines its latency, so a hedge helps most in a query that waits
//! for few shards. If the budget does not suffice for all stragglers that are due, queries with the
//! fewest open shards are hedged first. Delaying hedges while a query waits for many shards was
//! tried, and raised the p99 under load.

use hemlockrouter_types::prelude::*;

use super::dispatch::Try;
use super::plan::Plan;
use super::plan::Progress;
use super::Due;
use super::SearchCommand;
use super::Searcher;
use super::Sub;
use crate::latency::Latency;

/// Minimum number of latencies of an upstream for its own quantile to be used. With fewer, the
/// quantile of the search is used.
const UPSTREAM_SAMPLES: u32 = 64;

/// Minimum number of latencies of a search for its quantile to be used.
const SEARCH_SAMPLES: u32 = 32;

/// Maximum hedge delay as a multiple of the median, however long the tail is.
const MAX_MEDIANS: u64 = 4;

/// Median latency that is assumed while none is known, in milliseconds.
const UNKNOWN_MS: u64 = 10;

/// Latencies of each search, over all its upstreams.
#[derive(Debug)]
pub(super) struct Delays {
    quantile: f64,
    start_ms: u64,
    searches: Vec<Option<(SearchKey, Latencies)>>,
}

/// Latencies of one search.
#[derive(Debug)]
struct Latencies {
    all: Latency,
    /// Latencies of upstreams in the instance's own zone.
    near: Latency,
}

impl Delays {
    pub(super) fn new(quantile: f64, start_ms: u64) -> Delays {
        Delays {
            quantile,
            start_ms,
            searches: Vec::new(),
        }
    }

    /// Applies a new catalogue and keeps the latencies of searches that are in both catalogues.
    pub(super) fn configure(&mut self, catalog: &Catalog) {
        let mut old = std::mem::take(&mut self.searches);
        for (key, _) in catalog.searches.iter() {
            let slot = key.slot();
            let known = old.get_mut(slot).and_then(Option::take);
            let known = known.filter(|(known, _)| *known == key);
            if self.searches.len() <= slot {
                self.searches.resize_with(slot + 1, || None);
            }
            let new = || {
                let latencies = Latencies {
                    all: Latency::new(self.quantile),
                    near: Latency::new(self.quantile),
                };
                (key, latencies)
            };
            self.searches[slot] = Some(known.unwrap_or_else(new));
        }
    }

    /// Records a latency of `search`, observed at `now`. `near` says whether the upstream is in the
    /// instance's own zone.
    pub(super) fn record(&mut self, now: Time, search: SearchKey, near: bool, latency_ms: u64) {
        let entry = self
            .searches
            .get_mut(search.slot())
            .and_then(Option::as_mut);
        if let Some((key, latencies)) = entry {
            if *key == search {
                latencies.all.record(now, latency_ms);
                if near {
                    latencies.near.record(now, latency_ms);
                }
            }
        }
    }

    /// Returns the median latency of `search` in milliseconds, or a default while none is known.
    pub(super) fn median_ms(&self, search: SearchKey) -> u64 {
        let median_ms = self.get(search).and_then(|known| known.all.median_ms());
        median_ms.unwrap_or(UNKNOWN_MS)
    }

    /// Returns the median latency of `search` at upstreams in the own zone, in milliseconds, or
    /// `None` with too few latencies.
    fn near_median_ms(&self, search: SearchKey) -> Option<u64> {
        let near = &self.get(search)?.near;
        (near.samples() >= SEARCH_SAMPLES).then(|| near.median_ms())?
    }

    fn get(&self, search: SearchKey) -> Option<&Latencies> {
        let (key, latencies) = self.searches.get(search.slot())?.as_ref()?;
        (*key == search).then_some(latencies)
    }
}

impl Searcher {
    /// Returns the time after which a sub-request counts as a straggler, in milliseconds.
    pub(super) fn hedge_delay_ms(&self, search: SearchKey, upstream: UpstreamKey) -> u64 {
        let of_search = self.delays.get(search).map(|known| &known.all);
        let of_search = of_search.filter(|latency| latency.samples() >= SEARCH_SAMPLES);
        let own_ms = self.upstreams.high_quantile_ms(upstream, UPSTREAM_SAMPLES);
        let high_ms = own_ms.or_else(|| of_search?.high_ms());
        let Some(high_ms) = high_ms else {
            return self.delays.start_ms;
        };
        high_ms.min(self.most_ms(search, upstream)) + 1
    }

    /// Returns the maximum hedge delay in milliseconds.
    ///
    /// The maximum is based on the median of the own zone, because the median of all upstreams
    /// includes the network delay to other zones. For an upstream in another zone, the amount by
    /// which its median exceeds that of the own zone is added.
    fn most_ms(&self, search: SearchKey, upstream: UpstreamKey) -> u64 {
        let Some(near_ms) = self.delays.near_median_ms(search) else {
            return MAX_MEDIANS * self.delays.median_ms(search).max(1);
        };
        let near_ms = near_ms.max(1);
        let own_ms = match self.upstreams.is_in_own_zone(upstream) {
            true => near_ms,
            false => self.upstreams.median_ms(upstream).unwrap_or(near_ms),
        };
        (MAX_MEDIANS - 1) * near_ms + own_ms.max(near_ms)
    }

    /// Hedges the sub-requests `seqs`, as far as the budget allows.
    pub(super) fn hedge_stragglers(
        &mut self,
        now: Time,
        seqs: Vec<u64>,
        out: &mut Vec<SearchCommand>,
    ) {
        let mut due: Vec<Straggler> = Vec::with_capacity(seqs.len());
        for seq in seqs {
            let Some(sub) = self.subs.get(&seq) else {
                continue;
            };
            let plan = &self.plans[&sub.query];
            due.push(Straggler {
                open: plan.open,
                seq,
            });
        }
        due.sort_unstable();
        for straggler in due {
            self.hedge(now, straggler.seq, out);
        }
    }

    fn hedge(&mut self, now: Time, seq: u64, out: &mut Vec<SearchCommand>) {
        let Some(sub) = self.subs.get(&seq).copied() else {
            return;
        };
        let mut plan = self
            .plans
            .remove(&sub.query)
            .expect("a sub-request in flight belongs to a query in flight");
        match self.may_hedge(&plan, sub) {
            Hedge::Now => self.send_hedge(now, &mut plan, seq, out),
            Hedge::Later => self.look_again(now, &plan, seq),
            Hedge::Never => (),
        }
        self.plans.insert(plan.query.id, plan);
    }

    fn may_hedge(&mut self, plan: &Plan, sub: Sub) -> Hedge {
        let part = &plan.parts[usize::from(sub.shard.0)];
        let spent = part.hedges >= self.config.hedges_per_shard;
        let tried = part.tries >= self.config.tries_per_shard;
        if part.progress != Progress::Open || spent || tried || self.config.hedge_share == 0.0 {
            return Hedge::Never;
        }
        let has_token = self
            .hedge_budgets
            .for_customer(plan.query.customer)
            .has_token();
        match has_token && !self.queueing.is_usual() {
            true => Hedge::Now,
            false => Hedge::Later,
        }
    }

    fn send_hedge(&mut self, now: Time, plan: &mut Plan, seq: u64, out: &mut Vec<SearchCommand>) {
        let shard = self.subs[&seq].shard;
        let Some(replica) = self.choose(now, plan, shard) else {
            return self.look_again(now, plan, seq);
        };
        if self.hedge_budgets.for_customer(plan.query.customer).spend() {
            plan.parts[usize::from(shard.0)].hedges += 1;
            self.send(now, plan, shard, replica, Try::Hedge, out);
        }
    }

    fn look_again(&mut self, now: Time, plan: &Plan, seq: u64) {
        let upstream = self.subs[&seq].upstream;
        let delay_ms = self.hedge_delay_ms(plan.query.search, upstream);
        let at = now + (delay_ms / 2).max(1);
        if at < plan.answer_at {
            self.timers.set(at, Due::Hedge(seq));
        }
    }
}

/// A sub-request that counts as a straggler. The order of the fields is the order in which
/// stragglers are hedged.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Straggler {
    open: usize,
    seq: u64,
}

/// Decision on whether a straggler is hedged.
enum Hedge {
    Now,
    Later,
    Never,
}
