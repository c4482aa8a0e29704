//! What follows from each event of a request.
//!
//! This module takes the events; what follows is decided below it: `send`, `hedge` and `finish` for calls
//! to upstreams, `wait` for those that no upstream has room for, `plan` and `share` for what other instances collect, `collect` for what this one collects for
//! them.

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
use super::event::CallEnd;
use super::event::CallId;
use super::event::Command;
use super::event::RequestId;
use super::peers::Peers;
use super::queue::Queues;
use super::record::Seen;
use super::request::AnswerTo;
use super::request::Part;
use super::request::Request;
use super::request::Try;
use super::table::Route;
use super::table::RouteTable;
use super::upstreams::Upstreams;
use crate::latency::Latency;
use crate::timer::Timers;

/// How long before its deadline a request is given up, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 15;

/// How often upstreams are looked through for those that have left, in milliseconds.
const EXPIRE_EVERY_MS: u64 = 250;

/// What a timer is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Hedge(RequestId),
    Settle(RequestId),
    Deadline(RequestId),
    /// Other instances should have shown that they are at work.
    Silent(RequestId),
    Expire,
}

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    request: RequestId,
    part: usize,
}

/// A call by which another instance collects parts of a request.
#[derive(Clone, Debug)]
struct Share {
    /// The request; none if the call only finds out whether the instance answers.
    request: Option<RequestId>,
    peer: SocketAddr,
    sent: Time,
    /// The places of its parts in the request.
    parts: Vec<usize>,
    has_reported: bool,
}

/// Dispatches requests to upstreams.
#[derive(Debug)]
pub struct Dispatcher {
    config: Config,
    table: Rc<RouteTable>,
    upstreams: Upstreams,
    requests: BTreeMap<RequestId, Request>,
    calls: HashMap<CallId, Call>,
    shares: HashMap<CallId, Share>,
    queues: Queues,
    /// Services at which a call has ended, so that an upstream may have room.
    freed: Vec<ServiceKey>,
    peers: Peers,
    /// When it was last looked which other instances to ask.
    asked_peers_at: Time,
    /// Counts searches that another region collects, which take turns.
    far_turn: usize,
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
            shares: HashMap::new(),
            queues: Queues::default(),
            freed: Vec::new(),
            peers: Peers::default(),
            asked_peers_at: Time::ZERO,
            far_turn: 0,
            last_call: 0,
            timers,
            latencies: HashMap::new(),
            splits: HashMap::new(),
            probed_at: HashMap::new(),
        }
    }

    pub(super) fn config(&self) -> &Config {
        &self.config
    }

    /// Takes over other settings. The name and the availability zone stay.
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
        self.upstreams.set_searches(self.table.searches());
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
        let parts = services.into_iter().map(Part::new).collect();
        let request = Request::new(now, route, parts, deadline_ms, AnswerTo::Caller);
        self.begin(now, id, request, out);
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// Returns whether anything is sent of a request: upstreams must be in reach, and have room in time.
    fn is_taken(&mut self, now: Time, request: &mut Request) -> bool {
        self.can_be_served(now, request) && self.has_time(now, request)
    }

    fn begin(&mut self, now: Time, id: RequestId, mut request: Request, out: &mut Vec<Command>) {
        let is_batch = request.answer_to != AnswerTo::Caller;
        if is_batch || self.is_taken(now, &mut request) {
            self.share(now, id, &mut request, out);
            for at in 0..request.parts.len() {
                let part = &request.parts[at];
                if part.shared.is_none() {
                    self.send_first(now, id, &mut request, at, out);
                }
            }
        }
        if is_batch {
            self.report_unsent(now, id, &request, out);
        }
        let hedge_ms = self.hedge_ms(&request.route);
        self.timers.set(now + hedge_ms, Due::Hedge(id));
        if request.route.is_gathered() {
            self.timers.set(request.settle_at, Due::Settle(id));
        }
        let last = request.deadline.before(DEADLINE_MARGIN_MS);
        self.timers.set(last.max(now), Due::Deadline(id));
        self.requests.insert(id, request);
        self.check(now, id, out);
        self.send_queued(now, out);
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
        self.freed.push(request.parts[call.part].service);
        if let Some(fault) = end.fault() {
            let service = request.parts[call.part].service;
            self.note_fault(now, &mut request.summary, service, &ended, fault);
        }
        let part = &mut request.parts[call.part];
        let again = part.take_end(end, request.route.entry.idempotent);
        if part.has_answered {
            request.answered_at = now;
            self.cancel_part(now, part, Seen::GivenUp, out);
            if request.answer_to == (AnswerTo::Peer { late: true }) {
                Dispatcher::report(call.request, &mut request, out);
            }
        } else if let Some(cause) = again {
            if part.open.is_empty() && !request.is_abandoned {
                self.send(now, call.request, &mut request, call.part, cause, out);
            }
        }
        self.requests.insert(call.request, request);
        self.check(now, call.request, out);
        self.send_queued(now, out);
    }

    /// Takes over that the caller of a request has left, and returns whether the request is given up.
    /// One that must not be repeated and that an upstream may be running is left to end, but is sent to no
    /// other upstream.
    pub fn abandoned(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        if !request.route.entry.idempotent && request.may_have_run() {
            request.is_abandoned = true;
            return false;
        }
        let request = self.requests.remove(&id).expect("it was just found");
        self.drop_request(now, request, Seen::Cancelled, out);
        self.send_queued(now, out);
        true
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Hedge(id) => self.hedge(now, id, out),
                Due::Settle(id) => self.check(now, id, out),
                Due::Silent(id) => self.take_back_silent(now, id, out),
                Due::Deadline(id) => self.time_out(now, id, out),
                Due::Expire => {
                    self.upstreams.expire(now);
                    self.ask_peers(now, out);
                    self.retry_queued();
                    self.timers.set(now + EXPIRE_EVERY_MS, Due::Expire);
                }
            }
        }
        self.send_queued(now, out);
    }

    /// Returns when [`Dispatcher::tick`] is to be called next.
    pub fn next_wake(&mut self) -> Option<Time> {
        while let Some((at, due)) = self.timers.first() {
            let is_live = match due {
                Due::Hedge(id) | Due::Settle(id) | Due::Deadline(id) | Due::Silent(id) => {
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

    /// Records how a try ended.
    fn learn(&mut self, now: Time, route: &Route, ended: &Try, end: &CallEnd) {
        let seen = match end {
            CallEnd::Answered(reply) if reply.is_success() => Seen::Success,
            CallEnd::Answered(reply) if reply.not_run => Seen::Rejected,
            CallEnd::Answered(_) | CallEnd::Lost => Seen::Failure,
            CallEnd::NotSent => Seen::Unreachable,
        };
        if let Some(upstream) = self.upstreams.get_mut(ended.upstream) {
            upstream.record.ended(now, ended.sent, seen);
        }
        if seen == Seen::Success {
            let name = &route.entry.name;
            if !self.latencies.contains_key(name) {
                let latency = Latency::new(hedge::QUANTILE);
                self.latencies.insert(name.clone(), latency);
            }
            let latency = self.latencies.get_mut(name).expect("it was just put in");
            latency.record(now, now.since(ended.sent));
        }
    }
}
