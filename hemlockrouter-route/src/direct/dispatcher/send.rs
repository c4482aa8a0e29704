//! Sends the parts of requests. Decides whether a part is sent at all, which service of a split and
//! which upstream receives it, and whether the budget allows it.

use hemlockrouter_types::prelude::*;

use super::Dispatcher;
use super::UpstreamCall;
use crate::direct::event::Command;
use crate::direct::event::RequestId;
use crate::direct::request::Attempt;
use crate::direct::request::Request;
use crate::direct::request::RequestPart;
use crate::direct::request::SendReason;
use crate::direct::table::Route;
use crate::direct::table::RouteTarget;
use crate::direct::upstreams::CandidateFilter;
use crate::direct::upstreams::Choice;
use crate::direct::upstreams::Criteria;
use crate::direct::upstreams::Reachability;

/// The maximum number of attempts for one part.
const ATTEMPTS_PER_PART_MAX: u32 = 3;

/// The interval at which one request of a route is sent although too few upstreams are reachable,
/// in milliseconds.
const UNREACHABLE_PROBE_INTERVAL_MS: u64 = 250;

impl Dispatcher {
    /// Returns whether enough upstreams are reachable for a request. If upstreams are registered
    /// but connections to them have failed, one request is let through periodically as a probe; if
    /// too few upstreams are registered, every request is refused.
    pub(super) fn has_reachable_upstreams(&mut self, now: Time, request: &mut Request) -> bool {
        let route = &request.route;
        let (mut reachable, mut usable) = (0, 0);
        for part in &request.parts {
            let criteria = Criteria::any_upstream(part.service, route);
            match self.upstreams.reachability(now, &criteria) {
                Reachability::Reachable => (reachable, usable) = (reachable + 1, usable + 1),
                Reachability::Unreachable => usable += 1,
                Reachability::NoUpstream => {}
            }
        }
        if reachable >= request.needed_parts() {
            return true;
        }
        let route_probed_at = self.route_probed_at.get(&route.entry.name);
        let is_probe_due = route_probed_at
            .is_none_or(|probed_at| now.ms_since(*probed_at) >= UNREACHABLE_PROBE_INTERVAL_MS);
        if usable >= request.needed_parts() && is_probe_due {
            self.route_probed_at.insert(route.entry.name.clone(), now);
            return true;
        }
        request.summary.unavailable = (request.parts.len() - reachable) as u32;
        false
    }

    /// Returns the services that a request of `route` needs.
    pub(super) fn services(&mut self, route: &Route) -> Vec<ServiceKey> {
        match &route.target {
            RouteTarget::Split(parts) => vec![self.choose_split_service(&route.entry.name, parts)],
            RouteTarget::Shards { services, .. } => services.clone(),
        }
    }

    /// Chooses a service of a split by weight. Multiples of the golden ratio spread evenly over the
    /// unit interval, so that even a few requests approximate the weights.
    pub(super) fn choose_split_service(
        &mut self,
        name: &str,
        parts: &[(ServiceKey, f64)],
    ) -> ServiceKey {
        const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_895;
        if let [(single_service, _)] = parts {
            return *single_service;
        }
        if !self.split_positions.contains_key(name) {
            self.split_positions
                .insert(String::from(name), rand::random());
        }
        let position = self
            .split_positions
            .get_mut(name)
            .expect("the entry was just inserted");
        *position = (*position + GOLDEN_RATIO_CONJUGATE).fract();
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        let mut remaining_weight = *position * total;
        for (service, weight) in parts {
            remaining_weight -= weight;
            if remaining_weight < 0.0 {
                return *service;
            }
        }
        parts[0].0
    }

    /// Sends a part for the first time, and counts the request towards the bound on repeats.
    pub(super) fn send_first(
        &mut self,
        now: Time,
        request_id: RequestId,
        request: &mut Request,
        part_index: usize,
        commands: &mut Vec<Command>,
    ) {
        self.send(
            now,
            request_id,
            request,
            part_index,
            SendReason::First,
            commands,
        );
        let part = &request.parts[part_index];
        if part.sends > 0 {
            let service = self.upstreams.service_mut(part.service);
            service
                .repeat_budget
                .count_request(now, &self.config.repeat_bound);
        }
    }

    /// Sends a part if an upstream is available and the budget allows it.
    pub(super) fn send(
        &mut self,
        now: Time,
        request_id: RequestId,
        request: &mut Request,
        part_index: usize,
        send_reason: SendReason,
        commands: &mut Vec<Command>,
    ) {
        let part = &mut request.parts[part_index];
        if part.sends >= ATTEMPTS_PER_PART_MAX {
            return;
        }
        let upstream = match self.choose(now, part, &request.route) {
            Choice::Upstream(upstream) => upstream,
            Choice::Busy => return self.enqueue(request_id, request, part_index, send_reason),
            Choice::NoUpstream => {
                request.summary.unavailable += u32::from(part.sends == 0);
                return;
            }
        };
        let is_repeat = matches!(send_reason, SendReason::Hedge | SendReason::Retry);
        if is_repeat && !self.try_spend_repeat(now, part.service) {
            request.summary.over_budget += 1;
            return;
        }
        match send_reason {
            SendReason::First | SendReason::NotReached => {}
            SendReason::Hedge => request.summary.hedges += 1,
            SendReason::Retry => request.summary.retries += 1,
        }
        request.summary.sends += 1;
        let call = self.next_call();
        part.sends += 1;
        part.open_attempts.push(Attempt {
            call,
            upstream,
            sent: now,
        });
        if !part.attempted.contains(&upstream) {
            part.attempted.push(upstream);
        }
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.stats.record_sent(now);
        }
        self.calls.insert(
            call,
            UpstreamCall {
                request_id,
                part_index,
            },
        );
        commands.push(Command::Send {
            request: request_id,
            call,
            upstream,
            deadline: request.deadline,
        });
    }

    /// Chooses an upstream for a part. Prefers an upstream that was not attempted yet if the route
    /// allows another one, and falls back to one that was.
    pub(super) fn choose(&mut self, now: Time, part: &RequestPart, route: &Route) -> Choice {
        let unattempted = part.unattempted();
        let mut criteria = Criteria {
            service: part.service,
            regions: &route.entry.regions,
            candidate_filter: match &unattempted {
                Some(unattempted) => CandidateFilter::Only(unattempted),
                None => CandidateFilter::AllBut(&part.attempted),
            },
            other_region_cost_ms: route.other_region_cost_ms(),
        };
        if part.attempted.len() < route.entry.attempts_max as usize {
            let choice = self.upstreams.choose(now, &criteria);
            if choice != Choice::NoUpstream {
                return choice;
            }
        }
        if !part.open_attempts.is_empty() {
            return Choice::NoUpstream;
        }
        criteria.candidate_filter = CandidateFilter::Only(&part.attempted);
        self.upstreams.choose(now, &criteria)
    }

    pub(super) fn try_spend_repeat(&mut self, now: Time, service: ServiceKey) -> bool {
        let allowance_fraction = self.upstreams.allowance_fraction(now, service);
        let repeat_bound = &self.config.repeat_bound;
        let repeat_budget = &mut self.upstreams.service_mut(service).repeat_budget;
        if repeat_budget.remaining(now, repeat_bound, allowance_fraction) < 1.0 {
            return false;
        }
        repeat_budget.count_repeat(now, repeat_bound);
        true
    }
}
