//! Readiness and metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::listener;
use super::listener::page;
use super::node::Node;
use crate::edge::phase::Phase;
use crate::metrics::Metrics;

/// What operators and the platform ask for.
pub(super) struct Operators {
    pub(super) node: Rc<Node>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) phase: watch::Receiver<Phase>,
}

impl Operators {
    /// Serves a listening socket for as long as the process runs.
    pub(super) async fn accept(self: Rc<Operators>, listener: TcpListener) {
        listener::accept(listener, "operators", |stream, peer| {
            let operators = Rc::clone(&self);
            listener::serve_pages(stream, peer, move |request| {
                std::future::ready(operators.respond(&request).map(Full::new))
            })
        })
        .await;
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Bytes> {
        match request.uri().path() {
            "/livez" => page(StatusCode::OK, "alive"),
            "/ready" | "/readyz" => self.ready(),
            "/metrics" => page(StatusCode::OK, self.metrics.text()),
            _ => page(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    fn ready(&self) -> Response<Bytes> {
        let is_ready = self.node.is_configured() && *self.phase.borrow() == Phase::Serving;
        if is_ready {
            page(StatusCode::OK, "ready")
        } else {
            page(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
