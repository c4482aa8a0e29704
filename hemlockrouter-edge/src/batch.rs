//! What instances say to each other to share a search.
//!
//! The call holds the caller's request and what is to be collected. The answer is a stream of frames,
//! each of which holds some parts, until all that could be collected is in.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hemlockrouter_route::direct::Collected;
use hemlockrouter_route::direct::PeerNotice;
use hemlockrouter_route::direct::Reply;
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

/// A call of one instance to another, to collect a batch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BatchCall {
    method: String,
    uri: String,
    host: String,
    attempt_id: Option<String>,
    headers: Vec<(String, ByteBuf)>,
    body: ByteBuf,
    /// How long the answer is of use, in milliseconds.
    pub left_ms: u64,
    /// What is to be collected.
    pub batch: Batch,
}

/// A frame: what was collected since the last one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CollectedFrame {
    answers: Vec<CollectedPart>,
    unsent: Vec<usize>,
    notices: Vec<PeerNotice>,
}

/// A part that was collected.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct CollectedPart {
    at: usize,
    status: u16,
    stamp: String,
    body: ByteBuf,
}

/// A call that holds no request.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the batch holds no request that can be read")]
pub struct BadBatch;

impl BatchCall {
    /// Writes the call for a request.
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

    /// Writes a call that only finds out whether the other instance answers.
    pub fn asking(batch: Batch, left_ms: u64) -> BatchCall {
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

    /// Returns the caller's id of its request.
    pub fn attempt_id(&self) -> Option<&str> {
        self.attempt_id.as_deref()
    }

    /// Reads the request, with its body.
    ///
    /// # Errors
    ///
    /// Returns an error if what stands for the request is none.
    pub fn request(&self) -> Result<(CallerRequest, Bytes), BadBatch> {
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).map_err(|_| BadBatch)?;
            let value = HeaderValue::from_bytes(value).map_err(|_| BadBatch)?;
            headers.append(name, value);
        }
        let request = CallerRequest {
            method: Method::try_from(self.method.as_str()).map_err(|_| BadBatch)?,
            uri: Uri::try_from(self.uri.as_str()).map_err(|_| BadBatch)?,
            host: self.host.clone(),
            attempt_id: self.attempt_id.clone(),
            deadline_ms: Some(self.left_ms),
            headers,
        };
        Ok((request, Bytes::copy_from_slice(&self.body)))
    }
}

impl CollectedFrame {
    /// Writes what was collected.
    pub fn new(collected: &Collected) -> CollectedFrame {
        let answers = collected.answers.iter();
        let answers = answers.filter_map(|(at, reply)| CollectedPart::new(*at, reply));
        CollectedFrame {
            answers: answers.collect(),
            unsent: collected.unsent.clone(),
            notices: collected.notices.clone(),
        }
    }

    /// Reads what was collected.
    pub fn collected(self) -> Collected {
        let answers = self.answers.into_iter();
        let answers = answers.map(|part| (part.at, part.reply()));
        Collected {
            answers: answers.collect(),
            unsent: self.unsent,
            notices: self.notices,
        }
    }
}

impl CollectedPart {
    /// Writes an answer; `None` if it has no signature and so is no part.
    fn new(at: usize, reply: &Reply) -> Option<CollectedPart> {
        Some(CollectedPart {
            at,
            status: reply.status,
            stamp: reply.stamp.clone()?,
            body: ByteBuf::from(&reply.body[..]),
        })
    }

    fn reply(self) -> Reply {
        Reply {
            status: self.status,
            not_run: false,
            stamp: Some(self.stamp),
            headers: HeaderMap::new(),
            body: Bytes::from(self.body.into_vec()),
        }
    }
}
