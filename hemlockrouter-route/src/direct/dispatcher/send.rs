//! Sends the parts of requests. Decides whether a part is sent at all, which service of a split and
//! which upstream receives it, and whether the budget allows it.

use hemlockrouter_types::prelude::*;

use super::Call;
use super::Dispatcher;
use crate::direct::event::Command;
use crate::direct::event::RequestId;
use crate::direct::request::Cause;
use crate::direct::request::Part;
use crate::direct::request::Request;
use crate::direct::request::Try;
use crate::direct::table::Route;
use crate::direct::table::RouteTarget;
use crate::direct::upstreams::Among;
use crate::direct::upstreams::Choice;
use crate::direct::upstreams::Reach;
use crate::direct::upstreams::Wanted;

/// The maximum number of attempts for one part.
const ATTEMPTS_PER_PART_MAX: u32 = 3;

/// The interval at which one request of a route is sent although too few upstreams are reachable,
/// in milliseconds.
const UNREACHABLE_PROBE_INTERVAL_MS: u64 = 250;

impl Dispatcher {
    /// Returns whether enough upstreams are reachable for a request. If upstreams are registered
    /// but connections to them have failed, one request is let through periodically as a probe; if
    /// too few upstreams are registered, every request is refused.
    pub(super) fn can_be_served(&mut self, now: Time, request: &mut Request) -> bool {
        let route = &request.route;
        let (mut reachable, mut usable) = (0, 0);
        for part in &request.parts {
            let wanted = Wanted::any(part.service, route);
            match self.upstreams.reach(now, &wanted) {
                Reach::Reachable => (reachable, usable) = (reachable + 1, usable + 1),
                Reach::Unreachable => usable += 1,
                Reach::Nobody => {}
            }
        }
        if reachable >= request.needed() {
            return true;
        }
        let probed_at = self.probed_at.get(&route.entry.name);
        let is_due = probed_at.is_none_or(|at| now.since(*at) >= UNREACHABLE_PROBE_INTERVAL_MS);
        if usable >= request.needed() && is_due {
            self.probed_at.insert(route.entry.name.clone(), now);
            return true;
        }
        request.summary.unavailable = (request.parts.len() - reachable) as u32;
        false
    }

    /// Returns the services that a request of `route` needs.
    pub(super) fn services(&mut self, route: &Route) -> Vec<ServiceKey> {
        match &route.to {
            RouteTarget::Split(parts) => vec![self.split(&route.entry.name, parts)],
            RouteTarget::Shards { services, .. } => services.clone(),
        }
    }

    /// Chooses a service of a split by weight. Multiples of the golden ratio spread evenly over the
    /// unit interval, so that even a few requests approximate the weights.
    pub(super) fn split(&mut self, name: &str, parts: &[(ServiceKey, f64)]) -> ServiceKey {
        const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_895;
        if let [(only, _)] = parts {
            return *only;
        }
        if !self.splits.contains_key(name) {
            self.splits.insert(String::from(name), rand::random());
        }
        let point = self.splits.get_mut(name).expect("it was just put in");
        *point = (*point + GOLDEN_RATIO_CONJUGATE).fract();
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        let mut rest = *point * total;
        for (service, weight) in parts {
            rest -= weight;
            if rest < 0.0 {
                return *service;
            }
        }
        parts[0].0
    }

    /// Sends a part for the first time, and counts the request towards the bound on repeats.
    pub(super) fn send_first(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut Request,
        at: usize,
        out: &mut Vec<Command>,
    ) {
        self.send(now, id, request, at, Cause::First, out);
        let part = &request.parts[at];
        if part.sends > 0 {
            let service = self.upstreams.service_mut(part.service);
            service.spending.request(now, &self.config.repeats);
        }
    }

    /// Sends a part if an upstream is available and the budget allows it.
    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut Request,
        at: usize,
        cause: Cause,
        out: &mut Vec<Command>,
    ) {
        let part = &mut request.parts[at];
        if part.sends >= ATTEMPTS_PER_PART_MAX {
            return;
        }
        let upstream = match self.choose(now, part, &request.route) {
            Choice::Upstream(upstream) => upstream,
            Choice::Busy => return self.enqueue(id, request, at, cause),
            Choice::Nobody => {
                request.summary.unavailable += u32::from(part.sends == 0);
                return;
            }
        };
        let is_repeat = matches!(cause, Cause::Slow | Cause::Failed);
        if is_repeat && !self.spend(now, part.service) {
            request.summary.denied += 1;
            return;
        }
        match cause {
            Cause::First | Cause::Unreached => {}
            Cause::Slow => request.summary.hedges += 1,
            Cause::Failed => request.summary.retries += 1,
        }
        request.summary.sends += 1;
        let call = self.next_call();
        part.sends += 1;
        part.open.push(Try {
            call,
            upstream,
            sent: now,
        });
        if !part.tried.contains(&upstream) {
            part.tried.push(upstream);
        }
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.record.sent(now);
        }
        self.calls.insert(
            call,
            Call {
                request: id,
                part: at,
            },
        );
        out.push(Command::Send {
            request: id,
            call,
            upstream,
            deadline: request.deadline,
        });
    }

    /// Chooses an upstream for a part. Prefers an upstream that was not attempted yet if the route
    /// allows another one, and falls back to one that was.
    pub(super) fn choose(&mut self, now: Time, part: &Part, route: &Route) -> Choice {
        let untried = part.untried();
        let mut wanted = Wanted {
            service: part.service,
            regions: &route.entry.regions,
            among: match &untried {
                Some(untried) => Among::Only(untried),
                None => Among::AllBut(&part.tried),
            },
            far_ms: route.far_ms(),
        };
        if part.tried.len() < route.entry.attempts_max as usize {
            let fresh = self.upstreams.choose(now, &wanted);
            if fresh != Choice::Nobody {
                return fresh;
            }
        }
        if !part.open.is_empty() {
            return Choice::Nobody;
        }
        wanted.among = Among::Only(&part.tried);
        self.upstreams.choose(now, &wanted)
    }

    pub(super) fn spend(&mut self, now: Time, service: ServiceKey) -> bool {
        let part = self.upstreams.allowance_part(now, service);
        let bound = &self.config.repeats;
        let spending = &mut self.upstreams.service_mut(service).spending;
        if spending.left(now, bound, part) < 1.0 {
            return false;
        }
        spending.repeat(now, bound);
        true
    }
}
