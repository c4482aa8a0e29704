//! Reports the state of upstreams to operators.

use hemlockrouter_types::prelude::*;

use super::CandidateFilter;
use super::Criteria;
use super::Upstream;
use super::Upstreams;
use crate::direct::status::UpstreamState;
use crate::direct::status::UpstreamStatus;

impl Upstreams {
    /// Returns the state of all upstreams, sorted by service and id.
    pub(in crate::direct) fn status(&self, now: Time) -> Vec<UpstreamStatus> {
        let mut status = Vec::with_capacity(self.upstreams.len());
        for (key, service) in self.services.iter() {
            let criteria = Criteria {
                service: key,
                regions: &[],
                candidate_filter: CandidateFilter::AllBut(&[]),
                other_region_cost_ms: 0.0,
            };
            let upstreams = service.upstreams.iter().filter_map(|key| self.get(*key));
            status.extend(upstreams.map(|upstream| self.status_of(now, upstream, &criteria)));
        }
        status.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        status
    }

    /// Returns the state of a service's upstreams, in the order in which they would be chosen.
    pub(in crate::direct) fn explain(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
    ) -> Vec<UpstreamStatus> {
        let service = self.services.get(criteria.service);
        let keys = service.map_or(&[][..], |service| &service.upstreams);
        let upstreams = keys.iter().filter_map(|key| self.get(*key));
        let mut status: Vec<UpstreamStatus> = upstreams
            .map(|upstream| self.status_of(now, upstream, criteria))
            .collect();
        let is_excluded = |upstream_status: &UpstreamStatus| {
            matches!(
                upstream_status.state,
                UpstreamState::Excluded | UpstreamState::Resting
            )
        };
        status.sort_by(|a, b| {
            let by_state = is_excluded(a).cmp(&is_excluded(b));
            by_state.then(a.cost_ms.total_cmp(&b.cost_ms))
        });
        status
    }

    fn status_of(&self, now: Time, upstream: &Upstream, criteria: &Criteria<'_>) -> UpstreamStatus {
        let state = if upstream.announced.is_paused(now) {
            UpstreamState::Resting
        } else if !self.is_usable(now, upstream, criteria) {
            UpstreamState::Excluded
        } else if upstream.stats.is_unreachable(now) {
            UpstreamState::Unreachable
        } else if upstream.leaving_since().is_some() {
            UpstreamState::Leaving
        } else if upstream.cold_until > now {
            UpstreamState::Cold
        } else {
            UpstreamState::Used
        };
        UpstreamStatus {
            id: upstream.entry.id.clone(),
            service: upstream.entry.service.clone(),
            zone: upstream.entry.zone.clone(),
            address: upstream.entry.address,
            state,
            in_flight: upstream.stats.in_flight(),
            cost_ms: self
                .cost_ms(now, 0, upstream, criteria.other_region_cost_ms)
                .round(),
        }
    }
}
