//! The state of one request and its parts.

use std::rc::Rc;

use hemlockrouter_types::prelude::*;

use super::event::CallId;
use super::event::CallOutcome;
use super::event::Reply;
use super::event::ReplyKind;
use super::event::Summary;
use super::merge::GreatestRecords;
use super::table::Route;
use super::table::RouteTarget;

/// The fraction of the target latency after which an answer with enough shards is no longer held
/// back for the missing shards.
const PARTIAL_ANSWER_FRACTION: f64 = 0.9;

/// The time reserved for sending the answer to the caller, in milliseconds.
const REPLY_TIME_MS: u64 = 6;

/// The reason for sending a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SendReason {
    First,
    Hedge,
    Retry,
    /// The previous attempt did not reach any upstream, so sending again does not count as a
    /// repeat.
    NotReached,
}

/// One attempt to send a part to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) call: CallId,
    pub(super) upstream: UpstreamKey,
    pub(super) sent: Time,
}

/// The part of a request that is served by one service.
#[derive(Debug)]
pub(super) struct RequestPart {
    pub(super) service: ServiceKey,
    /// Attempts at the part that have not ended.
    pub(super) open_attempts: Vec<Attempt>,
    /// The call by which another instance collects the part; `None` once that instance has
    /// answered.
    pub(super) batch_call: Option<CallId>,
    /// The only upstreams that the part may be sent to; `None` if all are allowed.
    pub(super) permitted: Option<Vec<UpstreamKey>>,
    /// Upstreams that the part has been sent to.
    pub(super) attempted: Vec<UpstreamKey>,
    /// Whether the part waits until an upstream has capacity.
    pub(super) queued: bool,
    /// The number of attempts at the part so far, including attempts that reached no upstream.
    /// Delegation to another instance counts as one attempt.
    pub(super) sends: u32,
    /// Whether the part was answered. The answer itself may have been passed on since.
    pub(super) has_answered: bool,
    /// The successful answer to the part, until it is merged or passed on.
    pub(super) answer: Option<Reply>,
    /// The last failure with which an upstream answered.
    pub(super) last_failure: Option<Reply>,
    /// Whether an upstream has run or may have run the part.
    pub(super) may_have_run: bool,
}

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) route: Rc<Route>,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// The time from which an answer with enough shards is no longer held back for the missing
    /// shards.
    pub(super) partial_answer_at: Time,
    /// When the last part was answered, or when the request arrived if none was.
    pub(super) answered_at: Time,
    /// The time that the request would wait until upstreams have capacity, in milliseconds; set
    /// only if the wait would last beyond the deadline.
    pub(super) capacity_wait_ms: Option<u64>,
    pub(super) parts: Vec<RequestPart>,
    /// Calls by which other instances collect parts of the request.
    pub(super) batch_calls: Vec<CallId>,
    pub(super) answer_to: AnswerTo,
    /// Whether the caller has disconnected. Nothing more is sent for an abandoned request.
    pub(super) is_abandoned: bool,
    /// The greatest records among the answers that were passed on to another instance.
    pub(super) passed_on_records: GreatestRecords,
    pub(super) summary: Summary,
}

/// The recipient of a request's answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerTo {
    /// A caller, which receives one answer.
    Caller,
    /// Another instance, for which this instance collects a batch. Answers are buffered at first;
    /// once the batch is `immediate`, each answer is passed on when it arrives.
    Peer {
        /// Whether each answer is passed on as soon as it arrives.
        immediate: bool,
    },
}

impl RequestPart {
    pub(super) fn new(service: ServiceKey) -> RequestPart {
        RequestPart {
            service,
            open_attempts: Vec::new(),
            batch_call: None,
            permitted: None,
            attempted: Vec::new(),
            queued: false,
            sends: 0,
            has_answered: false,
            answer: None,
            last_failure: None,
            may_have_run: false,
        }
    }

    /// Returns whether the part waits for an answer.
    pub(super) fn is_waiting(&self) -> bool {
        !self.has_answered && (self.is_in_flight() || self.queued)
    }

    /// Returns whether the part was sent to an upstream or another instance that may still be
    /// working on it.
    fn is_in_flight(&self) -> bool {
        !self.open_attempts.is_empty() || self.batch_call.is_some()
    }

    /// Returns whether the part has no answer and no longer waits for one.
    pub(super) fn has_failed(&self) -> bool {
        !self.has_answered && !self.is_waiting()
    }

    /// Stores the answer of the part.
    pub(super) fn set_answer(&mut self, answer: Reply) {
        self.may_have_run = true;
        self.queued = false;
        self.has_answered = true;
        self.answer = Some(answer);
    }

    /// Records the end of an attempt, and returns the reason for sending the part again; `None` if
    /// the part must not be sent again.
    pub(super) fn record_end(&mut self, end: CallOutcome, idempotent: bool) -> Option<SendReason> {
        match end {
            CallOutcome::NotSent => Some(SendReason::NotReached),
            CallOutcome::Answered(reply) => match reply.kind {
                ReplyKind::Success { .. } => {
                    self.set_answer(reply);
                    None
                }
                ReplyKind::NotRun => Some(SendReason::Retry),
                ReplyKind::Failure => {
                    self.may_have_run = true;
                    self.last_failure = Some(reply);
                    idempotent.then_some(SendReason::Retry)
                }
            },
            CallOutcome::Lost => {
                self.may_have_run = true;
                idempotent.then_some(SendReason::Retry)
            }
        }
    }

    /// Returns the permitted upstreams that the part was not sent to yet; `None` if all upstreams
    /// are permitted.
    pub(super) fn unattempted(&self) -> Option<Vec<UpstreamKey>> {
        let permitted = self.permitted.as_ref()?.iter();
        let unattempted = permitted.filter(|key| !self.attempted.contains(key));
        Some(unattempted.copied().collect())
    }

    /// Removes and returns the attempt with the id `call`.
    pub(super) fn remove_attempt(&mut self, call: CallId) -> Option<Attempt> {
        let position = self
            .open_attempts
            .iter()
            .position(|attempt| attempt.call == call)?;
        Some(self.open_attempts.swap_remove(position))
    }
}

impl Request {
    /// Creates a request that arrives at `now` and whose deadline is at most `deadline_ms` later.
    pub(super) fn new(
        now: Time,
        route: Rc<Route>,
        parts: Vec<RequestPart>,
        deadline_ms: u64,
        answer_to: AnswerTo,
    ) -> Request {
        let partial_answer_ms =
            (route.entry.target_latency_ms as f64 * PARTIAL_ANSWER_FRACTION) as u64;
        let summary = Summary {
            version: route.version,
            parts: parts.len(),
            ..Summary::default()
        };
        Request {
            arrived: now,
            deadline: now + deadline_ms.min(route.entry.timeout_ms),
            partial_answer_at: now + partial_answer_ms.saturating_sub(REPLY_TIME_MS),
            answered_at: now,
            capacity_wait_ms: None,
            parts,
            batch_calls: Vec::new(),
            answer_to,
            is_abandoned: false,
            passed_on_records: GreatestRecords::default(),
            summary,
            route,
        }
    }

    /// Returns the number of parts that hold an answer.
    pub(super) fn answered_parts(&self) -> usize {
        let parts = self.parts.iter();
        parts.filter(|part| part.answer.is_some()).count()
    }

    /// Returns the number of parts that wait for an answer.
    pub(super) fn waiting_parts(&self) -> usize {
        let parts = self.parts.iter();
        parts.filter(|part| part.is_waiting()).count()
    }

    /// Returns the number of parts that must be answered.
    pub(super) fn needed_parts(&self) -> usize {
        match &self.route.target {
            RouteTarget::Split(_) => 1,
            RouteTarget::Shards { answers_min, .. } => *answers_min,
        }
    }

    /// Returns the maximum number of records in the merged answer; 0 if answers are not merged.
    pub(super) fn records_max(&self) -> usize {
        match &self.route.target {
            RouteTarget::Split(_) => 0,
            RouteTarget::Shards { records_max, .. } => *records_max,
        }
    }

    /// Returns whether any upstream has run the request, may have run it, or may still run it.
    /// Parts that are only queued at this instance are not sent after the request has ended.
    pub(super) fn may_have_run(&self) -> bool {
        let mut parts = self.parts.iter();
        parts.any(|part| part.may_have_run || part.has_answered || part.is_in_flight())
    }
}
