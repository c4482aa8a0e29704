//! Client for instances that collect a batch, which is a part of a search.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::BatchCall;
use hemlockrouter_edge::BatchFrame;
use hemlockrouter_route::direct::BatchOutcome;
use hemlockrouter_route::direct::BatchReport;
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

use super::answer_memory::AnswerBuffer;
use super::answer_memory::AnswerMemory;
use super::connection::with_timeout_ms;
use super::connection::SendError;
use super::pool::CallTarget;
use super::pool::Pool;

/// Path under which instances accept batches.
pub(super) const BATCH_PATH: &str = "/batch";

/// Header with the id of a call, which the answer repeats. The id exposes a duplicated answer,
/// which may arrive in place of the answer to the next call on the connection.
pub(super) const CALL_ID_HEADER: HeaderName = HeaderName::from_static("hemlock-call");

/// Timeout for connecting to an instance of the same availability zone, in milliseconds.
const INSTANCE_CONNECT_TIMEOUT_MS: u64 = 100;

/// Maximum number of idle connections kept per instance.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Client that sends batches to other instances and pools the connections.
pub(super) struct BatchClient {
    clock: Clock,
    memory: AnswerMemory,
    pool: Pool<SocketAddr>,
}

impl BatchClient {
    pub(super) fn new(clock: Clock, memory: AnswerMemory) -> BatchClient {
        BatchClient {
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
    ) -> BatchOutcome
    where
        F: FnMut(BatchReport),
    {
        let left_ms = deadline.remaining_ms(self.clock.now());
        let collecting = self.try_collect(peer, call, on_collected);
        let result = with_timeout_ms(left_ms, collecting).await;
        result.unwrap_or(BatchOutcome::Lost)
    }

    /// Removes pooled connections that the other end has closed.
    pub(super) fn close_stale(&self) {
        self.pool.close_stale(|_| true);
    }

    async fn try_collect<F>(
        &self,
        peer: SocketAddr,
        call: &BatchCall,
        mut on_collected: F,
    ) -> BatchOutcome
    where
        F: FnMut(BatchReport),
    {
        let body = match rmp_serde::to_vec(call) {
            Ok(body) => Bytes::from(body),
            Err(err) => {
                log::error!(why = err.to_string(); "a batch can't be written");
                return BatchOutcome::NotAccepted;
            }
        };
        let target = CallTarget {
            key: peer,
            address: peer,
            connect_timeout_ms: INSTANCE_CONNECT_TIMEOUT_MS,
            idle_time_max: Duration::MAX,
            // Each call has its own id.
            request: None,
        };
        let call_id = HeaderValue::from(rand::random::<u64>());
        let build = || build_request(body.clone(), call_id.clone());
        let result = self.pool.send(&target, build).await;
        let (mut connection, answer) = match result {
            Ok(result) => result,
            Err(SendError::NotSent) => return BatchOutcome::NotAccepted,
            Err(SendError::Lost(_)) => return BatchOutcome::Lost,
        };
        if answer.headers().get(CALL_ID_HEADER) != Some(&call_id) {
            let peer = peer.to_string();
            warn!(target: "dependency", peer = peer; "an instance answered a different call");
            return BatchOutcome::Lost;
        }
        if answer.status() != StatusCode::OK {
            return BatchOutcome::NotAccepted;
        }
        match read_frames(
            answer.into_body(),
            self.memory.new_buffer(),
            &mut on_collected,
        )
        .await
        {
            Ok(()) => {
                if connection.is_ready().await {
                    self.pool
                        .put_back(peer, connection, Duration::MAX, IDLE_CONNECTIONS_MAX);
                }
                BatchOutcome::Done
            }
            Err(err) => {
                log::debug!(peer = peer.to_string(), why = format!("{err:?}"); "batch lost");
                BatchOutcome::Lost
            }
        }
    }
}

fn build_request(body: Bytes, call_id: HeaderValue) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(BATCH_PATH);
    request.headers_mut().insert(CALL_ID_HEADER, call_id);
    request
}

async fn read_frames<F>(
    mut body: Incoming,
    mut buffer: AnswerBuffer,
    on_collected: &mut F,
) -> Result<(), SendError>
where
    F: FnMut(BatchReport),
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| SendError::Lost(err.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.push(&data)?;
        while let Some(frame) = decode_frame(&mut buffer)? {
            on_collected(frame.into_report());
        }
    }
    if buffer.data().is_empty() {
        Ok(())
    } else {
        Err(SendError::Lost(String::from(
            "the last frame is incomplete",
        )))
    }
}

/// Encodes a frame with its length prefix.
pub(super) fn encode_frame(collected: &BatchReport) -> Result<Bytes, rmp_serde::encode::Error> {
    let frame = rmp_serde::to_vec(&BatchFrame::new(collected))?;
    let mut framed_bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + frame.len());
    framed_bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    framed_bytes.extend_from_slice(&frame);
    Ok(Bytes::from(framed_bytes))
}

/// Removes the next frame from the buffer and decodes it. Returns `None` if the frame is
/// incomplete.
///
/// # Errors
///
/// Returns [`SendError::Lost`] if the frame can't be decoded.
fn decode_frame(buffer: &mut AnswerBuffer) -> Result<Option<BatchFrame>, SendError> {
    let Some(length) = buffer.data().first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let frame_end = LENGTH_PREFIX_BYTES + u32::from_be_bytes(*length) as usize;
    let Some(frame) = buffer.data().get(LENGTH_PREFIX_BYTES..frame_end) else {
        return Ok(None);
    };
    let frame = rmp_serde::from_slice(frame);
    let frame = frame.map_err(|err| SendError::Lost(err.to_string()))?;
    buffer.discard_prefix(frame_end);
    Ok(Some(frame))
}
