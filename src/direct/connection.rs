//! HTTP client connection.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::response;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::interim_limit::InterimLimit;

/// Maximum size of the head of an answer, in bytes.
const RESPONSE_HEAD_MAX_BYTES: usize = 32 << 10;

/// Idle time after which TCP keepalive starts to probe a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// HTTP client connection. Dropping a connection closes it and cancels the call in flight.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    interim_limit: InterimLimit,
    task: AbortHandle,
}

/// Error of a call: the request could not be sent, or its answer could not be read.
#[derive(Debug)]
pub(super) enum SendError {
    /// No part of the request was sent.
    NotSent,
    /// At least a part of the request was sent, so it may have been executed.
    Lost(String),
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to `address` within `timeout_ms` milliseconds. If `with_keepalive` is set, TCP
    /// keepalive detects a dead peer, which is meant for calls that wait long.
    ///
    /// # Errors
    ///
    /// Returns the reason as text if the connection can't be established in time.
    pub(super) async fn open(
        address: SocketAddr,
        timeout_ms: u64,
        with_keepalive: bool,
    ) -> Result<Connection, String> {
        let result =
            with_timeout_ms(timeout_ms, Connection::try_open(address, with_keepalive)).await;
        let result = result.ok_or_else(|| String::from("connecting timed out"))?;
        result.map_err(|err| err.to_string())
    }

    async fn try_open(address: SocketAddr, with_keepalive: bool) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        if with_keepalive {
            let keepalive = TcpKeepalive::new()
                .with_time(KEEPALIVE_IDLE)
                .with_interval(KEEPALIVE_INTERVAL)
                .with_retries(KEEPALIVE_PROBES_MAX);
            SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(RESPONSE_HEAD_MAX_BYTES);
        let interim_limit = InterimLimit::default();
        let stream = interim_limit.limit(stream);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The result is not needed, because calls on the connection report its errors.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            interim_limit,
            task: task.abort_handle(),
        })
    }

    /// Returns whether the connection can send another request.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until the last answer was read, and returns whether the connection can send another
    /// request.
    pub(super) async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the head of the answer. The connection breaks if interim answers
    /// come without end.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub(super) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if !self.is_ready().await {
            return Err(SendError::NotSent);
        }
        self.interim_limit.count(&mut request);
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut err| match err.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Lost(err.error().to_string()),
        })
    }
}

/// Reads the whole body of an answer, of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns the reason as text if the body is too large, at once if its head says so, or if the
/// connection breaks.
pub(super) async fn read_to_end(
    answer: Response<Incoming>,
    max_bytes: usize,
) -> Result<(response::Parts, Bytes), String> {
    let (head, body) = answer.into_parts();
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > max_bytes as u64 {
        return Err(format!("{announced_bytes} bytes"));
    }
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|err| err.to_string())?;
    Ok((head, body.to_bytes()))
}

/// Runs `work` with a timeout of `ms` milliseconds. Returns `None` on a timeout.
pub(super) async fn with_timeout_ms<F>(ms: u64, work: F) -> Option<F::Output>
where
    F: Future,
{
    let timeout = Duration::from_millis(ms);
    tokio::time::timeout(timeout, work).await.ok()
}
