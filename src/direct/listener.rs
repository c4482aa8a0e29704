//! Accepts connections and serves HTTP requests of operators and other instances.
//!
//! All ports of an instance share this accept loop, so that each of them tolerates a lack of file
//! descriptors.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Pause after a failed accept, which most likely fails for lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Timeout for a connection of operators or instances that is idle or sends a request head. A
/// client whose connection is closed only has to open a new one.
const HTTP_HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections until it is dropped and serves each of them on its own task. The name `port`
/// identifies the listener in log lines.
pub(super) async fn accept<S, F>(listener: &TcpListener, port: &'static str, mut serve: S)
where
    S: FnMut(TcpStream, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
{
    loop {
        let (stream, peer) = accept_one(listener, port).await;
        tokio::task::spawn_local(serve(stream, peer));
    }
}

/// Accepts one connection. Failures are logged and repeated.
pub(super) async fn accept_one(
    listener: &TcpListener,
    port: &'static str,
) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                send_at_once(&stream);
                return (stream, peer);
            }
            Err(err) => {
                warn!(port = port, why = err.to_string(); "can't accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Lets written data be sent at once.
pub(super) fn send_at_once(stream: &TcpStream) {
    // The option only reduces latency, so a failure to set it is ignored.
    let _ = stream.set_nodelay(true);
}

/// Serves HTTP requests on one connection until it ends.
pub(super) async fn serve_http<R, F, B>(stream: TcpStream, peer: SocketAddr, respond: R)
where
    R: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = service_fn(|request| {
        let response = respond(request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HTTP_HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(err) = result.await {
        debug!(peer = peer.to_string(), why = err.to_string(); "a connection of an operator or instance failed");
    }
}

/// Builds a response from a status and a body.
pub(super) fn build_response<B>(status: StatusCode, body: B) -> Response<Bytes>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}
