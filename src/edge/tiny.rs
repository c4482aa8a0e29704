//! HTTP server for trusted clients: operators and other instances.
//!
//! The server is `tiny_http` with two corrections. Without `TCP_NODELAY`, an answer that is written
//! in several pieces waits 40 ms for the peer's delayed acknowledgement. So the option is set on
//! the listening socket, and accepted sockets inherit it. Second, `tiny_http` can leave a
//! connection waiting while all of its threads wait on idle ones. A short connection from the
//! server to itself makes `tiny_http` start another thread, which then handles the waiting
//! connection. Callers are not served by this module, because they are not trusted and the library
//! limits neither the number of its threads nor the length of a header line.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use hemlockrouter_config::SecretKey;
use socket2::SockRef;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Connect timeout of a connection to the server itself.
const SELF_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// HTTP response of a handler.
pub(crate) struct HttpAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    pub(crate) body: Vec<u8>,
}

impl HttpAnswer {
    /// Creates an answer without a body.
    pub(crate) fn empty(status: u16) -> HttpAnswer {
        HttpAnswer {
            status,
            content_type: "text/plain",
            body: Vec::new(),
        }
    }

    /// Creates a plain text answer.
    pub(crate) fn text<S>(status: u16, body: S) -> HttpAnswer
    where
        S: Into<String>,
    {
        HttpAnswer {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into().into_bytes(),
        }
    }

    /// Creates a JSON answer.
    pub(crate) fn json(status: u16, body: &serde_json::Value) -> HttpAnswer {
        HttpAnswer {
            status,
            content_type: "application/json",
            body: body.to_string().into_bytes(),
        }
    }
}

/// HTTP request as a handler receives it.
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) bearer: Option<String>,
    pub(crate) body: Vec<u8>,
}

impl HttpRequest {
    /// Returns whether the bearer key of the request is `key`.
    pub(crate) fn is_authorized(&self, key: &SecretKey) -> bool {
        key.matches(self.bearer.as_deref().unwrap_or(""))
    }
}

/// Options of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerOptions {
    /// The number of threads that handle requests.
    pub(crate) threads: usize,
    /// The maximum size of a body, in bytes.
    pub(crate) body_max_bytes: u64,
    /// The interval at which the server connects to itself. This is the maximum time that a new
    /// connection waits while all threads of the library are held by idle connections.
    pub(crate) self_connect_interval: Duration,
}

/// Running server, which stops when dropped.
pub(crate) struct TrustedHttpServer {
    server: Arc<Server>,
    is_stopping: Arc<AtomicBool>,
    address: SocketAddr,
}

impl TrustedHttpServer {
    /// Binds `address` and starts the server.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or of starting a thread.
    pub(crate) fn start<H>(
        name: &str,
        address: SocketAddr,
        options: ServerOptions,
        handler: H,
    ) -> io::Result<TrustedHttpServer>
    where
        H: Fn(HttpRequest) -> HttpAnswer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let handler = Arc::new(handler);
        for thread_index in 0..options.threads {
            let server = Arc::clone(&server);
            let handler = Arc::clone(&handler);
            thread::Builder::new()
                .name(format!("{name}-{thread_index}"))
                .spawn(move || serve(&server, handler.as_ref(), options.body_max_bytes))?;
        }
        let is_stopping = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&is_stopping);
        thread::Builder::new()
            .name(format!("{name}-nudge"))
            .spawn(move || {
                connect_to_self_periodically(address, options.self_connect_interval, &stop_flag)
            })?;
        Ok(TrustedHttpServer {
            server,
            is_stopping,
            address,
        })
    }

    /// Returns the address that the server is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for TrustedHttpServer {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.server.unblock();
    }
}

/// Connects to `address` at the given interval until `stop_flag` is set.
fn connect_to_self_periodically(address: SocketAddr, interval: Duration, stop_flag: &AtomicBool) {
    let mut target = address;
    if target.ip().is_unspecified() {
        target.set_ip(std::net::Ipv4Addr::LOCALHOST.into());
    }
    while !stop_flag.load(Ordering::Relaxed) {
        if let Ok(stream) = TcpStream::connect_timeout(&target, SELF_CONNECT_TIMEOUT) {
            // Closing with a reset leaves no socket in TIME_WAIT. Otherwise one such socket for
            // each connection would exhaust the ports of the machine.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        thread::sleep(interval);
    }
}

/// Handles requests until the server is unblocked.
fn serve<H>(server: &Server, handler: &H, body_max_bytes: u64)
where
    H: Fn(HttpRequest) -> HttpAnswer,
{
    while let Ok(mut request) = server.recv() {
        let answer = match read_request(&mut request, body_max_bytes) {
            Ok(call) => handler(call),
            Err(answer) => answer,
        };
        // An error is ignored, since the client may have disconnected.
        let _ = request.respond(response(answer));
    }
}

/// Reads the body and the bearer key of `request`.
fn read_request(request: &mut Request, body_max_bytes: u64) -> Result<HttpRequest, HttpAnswer> {
    let mut body = Vec::new();
    let read_result = request
        .as_reader()
        .take(body_max_bytes + 1)
        .read_to_end(&mut body);
    if read_result.is_err() {
        return Err(HttpAnswer::text(400, "the body could not be read"));
    }
    if body.len() as u64 > body_max_bytes {
        return Err(HttpAnswer::text(
            413,
            format!("the body exceeds {body_max_bytes} bytes"),
        ));
    }
    let bearer = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Authorization"))
        .and_then(|header| header.value.as_str().strip_prefix("Bearer "))
        .map(str::to_owned);
    Ok(HttpRequest {
        method: request.method().to_string(),
        path: request.url().to_owned(),
        bearer,
        body,
    })
}

/// Converts `answer` into a response of the library.
fn response(answer: HttpAnswer) -> Response<io::Cursor<Vec<u8>>> {
    let content_type = Header::from_bytes("Content-Type", answer.content_type)
        .expect("content types are valid header values");
    Response::from_data(answer.body)
        .with_status_code(answer.status)
        .with_header(content_type)
}
