//! The port for other instances: passes on what this one reads in the registry, and takes batches.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::RelayPage;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::batches;
use super::collector::Collector;
use super::collector::Frames;
use super::listener;
use super::listener::page;
use super::mirror::Mirror;

/// How long a follower's call waits for a change, in milliseconds.
pub(super) const WAIT_MS: u64 = 1_000;

/// Serves followers for as long as the process runs.
pub(super) async fn accept(listener: TcpListener, mirror: Rc<Mirror>, collector: Rc<Collector>) {
    listener::accept(listener, "relay", |stream, peer| {
        let mirror = Rc::clone(&mirror);
        let collector = Rc::clone(&collector);
        listener::serve_pages(stream, peer, move |request| {
            let mirror = Rc::clone(&mirror);
            let collector = Rc::clone(&collector);
            async move { respond(&mirror, &collector, request).await }
        })
    })
    .await;
}

async fn respond(
    mirror: &Mirror,
    collector: &Collector,
    request: Request<Incoming>,
) -> Response<Either<Full<Bytes>, Frames>> {
    if request.uri().path() != batches::PATH {
        let page = changes(mirror, &request).await;
        return page.map(Full::new).map(Either::Left);
    }
    match collector.take(request).await {
        Ok(response) => response.map(Either::Right),
        Err(status) => page(status, "not taken").map(Full::new).map(Either::Left),
    }
}

async fn changes(mirror: &Mirror, request: &Request<Incoming>) -> Response<Bytes> {
    let Some(after) = read_call(request) else {
        return page(StatusCode::BAD_REQUEST, "no such page");
    };
    let changes = mirror.page(after, Duration::from_millis(WAIT_MS)).await;
    match rmp_serde::to_vec(&changes) {
        Ok(body) => page(StatusCode::OK, body),
        Err(err) => {
            log::error!(why = err.to_string(); "a page can't be written");
            page(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the page can't be written",
            )
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
