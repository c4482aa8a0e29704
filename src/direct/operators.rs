//! Readiness and metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;

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
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(err) => {
                    log::warn!(why = err.to_string(); "can't accept an operator");
                    continue;
                }
            };
            let operators = Rc::clone(&self);
            let service = service_fn(move |request| {
                let response = operators.respond(&request);
                async move { Ok::<_, hyper::Error>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::task::spawn_local(async move {
                if let Err(err) = serving.await {
                    log::debug!(why = err.to_string(); "an operator's connection broke");
                }
            });
        }
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/livez" => text(StatusCode::OK, String::from("alive")),
            "/ready" | "/readyz" => self.ready(),
            "/metrics" => text(StatusCode::OK, self.metrics.text()),
            _ => text(StatusCode::NOT_FOUND, String::from("no such page")),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        let is_ready = self.node.is_configured() && *self.phase.borrow() == Phase::Serving;
        if is_ready {
            text(StatusCode::OK, String::from("ready"))
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, String::from("not ready"))
        }
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
