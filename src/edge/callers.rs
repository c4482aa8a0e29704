//! HTTP server of the callers' port.
//!
//! The port is served by `hyper`, because callers are not trusted. Before a request is processed,
//! this module bounds the size and the read time of its header, the size and the read time of its
//! body, and the number of connections. The actors of the [`node`](crate::node) make the decisions.
//! A request that waits for its answer holds no thread.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::edge::caller_stream::CallerStream;
use crate::edge::caller_stream::ConnectionState;
use crate::edge::phase::ShutdownPhase;
use crate::edge::port;
use crate::edge::request;
use crate::edge::request::CallerError;
use crate::node::CallerAnswer;
use crate::node::CallerRequest;
use crate::node::Mailbox;

/// Number of bytes of an oversized body that are read and discarded before the connection is
/// closed.
const DISCARDED_BODY_MAX_BYTES: usize = 8 << 20;

/// Maximum number of header lines of a request: as many of the shortest lines as fit into 16 KiB. The
/// bound that operators set is the one on the size of the header.
pub(crate) const HEADER_LINES_MAX: usize = 4_096;

/// Maximum fraction of the time until the final answers for which the port stays open. The rest is
/// for the last requests.
const PORT_OPEN_FRACTION: f64 = 0.5;

/// Bounds on the requests and connections of callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerBounds {
    pub(crate) connections: usize,
    pub(crate) header_max_bytes: usize,
    pub(crate) header_timeout_ms: u64,
    pub(crate) body_max_bytes: usize,
    pub(crate) body_timeout_ms: u64,
    pub(crate) deadline_max_ms: u64,
    pub(crate) threads: usize,
}

/// Running server of the callers' port.
pub(crate) struct CallersServer {
    runtime: Runtime,
    address: SocketAddr,
    phase: watch::Sender<ShutdownPhase>,
    connections: Arc<Semaphore>,
    accept_task: JoinHandle<()>,
    bounds: CallerBounds,
}

impl CallersServer {
    /// Binds `address` and starts the server.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or of starting the threads.
    pub(crate) fn start(
        address: SocketAddr,
        bounds: CallerBounds,
        mailbox: Mailbox,
    ) -> io::Result<CallersServer> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(bounds.threads)
            .thread_name("callers")
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Semaphore::new(bounds.connections));
        let (phase, phase_rx) = watch::channel(ShutdownPhase::Serving);
        let permits = Arc::clone(&connections);
        let accept_task = runtime.spawn(accept_connections(
            listener, bounds, mailbox, permits, phase_rx,
        ));
        Ok(CallersServer {
            runtime,
            address,
            phase,
            connections,
            accept_task,
            bounds,
        })
    }

    /// Returns the address that the server is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes each connection after its next answer from now on.
    pub(crate) fn drain(&self) {
        self.phase.send_replace(ShutdownPhase::Draining);
    }

    /// Closes idle connections, closes the port once callers open no more, and waits until the
    /// requests in flight have ended. Requests get their final answer after `answer_timeout_ms`.
    /// Returns `false` if all this takes longer than `timeout_ms`.
    pub(crate) fn close(self, answer_timeout_ms: u64, timeout_ms: u64) -> bool {
        let port_open_ms = (answer_timeout_ms as f64 * PORT_OPEN_FRACTION) as u64;
        self.phase.send_replace(ShutdownPhase::Closing {
            port_open_until: Instant::now() + Duration::from_millis(port_open_ms),
        });
        let connection_count = u32::try_from(self.bounds.connections).unwrap_or(u32::MAX);
        let all_ended = self.runtime.block_on(async {
            let all_closed = async {
                if let Err(err) = self.accept_task.await {
                    error!(why = err.to_string(); "the task that accepts connections has failed");
                }
                // The semaphore is never closed.
                let _ = self.connections.acquire_many(connection_count).await;
            };
            timeout(Duration::from_millis(timeout_ms), all_closed)
                .await
                .is_ok()
        });
        self.runtime.shutdown_background();
        all_ended
    }
}

/// Accepts connections while the number of open connections is below its bound, until a shutdown
/// closes the port.
async fn accept_connections(
    listener: TcpListener,
    bounds: CallerBounds,
    mailbox: Mailbox,
    permits: Arc<Semaphore>,
    phase: watch::Receiver<ShutdownPhase>,
) {
    let mut accepted_at = Instant::now();
    loop {
        let accept_permitted = async {
            let permit = acquire_permit(&permits).await;
            (permit, listener.accept().await)
        };
        let (permit, accept_result) = tokio::select! {
            accepted = accept_permitted => accepted,
            () = port::wait_to_close(phase.clone(), accepted_at) => break,
        };
        let Ok((stream, _)) = accept_result else {
            // The likely cause is a lack of file descriptors. The delay gives other connections
            // time to close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        accepted_at = Instant::now();
        let mailbox = mailbox.clone();
        let phase = phase.clone();
        tokio::spawn(async move {
            serve_connection(stream, bounds, mailbox, phase).await;
            drop(permit);
        });
    }
    serve_queued(port::close(listener), bounds, &mailbox, &permits, &phase).await;
}

async fn acquire_permit(permits: &Arc<Semaphore>) -> OwnedSemaphorePermit {
    let permit = Arc::clone(permits).acquire_owned().await;
    permit.expect("the semaphore is never closed")
}

/// Serves the connections that waited in the queue of the port when it was closed.
async fn serve_queued(
    queued: Vec<TcpStream>,
    bounds: CallerBounds,
    mailbox: &Mailbox,
    permits: &Arc<Semaphore>,
    phase: &watch::Receiver<ShutdownPhase>,
) {
    for stream in queued {
        let permit = acquire_permit(permits).await;
        let served = serve_connection(stream, bounds, mailbox.clone(), phase.clone());
        tokio::spawn(async move {
            served.await;
            drop(permit);
        });
    }
}

/// Serves one connection until it ends.
async fn serve_connection(
    stream: TcpStream,
    bounds: CallerBounds,
    mailbox: Mailbox,
    phase: watch::Receiver<ShutdownPhase>,
) {
    // An error is ignored, since the option only reduces latency.
    let _ = stream.set_nodelay(true);
    let service_phase = phase.clone();
    let state = ConnectionState::default();
    let wait_to_close = state.wait_to_close(phase.clone());
    let stream = CallerStream::new(stream, phase.clone(), state.clone());
    let service_state = state.clone();
    let service = service_fn(move |request| {
        let mailbox = mailbox.clone();
        let phase = service_phase.clone();
        let state = service_state.clone();
        async move {
            state.note_request();
            let mut response = answer_or_render_error(request, bounds, &mailbox).await;
            if *phase.borrow() != ShutdownPhase::Serving {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
                state.announce_close();
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(bounds.header_timeout_ms))
        .max_headers(HEADER_LINES_MAX)
        .max_buf_size(bounds.header_max_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_to_close => connection.as_mut().graceful_shutdown(),
    }
    // The result is ignored, since a caller may close its connection in any way.
    let _ = connection.await;
}

/// Answers one request, or renders its error.
async fn answer_or_render_error(
    request: Request<Incoming>,
    bounds: CallerBounds,
    mailbox: &Mailbox,
) -> Response<Full<Bytes>> {
    match answer_request(request, bounds, mailbox).await {
        Ok(answer) => request::render(&answer),
        Err(error) => request::render_error(&error),
    }
}

/// Reads one request, submits it to the node and waits for the answer.
async fn answer_request(
    request: Request<Incoming>,
    bounds: CallerBounds,
    mailbox: &Mailbox,
) -> Result<CallerAnswer, CallerError> {
    let (head, body) = request.into_parts();
    if head.method != Method::POST {
        return Err(CallerError::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            "use POST",
        ));
    }
    let bearer = request::bearer(&head)?;
    let body = read_body(body, bounds).await?;
    let parsed_request = request::parse(&head, &body, bounds.deadline_max_ms)?;
    let (sender, receiver) = oneshot::channel();
    let in_flight_guard = mailbox
        .submit(CallerRequest {
            bearer,
            kind: parsed_request,
            answer: sender,
        })
        .map_err(|_| CallerError::overloaded())?;
    let answer = receiver.await;
    in_flight_guard.mark_answered();
    answer.map_err(|_| CallerError::outcome_unknown())
}

/// Reads the body within the bounds on its size and time.
async fn read_body(body: Incoming, bounds: CallerBounds) -> Result<Bytes, CallerError> {
    let body_timeout = Duration::from_millis(bounds.body_timeout_ms);
    let read_result = timeout(body_timeout, collect_body(body, bounds.body_max_bytes)).await;
    read_result.unwrap_or_else(|_| {
        let text = format!(
            "the body was not received within {} ms",
            bounds.body_timeout_ms
        );
        Err(CallerError::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            text,
        ))
    })
}

/// Collects the body.
///
/// An oversized body is read and discarded up to a bound. If a connection were closed with unread
/// data, it would be reset, and the caller could lose the refusal.
async fn collect_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, CallerError> {
    let mut collected = Vec::new();
    let mut discarded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let text = "the body could not be read";
            return Err(CallerError::new(
                StatusCode::BAD_REQUEST,
                "body_broken",
                text,
            ));
        };
        let Ok(data) = frame.into_data() else {
            // Trailers are ignored.
            continue;
        };
        if discarded_bytes > 0 || collected.len() + data.len() > max_bytes {
            discarded_bytes += data.len();
        } else {
            collected.extend_from_slice(&data);
        }
        if discarded_bytes > DISCARDED_BODY_MAX_BYTES {
            break;
        }
    }
    if discarded_bytes > 0 {
        let text = format!("the body exceeds {max_bytes} bytes");
        return Err(CallerError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            text,
        ));
    }
    Ok(Bytes::from(collected))
}
