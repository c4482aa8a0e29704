//! Client for instances that collect a batch, which is a part of a search.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::BatchCall;
use hemlockrouter_edge::CollectedFrame;
use hemlockrouter_route::direct::BatchEnd;
use hemlockrouter_route::direct::Collected;
use hemlockrouter_types::prelude::*;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use log::warn;

use super::answer_memory::AnswerMemory;
use super::answer_memory::Buffer;
use super::connection::within_ms;
use super::connection::NoAnswer;
use super::pool::Pool;
use super::pool::Target;

/// Path under which instances accept batches.
pub(super) const PATH: &str = "/batch";

/// Header with the id of a call, which the answer repeats. A duplicated answer may arrive in place
/// of the answer to the next call on the connection; the id exposes it.
pub(super) const CALL: HeaderName = HeaderName::from_static("hemlock-call");

/// Timeout for connecting to an instance of the same availability zone, in milliseconds.
const CONNECT_MS: u64 = 100;

/// Maximum number of idle connections kept per instance.
const KEPT_MAX: usize = 4;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Client that sends batches to other instances and pools the connections.
pub(super) struct Batches {
    clock: Clock,
    memory: AnswerMemory,
    pool: Pool<SocketAddr>,
}

impl Batches {
    pub(super) fn new(clock: Clock, memory: AnswerMemory) -> Batches {
        Batches {
            clock,
            memory,
            pool: Pool::new(),
        }
    }

    /// Sends a batch to `peer` and passes each collected result to `on_collected` as it arrives.
    /// Dropping the future cancels the call.
    pub(super) async fn collect<F>(
        &self,
        peer: SocketAddr,
        call: &BatchCall,
        deadline: Time,
        on_collected: F,
    ) -> BatchEnd
    where
        F: FnMut(Collected),
    {
        let left_ms = deadline.left(self.clock.now());
        let collecting = self.try_collect(peer, call, on_collected);
        let ended = within_ms(left_ms, collecting).await;
        ended.unwrap_or(BatchEnd::Lost)
    }

    /// Removes pooled connections that the other end has closed.
    pub(super) fn tidy(&self) {
        self.pool.tidy(|_| true);
    }

    async fn try_collect<F>(
        &self,
        peer: SocketAddr,
        call: &BatchCall,
        mut on_collected: F,
    ) -> BatchEnd
    where
        F: FnMut(Collected),
    {
        let body = match rmp_serde::to_vec(call) {
            Ok(body) => Bytes::from(body),
            Err(err) => {
                log::error!(why = err.to_string(); "a batch can't be written");
                return BatchEnd::NotTaken;
            }
        };
        let target = Target {
            key: peer,
            address: peer,
            connect_ms: CONNECT_MS,
            idle_max: Duration::MAX,
        };
        let number = HeaderValue::from(rand::random::<u64>());
        let write = || write(body.clone(), number.clone());
        let sent = self.pool.send(&target, write).await;
        let (mut connection, answer) = match sent {
            Ok(sent) => sent,
            Err(NoAnswer::NotSent) => return BatchEnd::NotTaken,
            Err(NoAnswer::Lost(_)) => return BatchEnd::Lost,
        };
        if answer.headers().get(CALL) != Some(&number) {
            let peer = peer.to_string();
            warn!(target: "dependency", peer = peer; "an instance answered a different call");
            return BatchEnd::Lost;
        }
        if answer.status() != StatusCode::OK {
            return BatchEnd::NotTaken;
        }
        match read_frames(answer.into_body(), self.memory.buffer(), &mut on_collected).await {
            Ok(()) => {
                if connection.is_ready().await {
                    self.pool.keep(peer, connection, Duration::MAX, KEPT_MAX);
                }
                BatchEnd::Done
            }
            Err(why) => {
                log::debug!(peer = peer.to_string(), why = format!("{why:?}"); "batch lost");
                BatchEnd::Lost
            }
        }
    }
}

fn write(body: Bytes, number: HeaderValue) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    request.headers_mut().insert(CALL, number);
    request
}

async fn read_frames<F>(
    mut body: Incoming,
    mut read: Buffer,
    on_collected: &mut F,
) -> Result<(), NoAnswer>
where
    F: FnMut(Collected),
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| NoAnswer::Lost(err.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read.push(&data)?;
        while let Some(frame) = take_frame(&mut read)? {
            on_collected(frame.collected());
        }
    }
    if read.data().is_empty() {
        Ok(())
    } else {
        Err(NoAnswer::Lost(String::from("the last frame is incomplete")))
    }
}

/// Encodes a frame with its length prefix.
pub(super) fn write_frame(collected: &Collected) -> Result<Bytes, rmp_serde::encode::Error> {
    let frame = rmp_serde::to_vec(&CollectedFrame::new(collected))?;
    let mut written = Vec::with_capacity(LENGTH_BYTES + frame.len());
    written.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    written.extend_from_slice(&frame);
    Ok(Bytes::from(written))
}

/// Removes the next frame from the buffer and decodes it. Returns `None` if the frame is
/// incomplete.
///
/// # Errors
///
/// Returns [`NoAnswer::Lost`] if the frame can't be decoded.
fn take_frame(read: &mut Buffer) -> Result<Option<CollectedFrame>, NoAnswer> {
    let Some(length) = read.data().first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let end = LENGTH_BYTES + u32::from_be_bytes(*length) as usize;
    let Some(frame) = read.data().get(LENGTH_BYTES..end) else {
        return Ok(None);
    };
    let frame = rmp_serde::from_slice(frame);
    let frame = frame.map_err(|err| NoAnswer::Lost(err.to_string()))?;
    read.drop_first(end);
    Ok(Some(frame))
}
