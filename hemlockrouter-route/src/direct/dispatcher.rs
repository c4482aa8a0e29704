//! Handles the events of requests.
//!
//! This module receives the events and delegates the decisions to its submodules: `send`, `hedge`
//! and `finish` handle calls to upstreams, `wait` queues parts for which no upstream has capacity,
//! `plan` and `share` delegate parts to other instances, `collect` gathers parts on behalf of other
//! instances, and `notices` handles the shutdowns and pauses that upstreams announce.

mod collect;
mod finish;
mod hedge;
mod notices;
mod plan;
mod send;
mod share;
mod wait;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;

use super::config::Config;
use super::event::CallId;
use super::event::CallOutcome;
use super::event::Command;
use super::event::ReplyKind;
use super::event::RequestId;
use super::peers::Peers;
use super::queue::PartQueues;
use super::record::Outcome;
use super::request::AnswerTo;
use super::request::Attempt;
use super::request::Request;
use super::request::RequestPart;
use super::table::Route;
use super::table::RouteTable;
use super::upstreams::Upstreams;
use crate::latency::LatencyHistogram;
use crate::timer::TimerQueue;

/// How long before its deadline a request is given up, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 15;

/// The interval at which upstreams whose registration has ended are removed, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 250;

/// The action that a timer triggers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TimerKind {
    Hedge(RequestId),
    PartialAnswer(RequestId),
    Deadline(RequestId),
    /// Checks whether the other instances that collect parts have reported any progress.
    CheckProgress(RequestId),
    ExpireUpstreams,
}

/// A call to an upstream that has not ended.
#[derive(Clone, Copy, Debug)]
struct UpstreamCall {
    request_id: RequestId,
    part_index: usize,
}

/// A call by which another instance collects parts of a request.
#[derive(Clone, Debug)]
struct DelegatedBatch {
    /// The id of the request; `None` if the call only probes whether the instance responds.
    request_id: Option<RequestId>,
    peer: SocketAddr,
    sent: Time,
    /// The indexes of the delegated parts in the request.
    part_indexes: Vec<usize>,
    has_reported: bool,
}

/// Dispatches requests to upstreams: a state machine that turns events into commands for its
/// driver.
#[derive(Debug)]
pub struct Dispatcher {
    config: Config,
    table: Rc<RouteTable>,
    upstreams: Upstreams,
    requests: BTreeMap<RequestId, Request>,
    calls: HashMap<CallId, UpstreamCall>,
    delegated_batches: HashMap<CallId, DelegatedBatch>,
    queues: PartQueues,
    /// Services of which a call has ended, so that an upstream may have capacity again.
    freed_services: Vec<ServiceKey>,
    peers: Peers,
    /// When this instance last checked which other instances to probe.
    peers_checked_at: Time,
    /// A counter that rotates the zone of another region in which a search is collected.
    other_region_rotation: usize,
    last_call_id: u64,
    timers: TimerQueue<TimerKind>,
    latencies: HashMap<String, LatencyHistogram>,
    split_positions: HashMap<String, f64>,
    /// When a request of each route was last sent although too few upstreams were reachable.
    route_probed_at: HashMap<String, Time>,
}

impl Dispatcher {
    /// Creates a dispatcher without routes and upstreams.
    pub fn new(config: Config) -> Dispatcher {
        let mut timers = TimerQueue::new();
        timers.set(
            Time::from_ms(EXPIRE_INTERVAL_MS),
            TimerKind::ExpireUpstreams,
        );
        Dispatcher {
            upstreams: Upstreams::new(config.clone()),
            config,
            table: Rc::new(RouteTable::default()),
            requests: BTreeMap::new(),
            calls: HashMap::new(),
            delegated_batches: HashMap::new(),
            queues: PartQueues::default(),
            freed_services: Vec::new(),
            peers: Peers::default(),
            peers_checked_at: Time::ZERO,
            other_region_rotation: 0,
            last_call_id: 0,
            timers,
            latencies: HashMap::new(),
            split_positions: HashMap::new(),
            route_probed_at: HashMap::new(),
        }
    }

    pub(super) fn config(&self) -> &Config {
        &self.config
    }

    /// Applies new settings. The name, the availability zone and the map of zones are kept.
    pub fn reconfigure(&mut self, config: Config) {
        let config = Config {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            zones: self.config.zones.clone(),
            ..config
        };
        self.upstreams.reconfigure(config.clone());
        self.upstreams.set_searches(self.table.searches());
        self.config = config;
    }

    /// Returns the routes in force.
    pub fn route_table(&self) -> &Rc<RouteTable> {
        &self.table
    }

    /// Returns the registered upstreams.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the upstreams for updates from the registry.
    pub fn upstreams_mut(&mut self) -> &mut Upstreams {
        &mut self.upstreams
    }

    /// Installs a route document, and returns whether it is newer than the one in force.
    pub fn install_routes(
        &mut self,
        document: hemlockrouter_types::routing::RouteDocument,
    ) -> bool {
        if document.version <= self.table.version() && !self.table.is_empty() {
            return false;
        }
        self.table = Rc::new(RouteTable::new(document, &mut self.upstreams));
        self.upstreams.set_searches(self.table.searches());
        true
    }

    /// Returns the number of requests that have not ended.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Starts a request whose deadline is `deadline_ms` from now.
    pub fn start(
        &mut self,
        now: Time,
        request_id: RequestId,
        route: Rc<Route>,
        deadline_ms: u64,
        commands: &mut Vec<Command>,
    ) {
        let services = self.services(&route);
        let parts = services.into_iter().map(RequestPart::new).collect();
        let request = Request::new(now, route, parts, deadline_ms, AnswerTo::Caller);
        self.begin_request(now, request_id, request, commands);
    }

    fn next_call(&mut self) -> CallId {
        self.last_call_id += 1;
        CallId(self.last_call_id)
    }

    /// Returns whether a request is admitted: enough upstreams must be reachable and have capacity
    /// before the deadline.
    fn is_admitted(&mut self, now: Time, request: &mut Request) -> bool {
        self.has_reachable_upstreams(now, request) && self.has_capacity_in_time(now, request)
    }

    fn begin_request(
        &mut self,
        now: Time,
        request_id: RequestId,
        mut request: Request,
        commands: &mut Vec<Command>,
    ) {
        let is_batch = request.answer_to != AnswerTo::Caller;
        if is_batch || self.is_admitted(now, &mut request) {
            self.delegate(now, request_id, &mut request, commands);
            for part_index in 0..request.parts.len() {
                let part = &request.parts[part_index];
                if part.batch_call.is_none() {
                    self.send_first(now, request_id, &mut request, part_index, commands);
                }
            }
        }
        if is_batch {
            self.report_unsent(now, request_id, &request, commands);
        }
        let hedge_delay_ms = self.hedge_delay_ms(&request.route);
        self.timers
            .set(now + hedge_delay_ms, TimerKind::Hedge(request_id));
        if request.route.is_search() {
            self.timers.set(
                request.partial_answer_at,
                TimerKind::PartialAnswer(request_id),
            );
        }
        let give_up_at = request.deadline.minus_ms(DEADLINE_MARGIN_MS);
        self.timers
            .set(give_up_at.max(now), TimerKind::Deadline(request_id));
        self.requests.insert(request_id, request);
        self.finish_if_settled(now, request_id, commands);
        self.send_queued(now, commands);
    }

    /// Handles the end of a call to an upstream.
    pub fn call_ended(
        &mut self,
        now: Time,
        call_id: CallId,
        end: CallOutcome,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        let Some(mut request) = self.requests.remove(&call.request_id) else {
            return;
        };
        let part = &mut request.parts[call.part_index];
        let attempt = part.remove_attempt(call_id).expect("a known call is open");
        self.record_outcome(now, &request.route, &attempt, &end);
        self.freed_services
            .push(request.parts[call.part_index].service);
        if let Some(fault) = end.fault() {
            let service = request.parts[call.part_index].service;
            self.add_fault(now, &mut request.summary, service, &attempt, fault);
        }
        let part = &mut request.parts[call.part_index];
        let retry_reason = part.record_end(end, request.route.entry.idempotent);
        if part.has_answered {
            request.answered_at = now;
            self.cancel_part(now, part, Outcome::GivenUp, commands);
            if request.answer_to == (AnswerTo::Peer { immediate: true }) {
                Dispatcher::report(call.request_id, &mut request, commands);
            }
        } else if let Some(send_reason) = retry_reason {
            if part.open_attempts.is_empty() && !request.is_abandoned {
                self.send(
                    now,
                    call.request_id,
                    &mut request,
                    call.part_index,
                    send_reason,
                    commands,
                );
            }
        }
        self.requests.insert(call.request_id, request);
        self.finish_if_settled(now, call.request_id, commands);
        self.send_queued(now, commands);
    }

    /// Handles the disconnection of a request's caller, and returns whether the request was
    /// dropped. A request that is not idempotent and that an upstream may be running is left to
    /// finish, but is not sent to any other upstream.
    pub fn handle_caller_disconnect(
        &mut self,
        now: Time,
        request_id: RequestId,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return true;
        };
        if !request.route.entry.idempotent && request.may_have_run() {
            request.is_abandoned = true;
            return false;
        }
        let request = self
            .requests
            .remove(&request_id)
            .expect("the request is known");
        self.drop_request(now, request, Outcome::Cancelled, commands);
        self.send_queued(now, commands);
        true
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Time, commands: &mut Vec<Command>) {
        while let Some(timer_kind) = self.timers.pop_due(now) {
            match timer_kind {
                TimerKind::Hedge(request_id) => self.hedge(now, request_id, commands),
                TimerKind::PartialAnswer(request_id) => {
                    self.finish_if_settled(now, request_id, commands)
                }
                TimerKind::CheckProgress(request_id) => {
                    self.reclaim_delayed_parts(now, request_id, commands)
                }
                TimerKind::Deadline(request_id) => self.time_out(now, request_id, commands),
                TimerKind::ExpireUpstreams => {
                    self.upstreams.remove_expired(now);
                    self.probe_due_peers(now, commands);
                    self.retry_all_queues();
                    self.timers
                        .set(now + EXPIRE_INTERVAL_MS, TimerKind::ExpireUpstreams);
                }
            }
        }
        self.send_queued(now, commands);
    }

    /// Returns when [`Dispatcher::tick`] is to be called next.
    pub fn next_wake(&mut self) -> Option<Time> {
        while let Some((wake_at, timer_kind)) = self.timers.peek() {
            let is_live = match timer_kind {
                TimerKind::Hedge(request_id)
                | TimerKind::PartialAnswer(request_id)
                | TimerKind::Deadline(request_id)
                | TimerKind::CheckProgress(request_id) => self.requests.contains_key(&request_id),
                TimerKind::ExpireUpstreams => true,
            };
            if is_live {
                return Some(wake_at);
            }
            self.timers.pop();
        }
        None
    }

    /// Records the outcome of an attempt in the statistics of its upstream and route.
    fn record_outcome(&mut self, now: Time, route: &Route, attempt: &Attempt, end: &CallOutcome) {
        let outcome = match end {
            CallOutcome::Answered(reply) => match reply.kind {
                ReplyKind::Success { .. } => Outcome::Success,
                ReplyKind::NotRun => Outcome::Rejected,
                ReplyKind::Failure => Outcome::Failure,
            },
            CallOutcome::Lost => Outcome::Failure,
            CallOutcome::NotSent => Outcome::Unreachable,
        };
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.stats.record_ended(now, attempt.sent, outcome);
        }
        if outcome == Outcome::Success {
            let name = &route.entry.name;
            if !self.latencies.contains_key(name) {
                let latency = LatencyHistogram::new(hedge::HEDGE_LATENCY_QUANTILE);
                self.latencies.insert(name.clone(), latency);
            }
            let latency = self
                .latencies
                .get_mut(name)
                .expect("the entry was just inserted");
            latency.record(now, now.ms_since(attempt.sent));
        }
    }
}
