//! The actor that decides, and what connects it to the event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hemlockrouter_edge::CallerRequest;
use hemlockrouter_edge::Change;
use hemlockrouter_route::direct::CallEnd;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Config;
use hemlockrouter_route::direct::Dispatcher;
use hemlockrouter_route::direct::Ending;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_route::direct::Reading;
use hemlockrouter_route::direct::Registered;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::Route;
use hemlockrouter_route::direct::RouteTable;
use hemlockrouter_route::direct::Summary;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::CallerLimits;
use log::info;
use log::warn;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use stakker::ActorOwn;
use stakker::Stakker;
use stakker::CX;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::calls::Call;
use super::calls::Calls;

/// What callers may send until the registry has said so.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    header_max_bytes: 16 << 10,
    body_max_bytes: 256 << 10,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// How a request ended.
pub(super) struct Finished {
    pub(super) ending: Ending,
    pub(super) summary: Box<Summary>,
}

/// A request whose caller waits.
struct Waiting {
    request: Rc<CallerRequest>,
    body: Bytes,
    idempotent: bool,
    finished: oneshot::Sender<Finished>,
}

/// What the actor and the tasks of the loop share.
struct Shared {
    clock: Clock,
    calls: Calls,
    waiting: RefCell<HashMap<RequestId, Waiting>>,
    running: RefCell<HashMap<CallId, AbortHandle>>,
    table: RefCell<Rc<RouteTable>>,
    limits: Cell<CallerLimits>,
    is_loaded: Cell<bool>,
    instances: RefCell<Instances>,
    wake_at: Cell<Option<Time>>,
}

/// The actor with its way in.
pub(super) struct Node {
    stakker: RefCell<Stakker>,
    decider: ActorOwn<Decider>,
    shared: Rc<Shared>,
    wake: Notify,
    last_request: Cell<u64>,
}

/// The actor: the decisions, and how they are carried out.
struct Decider {
    dispatcher: Dispatcher,
    shared: Rc<Shared>,
    node: std::rc::Weak<Node>,
    commands: Vec<Command>,
}

impl Node {
    pub(super) fn new(config: Config, clock: Clock, calls: Calls) -> Rc<Node> {
        let shared = Rc::new(Shared {
            clock,
            calls,
            waiting: RefCell::default(),
            running: RefCell::default(),
            table: RefCell::default(),
            limits: Cell::new(FIRST_LIMITS),
            is_loaded: Cell::new(false),
            instances: RefCell::default(),
            wake_at: Cell::new(None),
        });
        let dispatcher = Dispatcher::new(config);
        Rc::new_cyclic(|node| {
            let mut stakker = Stakker::new(Instant::now());
            let parts = (dispatcher, Rc::clone(&shared), node.clone());
            let decider = actor!(stakker, Decider::init(parts), ret_nop!());
            Node {
                stakker: RefCell::new(stakker),
                decider,
                shared,
                wake: Notify::new(),
                last_request: Cell::new(0),
            }
        })
    }

    /// Returns the routes in force.
    pub(super) fn table(&self) -> Rc<RouteTable> {
        Rc::clone(&self.shared.table.borrow())
    }

    /// Returns what callers may send.
    pub(super) fn limits(&self) -> CallerLimits {
        self.shared.limits.get()
    }

    /// Returns whether routes and upstreams are known.
    pub(super) fn is_configured(&self) -> bool {
        self.shared.is_loaded.get() && !self.shared.table.borrow().is_empty()
    }

    /// Returns how many callers wait.
    pub(super) fn pending(&self) -> usize {
        self.shared.waiting.borrow().len()
    }

    /// Starts a request; its end is sent to the receiver.
    pub(super) fn start(
        &self,
        request: Rc<CallerRequest>,
        body: Bytes,
        route: Rc<Route>,
        deadline_ms: u64,
    ) -> (RequestId, oneshot::Receiver<Finished>) {
        let id = RequestId(self.last_request.get() + 1);
        self.last_request.set(id.0);
        let (finished, receiver) = oneshot::channel();
        let waiting = Waiting {
            request,
            body,
            idempotent: route.entry.idempotent,
            finished,
        };
        self.shared.waiting.borrow_mut().insert(id, waiting);
        call!([self.decider], start(id, route, deadline_ms));
        self.run();
        (id, receiver)
    }

    /// Takes over that the caller of a request has left.
    pub(super) fn abandoned(&self, id: RequestId) {
        call!([self.decider], abandoned(id));
        self.run();
    }

    /// Takes over changes of the registry; `is_whole` if they are all that it holds.
    pub(super) fn changed(&self, changes: Vec<Change>, is_whole: bool) {
        call!([self.decider], changed(changes, is_whole));
        self.run();
    }

    /// Returns how the instance `me` learns what the registry holds.
    pub(super) fn reading(&self, now: Time, me: &str) -> Reading {
        self.shared.instances.borrow().reading(now, me)
    }

    /// Does what is due, for as long as the process runs.
    pub(super) async fn keep_time(&self) {
        loop {
            let now = self.shared.clock.now();
            match self.shared.wake_at.get() {
                Some(at) if at <= now => {
                    call!([self.decider], tick());
                    self.run();
                }
                Some(at) => {
                    let wait = Duration::from_millis(at.since(now));
                    tokio::select! {
                        () = tokio::time::sleep(wait) => {}
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }

    fn ended(&self, id: CallId, end: CallEnd) {
        if self.shared.running.borrow_mut().remove(&id).is_none() {
            return;
        }
        call!([self.decider], ended(id, end));
        self.run();
    }

    /// Lets the actor work, and the timer know if something is due earlier than before.
    fn run(&self) {
        let before = self.shared.wake_at.get();
        self.stakker.borrow_mut().run(Instant::now(), false);
        let is_earlier = match (before, self.shared.wake_at.get()) {
            (Some(before), Some(after)) => after < before,
            (None, after) => after.is_some(),
            (Some(_), None) => false,
        };
        if is_earlier {
            self.wake.notify_one();
        }
    }
}

/// What an actor of type [`Decider`] is made of.
type Parts = (Dispatcher, Rc<Shared>, std::rc::Weak<Node>);

impl Decider {
    fn init(_: CX![], parts: Parts) -> Option<Decider> {
        let (dispatcher, shared, node) = parts;
        Some(Decider {
            dispatcher,
            shared,
            node,
            commands: Vec::new(),
        })
    }

    fn start(&mut self, _: CX![], id: RequestId, route: Rc<Route>, deadline_ms: u64) {
        let now = self.shared.clock.now();
        let out = &mut self.commands;
        self.dispatcher.start(now, id, route, deadline_ms, out);
        self.carry_out();
    }

    fn ended(&mut self, _: CX![], id: CallId, end: CallEnd) {
        let now = self.shared.clock.now();
        self.dispatcher.ended(now, id, end, &mut self.commands);
        self.carry_out();
    }

    fn abandoned(&mut self, _: CX![], id: RequestId) {
        let now = self.shared.clock.now();
        let is_over = self.dispatcher.abandoned(now, id, &mut self.commands);
        self.carry_out();
        if is_over {
            self.shared.waiting.borrow_mut().remove(&id);
        }
    }

    fn tick(&mut self, _: CX![]) {
        let now = self.shared.clock.now();
        self.dispatcher.tick(now, &mut self.commands);
        self.carry_out();
        let upstreams = self.dispatcher.upstreams();
        self.shared.calls.tidy(|key| upstreams.get(key).is_some());
    }

    fn changed(&mut self, _: CX![], changes: Vec<Change>, is_whole: bool) {
        let now = self.shared.clock.now();
        if is_whole {
            self.keep_only(now, &changes);
        }
        for change in changes {
            self.change(now, change);
        }
        if is_whole && !self.shared.is_loaded.replace(true) {
            self.dispatcher.upstreams_mut().first_read();
        }
        let instances = self.dispatcher.upstreams().instances().clone();
        self.shared.instances.replace(instances);
        self.set_timer();
    }

    /// Takes over that the registry holds nothing but `changes`.
    fn keep_only(&mut self, now: Time, changes: &[Change]) {
        let upstreams = self.dispatcher.upstreams_mut();
        upstreams.restore_zones();
        let ids = changes.iter().filter_map(|change| match change {
            Change::Upstream(entry) => Some(entry.id.clone()),
            _ => None,
        });
        upstreams.keep_only(now, &ids.collect());
        let names = changes.iter().filter_map(|change| match change {
            Change::Instance(entry) => Some(entry.name.as_str()),
            _ => None,
        });
        upstreams.instances_mut().keep_only(now, names);
    }

    fn change(&mut self, now: Time, change: Change) {
        match change {
            Change::Routes(document) => {
                let version = document.version;
                let limits = document.limits;
                if self.dispatcher.configure(document) {
                    self.shared.limits.set(limits);
                    self.shared
                        .table
                        .replace(Rc::clone(self.dispatcher.table()));
                    let routes = self.dispatcher.table().len();
                    info!(target: "belief", version = version, routes = routes; "routes in force");
                } else {
                    let in_force = self.dispatcher.table().version();
                    info!(target: "belief", version = version, in_force = in_force; "routes not newer");
                }
            }
            Change::Zone { zone, out } => {
                self.dispatcher.upstreams_mut().evacuate(&zone, out);
                info!(target: "belief", zone = zone.as_str(), out = out; "availability zone");
            }
            Change::Upstream(entry) => self.register(now, entry),
            Change::UpstreamGone { id } => {
                self.dispatcher.upstreams_mut().unregister(now, &id);
                info!(target: "belief", upstream = id.as_str(); "upstream not registered any more");
            }
            Change::Instance(entry) => {
                let name = entry.name.clone();
                self.dispatcher
                    .upstreams_mut()
                    .instances_mut()
                    .joined(now, entry);
                self.log_instance(&name, true);
            }
            Change::InstanceGone { name } => {
                self.dispatcher
                    .upstreams_mut()
                    .instances_mut()
                    .left(now, &name);
                self.log_instance(&name, false);
            }
            Change::Unreadable { key, upstream, why } => {
                warn!(target: "belief", key = key.as_str(), why = why.as_str(); "unreadable entry");
                if let Some(id) = upstream {
                    self.dispatcher.upstreams_mut().unregister(now, &id);
                }
            }
        }
    }

    fn register(&mut self, now: Time, entry: hemlockrouter_types::routing::UpstreamEntry) {
        let id = entry.id.clone();
        let service = entry.service.clone();
        let draining = entry.draining;
        let cold_ms = entry.cold_ms;
        let registered = self.dispatcher.upstreams_mut().register(now, entry);
        if registered != Registered::Same {
            info!(
                target: "belief",
                upstream = id.as_str(),
                service = service.as_str(),
                draining = draining,
                cold_ms = cold_ms,
                change = format!("{registered:?}").as_str();
                "upstream"
            );
        }
    }

    fn log_instance(&self, name: &str, present: bool) {
        let count = self.dispatcher.upstreams().instances().count();
        info!(target: "belief", instance = name, present = present, count = count; "instance");
    }

    /// Carries out what was decided.
    fn carry_out(&mut self) {
        let commands = std::mem::take(&mut self.commands);
        for command in commands {
            match command {
                Command::Send {
                    request,
                    call,
                    upstream,
                    deadline,
                } => self.send(request, call, upstream, deadline),
                Command::Cancel { call } => {
                    if let Some(running) = self.shared.running.borrow_mut().remove(&call) {
                        running.abort();
                    }
                }
                Command::Release { call } => {
                    self.shared.running.borrow_mut().remove(&call);
                }
                Command::Finish {
                    request,
                    ending,
                    summary,
                } => {
                    if let Some(waiting) = self.shared.waiting.borrow_mut().remove(&request) {
                        // A caller that has left does not wait for its answer.
                        let _ = waiting.finished.send(Finished { ending, summary });
                    }
                }
            }
        }
        self.set_timer();
    }

    fn set_timer(&mut self) {
        let wake_at = self.dispatcher.next_wake();
        self.shared.wake_at.set(wake_at);
    }

    fn send(&self, request: RequestId, id: CallId, key: UpstreamKey, deadline: Time) {
        let waiting = self.shared.waiting.borrow();
        let waiting = waiting.get(&request).expect("a request that is sent waits");
        let upstreams = self.dispatcher.upstreams();
        let upstream = upstreams.get(key).expect("an upstream was just chosen");
        let call = Call {
            request: Rc::clone(&waiting.request),
            body: waiting.body.clone(),
            idempotent: waiting.idempotent,
            upstream: key,
            upstream_id: upstream.entry.id.clone(),
            address: upstream.entry.address,
            deadline,
            keep_max: upstreams.connections_max(key),
        };
        let shared = Rc::clone(&self.shared);
        let node = self.node.clone();
        let task = tokio::task::spawn_local(async move {
            let end = shared.calls.make(call).await;
            if let Some(node) = node.upgrade() {
                node.ended(id, end);
            }
        });
        let running = &self.shared.running;
        running.borrow_mut().insert(id, task.abort_handle());
    }
}
