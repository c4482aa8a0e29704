//! Accepts connections, and serves the pages that operators and followers ask for.
//!
//! All ports of an instance accept here, so that each of them bears a lack of file descriptors.

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

/// How long a port waits after it could not accept, most likely for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long a connection for pages may be idle or send the head of a call. Each call costs its caller
/// a new connection at worst.
const PAGE_HEAD: Duration = Duration::from_secs(10);

/// Serves each connection on a task of its own, for as long as the process runs. What is written goes
/// out at once. The log says by `port` what can't be accepted.
pub(super) async fn accept<S, F>(listener: TcpListener, port: &'static str, mut serve: S)
where
    S: FnMut(TcpStream, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // The option only saves time; a connection without it still works.
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve(stream, peer));
            }
            Err(err) => {
                warn!(port = port, why = err.to_string(); "can't accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves pages on one connection until it ends.
pub(super) async fn serve_pages<R, F, B>(stream: TcpStream, peer: SocketAddr, respond: R)
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
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PAGE_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(err) = served.await {
        debug!(peer = peer.to_string(), why = err.to_string(); "a connection for pages broke");
    }
}

/// Makes a response of a status and a body.
pub(super) fn page<B>(status: StatusCode, body: B) -> Response<Bytes>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}
