//! Input and output types of the dispatcher.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use bytes::Bytes;
use derive_more::Display;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

/// HTTP statuses of final answers. Lower ones are interim answers or none at all, and higher ones are
/// not defined.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The id of a caller's request, unique within its instance.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// The id of one attempt at one upstream, unique within its instance.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A complete answer from an upstream.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status of the answer.
    pub status: u16,
    /// What the answer says about the request.
    pub kind: ReplyKind,
    /// The headers that are passed on to the caller.
    pub headers: HeaderMap,
    /// The complete body of the answer.
    pub body: Bytes,
}

/// What an upstream's answer says about the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyKind {
    /// The upstream ran the request successfully.
    Success {
        /// The upstream's signature of the answer.
        signature: String,
    },
    /// The upstream did not run the request and never will.
    NotRun,
    /// The upstream ran the request and failed.
    Failure,
}

impl ReplyKind {
    /// Classifies an answer by its HTTP status, by whether it states that the request was not run,
    /// and by its signature. Returns `None` if the status is none of a final answer, or if these
    /// contradict each other: a success bears a signature, and a request that was not run has no
    /// success. Such an answer reaches no caller, and the request may have run.
    ///
    /// # Examples
    ///
    /// ```
    /// use hemlockrouter_route::direct::ReplyKind;
    ///
    /// assert_eq!(ReplyKind::classify(500, false, None), Some(ReplyKind::Failure));
    /// assert_eq!(ReplyKind::classify(200, false, None), None);
    /// assert_eq!(ReplyKind::classify(101, false, None), None);
    /// ```
    pub fn classify(status: u16, not_run: bool, signature: Option<String>) -> Option<ReplyKind> {
        if !FINAL_STATUSES.contains(&status) {
            return None;
        }
        let is_success = (200..300).contains(&status);
        match (is_success, not_run) {
            (true, true) => None,
            (true, false) => {
                let signature = signature.filter(|signature| !signature.is_empty())?;
                Some(ReplyKind::Success { signature })
            }
            (false, true) => Some(ReplyKind::NotRun),
            (false, false) => Some(ReplyKind::Failure),
        }
    }
}

/// The state that an upstream announces along with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the upstream is about to shut down.
    pub leaving: bool,
    /// The time for which the upstream wants to receive no requests from this instance, in
    /// milliseconds; 0 if the upstream announces no pause.
    pub rest_ms: u64,
    /// The name of a header that should hold one of these fields but can't be parsed.
    pub malformed_header: Option<&'static str>,
}

impl Notice {
    /// Returns whether the notice changes where requests are sent.
    pub fn changes_routing(&self) -> bool {
        self.leaving || self.rest_ms > 0
    }
}

/// An upstream's announced state, as passed on to another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerNotice {
    /// The id of the upstream that sent the notice.
    pub upstream: String,
    /// The incarnation of the upstream (one per start) that sent the notice.
    pub incarnation: u64,
    /// Whether the upstream is about to shut down.
    pub leaving: bool,
    /// The remaining time in which the upstream wants to receive no requests, in milliseconds.
    pub rest_ms: u64,
}

/// The outcome of a call to an upstream.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The upstream sent a complete answer.
    Answered(Reply),
    /// No byte of the request reached the upstream.
    NotSent,
    /// The upstream may have run the request, but its answer was lost.
    Lost,
}

impl CallOutcome {
    /// Returns the fault of the call; `None` if the call succeeded.
    pub(super) fn fault(&self) -> Option<CallFault> {
        match self {
            CallOutcome::Answered(reply) => match reply.kind {
                ReplyKind::Success { .. } => None,
                ReplyKind::NotRun => Some(CallFault::Rejected),
                ReplyKind::Failure => Some(CallFault::Failed {
                    status: reply.status,
                }),
            },
            CallOutcome::Lost => Some(CallFault::Lost),
            CallOutcome::NotSent => Some(CallFault::Unreachable),
        }
    }
}

/// Partial results of a batch, passed on by the instance that collects the batch.
#[derive(Clone, Debug, Default)]
pub struct BatchReport {
    /// Answers, each with the index of its part in the batch.
    pub answers: Vec<(usize, Reply)>,
    /// The indexes of the parts that were sent to no upstream, since the collecting instance can
    /// use none of the permitted upstreams.
    pub unsent: Vec<usize>,
    /// Notices that upstreams have sent.
    pub notices: Vec<PeerNotice>,
}

/// The outcome of a call by which another instance collects a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// The instance has reported every answer that it could collect.
    Done,
    /// The other instance did not accept the batch.
    NotAccepted,
    /// The call failed, and answers that the instance may have collected are lost.
    Lost,
}

/// An action for the driver.
#[derive(Debug)]
pub enum Command {
    /// Send a request to an upstream.
    Send {
        /// The id of the request to send.
        request: RequestId,
        /// The id of the call, passed back in
        /// [`Dispatcher::call_ended`](super::Dispatcher::call_ended).
        call: CallId,
        /// The key of the upstream that receives the request.
        upstream: UpstreamKey,
        /// The time after which the upstream's answer is no longer useful.
        deadline: Time,
    },
    /// Ask another instance to collect parts of the request. An empty batch only probes whether the
    /// instance responds, and belongs to no request.
    Delegate {
        /// The id of the request; `None` for a probe.
        request: Option<RequestId>,
        /// The id of the call, passed back in
        /// [`Dispatcher::handle_batch_report`](super::Dispatcher::handle_batch_report) and
        /// [`Dispatcher::batch_ended`](super::Dispatcher::batch_ended).
        call: CallId,
        /// The address at which the other instance accepts batches.
        peer: SocketAddr,
        /// The parts that the other instance is to collect.
        batch: Batch,
        /// The time after which the other instance's answers are no longer useful.
        deadline: Time,
    },
    /// Pass partial results on to the instance for which this instance collects the batch
    /// `request`. Empty results only show the other instance that this instance is working on the
    /// batch.
    Report {
        /// The id of the batch that the results belong to.
        request: RequestId,
        /// The answers, unsent parts and notices to pass on.
        collected: BatchReport,
    },
    /// Abort a call. The driver reports no end of an aborted call.
    Cancel {
        /// The id of the call to abort.
        call: CallId,
    },
    /// Let a call whose answer is no longer needed end by itself, so that its connection can be
    /// reused.
    Release {
        /// The id of the call that is no longer needed.
        call: CallId,
    },
    /// End a batch. All answers that could be collected have already been reported.
    EndBatch {
        /// The id of the batch, which has ended.
        request: RequestId,
        /// A summary of the request, for the log.
        summary: Box<Summary>,
    },
    /// Answer the caller of a request.
    Finish {
        /// The id of the request, which has ended.
        request: RequestId,
        /// The result that the caller receives.
        request_result: RequestResult,
        /// A summary of the request, for the log.
        summary: Box<Summary>,
    },
}

/// The result of a request that a caller receives.
#[derive(Debug)]
pub enum RequestResult {
    /// The unmodified answer of one upstream.
    Forwarded(Reply),
    /// The merged answer of many shards.
    Merged {
        /// The merged records.
        body: Vec<u8>,
        /// The signatures of the merged answers.
        signatures: Vec<String>,
        /// The number of shards whose answers are missing.
        missing: usize,
    },
    /// The request was not run and never will be.
    NotRun {
        /// The reason why the request was not run.
        why: GiveUpReason,
        /// The time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request was given up, and may have been run in part.
    Failed {
        /// The reason why the request was given up.
        why: GiveUpReason,
        /// The time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The deadline passed before an answer arrived.
    TimedOut,
}

/// The reason for which a request was given up.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GiveUpReason {
    /// The instance has not received any routes yet.
    #[display("no routes yet")]
    NoRoutes,
    /// The instance is shutting down, and too little time is left for the request.
    #[display("shutting down")]
    ShuttingDown,
    /// The service has no usable upstream.
    #[display("no upstream")]
    NoUpstream,
    /// No upstream would have capacity for the request before its deadline.
    #[display("no room in time")]
    NoRoom,
    /// Every upstream that was tried rejected the request.
    #[display("rejected by upstreams")]
    Rejected,
    /// The answer was lost, and the request could not be retried.
    #[display("answer lost")]
    Lost,
    /// Too many shards failed.
    #[display("too few shards")]
    TooFewShards,
}

/// The maximum number of failed calls that a request's summary lists.
const FAILED_CALLS_MAX: usize = 8;

/// A call that did not succeed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{service}@{upstream} {fault} after {duration_ms} ms")]
pub struct FailedCall {
    /// The name of the service that was called.
    pub service: String,
    /// The id of the upstream that was called, or the address of the instance that was to collect
    /// the part.
    pub upstream: String,
    /// The kind of failure.
    pub fault: CallFault,
    /// The duration of the call, in milliseconds.
    pub duration_ms: u64,
}

/// The kind of failure of a call.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallFault {
    /// The upstream did not run the request.
    #[display("rejected")]
    Rejected,
    /// The upstream ran the request and failed.
    #[display("failed with {status}")]
    Failed {
        /// The HTTP status that the upstream answered with.
        status: u16,
    },
    /// The upstream's answer was lost.
    #[display("lost")]
    Lost,
    /// No connection to the upstream could be established.
    #[display("unreachable")]
    Unreachable,
    /// The request ended before the call was answered.
    #[display("unanswered")]
    Unanswered,
}

/// A summary of a request, for the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// The version of the routes that served the request.
    pub version: u64,
    /// The number of parts of the request, one for each service.
    pub parts: usize,
    /// The number of services that answered.
    pub answered: usize,
    /// The number of services whose requests were delegated to other instances.
    pub delegated_services: usize,
    /// The number of calls sent to upstreams, including retries and hedges.
    pub sends: u32,
    /// The number of hedges: repeats because a call was slow.
    pub hedges: u32,
    /// The number of retries: repeats because a call failed.
    pub retries: u32,
    /// The number of retries and hedges that the budget did not allow.
    pub over_budget: u32,
    /// The number of times that a part was queued since no upstream had capacity.
    pub queued: u32,
    /// The number of services without a usable upstream.
    pub unavailable: u32,
    /// The first calls that did not succeed.
    pub failed_calls: Vec<FailedCall>,
    /// The duration of the request, in milliseconds.
    pub took_ms: u64,
}

impl Summary {
    /// Adds a failed call to the summary unless the list is full.
    pub(super) fn add_failed_call<F>(&mut self, failed: F)
    where
        F: FnOnce() -> FailedCall,
    {
        if self.failed_calls.len() < FAILED_CALLS_MAX {
            self.failed_calls.push(failed());
        }
    }
}
