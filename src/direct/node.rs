//! What connects the actor that decides to the event loop.

mod decider;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hemlockrouter_edge::BatchCall;
use hemlockrouter_edge::CallerRequest;
use hemlockrouter_edge::Change;
use hemlockrouter_route::direct::BatchEnd;
use hemlockrouter_route::direct::CallEnd;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::Collected;
use hemlockrouter_route::direct::Config;
use hemlockrouter_route::direct::Dispatcher;
use hemlockrouter_route::direct::Ending;
use hemlockrouter_route::direct::Explained;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_route::direct::Reading;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::Route;
use hemlockrouter_route::direct::RouteTable;
use hemlockrouter_route::direct::Status;
use hemlockrouter_route::direct::Summary;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::CallerLimits;
use stakker::actor;
use stakker::call;
use stakker::query;
use stakker::ret_nop;
use stakker::ActorOwn;
use stakker::Stakker;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use self::decider::Decider;
use super::batches::Batches;
use super::calls::Calls;
use super::collector::BatchEvent;

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

/// A request that has not ended.
struct Waiting {
    request: Rc<CallerRequest>,
    body: Bytes,
    idempotent: bool,
    answer_to: AnswerTo,
}

/// Who waits for a request.
enum AnswerTo {
    Caller(oneshot::Sender<Finished>),
    /// Another instance, whose batch this is.
    Peer(mpsc::UnboundedSender<BatchEvent>),
}

/// What the actor and the tasks of the loop share.
struct Shared {
    clock: Clock,
    calls: Calls,
    batches: Batches,
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

impl Node {
    pub(super) fn new(config: Config, clock: Clock, calls: Calls) -> Rc<Node> {
        let shared = Rc::new(Shared {
            clock,
            calls,
            batches: Batches::new(clock),
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
        let id = self.next_request();
        let (finished, receiver) = oneshot::channel();
        let waiting = Waiting {
            request,
            body,
            idempotent: route.entry.idempotent,
            answer_to: AnswerTo::Caller(finished),
        };
        self.shared.waiting.borrow_mut().insert(id, waiting);
        call!([self.decider], start(id, route, deadline_ms));
        self.run();
        (id, receiver)
    }

    /// Starts to collect a batch for another instance.
    pub(super) fn start_batch(
        &self,
        request: CallerRequest,
        body: Bytes,
        call: &BatchCall,
    ) -> (RequestId, mpsc::UnboundedReceiver<BatchEvent>) {
        let id = self.next_request();
        let (events, receiver) = mpsc::unbounded_channel();
        let waiting = Waiting {
            request: Rc::new(request),
            body,
            idempotent: true,
            answer_to: AnswerTo::Peer(events),
        };
        self.shared.waiting.borrow_mut().insert(id, waiting);
        let batch = call.batch.clone();
        let left_ms = call.left_ms;
        call!([self.decider], start_batch(id, batch, left_ms));
        self.run();
        (id, receiver)
    }

    fn next_request(&self) -> RequestId {
        let id = RequestId(self.last_request.get() + 1);
        self.last_request.set(id.0);
        id
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

    /// Takes over other settings.
    pub(super) fn reconfigure(&self, config: Config) {
        call!([self.decider], reconfigure(config));
        self.run();
    }

    /// Returns what is known, for operators.
    pub(super) fn status(&self) -> Option<Status> {
        query!([self.decider, &mut *self.stakker.borrow_mut()], status())
    }

    /// Returns where a request would go now, for operators; `None` if no route takes it.
    pub(super) fn explain(&self, host: &str, path: &str) -> Option<Explained> {
        let (host, path) = (String::from(host), String::from(path));
        query!(
            [self.decider, &mut *self.stakker.borrow_mut()],
            explain(host, path)
        )?
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

    fn collected(&self, id: CallId, collected: Collected) {
        call!([self.decider], collected(id, collected));
        self.run();
    }

    fn batch_ended(&self, id: CallId, end: BatchEnd) {
        if self.shared.running.borrow_mut().remove(&id).is_none() {
            return;
        }
        call!([self.decider], batch_ended(id, end));
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
