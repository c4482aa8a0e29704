//! What goes into a dispatcher and what comes out.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

/// A request of a caller, counted by its instance.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// One send to one upstream, counted by its instance.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A complete answer of an upstream.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The upstream states that it did not run the request and never will.
    pub not_run: bool,
    /// The upstream's signature of the answer.
    pub stamp: Option<String>,
    /// The headers that the caller gets.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// Returns whether the upstream did what was asked, and signed the answer.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some() && !self.not_run
    }
}

/// What an upstream says of itself beside an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// It is about to stop.
    pub leaving: bool,
    /// For how long it wants no requests of this instance, in milliseconds; 0 if it says nothing.
    pub rest_ms: u64,
    /// A header that says one of both and can't be read.
    pub unreadable: Option<&'static str>,
}

impl Notice {
    /// Returns whether it changes where requests go.
    pub fn says_something(&self) -> bool {
        self.leaving || self.rest_ms > 0
    }
}

/// What an upstream has said of itself, for another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerNotice {
    /// The upstream's id.
    pub upstream: String,
    /// Which start of the upstream has said it.
    pub incarnation: u64,
    /// It is about to stop.
    pub leaving: bool,
    /// For how much longer it wants no requests, in milliseconds.
    pub rest_ms: u64,
}

/// How a call to an upstream ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The upstream answered.
    Answered(Reply),
    /// Nothing of the request reached the upstream.
    NotSent,
    /// The upstream may have run the request; its answer is lost.
    Lost,
}

impl CallEnd {
    /// Returns what came of the call if it brought no answer of use.
    pub(super) fn fault(&self) -> Option<CallFault> {
        match self {
            CallEnd::Answered(reply) if reply.is_success() => None,
            CallEnd::Answered(reply) if reply.not_run => Some(CallFault::Rejected),
            CallEnd::Answered(reply) => Some(CallFault::Failed {
                status: reply.status,
            }),
            CallEnd::Lost => Some(CallFault::Lost),
            CallEnd::NotSent => Some(CallFault::Unreachable),
        }
    }
}

/// What an instance passes on of a batch that it collects.
#[derive(Clone, Debug, Default)]
pub struct Collected {
    /// Answers, with their places in the batch.
    pub answers: Vec<(usize, Reply)>,
    /// The places of parts that it sends to nobody, since it knows no upstream that may be asked.
    pub unsent: Vec<usize>,
    /// What upstreams have said of themselves.
    pub notices: Vec<PeerNotice>,
}

/// How a call to another instance ended that collects a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchEnd {
    /// It has collected what it could.
    Done,
    /// It has not taken the batch.
    NotTaken,
    /// It is lost, with what it may have collected.
    Lost,
}

/// What the driver has to do.
#[derive(Debug)]
pub enum Command {
    /// Send the request to an upstream.
    Send {
        /// The request.
        request: RequestId,
        /// The call, for [`Dispatcher::ended`](super::Dispatcher::ended).
        call: CallId,
        /// Where to.
        upstream: UpstreamKey,
        /// When the upstream's answer is of no use any more.
        deadline: Time,
    },
    /// Have another instance collect a part of the request. An empty batch only finds out whether the
    /// instance answers, and belongs to no request.
    Share {
        /// The request.
        request: Option<RequestId>,
        /// The call, for [`Dispatcher::collected`](super::Dispatcher::collected) and
        /// [`Dispatcher::batch_ended`](super::Dispatcher::batch_ended).
        call: CallId,
        /// Where the other instance takes batches.
        peer: SocketAddr,
        /// What it is to collect.
        batch: Batch,
        /// When its answer is of no use any more.
        deadline: Time,
    },
    /// Pass on what is collected to the instance that the batch `request` is collected for. Nothing
    /// shows it that this instance is at work.
    Report {
        /// The request.
        request: RequestId,
        /// What is collected.
        collected: Collected,
    },
    /// Break off a call. It does not end by itself any more.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Nobody waits for a call any more, but let it end by itself, so that its connection can be used
    /// again.
    Release {
        /// The call.
        call: CallId,
    },
    /// A batch is collected as far as it could be; its answers were reported.
    EndBatch {
        /// The request, which has ended.
        request: RequestId,
        /// How it went, for the log.
        summary: Box<Summary>,
    },
    /// Answer the caller.
    Finish {
        /// The request, which has ended.
        request: RequestId,
        /// What the caller gets.
        ending: Ending,
        /// How it came to that, for the log.
        summary: Box<Summary>,
    },
}

/// What a caller gets.
#[derive(Debug)]
pub enum Ending {
    /// The answer of one upstream, as it is.
    Passed(Reply),
    /// The merged answer of many shards.
    Merged {
        /// The records.
        body: Vec<u8>,
        /// The signatures of the parts that are in.
        stamps: Vec<String>,
        /// How many shards are left out.
        missing: usize,
    },
    /// The request has not run and never will.
    NotRun {
        /// Why.
        why: Why,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request was given up, and may have run in part.
    Failed {
        /// Why.
        why: Why,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The time was over before an answer came.
    TimedOut,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Why {
    /// The instance knows no routes yet.
    #[display("no routes yet")]
    NoRoutes,
    /// No upstream of the service may be used.
    #[display("no upstream")]
    NoUpstream,
    /// No upstream would have room for the request before its deadline.
    #[display("no room in time")]
    NoRoom,
    /// Every upstream that was tried rejected the request.
    #[display("rejected by upstreams")]
    Rejected,
    /// An answer was lost and the request must not be repeated.
    #[display("answer lost")]
    Lost,
    /// Too many shards failed.
    #[display("too few shards")]
    TooFewShards,
}

/// How many failed calls of a request are told in its summary.
const FAILED_CALLS_MAX: usize = 8;

/// A call that brought no answer of use.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{service}@{upstream} {how} after {after_ms} ms")]
pub struct FailedCall {
    /// The service.
    pub service: String,
    /// The upstream's id.
    pub upstream: String,
    /// What came of it.
    pub how: CallFault,
    /// How long it took, in milliseconds.
    pub after_ms: u64,
}

/// What came of a call that brought no answer of use.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallFault {
    /// The upstream did not run it.
    #[display("rejected")]
    Rejected,
    /// The upstream ran it and failed.
    #[display("failed with {status}")]
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// The answer was lost.
    #[display("lost")]
    Lost,
    /// The upstream could not be connected to.
    #[display("unreachable")]
    Unreachable,
    /// The request ended before it was answered.
    #[display("unanswered")]
    Unanswered,
}

/// How a request went, for the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// The version of the routes that it was served by.
    pub version: u64,
    /// How many services it needed.
    pub parts: usize,
    /// How many of them answered.
    pub answered: usize,
    /// Services that other instances were to ask.
    pub shared: usize,
    /// Calls that were sent to upstreams, first ones and repeats.
    pub sends: u32,
    /// Repeats because a call was slow.
    pub hedges: u32,
    /// Repeats because a call failed.
    pub retries: u32,
    /// Repeats that the budget did not allow.
    pub denied: u32,
    /// Times that a send found no upstream with room, and waited.
    pub queued: u32,
    /// Services without an upstream that may be used.
    pub unavailable: u32,
    /// The first calls that brought no answer of use.
    pub failed_calls: Vec<FailedCall>,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}

impl Summary {
    /// Adds a call that brought no answer of use, if there is room.
    pub(super) fn note<F>(&mut self, failed: F)
    where
        F: FnOnce() -> FailedCall,
    {
        if self.failed_calls.len() < FAILED_CALLS_MAX {
            self.failed_calls.push(failed());
        }
    }
}
