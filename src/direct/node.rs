//! Connects the actor that makes the dispatch decisions to the event loop.

mod decider;
mod upstream_log;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hemlockrouter_edge::BatchCall;
use hemlockrouter_edge::CallerRequest;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_route::direct::BatchOutcome;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Config;
use hemlockrouter_route::direct::Dispatcher;
use hemlockrouter_route::direct::Explanation;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_route::direct::Notice;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_route::direct::Route;
use hemlockrouter_route::direct::RouteTable;
use hemlockrouter_route::direct::Status;
use hemlockrouter_route::direct::Summary;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::CallerLimits;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RegistryAccess;
use stakker::actor;
use stakker::call;
use stakker::query;
use stakker::ret_nop;
use stakker::ActorOwn;
use stakker::Stakker;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use self::decider::Decider;
use super::batches::BatchClient;
use super::calls::UpstreamClient;
use super::collector::BatchEvent;

/// Limits for callers until the registry provides them.
const INITIAL_CALLER_LIMITS: CallerLimits = CallerLimits {
    header_max_bytes: 16 << 10,
    body_max_bytes: 256 << 10,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Outcome and summary of a request that has ended.
pub(super) struct FinishedRequest {
    pub(super) request_result: RequestResult,
    pub(super) summary: Box<Summary>,
}

/// Request that has not ended.
struct PendingRequest {
    request: Rc<CallerRequest>,
    body: Bytes,
    idempotent: bool,
    reply_to: ReplyTo,
}

/// Receiver of a request's result.
enum ReplyTo {
    Caller(oneshot::Sender<FinishedRequest>),
    /// The instance that requested the batch.
    Peer(mpsc::UnboundedSender<BatchEvent>),
}

/// Identity of this instance towards other instances.
pub(super) struct Identity {
    pub(super) entry: InstanceEntry,
    /// Instances to contact while no other instance is known.
    pub(super) seeds: Vec<SocketAddr>,
}

/// State that the actor and the tasks of the event loop share.
struct SharedState {
    clock: Clock,
    identity: Rc<Identity>,
    calls: UpstreamClient,
    batches: BatchClient,
    pending_requests: RefCell<HashMap<RequestId, PendingRequest>>,
    running_calls: RefCell<HashMap<CallId, AbortHandle>>,
    table: RefCell<Rc<RouteTable>>,
    limits: watch::Sender<CallerLimits>,
    is_loaded: Cell<bool>,
    wake_at: Cell<Option<Time>>,
    /// Time at which all requests get their final answer; set by a shutdown.
    final_answer_at: Cell<Option<Time>>,
}

/// Handle of a started request. Dropping the handle before [`RequestGuard::mark_ended`] was called
/// marks the request as abandoned by its caller.
pub(super) struct RequestGuard {
    node: Rc<Node>,
    id: RequestId,
    has_ended: bool,
}

impl RequestGuard {
    /// Marks the end of the request as received.
    pub(super) fn mark_ended(&mut self) {
        self.has_ended = true;
    }

    /// Returns the id of the request.
    pub(super) fn id(&self) -> RequestId {
        self.id
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.node.handle_abandoned(self.id);
        }
    }
}

/// Owns the actor and passes calls and events to it.
pub(super) struct Node {
    stakker: RefCell<Stakker>,
    decider: ActorOwn<Decider>,
    shared: Rc<SharedState>,
    timer_wake: Notify,
    last_request_id: Cell<u64>,
}

impl Node {
    pub(super) fn new(
        config: Config,
        identity: Rc<Identity>,
        clock: Clock,
        calls: UpstreamClient,
        batches: BatchClient,
    ) -> Rc<Node> {
        let shared = Rc::new(SharedState {
            clock,
            identity,
            calls,
            batches,
            pending_requests: RefCell::default(),
            running_calls: RefCell::default(),
            table: RefCell::default(),
            limits: watch::Sender::new(INITIAL_CALLER_LIMITS),
            is_loaded: Cell::new(false),
            wake_at: Cell::new(None),
            final_answer_at: Cell::new(None),
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
                timer_wake: Notify::new(),
                last_request_id: Cell::new(0),
            }
        })
    }

    /// Returns the route table in force.
    pub(super) fn table(&self) -> Rc<RouteTable> {
        Rc::clone(&self.shared.table.borrow())
    }

    /// Returns the limits for callers' requests.
    pub(super) fn limits(&self) -> CallerLimits {
        *self.shared.limits.borrow()
    }

    /// Returns a receiver of the limits for callers' requests, which changes with them.
    pub(super) fn watch_limits(&self) -> watch::Receiver<CallerLimits> {
        self.shared.limits.subscribe()
    }

    /// Returns whether routes and upstreams are known.
    pub(super) fn is_configured(&self) -> bool {
        self.shared.is_loaded.get() && !self.shared.table.borrow().is_empty()
    }

    /// Returns the number of requests that have not ended.
    pub(super) fn pending(&self) -> usize {
        self.shared.pending_requests.borrow().len()
    }

    /// Announces that all requests get their final answer in `left_ms` milliseconds.
    pub(super) fn start_shutdown(&self, left_ms: u64) {
        let at = self.shared.clock.now() + left_ms;
        self.shared.final_answer_at.set(Some(at));
    }

    /// Returns the time until all requests get their final answer, in milliseconds; `None` if the
    /// instance is not shutting down.
    pub(super) fn shutdown_left_ms(&self) -> Option<u64> {
        let at = self.shared.final_answer_at.get();
        at.map(|at| at.remaining_ms(self.shared.clock.now()))
    }

    /// Gives all requests their final answer.
    pub(super) fn time_out_all(&self) {
        call!([self.decider], time_out_all());
        self.run_actor();
    }

    /// Bounds a deadline by the end of a shutdown.
    fn bounded_deadline_ms(&self, deadline_ms: u64) -> u64 {
        let left_ms = self.shutdown_left_ms();
        left_ms.map_or(deadline_ms, |left_ms| deadline_ms.min(left_ms))
    }

    /// Starts a request. The receiver gets its outcome.
    pub(super) fn start(
        self: &Rc<Node>,
        request: Rc<CallerRequest>,
        body: Bytes,
        route: Rc<Route>,
        deadline_ms: u64,
    ) -> (RequestGuard, oneshot::Receiver<FinishedRequest>) {
        let (finished, receiver) = oneshot::channel();
        let request_guard = self.register_request(PendingRequest {
            request,
            body,
            idempotent: route.entry.idempotent,
            reply_to: ReplyTo::Caller(finished),
        });
        let deadline_ms = self.bounded_deadline_ms(deadline_ms);
        call!([self.decider], start(request_guard.id, route, deadline_ms));
        self.run_actor();
        (request_guard, receiver)
    }

    /// Starts to collect a batch for another instance. The receiver gets its progress.
    pub(super) fn start_batch(
        self: &Rc<Node>,
        request: CallerRequest,
        body: Bytes,
        call: &BatchCall,
    ) -> (RequestGuard, mpsc::UnboundedReceiver<BatchEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let request_guard = self.register_request(PendingRequest {
            request: Rc::new(request),
            body,
            idempotent: true,
            reply_to: ReplyTo::Peer(events),
        });
        let batch = call.batch.clone();
        let left_ms = self.bounded_deadline_ms(call.left_ms);
        call!(
            [self.decider],
            start_batch(request_guard.id, batch, left_ms)
        );
        self.run_actor();
        (request_guard, receiver)
    }

    fn register_request(self: &Rc<Node>, pending_request: PendingRequest) -> RequestGuard {
        let id = RequestId(self.last_request_id.get() + 1);
        self.last_request_id.set(id.0);
        self.shared
            .pending_requests
            .borrow_mut()
            .insert(id, pending_request);
        RequestGuard {
            node: Rc::clone(self),
            id,
            has_ended: false,
        }
    }

    fn handle_abandoned(&self, id: RequestId) {
        call!([self.decider], handle_abandoned(id));
        self.run_actor();
    }

    /// Applies changes of the registry, which happened within the last `staleness_ms` milliseconds.
    /// If `is_whole` is set, `changes` contain all entries of the registry.
    pub(super) fn apply_changes(
        &self,
        changes: Vec<EntryChange>,
        is_whole: bool,
        staleness_ms: u64,
    ) {
        call!(
            [self.decider],
            apply_changes(changes, is_whole, staleness_ms)
        );
        self.run_actor();
    }

    /// Returns how this instance should read the registry.
    pub(super) fn registry_access(&self) -> RegistryAccess {
        let identity = Rc::clone(&self.shared.identity);
        let registry_access = query!(
            [self.decider, &mut *self.stakker.borrow_mut()],
            registry_access(identity)
        );
        // The actor starts with the first change; until then no other instance is known.
        registry_access.unwrap_or_else(|| {
            let seeds = &self.shared.identity.seeds;
            Instances::default().registry_access(Time::ZERO, &self.shared.identity.entry, seeds)
        })
    }

    /// Returns the preferred readers of an availability zone, the best ones first.
    pub(super) fn first_readers(&self, zone: &str) -> Vec<InstanceEntry> {
        let zone = String::from(zone);
        let readers = query!(
            [self.decider, &mut *self.stakker.borrow_mut()],
            first_readers(zone)
        );
        readers.unwrap_or_default()
    }

    /// Returns the registrar of each known instance, by the instance's name.
    pub(super) fn registrars(&self) -> HashMap<String, String> {
        let registrars = query!(
            [self.decider, &mut *self.stakker.borrow_mut()],
            registrars()
        );
        registrars.unwrap_or_default()
    }

    /// Applies changed settings.
    pub(super) fn reconfigure(&self, config: Config) {
        call!([self.decider], reconfigure(config));
        self.run_actor();
    }

    /// Returns the status for operators, or `None` if the actor has ended.
    pub(super) fn status(&self) -> Option<Status> {
        query!([self.decider, &mut *self.stakker.borrow_mut()], status())
    }

    /// Explains to operators how a request would be routed now. Returns `None` if no route matches.
    pub(super) fn explain(&self, host: &str, path: &str) -> Option<Explanation> {
        let (host, path) = (String::from(host), String::from(path));
        query!(
            [self.decider, &mut *self.stakker.borrow_mut()],
            explain(host, path)
        )?
    }

    /// Wakes the actor whenever its timer expires, until the process ends.
    pub(super) async fn run_timer(&self) {
        loop {
            let now = self.shared.clock.now();
            match self.shared.wake_at.get() {
                Some(wake_at) if wake_at <= now => {
                    call!([self.decider], tick());
                    self.run_actor();
                }
                Some(wake_at) => {
                    let wait = Duration::from_millis(wake_at.ms_since(now));
                    tokio::select! {
                        () = tokio::time::sleep(wait) => {}
                        () = self.timer_wake.notified() => {}
                    }
                }
                None => self.timer_wake.notified().await,
            }
        }
    }

    fn handle_call_end(&self, id: CallId, outcome: CallOutcome) {
        if self.shared.running_calls.borrow_mut().remove(&id).is_none() {
            return;
        }
        call!([self.decider], handle_call_end(id, outcome));
        self.run_actor();
    }

    fn handle_notice(&self, id: CallId, upstream: UpstreamKey, notice: Notice) {
        call!([self.decider], handle_notice(id, upstream, notice));
        self.run_actor();
    }

    fn handle_collected(&self, id: CallId, collected: BatchReport) {
        call!([self.decider], handle_collected(id, collected));
        self.run_actor();
    }

    fn handle_batch_end(&self, id: CallId, outcome: BatchOutcome) {
        if self.shared.running_calls.borrow_mut().remove(&id).is_none() {
            return;
        }
        call!([self.decider], handle_batch_end(id, outcome));
        self.run_actor();
    }

    /// Runs the actor's queued calls, and wakes the timer task if its next wake-up is now earlier.
    fn run_actor(&self) {
        let previous_wake_at = self.shared.wake_at.get();
        self.stakker.borrow_mut().run(Instant::now(), false);
        let is_earlier = match (previous_wake_at, self.shared.wake_at.get()) {
            (Some(previous_wake_at), Some(after)) => after < previous_wake_at,
            (None, after) => after.is_some(),
            (Some(_), None) => false,
        };
        if is_earlier {
            self.timer_wake.notify_one();
        }
    }
}
