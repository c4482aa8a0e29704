//! HTTP server for callers.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use hemlockrouter_edge::CallerRequest;
use hemlockrouter_edge::Protocol;
use hemlockrouter_route::direct::GiveUpReason;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_route::direct::Route;
use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::caller_limits::head_bytes;
use super::caller_limits::ConnectionMeter;
use super::caller_limits::MeteredStream;
use super::caller_limits::HEAD_BUFFER_MAX_BYTES;
use super::listener;
use super::listener::build_response;
use super::node::Node;
use super::request_log::RequestLog;
use crate::edge::caller_stream::CallerStream;
use crate::edge::caller_stream::ConnectionState;
use crate::edge::callers::HEADER_LINES_MAX;
use crate::edge::phase::ShutdownPhase;
use crate::edge::port;

/// Delay before a caller retries on an instance that has no routes yet, in milliseconds.
const UNCONFIGURED_RETRY_AFTER_MS: u64 = 200;

/// Delay before a caller retries a request that a shutdown refuses, in milliseconds. Other
/// instances can serve it at once.
const SHUTDOWN_RETRY_AFTER_MS: u64 = 20;

/// HTTP server for callers.
pub(super) struct CallerServer {
    pub(super) node: Rc<Node>,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) log: Rc<RequestLog>,
    pub(super) phase: watch::Receiver<ShutdownPhase>,
    /// Whether connections are accepted.
    pub(super) is_port_open: Cell<bool>,
    /// Number of open connections.
    pub(super) open_connections: Cell<usize>,
}

/// Error of reading a request body.
enum BodyError {
    TooLarge,
    BrokenOff,
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<CallerServer>);

impl ConnectionGuard {
    fn new(callers: Rc<CallerServer>) -> ConnectionGuard {
        let open_connections = &callers.open_connections;
        open_connections.set(open_connections.get() + 1);
        ConnectionGuard(callers)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open_connections = &self.0.open_connections;
        open_connections.set(open_connections.get() - 1);
    }
}

impl CallerServer {
    /// Accepts connections until a shutdown closes the port. The task lasts as long as the process.
    pub(super) async fn accept(self: Rc<CallerServer>, listener: TcpListener) {
        let mut accepted_at = Instant::now();
        loop {
            let (stream, peer) = tokio::select! {
                accepted = listener::accept_one(&listener, "callers") => accepted,
                () = port::wait_to_close(self.phase.clone(), accepted_at) => break,
            };
            accepted_at = Instant::now();
            tokio::task::spawn_local(self.start_serving(stream, peer));
        }
        for stream in port::close(listener) {
            if let Ok(peer) = stream.peer_addr() {
                listener::send_at_once(&stream);
                tokio::task::spawn_local(self.start_serving(stream, peer));
            }
        }
        self.is_port_open.set(false);
        std::future::pending().await
    }

    /// Returns whether callers can send requests.
    pub(super) fn is_open(&self) -> bool {
        self.is_port_open.get() || self.open_connections.get() > 0
    }

    /// Counts a connection, and returns a future that serves it until it ends.
    fn start_serving(
        self: &Rc<CallerServer>,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> impl Future<Output = ()> {
        let guard = ConnectionGuard::new(Rc::clone(self));
        let callers = Rc::clone(self);
        async move {
            callers.serve(stream, peer).await;
            drop(guard);
        }
    }

    async fn serve(self: Rc<CallerServer>, stream: TcpStream, peer: SocketAddr) {
        let callers = Rc::clone(&self);
        let state = ConnectionState::default();
        let meter = ConnectionMeter::new(self.node.watch_limits());
        let wait_to_close = state.wait_to_close(self.phase.clone());
        let stream = CallerStream::new(stream, self.phase.clone(), state.clone());
        let stream = MeteredStream::new(stream, meter.clone());
        let service_state = state.clone();
        let service_meter = meter.clone();
        let service = service_fn(move |request| {
            let callers = Rc::clone(&callers);
            let state = service_state.clone();
            let meter = service_meter.clone();
            meter.begin_request();
            async move {
                let response = callers.respond(request, &state).await;
                meter.end_request();
                Ok::<_, hyper::Error>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_headers(HEADER_LINES_MAX)
            .max_buf_size(HEAD_BUFFER_MAX_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = meter.wait_for_timeout() => return,
            () = wait_to_close => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    result = connection.as_mut() => result,
                    () = meter.wait_for_timeout() => return,
                }
            }
        };
        if let Err(err) = result {
            log::debug!(peer = peer.to_string(), why = err.to_string(); "a caller's connection broke");
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        state: &ConnectionState,
    ) -> Response<Full<Bytes>> {
        state.note_request();
        let mut response = self.handle(request).await;
        if *self.phase.borrow() != ShutdownPhase::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            state.announce_close();
        }
        response.map(Full::new)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Bytes> {
        let (head, body) = request.into_parts();
        let limits = self.node.limits();
        if head_bytes(&head) > limits.header_max_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return self.reject(status, "the head is too large");
        }
        let request = match self.protocol.read_request(head) {
            Ok(request) => request,
            Err(err) => return self.reject(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        if !self.node.is_configured() {
            return self.reject_unconfigured(&request);
        }
        let table = self.node.table();
        let Some(route) = table.find(&request.host, request.uri.path()) else {
            self.log.log_unrouted(&request, table.version());
            return build_response(StatusCode::NOT_FOUND, "no route");
        };
        let body = match read_body(body, self.node.limits().body_max_bytes).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => {
                return self.reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
            }
            Err(BodyError::BrokenOff) => {
                return self.reject(StatusCode::BAD_REQUEST, "the body broke off")
            }
        };
        self.dispatch(request, body, Rc::clone(route)).await
    }

    async fn dispatch(
        &self,
        request: CallerRequest,
        body: Bytes,
        route: Rc<Route>,
    ) -> Response<Bytes> {
        let request = Rc::new(request);
        let deadline_ms = request.deadline_ms.unwrap_or(route.entry.timeout_ms);
        if let Some(left_ms) = self.node.shutdown_left_ms() {
            if !has_time(&route, deadline_ms, left_ms) {
                return self.reject_shutting_down(&request, &route, left_ms);
            }
        }
        let (mut request_guard, finished) =
            self.node
                .start(Rc::clone(&request), body, Rc::clone(&route), deadline_ms);
        let finished = finished.await;
        request_guard.mark_ended();
        let Ok(finished) = finished else {
            log::error!(request = request_guard.id().to_string(); "a request was dropped without an answer");
            return build_response(StatusCode::INTERNAL_SERVER_ERROR, "dropped");
        };
        self.log.log_ended(&request, &route, &finished);
        self.protocol
            .write_response(&request, finished.request_result)
    }

    fn reject_unconfigured(&self, request: &CallerRequest) -> Response<Bytes> {
        self.log.log_unconfigured(request);
        let request_result = RequestResult::NotRun {
            why: GiveUpReason::NoRoutes,
            retry_after_ms: UNCONFIGURED_RETRY_AFTER_MS,
        };
        self.protocol.write_response(request, request_result)
    }

    fn reject_shutting_down(
        &self,
        request: &CallerRequest,
        route: &Route,
        left_ms: u64,
    ) -> Response<Bytes> {
        self.log
            .log_shutting_down(request, &route.entry.name, left_ms);
        let request_result = RequestResult::NotRun {
            why: GiveUpReason::ShuttingDown,
            retry_after_ms: SHUTDOWN_RETRY_AFTER_MS,
        };
        self.protocol.write_response(request, request_result)
    }

    fn reject(&self, status: StatusCode, reason: &str) -> Response<Bytes> {
        self.log.log_rejected(status, reason);
        build_response(status, String::from(reason))
    }
}

/// Returns whether the rest of a shutdown suffices for a request. A request that must not be
/// repeated needs all of its time, since its caller can't send it again once it may have run. Any
/// other request needs the time in which an answer is expected.
fn has_time(route: &Route, deadline_ms: u64, left_ms: u64) -> bool {
    let deadline_ms = deadline_ms.min(route.entry.timeout_ms);
    let needed_ms = match route.entry.idempotent {
        true => deadline_ms.min(route.entry.target_latency_ms),
        false => deadline_ms,
    };
    needed_ms <= left_ms
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    let result = Limited::new(body, max_bytes).collect().await;
    match result {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::BrokenOff),
    }
}
