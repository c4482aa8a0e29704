//! Messages between instances that share the sub-requests of a search.
//!
//! A call carries the caller's request and the batch of parts to collect. The answer is a stream of
//! frames, each with some of the parts, until every part that could be collected has been sent.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::PeerNotice;
use hemlockrouter_route::direct::Reply;
use hemlockrouter_route::direct::ReplyKind;
use hemlockrouter_types::routing::Batch;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::caller::CallerRequest;

/// A call that asks another instance to collect a batch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BatchCall {
    method: String,
    uri: String,
    host: String,
    attempt_id: Option<String>,
    headers: Vec<(String, ByteBuf)>,
    body: ByteBuf,
    /// Time after which the answer is useless, in milliseconds from now.
    pub left_ms: u64,
    /// Parts to collect.
    pub batch: Batch,
}

/// A frame of the answer, with the parts collected since the previous frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BatchFrame {
    answers: Vec<CollectedPart>,
    unsent: Vec<usize>,
    notices: Vec<PeerNotice>,
}

/// A collected part of a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct CollectedPart {
    at: usize,
    status: u16,
    stamp: String,
    body: ByteBuf,
}

/// Error of a batch call whose fields do not form a valid request.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the batch call holds no valid request")]
pub struct InvalidBatchCall;

impl BatchCall {
    /// Creates the call that asks to collect `batch` for a request.
    pub fn new(request: &CallerRequest, body: &Bytes, batch: Batch, left_ms: u64) -> BatchCall {
        let headers = request.headers.iter();
        let headers = headers.map(|(name, value)| {
            let value = ByteBuf::from(value.as_bytes());
            (String::from(name.as_str()), value)
        });
        BatchCall {
            method: request.method.to_string(),
            uri: request.uri.to_string(),
            host: request.host.clone(),
            attempt_id: request.attempt_id.clone(),
            headers: headers.collect(),
            body: ByteBuf::from(&body[..]),
            left_ms,
            batch,
        }
    }

    /// Creates a call without a request, which only probes whether the other instance answers.
    pub fn probe(batch: Batch, left_ms: u64) -> BatchCall {
        BatchCall {
            method: Method::GET.to_string(),
            uri: String::from("/"),
            host: String::new(),
            attempt_id: None,
            headers: Vec::new(),
            body: ByteBuf::new(),
            left_ms,
            batch,
        }
    }

    /// Returns the attempt id that the caller gave its request.
    pub fn attempt_id(&self) -> Option<&str> {
        self.attempt_id.as_deref()
    }

    /// Rebuilds the caller's request, with its body.
    ///
    /// # Errors
    ///
    /// Returns an error if the method, the URI or a header is invalid.
    pub fn request(&self) -> Result<(CallerRequest, Bytes), InvalidBatchCall> {
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).map_err(|_| InvalidBatchCall)?;
            let value = HeaderValue::from_bytes(value).map_err(|_| InvalidBatchCall)?;
            headers.append(name, value);
        }
        let request = CallerRequest {
            method: Method::try_from(self.method.as_str()).map_err(|_| InvalidBatchCall)?,
            uri: Uri::try_from(self.uri.as_str()).map_err(|_| InvalidBatchCall)?,
            host: self.host.clone(),
            attempt_id: self.attempt_id.clone(),
            deadline_ms: Some(self.left_ms),
            headers,
        };
        Ok((request, Bytes::copy_from_slice(&self.body)))
    }
}

impl BatchFrame {
    /// Encodes collected parts and notices as a frame.
    pub fn new(collected: &BatchReport) -> BatchFrame {
        let answers = collected.answers.iter();
        let answers = answers.filter_map(|(at, reply)| CollectedPart::new(*at, reply));
        BatchFrame {
            answers: answers.collect(),
            unsent: collected.unsent.clone(),
            notices: collected.notices.clone(),
        }
    }

    /// Decodes the collected parts and notices.
    pub fn into_report(self) -> BatchReport {
        let answers = self.answers.into_iter();
        let answers = answers.filter_map(|part| Some((part.at, part.into_reply()?)));
        BatchReport {
            answers: answers.collect(),
            unsent: self.unsent,
            notices: self.notices,
        }
    }
}

impl CollectedPart {
    /// Encodes the answer at place `at` of the batch. Returns `None` for an answer that is no
    /// success, which is no valid part.
    fn new(at: usize, reply: &Reply) -> Option<CollectedPart> {
        let ReplyKind::Success { signature } = &reply.kind else {
            return None;
        };
        Some(CollectedPart {
            at,
            status: reply.status,
            stamp: signature.clone(),
            body: ByteBuf::from(&reply.body[..]),
        })
    }

    /// Decodes the answer. Returns `None` if it is no success.
    fn into_reply(self) -> Option<Reply> {
        let kind = ReplyKind::classify(self.status, false, Some(self.stamp))?;
        Some(Reply {
            status: self.status,
            kind,
            headers: HeaderMap::new(),
            body: Bytes::from(self.body.into_vec()),
        })
    }
}
