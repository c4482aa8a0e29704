//! The small HTTP server on which all simulated servers run.
//!
//! The server is `tiny_http` with two workarounds:
//!
//! - `tiny_http` writes an answer in pieces, so without `TCP_NODELAY` each larger answer waits for
//!   a delayed acknowledgement of some 40 ms. The option is set on the listening socket, from which
//!   accepted sockets inherit it.
//! - The thread pool of `tiny_http` can leave a new connection waiting while every thread is busy
//!   with a kept-alive connection. Each further connection makes the pool start a thread, which
//!   then serves the waiting connection. So the server regularly connects to itself.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use eyre::WrapErr;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;

/// Maximum size of a request body, in bytes. The rest of a longer body is not read.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// Options of a [`Server`].
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Number of threads that handle requests. Handlers don't block, so a few threads are enough.
    pub threads: usize,
    /// Interval at which the server connects to itself, in milliseconds.
    pub self_connect_interval_ms: u64,
}

impl Default for ServerOptions {
    /// Returns options with four threads and a self-connection every 20 ms.
    fn default() -> ServerOptions {
        ServerOptions {
            threads: 4,
            self_connect_interval_ms: 20,
        }
    }
}

/// A running HTTP server, which stops when dropped.
pub struct Server {
    addr: SocketAddr,
    http: Arc<tiny_http::Server>,
    stopping: Arc<AtomicBool>,
    threads: usize,
}

impl Server {
    /// Starts a server on `listen` that passes each request to `handler`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub fn start<H>(listen: SocketAddr, options: ServerOptions, handler: H) -> eyre::Result<Server>
    where
        H: Fn(Exchange) + Send + Sync + 'static,
    {
        let listener =
            TcpListener::bind(listen).wrap_err_with(|| format!("can't listen on {listen}"))?;
        socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
        let addr = listener.local_addr()?;
        let http = tiny_http::Server::from_listener(listener, None)
            .map_err(|err| eyre::eyre!("can't serve on {addr}: {err}"))?;
        let server = Server {
            addr,
            http: Arc::new(http),
            stopping: Arc::default(),
            threads: options.threads,
        };
        let handler = Arc::new(handler);
        for _ in 0..options.threads {
            let http = Arc::clone(&server.http);
            let handler = Arc::clone(&handler);
            thread::spawn(move || handle_requests(&http, addr.port(), &*handler));
        }
        let stopping = Arc::clone(&server.stopping);
        thread::spawn(move || {
            connect_to_self_periodically(addr, options.self_connect_interval_ms, &stopping)
        });
        Ok(server)
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        for _ in 0..self.threads {
            self.http.unblock();
        }
    }
}

fn handle_requests<H>(http: &tiny_http::Server, local_port: u16, handler: &H)
where
    H: Fn(Exchange),
{
    // `recv` fails only when the server is stopped.
    while let Ok(request) = http.recv() {
        match Exchange::read(request, local_port) {
            Ok(exchange) => handler(exchange),
            Err(err) => log::debug!("can't read the request: {err}"),
        }
    }
}

fn connect_to_self_periodically(
    addr: SocketAddr,
    self_connect_interval_ms: u64,
    stopping: &AtomicBool,
) {
    while !stopping.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(self_connect_interval_ms));
        if let Ok(stream) = TcpStream::connect(addr) {
            // Resets the connection, since an orderly close would leave a socket in TIME_WAIT for a
            // minute.
            let linger_result = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger_result.expect("the option is supported");
        }
    }
}

/// An HTTP request together with the means to answer it, now or later.
pub struct Exchange {
    request: Request,
    local_port: u16,
    /// Percent-decoded path, without the query.
    pub path: String,
    /// Parameters of the query, in their order.
    pub params: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl Exchange {
    fn read(mut request: Request, local_port: u16) -> io::Result<Exchange> {
        let mut body = Vec::new();
        let reader = request.as_reader();
        reader.take(MAX_BODY_BYTES).read_to_end(&mut body)?;
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let params = query.split('&').filter(|part| !part.is_empty());
        Ok(Exchange {
            path: percent_decode(path),
            params: params
                .map(|part| part.split_once('=').unwrap_or((part, "")))
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                .collect(),
            body,
            local_port,
            request,
        })
    }

    /// Returns the HTTP method.
    pub fn method(&self) -> &Method {
        self.request.method()
    }

    /// Returns the value of a query parameter; a parameter without `=` has an empty value.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let mut found = self.params.iter().filter(|(param, _)| param == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the address of the client.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.request.remote_addr().copied()
    }

    /// Returns the local port at which the request arrived.
    pub fn local_port(&self) -> u16 {
        self.local_port
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of this type.
    pub fn json<T>(&self) -> serde_json::Result<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
    }

    /// Sends the answer. A write error, such as for a client that has disconnected, is only logged.
    pub fn answer(self, answer: HttpResponse) {
        let mut response = Response::from_data(answer.body).with_status_code(answer.status);
        for (name, value) in answer.headers {
            let header = Header::from_bytes(name, value).expect("headers are plain ASCII");
            response.add_header(header);
        }
        if let Err(err) = self.request.respond(response) {
            log::debug!("answer not sent: {err}");
        }
    }

    /// Breaks off the exchange without an answer.
    ///
    /// `tiny_http` can't close a single connection, so this method sends bytes that are not HTTP, upon
    /// which the client closes the connection.
    pub fn abort(self) {
        let mut writer = self.request.into_writer();
        let written = writer
            .write_all(b"\0\r\n\r\n")
            .and_then(|()| writer.flush());
        if let Err(err) = written {
            log::debug!("can't break off the exchange: {err}");
        }
    }
}

/// An HTTP answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl HttpResponse {
    /// Creates an answer with a JSON body.
    pub fn json<T>(status: u16, body: &T) -> HttpResponse
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(body).expect("answers serialize to JSON");
        HttpResponse::bytes(status, body).with_header("content-type", "application/json".to_owned())
    }

    /// Creates an answer with a binary body.
    pub fn bytes(status: u16, body: Vec<u8>) -> HttpResponse {
        HttpResponse {
            status,
            headers: Vec::new(),
            body,
        }
    }

    /// Creates the answer to a malformed request, with status 400.
    pub fn bad_request<E>(error: E) -> HttpResponse
    where
        E: ToString,
    {
        HttpResponse::json(
            400,
            &json!({"code": "bad_request", "message": error.to_string()}),
        )
    }

    /// Creates the answer for an unknown path, with status 404.
    pub fn not_found() -> HttpResponse {
        HttpResponse::json(404, &json!({"code": "not_found"}))
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> HttpResponse {
        self.headers.push((name, value));
        self
    }
}

/// Returns a copy of `current` with the values in `fields` replaced.
///
/// # Errors
///
/// Fails if a field is unknown or its value has the wrong type.
pub fn merge_fields<T>(current: &T, fields: serde_json::Map<String, Value>) -> serde_json::Result<T>
where
    T: Serialize + DeserializeOwned,
{
    let mut value = serde_json::to_value(current)?;
    for (name, field) in fields {
        value[name] = field;
    }
    serde_json::from_value(value)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let hex = match bytes[index] {
            b'%' => text.get(index + 1..index + 3),
            _ => None,
        };
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
