//! What happens to a node, and the way in from other threads.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;

use hemlockrouter_member::Listed;
use hemlockrouter_member::TieAnswer;
use hemlockrouter_route::Answer;
use hemlockrouter_route::ClaimResult;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::Envelope;
use tokio::sync::oneshot;

use crate::node::operator::OperatorCall;
use crate::outbound::peers::Undeliverable;
use crate::outbound::platform::StoreRead;
use crate::outbound::upstreams::CallEnded;

/// How many events may wait for the node.
const EVENTS_MAX: usize = 65_536;

/// Something that happened to the node.
pub(crate) enum Event {
    /// A caller's request.
    Request(QueryId, CallerRequest),
    /// A caller went away before its answer.
    Abandoned(QueryId),
    /// Messages of another instance.
    Envelope(Envelope),
    /// Messages to another instance did not arrive.
    Undeliverable(Undeliverable),
    /// A call to an upstream ended.
    CallEnded(CallEnded),
    /// A claim was settled.
    Claimed(QueryId, ClaimResult),
    /// The store was read.
    StoreRead(StoreRead),
    /// The instance list was read.
    Listed(Vec<Listed>),
    /// A call about the record shared with another instance ended.
    TieAnswered(InstanceId, TieAnswer),
    /// An operator's call.
    Operator(OperatorCall),
    /// The instance shall shut down.
    Shutdown,
    /// The callers' port is closed and all its requests were answered, or time ran out.
    CallersClosed,
}

/// A request of a caller, with the way back.
pub(crate) struct CallerRequest {
    /// The caller's key.
    pub(crate) bearer: String,
    /// What is asked for.
    pub(crate) kind: RequestKind,
    /// Takes the answer.
    pub(crate) answer: oneshot::Sender<CallerAnswer>,
}

/// What a caller asks for.
#[derive(Debug)]
pub(crate) enum RequestKind {
    /// A search over all shards.
    Search {
        search: String,
        query: Vec<u8>,
        deadline_ms: u64,
        min_coverage: Option<f64>,
    },
    /// A request that must not be repeated.
    Run {
        operation: String,
        request: Vec<u8>,
        deadline_ms: u64,
        via: RunVia,
    },
    /// A ticket for a later request that must not be repeated.
    Ticket { operation: String },
}

/// What names a request that must not be repeated.
#[derive(Debug)]
pub(crate) enum RunVia {
    /// A ticket that an instance issued.
    Ticket(String),
    /// The caller's own idempotency key.
    Key(String),
}

/// The answer of a search.
pub(crate) type SearchAnswer = Answer;

/// What a caller is answered.
#[derive(Debug)]
pub(crate) enum CallerAnswer {
    /// The answer of a search.
    Search(SearchAnswer),
    /// How a request that must not be repeated ended.
    Run(RunOutcome),
    /// A ticket.
    Ticket { ticket: String, expires_in_ms: u64 },
    /// The request did not run.
    Refused(Refusal),
    /// The key is no customer's.
    Unauthorized,
    /// The customer has nothing of this name.
    UnknownName { what: &'static str },
}

impl CallerAnswer {
    /// The value of the metrics' label.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            CallerAnswer::Search(answer) if answer.missing.is_empty() => "whole",
            CallerAnswer::Search(_) => "partial",
            CallerAnswer::Run(RunOutcome::Done { .. }) => "done",
            CallerAnswer::Run(RunOutcome::NotRun(_)) => "not_run",
            CallerAnswer::Run(RunOutcome::Unknown) => "unknown",
            CallerAnswer::Run(RunOutcome::Conflict) => "conflict",
            CallerAnswer::Ticket { .. } => "ticket",
            CallerAnswer::Refused(_) => "refused",
            CallerAnswer::Unauthorized | CallerAnswer::UnknownName { .. } => "rejected",
        }
    }
}

/// The way to the node from other threads.
#[derive(Clone)]
pub(crate) struct Mailbox {
    sender: SyncSender<Event>,
    me: InstanceId,
    next: Arc<AtomicU64>,
}

impl Mailbox {
    /// Makes a mailbox and its receiving end.
    pub(crate) fn new(me: InstanceId) -> (Mailbox, Receiver<Event>) {
        let (sender, receiver) = std::sync::mpsc::sync_channel(EVENTS_MAX);
        let next = Arc::new(AtomicU64::new(1));
        (Mailbox { sender, me, next }, receiver)
    }

    /// Puts an event, waiting while there is no room. Threads that the node waits for must not
    /// call this; none exist, since the node waits for nothing.
    pub(crate) fn put(&self, event: Event) {
        // The node is gone only while the process ends.
        let _ = self.sender.send(event);
    }

    /// Puts an event if there is room, and returns whether there was.
    pub(crate) fn offer(&self, event: Event) -> bool {
        self.sender.try_send(event).is_ok()
    }

    /// Puts an event from the node's own thread, which must not wait. There is always room for one
    /// in practice; without it, an operator asks again.
    pub(crate) fn put_soon(&self, event: Event) {
        let _ = self.offer(event);
    }

    /// Puts a caller's request if there is room.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if there is none.
    pub(crate) fn submit(&self, request: CallerRequest) -> Result<RequestGuard, Full> {
        let seq = self.next.fetch_add(1, Ordering::Relaxed);
        let id = QueryId {
            origin: self.me,
            seq,
        };
        if !self.offer(Event::Request(id, request)) {
            return Err(Full);
        }
        Ok(RequestGuard {
            id,
            mailbox: Some(self.clone()),
        })
    }
}

/// There was no room in a mailbox.
#[derive(Debug)]
pub(crate) struct Full;

/// Tells the node that a caller went away, unless its request was answered before.
pub(crate) struct RequestGuard {
    id: QueryId,
    mailbox: Option<Mailbox>,
}

impl RequestGuard {
    /// Notes that the request was answered.
    pub(crate) fn answered(mut self) {
        self.mailbox = None;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(mailbox) = self.mailbox.take() {
            // Without room the request runs on until its deadline.
            let _ = mailbox.offer(Event::Abandoned(self.id));
        }
    }
}
