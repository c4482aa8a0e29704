//! Passes on what this instance reads in the registry.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::RelayPage;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::listener;
use super::listener::page;
use super::mirror::Mirror;

/// How long a follower's call waits for a change, in milliseconds.
pub(super) const WAIT_MS: u64 = 1_000;

/// Serves followers for as long as the process runs.
pub(super) async fn accept(listener: TcpListener, mirror: Rc<Mirror>) {
    listener::accept(listener, "relay", |stream, peer| {
        let mirror = Rc::clone(&mirror);
        listener::serve_pages(stream, peer, move |request| {
            let mirror = Rc::clone(&mirror);
            async move { respond(&mirror, &request).await }
        })
    })
    .await;
}

async fn respond(mirror: &Mirror, request: &Request<Incoming>) -> Response<Bytes> {
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
