//! Client for upstreams.
//!
//! A few idle connections per upstream are kept and reused, because upstreams limit how many
//! connections they accept from all instances together and a new connection costs them time. A
//! connection that the upstream may have closed meanwhile is reused only for requests that may be
//! sent again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::CallerRequest;
use hemlockrouter_edge::Protocol;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Notice;
use hemlockrouter_types::prelude::*;
use http::header;
use http::response;
use http::HeaderMap;
use http::Request;
use http_body_util::Full;

use super::answer_memory::AnswerMemory;
use super::connection::with_timeout_ms;
use super::connection::SendError;
use super::pool::CallTarget;
use super::pool::Pool;
use super::pool::PooledConnection;

/// Timeout for connecting to an upstream, in milliseconds. A round trip takes a tenth of this
/// timeout. A lost first packet is retransmitted only after a second, so waiting for the
/// retransmission is not worthwhile.
const UPSTREAM_CONNECT_TIMEOUT_MS: u64 = 250;

/// Idle timeout of a connection if the upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time by which an idle connection is closed earlier than the upstream has announced, so that no
/// request is sent while the upstream closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Maximum idle time of a connection that is reused for a request that must not be repeated.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_millis(200);

/// Parameters of one call to an upstream.
pub(super) struct UpstreamCall {
    pub(super) request: Rc<CallerRequest>,
    pub(super) body: Bytes,
    pub(super) idempotent: bool,
    pub(super) upstream: UpstreamKey,
    pub(super) upstream_id: String,
    pub(super) address: SocketAddr,
    pub(super) deadline: Time,
    /// Maximum number of idle connections kept to this upstream.
    pub(super) idle_connections_max: usize,
}

/// Client that calls upstreams and pools the connections.
pub(super) struct UpstreamClient {
    clock: Clock,
    protocol: Rc<dyn Protocol>,
    memory: AnswerMemory,
    pool: Pool<UpstreamKey>,
}

impl UpstreamClient {
    pub(super) fn new(
        clock: Clock,
        protocol: Rc<dyn Protocol>,
        memory: AnswerMemory,
    ) -> UpstreamClient {
        UpstreamClient {
            clock,
            protocol,
            memory,
            pool: Pool::new(),
        }
    }

    /// Makes a call and returns its outcome. The upstream's notice about its own state is passed to
    /// `on_notice` as soon as the head of the answer has arrived. Dropping the future cancels the
    /// call.
    pub(super) async fn call<F>(&self, call: UpstreamCall, on_notice: F) -> CallOutcome
    where
        F: FnOnce(Notice),
    {
        let left_ms = call.deadline.remaining_ms(self.clock.now());
        with_timeout_ms(left_ms, self.try_call(&call, on_notice))
            .await
            .unwrap_or(CallOutcome::Lost)
    }

    /// Removes connections that exceeded their idle timeout or whose upstream is no longer known.
    pub(super) fn close_stale<F>(&self, is_known: F)
    where
        F: Fn(UpstreamKey) -> bool,
    {
        self.pool.close_stale(is_known);
    }

    async fn try_call<F>(&self, call: &UpstreamCall, on_notice: F) -> CallOutcome
    where
        F: FnOnce(Notice),
    {
        let target = CallTarget {
            key: call.upstream,
            address: call.address,
            connect_timeout_ms: call
                .deadline
                .remaining_ms(self.clock.now())
                .min(UPSTREAM_CONNECT_TIMEOUT_MS),
            idle_time_max: match call.idempotent {
                true => Duration::MAX,
                false => NON_IDEMPOTENT_IDLE_MAX,
            },
            request: Some(Rc::clone(&call.request)),
        };
        match self.send_and_read(call, &target, on_notice).await {
            Ok((connection, head, body)) => self.finish_call(call, connection, head, body),
            Err(SendError::NotSent) => CallOutcome::NotSent,
            Err(SendError::Lost(reason)) => {
                let upstream = call.upstream_id.as_str();
                log::debug!(upstream = upstream, why = reason.as_str(); "call lost");
                CallOutcome::Lost
            }
        }
    }

    async fn send_and_read<F>(
        &self,
        call: &UpstreamCall,
        target: &CallTarget<UpstreamKey>,
        on_notice: F,
    ) -> Result<(PooledConnection, response::Parts, Bytes), SendError>
    where
        F: FnOnce(Notice),
    {
        let (connection, answer) = self.pool.send(target, || self.build_request(call)).await?;
        let (head, body) = answer.into_parts();
        let notice = self.protocol.read_upstream_notice(&head);
        if let Some(header) = notice.malformed_header {
            let upstream = call.upstream_id.as_str();
            log::warn!(target: "belief", upstream = upstream, header = header; "unreadable header");
        }
        if notice.changes_routing() {
            on_notice(notice);
        }
        let body = self.memory.read(body).await?;
        Ok((connection, head, body))
    }

    fn build_request(&self, call: &UpstreamCall) -> Request<Full<Bytes>> {
        let left_ms = call.deadline.remaining_ms(self.clock.now());
        let body = call.body.clone();
        let id = &call.upstream_id;
        let request = self
            .protocol
            .write_upstream_request(&call.request, body, id, left_ms);
        request.map(Full::new)
    }

    fn finish_call(
        &self,
        call: &UpstreamCall,
        connection: PooledConnection,
        head: response::Parts,
        body: Bytes,
    ) -> CallOutcome {
        let idle_timeout = idle_timeout_after(&head.headers);
        let Some(answer) = self
            .protocol
            .read_upstream_answer(&call.request, head, body)
        else {
            return CallOutcome::Lost;
        };
        if let Some(max) = idle_timeout.filter(|_| answer.names_request) {
            self.pool
                .put_back(call.upstream, connection, max, call.idle_connections_max);
        }
        CallOutcome::Answered(answer.reply)
    }
}

/// Returns how long a connection may stay idle after an answer, or `None` if it must be closed.
fn idle_timeout_after(headers: &HeaderMap) -> Option<Duration> {
    let closes_connection = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes_connection {
        return None;
    }
    let keep_alive = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let Some(keep_alive) = keep_alive else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    let timeout_text = keep_alive
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds: u64 = timeout_text.and_then(|seconds| seconds.parse().ok())?;
    Duration::from_secs(seconds).checked_sub(IDLE_TIMEOUT_MARGIN)
}
