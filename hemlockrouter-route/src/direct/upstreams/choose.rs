//! Chooses the upstream for a request.
//!
//! Each candidate has a cost in milliseconds: the sum of its recent latency, the requests that this
//! instance has in flight there, its recent failures and its distance. Bad statistics fade with
//! time, so that an upstream that was slow is tried again. An upstream without capacity for another
//! request is charged its waiting time as well.

use hemlockrouter_types::prelude::*;

use super::Upstream;
use super::Upstreams;
use crate::direct::record::UpstreamStats;
use crate::direct::table::Route;

/// The cost added for an upstream that always fails, in milliseconds.
const ALWAYS_FAILING_COST_MS: f64 = 300.0;

/// The cost added for an upstream to which a connection has just failed, in milliseconds.
const CONNECT_FAILURE_COST_MS: f64 = 500.0;

/// The cost added for an upstream that is shutting down or whose registration has ended, in
/// milliseconds.
const LEAVING_COST_MS: f64 = 400.0;

/// The cost added for an upstream of another region, on top of its latency, in milliseconds.
const OTHER_REGION_COST_MS: f64 = 15.0;

/// The cost added for an upstream of another availability zone, on top of its latency, in
/// milliseconds.
const OTHER_ZONE_COST_MS: f64 = 3.0;

/// The cost added to the expected waiting time of an upstream without capacity, in milliseconds.
/// Such an upstream may have stopped answering.
const NO_CAPACITY_COST_MS: f64 = 50.0;

/// The range of the rotating cost that distributes requests among equal candidates, in
/// milliseconds.
const ROTATION_COST_RANGE_MS: f64 = 2.0;

/// The criteria for choosing the upstream of an attempt.
#[derive(Clone, Copy, Debug)]
pub(in crate::direct) struct Criteria<'a> {
    pub(in crate::direct) service: ServiceKey,
    /// The allowed regions; empty if all regions are allowed.
    pub(in crate::direct) regions: &'a [String],
    /// The upstreams to choose from.
    pub(in crate::direct) candidate_filter: CandidateFilter<'a>,
    /// The cost added for an upstream of another region, on top of its distance, in milliseconds.
    pub(in crate::direct) other_region_cost_ms: f64,
}

impl<'a> Criteria<'a> {
    /// Returns criteria that accept any upstream of `service` that `route` allows.
    pub(in crate::direct) fn any_upstream(service: ServiceKey, route: &'a Route) -> Criteria<'a> {
        Criteria {
            service,
            regions: &route.entry.regions,
            candidate_filter: CandidateFilter::AllBut(&[]),
            other_region_cost_ms: route.other_region_cost_ms(),
        }
    }
}

/// The reachability of a service, in ascending order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::direct) enum Reachability {
    /// The service has no usable upstream.
    NoUpstream,
    /// Recent connections to all usable upstreams have failed.
    Unreachable,
    /// At least one usable upstream is considered reachable.
    Reachable,
}

/// A restriction on the upstreams to choose from.
#[derive(Clone, Copy, Debug)]
pub(in crate::direct) enum CandidateFilter<'a> {
    /// All upstreams of the service except these.
    AllBut(&'a [UpstreamKey]),
    /// Only these upstreams of the service.
    Only(&'a [UpstreamKey]),
}

impl CandidateFilter<'_> {
    fn allows(self, key: UpstreamKey) -> bool {
        match self {
            CandidateFilter::AllBut(keys) => !keys.contains(&key),
            CandidateFilter::Only(keys) => keys.contains(&key),
        }
    }
}

/// The upstream chosen for an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::direct) enum Choice {
    /// The attempt is sent to this upstream.
    Upstream(UpstreamKey),
    /// Waiting until an upstream has capacity is the cheapest option.
    Busy,
    /// No upstream is usable.
    NoUpstream,
}

impl Upstreams {
    /// Chooses an upstream for an attempt if the cheapest one has capacity.
    pub(in crate::direct) fn choose(&mut self, now: Time, criteria: &Criteria<'_>) -> Choice {
        let Some(key) = self.lowest_cost_upstream(now, criteria) else {
            return Choice::NoUpstream;
        };
        if !self.expect_upstream(key).stats.has_capacity() {
            return Choice::Busy;
        }
        self.count_cold_send(now, key);
        Choice::Upstream(key)
    }

    /// Chooses an upstream for another instance to use. Capacity is not checked, since the other
    /// instance knows its own limit.
    pub(in crate::direct) fn choose_ignoring_capacity(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
    ) -> Option<UpstreamKey> {
        let key = self.lowest_cost_upstream(now, criteria)?;
        self.count_cold_send(now, key);
        Some(key)
    }

    /// Returns the upstream with the lowest cost, including the time until the upstream has
    /// capacity.
    fn lowest_cost_upstream(&mut self, now: Time, criteria: &Criteria<'_>) -> Option<UpstreamKey> {
        self.rotation = self.rotation.wrapping_add(1);
        let service = self.services.get(criteria.service)?;
        let candidates = service.upstreams.iter().enumerate();
        let allowed = candidates.filter_map(|(index_in_service, key)| {
            let upstream = self.upstreams.get(*key)?;
            let usable =
                criteria.candidate_filter.allows(*key) && self.is_usable(now, upstream, criteria);
            let usable = usable && self.cold_limit_allows(now, upstream, service.cold_per_s);
            usable.then(|| {
                let cost_ms = self.cost_ms(
                    now,
                    index_in_service,
                    upstream,
                    criteria.other_region_cost_ms,
                );
                let capacity_wait_ms = match upstream.stats.has_capacity() {
                    true => 0.0,
                    false => {
                        NO_CAPACITY_COST_MS
                            + service.queue_wait_ms(upstream.stats.throughput_per_ms())
                    }
                };
                (cost_ms + capacity_wait_ms, *key)
            })
        });
        let (_, key) = allowed.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        Some(key)
    }

    /// Counts a send to an upstream if the upstream is cold (recently started).
    fn count_cold_send(&mut self, now: Time, key: UpstreamKey) {
        let upstream = self
            .upstreams
            .get_mut(key)
            .expect("the upstream was just chosen");
        if upstream.cold_until > now {
            upstream.cold_sends.record(now);
        }
    }

    /// Returns how long a part waits until an upstream of its service has capacity, in
    /// milliseconds.
    pub(in crate::direct) fn capacity_wait_ms(&self, now: Time, criteria: &Criteria<'_>) -> f64 {
        let Some(service) = self.services.get(criteria.service) else {
            return 0.0;
        };
        let registered = service.upstreams.iter().filter_map(|key| self.get(*key));
        let usable = registered.filter(|upstream| self.is_usable(now, upstream, criteria));
        let usable_stats: Vec<&UpstreamStats> = usable.map(|upstream| &upstream.stats).collect();
        if usable_stats.iter().any(|stats| stats.has_capacity()) {
            return 0.0;
        }
        service.queue_wait_ms(
            usable_stats
                .iter()
                .map(|stats| stats.throughput_per_ms())
                .sum(),
        )
    }

    /// Returns whether a service has a usable upstream, and whether one is reachable.
    pub(in crate::direct) fn reachability(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
    ) -> Reachability {
        let service = self.services.get(criteria.service);
        let keys = service.into_iter().flat_map(|service| &service.upstreams);
        let upstreams = keys.filter_map(|key| self.upstreams.get(*key));
        let usable = upstreams.filter(|upstream| self.is_usable(now, upstream, criteria));
        let reachability = usable.map(|upstream| match upstream.stats.is_unreachable(now) {
            true => Reachability::Unreachable,
            false => Reachability::Reachable,
        });
        reachability.max().unwrap_or(Reachability::NoUpstream)
    }

    pub(super) fn is_usable(
        &self,
        now: Time,
        upstream: &Upstream,
        criteria: &Criteria<'_>,
    ) -> bool {
        let linger_expired = upstream
            .leaving_since()
            .is_some_and(|since| now.ms_since(since) > self.config.linger_ms);
        let allowed = criteria.regions.is_empty()
            || upstream
                .region
                .as_ref()
                .is_some_and(|region| criteria.regions.contains(region));
        let is_excluded = linger_expired || upstream.announced.is_paused(now);
        !is_excluded && allowed && !self.evacuated.contains(&upstream.entry.zone)
    }

    /// Returns whether this instance may send one more request to an upstream within the rate limit
    /// that applies while the upstream is cold (recently started). It may send none before it has
    /// known all other instances.
    fn cold_limit_allows(&self, now: Time, upstream: &Upstream, per_s: Option<f64>) -> bool {
        let Some(per_s) = per_s else {
            return true;
        };
        if upstream.cold_until <= now {
            return true;
        }
        if !self.instances.has_been_complete(now) {
            // The number of instances among which the limit is divided is not known yet.
            return false;
        }
        let rate_limit_per_s =
            per_s * self.config.cold_limit_factor + self.config.cold_limit_extra_per_s;
        let own_name = &self.config.name;
        let own_limit = crate::direct::cold::instance_limit_per_s(
            self.instances.names(),
            own_name,
            &upstream.entry.id,
            rate_limit_per_s,
        );
        upstream.cold_sends.recent_count(now) < own_limit
    }

    pub(super) fn cost_ms(
        &self,
        now: Time,
        index_in_service: usize,
        upstream: &Upstream,
        other_region_cost_ms: f64,
    ) -> f64 {
        let mut cost_ms = upstream
            .stats
            .cost_ms(now, upstream.entry.slots, ALWAYS_FAILING_COST_MS);
        if upstream.stats.has_recent_connect_failure(now) {
            cost_ms += CONNECT_FAILURE_COST_MS;
        }
        if upstream.leaving_since().is_some() {
            cost_ms += LEAVING_COST_MS;
        }
        if upstream.entry.zone != self.config.zone {
            cost_ms += OTHER_ZONE_COST_MS;
        }
        if upstream.region != self.region {
            cost_ms += OTHER_REGION_COST_MS + other_region_cost_ms;
        }
        let rotation = (index_in_service as u32).wrapping_add(self.rotation) % 3;
        cost_ms + f64::from(rotation) * ROTATION_COST_RANGE_MS / 2.0
    }
}
