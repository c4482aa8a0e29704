//! Passes on what this instance reads in the registry.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::RelayPage;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::mirror::Mirror;

/// How long a follower's call waits for a change, in milliseconds.
pub(super) const WAIT_MS: u64 = 1_000;

/// Serves followers for as long as the process runs.
pub(super) async fn accept(listener: TcpListener, mirror: Rc<Mirror>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(why = err.to_string(); "can't accept a follower");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let mirror = Rc::clone(&mirror);
        let service = service_fn(move |request| {
            let mirror = Rc::clone(&mirror);
            async move { Ok::<_, hyper::Error>(respond(&mirror, &request).await) }
        });
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(err) = serving.await {
                log::debug!(why = err.to_string(); "a follower's connection broke");
            }
        });
    }
}

async fn respond(mirror: &Mirror, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(after) = read_call(request) else {
        return answer(StatusCode::BAD_REQUEST, Vec::new());
    };
    let page = mirror.page(after, Duration::from_millis(WAIT_MS)).await;
    match rmp_serde::to_vec(&page) {
        Ok(body) => answer(StatusCode::OK, body),
        Err(err) => {
            log::error!(why = err.to_string(); "a page can't be written");
            answer(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Writes the call of a follower that has read up to revision `after`.
pub(super) fn write_call(after: Option<u64>) -> Request<Bytes> {
    let path = match after {
        Some(after) => format!("/changes/{after}"),
        None => String::from("/changes"),
    };
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().expect("a number makes a path");
    request
}

/// Reads the call of a follower.
fn read_call(request: &Request<Incoming>) -> Option<Option<u64>> {
    match request.uri().path().strip_prefix("/changes")? {
        "" => Some(None),
        after => after.strip_prefix('/')?.parse().ok().map(Some),
    }
}

/// Reads the answer to a follower's call.
///
/// # Errors
///
/// Returns what is wrong with it.
pub(super) fn read_page(status: u16, body: &[u8]) -> Result<RelayPage, String> {
    if status != StatusCode::OK.as_u16() {
        return Err(format!("status {status}"));
    }
    rmp_serde::from_slice(body).map_err(|err| err.to_string())
}

fn answer(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
