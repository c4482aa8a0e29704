//! Events of the node, and the mailbox through which other threads send them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;

use hemlockrouter_member::ListedInstance;
use hemlockrouter_member::TieBreakAnswer;
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

/// Maximum number of events queued for the node.
const QUEUED_EVENTS_MAX: usize = 65_536;

/// Event for the node.
pub(crate) enum Event {
    /// A caller's request.
    Request(QueryId, CallerRequest),
    /// A caller disconnected before its answer.
    Abandoned(QueryId),
    /// Messages from another instance.
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
    Listed(Vec<ListedInstance>),
    /// A call about the record shared with another instance ended.
    TieAnswered(InstanceId, TieBreakAnswer),
    /// An operator's call.
    Operator(OperatorCall),
    /// The instance must shut down.
    Shutdown,
    /// The callers' port is closed and all its requests were answered, or time ran out.
    CallersClosed,
}

/// Caller's request and the channel for its answer.
pub(crate) struct CallerRequest {
    /// The caller's key.
    pub(crate) bearer: String,
    /// Kind of the request and its parameters.
    pub(crate) kind: RequestKind,
    /// Channel for the answer.
    pub(crate) answer: oneshot::Sender<CallerAnswer>,
}

/// Kind of a caller's request, with its parameters.
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
        identifier: RequestIdentifier,
    },
    /// A ticket for a later request that must not be repeated.
    Ticket { operation: String },
}

/// Identification of a request that must not be repeated.
#[derive(Debug)]
pub(crate) enum RequestIdentifier {
    /// A ticket that an instance issued.
    Ticket(String),
    /// The caller's own idempotency key.
    Key(String),
}

/// Answer of a search.
pub(crate) type SearchAnswer = Answer;

/// Answer to a caller.
#[derive(Debug)]
pub(crate) enum CallerAnswer {
    /// Answer of a search.
    Search(SearchAnswer),
    /// Outcome of a request that must not be repeated.
    Run(RunOutcome),
    /// A ticket.
    Ticket { ticket: String, expires_in_ms: u64 },
    /// The request was refused and did not run.
    Refused(Refusal),
    /// The key belongs to no customer.
    Unauthorized,
    /// The customer has no search or operation of this name.
    UnknownResource { resource_kind: &'static str },
}

impl CallerAnswer {
    /// Returns the answer's label in the metrics.
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
            CallerAnswer::Unauthorized | CallerAnswer::UnknownResource { .. } => "rejected",
        }
    }
}

/// Sends events to the node from other threads.
#[derive(Clone)]
pub(crate) struct Mailbox {
    sender: SyncSender<Event>,
    own_id: InstanceId,
    next_sequence: Arc<AtomicU64>,
}

impl Mailbox {
    /// Creates a mailbox and its receiving end.
    pub(crate) fn new(own_id: InstanceId) -> (Mailbox, Receiver<Event>) {
        let (sender, receiver) = std::sync::mpsc::sync_channel(QUEUED_EVENTS_MAX);
        let next_sequence = Arc::new(AtomicU64::new(1));
        (
            Mailbox {
                sender,
                own_id,
                next_sequence,
            },
            receiver,
        )
    }

    /// Sends an event, and blocks while the mailbox is full. Threads that the node waits for must
    /// not call this function; there are none, since the node never waits for a thread.
    pub(crate) fn put(&self, event: Event) {
        // Sending fails only while the process ends.
        let _ = self.sender.send(event);
    }

    /// Sends an event unless the mailbox is full, and returns whether the event was sent.
    pub(crate) fn try_put(&self, event: Event) -> bool {
        self.sender.try_send(event).is_ok()
    }

    /// Sends an event from the node's own thread, which must not block. In practice the mailbox has
    /// room for the event; if the mailbox is full, the event is dropped and an operator has to ask
    /// again.
    pub(crate) fn put_or_drop(&self, event: Event) {
        let _ = self.try_put(event);
    }

    /// Sends a caller's request unless the mailbox is full.
    ///
    /// # Errors
    ///
    /// Returns [`MailboxFull`] if the mailbox is full.
    pub(crate) fn submit(&self, request: CallerRequest) -> Result<RequestGuard, MailboxFull> {
        let seq = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let id = QueryId {
            origin: self.own_id,
            seq,
        };
        if !self.try_put(Event::Request(id, request)) {
            return Err(MailboxFull);
        }
        Ok(RequestGuard {
            id,
            mailbox: Some(self.clone()),
        })
    }
}

/// Error that is returned when the mailbox is full.
#[derive(Debug)]
pub(crate) struct MailboxFull;

/// Reports to the node on drop that the caller has disconnected, unless its request was answered
/// before.
pub(crate) struct RequestGuard {
    id: QueryId,
    mailbox: Option<Mailbox>,
}

impl RequestGuard {
    /// Marks the request as answered.
    pub(crate) fn mark_answered(mut self) {
        self.mailbox = None;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(mailbox) = self.mailbox.take() {
            // If the mailbox is full, the request runs on until its deadline.
            let _ = mailbox.try_put(Event::Abandoned(self.id));
        }
    }
}
