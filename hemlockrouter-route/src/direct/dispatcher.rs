//! What follows from each event of a request.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;

use super::config::Config;
use super::event::CallEnd;
use super::event::CallFault;
use super::event::CallId;
use super::event::Command;
use super::event::Ending;
use super::event::FailedCall;
use super::event::Reply;
use super::event::RequestId;
use super::event::Summary;
use super::event::Why;
use super::event::FAILED_CALLS_MAX;
use super::merge::merge;
use super::record::Seen;
use super::request::Part;
use super::request::Request;
use super::request::Try;
use super::table::Route;
use super::table::RouteTable;
use super::table::RouteTarget;
use super::upstreams::Among;
use super::upstreams::Upstreams;
use super::upstreams::Wanted;
use crate::latency::Latency;
use crate::timer::Timers;

/// The quantile of a route's latencies after which a try is hedged.
const HEDGE_QUANTILE: f64 = 0.93;

/// The least time before a hedge, in milliseconds.
const HEDGE_MIN_MS: u64 = 12;

/// The largest part of the target latency that passes before a hedge.
const HEDGE_MAX_PART: f64 = 0.33;

/// A search's parts are hedged when no other part has come for this part of the target latency.
const HEDGE_QUIET_PART: f64 = 0.07;

/// The part of the target latency after which a search's parts are hedged in any case.
const HEDGE_LATEST_PART: f64 = 0.45;

/// Latencies that the quantile must rest on.
const HEDGE_SAMPLES: u32 = 32;

/// The part of the target latency after which an answer with enough shards is not held.
const SETTLE_PART: f64 = 0.9;

/// What sending the answer to the caller takes, in milliseconds.
const REPLY_MS: u64 = 6;

/// How long before its deadline a request is given up, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 15;

/// How often one part is sent at most.
const SENDS_MAX: u32 = 3;

/// When a caller is to come back after upstreams rejected its request, in milliseconds.
const RETRY_REJECTED_MS: u64 = 100;

/// When a caller is to come back after a fault that takes longer to mend, in milliseconds.
const RETRY_FAULT_MS: u64 = 250;

/// A call that nobody waits for any more is left to end by itself at an upstream that usually answers
/// within this time, in milliseconds: it pauses, and a new connection costs it more than the answer. At
/// a slower one the call is cancelled, which frees the upstream.
const RELEASED_MAX_MS: f64 = 45.0;

/// The interval at which a request of a route is sent although too few upstreams could be reached, in
/// milliseconds.
const PROBE_EVERY_MS: u64 = 250;

/// How often upstreams are looked through for those that have left, in milliseconds.
const EXPIRE_EVERY_MS: u64 = 250;

/// What a timer is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Hedge(RequestId),
    Settle(RequestId),
    Deadline(RequestId),
    Expire,
}

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    request: RequestId,
    part: usize,
}

/// Why a part is sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    First,
    Slow,
    Failed,
    /// The last try reached nobody, so this is no repeat.
    Unreached,
}

/// Dispatches requests to upstreams.
#[derive(Debug)]
pub struct Dispatcher {
    config: Config,
    table: Rc<RouteTable>,
    upstreams: Upstreams,
    requests: BTreeMap<RequestId, Request>,
    calls: HashMap<CallId, Call>,
    last_call: u64,
    timers: Timers<Due>,
    latencies: HashMap<String, Latency>,
    splits: HashMap<String, f64>,
    /// When a request of a route was last sent though too few upstreams could be reached.
    probed_at: HashMap<String, Time>,
}

impl Dispatcher {
    /// Makes a dispatcher without routes and upstreams.
    pub fn new(config: Config) -> Dispatcher {
        let mut timers = Timers::new();
        timers.set(Time::from_ms(EXPIRE_EVERY_MS), Due::Expire);
        Dispatcher {
            upstreams: Upstreams::new(config.clone()),
            config,
            table: Rc::new(RouteTable::default()),
            requests: BTreeMap::new(),
            calls: HashMap::new(),
            last_call: 0,
            timers,
            latencies: HashMap::new(),
            splits: HashMap::new(),
            probed_at: HashMap::new(),
        }
    }

    /// Returns the routes in force.
    pub fn table(&self) -> &Rc<RouteTable> {
        &self.table
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the upstreams, to take over what is learned of them.
    pub fn upstreams_mut(&mut self) -> &mut Upstreams {
        &mut self.upstreams
    }

    /// Takes over a document, and returns whether it is newer than the one in force.
    pub fn configure(&mut self, document: hemlockrouter_types::routing::RouteDocument) -> bool {
        if document.version <= self.table.version() && !self.table.is_empty() {
            return false;
        }
        self.table = Rc::new(RouteTable::new(document, &mut self.upstreams));
        true
    }

    /// Returns how many requests have not ended.
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    /// Starts a request, which may take `deadline_ms` from now.
    pub fn start(
        &mut self,
        now: Time,
        id: RequestId,
        route: Rc<Route>,
        deadline_ms: u64,
        out: &mut Vec<Command>,
    ) {
        let services = self.services(&route);
        let deadline = now + deadline_ms.min(route.entry.timeout_ms);
        let settle_ms = (route.entry.target_latency_ms as f64 * SETTLE_PART) as u64;
        let summary = Summary {
            version: route.version,
            parts: services.len(),
            ..Summary::default()
        };
        let mut request = Request {
            arrived: now,
            deadline,
            settle_at: now + settle_ms.saturating_sub(REPLY_MS),
            answered_at: now,
            parts: services.into_iter().map(Part::new).collect(),
            summary,
            route,
        };
        for part in &request.parts {
            let service = self.upstreams.service_mut(part.service);
            service.spending.request(now, &self.config.repeats);
        }
        if self.can_be_served(now, &mut request) {
            for at in 0..request.parts.len() {
                self.send(now, id, &mut request, at, Cause::First, out);
            }
        }
        let hedge_ms = self.hedge_ms(&request.route);
        self.timers.set(now + hedge_ms, Due::Hedge(id));
        if request.route.is_gathered() {
            self.timers.set(request.settle_at, Due::Settle(id));
        }
        let last = deadline.before(DEADLINE_MARGIN_MS);
        self.timers.set(last.max(now), Due::Deadline(id));
        self.requests.insert(id, request);
        self.check(now, id, out);
    }

    /// Takes over how a call ended.
    pub fn ended(&mut self, now: Time, id: CallId, end: CallEnd, out: &mut Vec<Command>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let Some(mut request) = self.requests.remove(&call.request) else {
            return;
        };
        let part = &mut request.parts[call.part];
        let ended = part.take(id).expect("a call that is known is open");
        self.learn(now, &request.route, &ended, &end);
        if let Some(fault) = fault(&end) {
            let service = request.parts[call.part].service;
            self.note_fault(now, &mut request.summary, service, &ended, fault);
        }
        let part = &mut request.parts[call.part];
        let again = take_end(part, end, request.route.entry.idempotent);
        if part.answer.is_some() {
            request.answered_at = now;
            self.cancel_part(now, part, Seen::GivenUp, out);
        } else if let Some(cause) = again {
            if part.open.is_empty() {
                self.send(now, call.request, &mut request, call.part, cause, out);
            }
        }
        self.requests.insert(call.request, request);
        self.check(now, call.request, out);
    }

    /// Takes over that the caller of a request has left, and returns whether the request is given up.
    /// One that must not be repeated runs on.
    pub fn abandoned(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return true;
        };
        if !request.route.entry.idempotent {
            return false;
        }
        let request = self.requests.remove(&id).expect("it was just found");
        self.drop_request(now, request, Seen::Cancelled, out);
        true
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Hedge(id) => self.hedge(now, id, out),
                Due::Settle(id) => self.check(now, id, out),
                Due::Deadline(id) => self.time_out(now, id, out),
                Due::Expire => {
                    self.upstreams.expire(now);
                    self.timers.set(now + EXPIRE_EVERY_MS, Due::Expire);
                }
            }
        }
    }

    /// Returns when [`Dispatcher::tick`] is to be called next.
    pub fn next_wake(&mut self) -> Option<Time> {
        while let Some((at, due)) = self.timers.first() {
            let is_live = match due {
                Due::Hedge(id) | Due::Settle(id) | Due::Deadline(id) => {
                    self.requests.contains_key(&id)
                }
                Due::Expire => true,
            };
            if is_live {
                return Some(at);
            }
            self.timers.drop_first();
        }
        None
    }

    /// Returns whether enough upstreams can be reached for a request. Now and then one request finds
    /// out anew.
    fn can_be_served(&mut self, now: Time, request: &mut Request) -> bool {
        let route = &request.route;
        let reachable = request.parts.iter().filter(|part| {
            let wanted = Wanted {
                service: part.service,
                regions: &route.entry.regions,
                among: Among::AllBut(&[]),
            };
            self.upstreams.has_reachable(now, &wanted)
        });
        let reachable = reachable.count();
        if reachable >= request.needed() {
            return true;
        }
        let probed_at = self.probed_at.get(&route.entry.name);
        if probed_at.is_none_or(|at| now.since(*at) >= PROBE_EVERY_MS) {
            self.probed_at.insert(route.entry.name.clone(), now);
            return true;
        }
        request.summary.unavailable = (request.parts.len() - reachable) as u32;
        false
    }

    /// Returns the services that a request of `route` needs.
    fn services(&mut self, route: &Route) -> Vec<ServiceKey> {
        match &route.to {
            RouteTarget::Split(parts) => vec![self.split(&route.entry.name, parts)],
            RouteTarget::Shards { services, .. } => services.clone(),
        }
    }

    /// Chooses a service of a split by its weight. The points of the golden ratio spread evenly, so
    /// that few requests already come close to the weights.
    fn split(&mut self, name: &str, parts: &[(ServiceKey, f64)]) -> ServiceKey {
        const GOLDEN: f64 = 0.618_033_988_749_895;
        if let [(only, _)] = parts {
            return *only;
        }
        if !self.splits.contains_key(name) {
            self.splits.insert(String::from(name), rand::random());
        }
        let point = self.splits.get_mut(name).expect("it was just put in");
        *point = (*point + GOLDEN).fract();
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

    /// Sends a part, if an upstream and the budget allow it.
    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut Request,
        at: usize,
        cause: Cause,
        out: &mut Vec<Command>,
    ) {
        let part = &mut request.parts[at];
        if part.sends >= SENDS_MAX {
            return;
        }
        let Some(upstream) = self.choose(now, part, &request.route) else {
            request.summary.unavailable += u32::from(part.sends == 0);
            return;
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
        self.last_call += 1;
        let call = CallId(self.last_call);
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

    /// Chooses an upstream for a part: one that was not tried, if the route allows another one, or
    /// else one that was tried before.
    fn choose(&mut self, now: Time, part: &Part, route: &Route) -> Option<UpstreamKey> {
        let mut wanted = Wanted {
            service: part.service,
            regions: &route.entry.regions,
            among: Among::AllBut(&part.tried),
        };
        if part.tried.len() < route.entry.attempts_max as usize {
            if let Some(fresh) = self.upstreams.choose(now, &wanted) {
                return Some(fresh);
            }
        }
        if !part.open.is_empty() {
            return None;
        }
        wanted.among = Among::Only(&part.tried);
        self.upstreams.choose(now, &wanted)
    }

    fn spend(&mut self, now: Time, service: ServiceKey) -> bool {
        let instances = self.upstreams.instances().sharing(now);
        let bound = &self.config.repeats;
        let spending = &mut self.upstreams.service_mut(service).spending;
        if spending.left(now, bound, instances) < 1.0 {
            return false;
        }
        spending.repeat(now, bound);
        true
    }

    /// Sends a second try for each part that is still waiting for its first.
    fn hedge(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let quiet_at = self.quiet_at(&request);
        if now < quiet_at {
            self.timers.set(quiet_at, Due::Hedge(id));
        } else if request.route.entry.idempotent {
            for at in 0..request.parts.len() {
                let part = &request.parts[at];
                if part.answer.is_none() && part.open.len() == 1 && part.sends == 1 {
                    self.send(now, id, &mut request, at, Cause::Slow, out);
                }
            }
        }
        self.requests.insert(id, request);
    }

    /// Returns when the parts of a search that are missing count as slow. While answers come in, the
    /// instance itself is behind, and the next one may be there already.
    fn quiet_at(&self, request: &Request) -> Time {
        if !request.route.is_gathered() {
            return request.arrived;
        }
        let target_ms = request.route.entry.target_latency_ms as f64;
        let quiet_at = request.answered_at + (target_ms * HEDGE_QUIET_PART) as u64;
        let latest = request.arrived + (target_ms * HEDGE_LATEST_PART) as u64;
        quiet_at.min(latest)
    }

    /// Returns after how long a try of `route` is hedged, in milliseconds.
    fn hedge_ms(&self, route: &Route) -> u64 {
        let target_ms = route.entry.target_latency_ms as f64;
        let most_ms = ((target_ms * HEDGE_MAX_PART) as u64).max(HEDGE_MIN_MS);
        let latency = self.latencies.get(&route.entry.name);
        let known = latency.filter(|latency| latency.samples() >= HEDGE_SAMPLES);
        let usual_ms = known.and_then(Latency::high_ms).unwrap_or(most_ms);
        usual_ms.clamp(HEDGE_MIN_MS, most_ms)
    }

    /// Ends a request if it has an answer or can't get one any more.
    fn check(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let answered = request.answered();
        let waiting = request.waiting();
        let needed = request.needed();
        if answered + waiting < needed {
            return self.give_up(now, id, out);
        }
        let is_settled = waiting == 0 || now >= request.settle_at;
        if answered >= needed && is_settled {
            self.answer(now, id, out);
        }
    }

    /// Answers with the parts that are in.
    fn answer(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) {
        let mut request = self.requests.remove(&id).expect("the request is known");
        let mut answers: Vec<Reply> = Vec::with_capacity(request.parts.len());
        let parts = request.parts.iter_mut();
        answers.extend(parts.filter_map(|part| part.answer.take()));
        let ending = match &request.route.to {
            RouteTarget::Split(_) => {
                let answer = answers.pop().expect("one part has an answer");
                Ending::Passed(answer)
            }
            RouteTarget::Shards { records_max, .. } => {
                let bodies = answers.iter().map(|answer| &answer.body[..]);
                Ending::Merged {
                    body: merge(bodies, *records_max),
                    missing: request.parts.len() - answers.len(),
                    stamps: answers
                        .into_iter()
                        .filter_map(|answer| answer.stamp)
                        .collect(),
                }
            }
        };
        request.summary.answered = match &ending {
            Ending::Merged { stamps, .. } => stamps.len(),
            _ => 1,
        };
        self.finish(now, id, request, ending, out);
    }

    /// Ends a request that can't get the answers that it needs.
    fn give_up(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) {
        let mut request = self.requests.remove(&id).expect("the request is known");
        request.summary.answered = request.answered();
        let retry_after_ms = retry_after_ms(&request);
        let has_run = request.may_have_run();
        if !request.route.is_gathered() {
            let part = &mut request.parts[0];
            if let Some(failure) = part.failure.take() {
                return self.finish(now, id, request, Ending::Passed(failure), out);
            }
        }
        let why = why(&request);
        let ending = if has_run {
            Ending::Failed {
                why,
                retry_after_ms,
            }
        } else {
            Ending::NotRun {
                why,
                retry_after_ms,
            }
        };
        self.finish(now, id, request, ending, out);
    }

    /// Ends a request whose time is over.
    fn time_out(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.answered() >= request.needed() {
            return self.answer(now, id, out);
        }
        let mut request = self.requests.remove(&id).expect("it was just found");
        request.summary.answered = request.answered();
        self.finish(now, id, request, Ending::TimedOut, out);
    }

    fn finish(
        &mut self,
        now: Time,
        id: RequestId,
        request: Request,
        ending: Ending,
        out: &mut Vec<Command>,
    ) {
        let mut request = request;
        let mut summary = std::mem::take(&mut request.summary);
        for part in request.parts.iter().filter(|part| !part.has_answered) {
            for open in &part.open {
                self.note_fault(now, &mut summary, part.service, open, CallFault::Unanswered);
            }
        }
        summary.took_ms = now.since(request.arrived);
        self.drop_request(now, request, Seen::GivenUp, out);
        out.push(Command::Finish {
            request: id,
            ending,
            summary: Box::new(summary),
        });
    }

    /// Adds a call that brought no answer of use to the summary, if there is room.
    fn note_fault(
        &self,
        now: Time,
        summary: &mut Summary,
        service: ServiceKey,
        call: &Try,
        how: CallFault,
    ) {
        let upstream = self.upstreams.get(call.upstream);
        if summary.failed_calls.len() >= FAILED_CALLS_MAX {
            return;
        }
        summary.failed_calls.push(FailedCall {
            service: String::from(self.upstreams.name(service)),
            upstream: upstream.map_or_else(String::new, |known| known.entry.id.clone()),
            how,
            after_ms: now.since(call.sent),
        });
    }

    /// Cancels all calls of a request.
    fn drop_request(
        &mut self,
        now: Time,
        mut request: Request,
        seen: Seen,
        out: &mut Vec<Command>,
    ) {
        for part in &mut request.parts {
            self.cancel_part(now, part, seen, out);
        }
    }

    fn cancel_part(&mut self, now: Time, part: &mut Part, seen: Seen, out: &mut Vec<Command>) {
        for open in part.open.drain(..) {
            self.calls.remove(&open.call);
            let call = open.call;
            let mut is_released = false;
            if let Some(upstream) = self.upstreams.get_mut(open.upstream) {
                let is_quick = upstream.record.is_usually_within(RELEASED_MAX_MS);
                is_released = is_quick && seen == Seen::GivenUp;
                upstream.record.ended(now, open.sent, seen);
            }
            out.push(if is_released {
                Command::Release { call }
            } else {
                Command::Cancel { call }
            });
        }
    }

    /// Records how a try ended.
    fn learn(&mut self, now: Time, route: &Route, ended: &Try, end: &CallEnd) {
        let seen = match end {
            CallEnd::Answered(reply) if reply.is_success() => Seen::Success,
            CallEnd::Answered(_) | CallEnd::Lost => Seen::Failure,
            CallEnd::NotSent => Seen::Unreachable,
        };
        if let Some(upstream) = self.upstreams.get_mut(ended.upstream) {
            upstream.record.ended(now, ended.sent, seen);
        }
        if seen == Seen::Success {
            let name = &route.entry.name;
            if !self.latencies.contains_key(name) {
                let latency = Latency::new(HEDGE_QUANTILE);
                self.latencies.insert(name.clone(), latency);
            }
            let latency = self.latencies.get_mut(name).expect("it was just put in");
            latency.record(now, now.since(ended.sent));
        }
    }
}

/// Returns what came of a call that brought no answer of use.
fn fault(end: &CallEnd) -> Option<CallFault> {
    match end {
        CallEnd::Answered(reply) if reply.is_success() => None,
        CallEnd::Answered(reply) if reply.not_run => Some(CallFault::Rejected),
        CallEnd::Answered(reply) => Some(CallFault::Failed {
            status: reply.status,
        }),
        CallEnd::Lost => Some(CallFault::Lost),
        CallEnd::NotSent => Some(CallFault::Unreachable),
    }
}

/// Takes over the end of a try, and returns why the part may be sent again, if it may.
fn take_end(part: &mut Part, end: CallEnd, idempotent: bool) -> Option<Cause> {
    match end {
        CallEnd::NotSent => Some(Cause::Unreached),
        CallEnd::Answered(reply) if reply.is_success() => {
            part.ran = true;
            part.has_answered = true;
            part.answer = Some(reply);
            None
        }
        CallEnd::Answered(reply) if reply.not_run => Some(Cause::Failed),
        CallEnd::Answered(reply) => {
            part.ran = true;
            part.failure = Some(reply);
            idempotent.then_some(Cause::Failed)
        }
        CallEnd::Lost => {
            part.ran = true;
            idempotent.then_some(Cause::Failed)
        }
    }
}

/// Returns why a request can't get the answers that it needs.
fn why(request: &Request) -> Why {
    let mut failed = request.parts.iter().filter(|part| part.has_failed());
    if request.route.is_gathered() {
        return if failed.all(|part| part.sends == 0) {
            Why::NoUpstream
        } else {
            Why::TooFewShards
        };
    }
    match failed.next() {
        Some(part) if part.sends == 0 => Why::NoUpstream,
        Some(part) if part.ran => Why::Lost,
        _ => Why::Rejected,
    }
}

/// Returns when the caller is to come back, in milliseconds.
fn retry_after_ms(request: &Request) -> u64 {
    let mut failed = request.parts.iter().filter(|part| part.has_failed());
    if failed.any(|part| part.sends == 0) {
        RETRY_FAULT_MS
    } else {
        RETRY_REJECTED_MS
    }
}
