//! One request and its parts.

use std::rc::Rc;

use hemlockrouter_types::prelude::*;

use super::event::CallEnd;
use super::event::CallId;
use super::event::Reply;
use super::event::Summary;
use super::merge::Greatest;
use super::table::Route;
use super::table::RouteTarget;

/// The part of the target latency after which an answer with enough shards is not held.
const SETTLE_PART: f64 = 0.9;

/// What sending the answer to the caller takes, in milliseconds.
const REPLY_MS: u64 = 6;

/// Why a part is sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    First,
    Slow,
    Failed,
    /// The last try reached nobody, so this is no repeat.
    Unreached,
}

/// One try of one part at one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Try {
    pub(super) call: CallId,
    pub(super) upstream: UpstreamKey,
    pub(super) sent: Time,
}

/// What one service has to contribute.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) service: ServiceKey,
    /// Tries that have not ended.
    pub(super) open: Vec<Try>,
    /// The call by which another instance collects it, until that one has answered.
    pub(super) shared: Option<CallId>,
    /// The only upstreams that it may be sent to; `None` for all.
    pub(super) allowed: Option<Vec<UpstreamKey>>,
    /// Upstreams that the request was sent to.
    pub(super) tried: Vec<UpstreamKey>,
    /// Whether it waits until an upstream has room for it.
    pub(super) queued: bool,
    /// Sends that may have reached an upstream.
    pub(super) sends: u32,
    /// Whether it got an answer, which may have been taken since.
    pub(super) has_answered: bool,
    /// The answer that counts.
    pub(super) answer: Option<Reply>,
    /// The last failure that an upstream answered with.
    pub(super) failure: Option<Reply>,
    /// Whether an upstream has run or may have run it.
    pub(super) ran: bool,
}

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) route: Rc<Route>,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// From when on an answer with enough shards is not held for the others.
    pub(super) settle_at: Time,
    /// When the last part was answered, or the request was sent.
    pub(super) answered_at: Time,
    /// How long it would wait until upstreams have room, in milliseconds, if that is too long.
    pub(super) no_room_ms: Option<u64>,
    pub(super) parts: Vec<Part>,
    /// Calls by which other instances collect parts.
    pub(super) shares: Vec<CallId>,
    pub(super) answer_to: AnswerTo,
    /// Its caller has left, so nothing more is sent of it.
    pub(super) is_abandoned: bool,
    /// The greatest records of what was passed on to another instance.
    pub(super) greatest: Greatest,
    pub(super) summary: Summary,
}

/// Who gets the answers of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerTo {
    /// A caller, all at once.
    Caller,
    /// Another instance, whose batch this is: at first all at once, and one by one when they are
    /// `late`.
    Peer {
        /// Whether answers are passed on as they come.
        late: bool,
    },
}

impl Part {
    pub(super) fn new(service: ServiceKey) -> Part {
        Part {
            service,
            open: Vec::new(),
            shared: None,
            allowed: None,
            tried: Vec::new(),
            queued: false,
            sends: 0,
            has_answered: false,
            answer: None,
            failure: None,
            ran: false,
        }
    }

    /// Returns whether it waits for an answer.
    pub(super) fn is_waiting(&self) -> bool {
        !self.has_answered && (self.is_under_way() || self.queued)
    }

    /// Returns whether it was sent to an upstream or another instance that may still work on it.
    fn is_under_way(&self) -> bool {
        !self.open.is_empty() || self.shared.is_some()
    }

    /// Returns whether it neither has an answer nor waits for one.
    pub(super) fn has_failed(&self) -> bool {
        !self.has_answered && !self.is_waiting()
    }

    /// Takes an answer over.
    pub(super) fn set_answer(&mut self, answer: Reply) {
        self.ran = true;
        self.queued = false;
        self.has_answered = true;
        self.answer = Some(answer);
    }

    /// Takes over the end of a try, and returns why the part may be sent again, if it may.
    pub(super) fn take_end(&mut self, end: CallEnd, idempotent: bool) -> Option<Cause> {
        match end {
            CallEnd::NotSent => Some(Cause::Unreached),
            CallEnd::Answered(reply) if reply.is_success() => {
                self.set_answer(reply);
                None
            }
            CallEnd::Answered(reply) if reply.not_run => Some(Cause::Failed),
            CallEnd::Answered(reply) => {
                self.ran = true;
                self.failure = Some(reply);
                idempotent.then_some(Cause::Failed)
            }
            CallEnd::Lost => {
                self.ran = true;
                idempotent.then_some(Cause::Failed)
            }
        }
    }

    /// Returns the upstreams that it may be sent to and was not; `None` if it may be sent to all.
    pub(super) fn untried(&self) -> Option<Vec<UpstreamKey>> {
        let allowed = self.allowed.as_ref()?.iter();
        let untried = allowed.filter(|key| !self.tried.contains(key));
        Some(untried.copied().collect())
    }

    /// Removes and returns the try of `call`.
    pub(super) fn take(&mut self, call: CallId) -> Option<Try> {
        let at = self.open.iter().position(|open| open.call == call)?;
        Some(self.open.swap_remove(at))
    }
}

impl Request {
    /// Makes a request that came now and may take `deadline_ms`.
    pub(super) fn new(
        now: Time,
        route: Rc<Route>,
        parts: Vec<Part>,
        deadline_ms: u64,
        answer_to: AnswerTo,
    ) -> Request {
        let settle_ms = (route.entry.target_latency_ms as f64 * SETTLE_PART) as u64;
        let summary = Summary {
            version: route.version,
            parts: parts.len(),
            ..Summary::default()
        };
        Request {
            arrived: now,
            deadline: now + deadline_ms.min(route.entry.timeout_ms),
            settle_at: now + settle_ms.saturating_sub(REPLY_MS),
            answered_at: now,
            no_room_ms: None,
            parts,
            shares: Vec::new(),
            answer_to,
            is_abandoned: false,
            greatest: Greatest::default(),
            summary,
            route,
        }
    }

    /// Returns how many parts have an answer.
    pub(super) fn answered(&self) -> usize {
        let parts = self.parts.iter();
        parts.filter(|part| part.answer.is_some()).count()
    }

    /// Returns how many parts wait for an answer.
    pub(super) fn waiting(&self) -> usize {
        let parts = self.parts.iter();
        parts.filter(|part| part.is_waiting()).count()
    }

    /// Returns how many parts must have an answer.
    pub(super) fn needed(&self) -> usize {
        match &self.route.to {
            RouteTarget::Split(_) => 1,
            RouteTarget::Shards { needed, .. } => *needed,
        }
    }

    /// Returns how many records the merged answer holds at most; 0 if nothing is merged.
    pub(super) fn records_max(&self) -> usize {
        match &self.route.to {
            RouteTarget::Split(_) => 0,
            RouteTarget::Shards { records_max, .. } => *records_max,
        }
    }

    /// Returns whether any upstream has run or may have run it, or still may. What only waits at this instance
    /// is not sent once the request has ended.
    pub(super) fn may_have_run(&self) -> bool {
        let mut parts = self.parts.iter();
        parts.any(|part| part.ran || part.has_answered || part.is_under_way())
    }
}
