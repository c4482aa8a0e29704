//! When a straggler is asked for again at another replica.
//!
//! The slowest shard of a query sets its latency, so a hedge helps most a query that waits for few
//! shards: where the budget does not reach for all stragglers that are due, theirs come first.
//! Holding hedges back while a query waits for many shards was tried, and raised the p99 under load.

use hemlockrouter_types::prelude::*;

use super::dispatch::Try;
use super::plan::Plan;
use super::plan::Progress;
use super::Due;
use super::SearchCommand;
use super::Searcher;
use super::Sub;
use crate::latency::Latency;

/// Latencies of an upstream that its quantile must rest on; below, the search's own is taken.
const UPSTREAM_SAMPLES: u32 = 64;

/// Latencies of a search that its quantile must rest on.
const SEARCH_SAMPLES: u32 = 32;

/// A hedge is not sent later than this many medians, however long the tail is.
const MAX_MEDIANS: u64 = 4;

/// The median that is assumed while none is known, in milliseconds.
const UNKNOWN_MS: u64 = 10;

/// The latencies of each search, over all its upstreams.
#[derive(Debug)]
pub(super) struct Delays {
    quantile: f64,
    start_ms: u64,
    searches: Vec<Option<(SearchKey, Latencies)>>,
}

/// The latencies of one search.
#[derive(Debug)]
struct Latencies {
    all: Latency,
    /// Those of the own zone's upstreams.
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

    /// Takes over the searches of `catalog` and keeps what is known of those that stay.
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

    /// Records a latency of `search` that was seen at `now`, of a `near` upstream or another.
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

    /// Returns the median of `search`, in milliseconds.
    pub(super) fn median_ms(&self, search: SearchKey) -> u64 {
        let median_ms = self.get(search).and_then(|known| known.all.median_ms());
        median_ms.unwrap_or(UNKNOWN_MS)
    }

    /// Returns the median of `search` at upstreams of the own zone, in milliseconds, if enough of
    /// them answered.
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
    /// Returns how long a sub-request may take before it counts as a straggler, in milliseconds.
    pub(super) fn hedge_delay_ms(&self, search: SearchKey, upstream: UpstreamKey) -> u64 {
        let of_search = self.delays.get(search).map(|known| &known.all);
        let of_search = of_search.filter(|latency| latency.samples() >= SEARCH_SAMPLES);
        let own_ms = self.upstreams.high_ms(upstream, UPSTREAM_SAMPLES);
        let high_ms = own_ms.or_else(|| of_search?.high_ms());
        let Some(high_ms) = high_ms else {
            return self.delays.start_ms;
        };
        high_ms.min(self.most_ms(search, upstream)) + 1
    }

    /// Returns the longest delay before a hedge, in milliseconds. It rests on the median of the own
    /// zone: that of all upstreams contains the way to other zones, which is no work. What an upstream
    /// of another zone takes longer by its median is allowed for.
    fn most_ms(&self, search: SearchKey, upstream: UpstreamKey) -> u64 {
        let Some(near_ms) = self.delays.near_median_ms(search) else {
            return MAX_MEDIANS * self.delays.median_ms(search).max(1);
        };
        let near_ms = near_ms.max(1);
        let own_ms = match self.upstreams.is_near(upstream) {
            true => near_ms,
            false => self.upstreams.median_ms(upstream).unwrap_or(near_ms),
        };
        (MAX_MEDIANS - 1) * near_ms + own_ms.max(near_ms)
    }

    /// Hedges the sub-requests `seqs`, as far as the budget reaches.
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
            .expect("a sub-request that is waited for belongs to a query under way");
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
        let has_token = self.hedge_budgets.of(plan.query.customer).has_token();
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
        if self.hedge_budgets.of(plan.query.customer).spend() {
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

/// A sub-request that is held for a straggler, in the order in which hedges are given out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Straggler {
    open: usize,
    seq: u64,
}

/// Whether a straggler is hedged.
enum Hedge {
    Now,
    Later,
    Never,
}
