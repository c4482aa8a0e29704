//! HTTP server for readiness, metrics and operators' status requests.

use std::rc::Rc;

use bytes::Bytes;
use hemlockrouter_route::direct::Status;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::listener;
use super::listener::build_response;
use super::mirror::Mirror;
use super::node::Node;
use crate::edge::phase::ShutdownPhase;
use crate::metrics::Metrics;

/// HTTP server for operators and the platform.
pub(super) struct OperatorServer {
    pub(super) node: Rc<Node>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) phase: watch::Receiver<ShutdownPhase>,
    pub(super) mirror: Rc<Mirror>,
}

/// JSON answer of the status page.
#[derive(Serialize)]
struct StatusResponse {
    ready: bool,
    /// Time since the last contact with the registry, in milliseconds; `None` if there was none.
    registry_age_ms: Option<u64>,
    /// Relays that passed the last update on, starting with the instance that read the registry.
    registry_path: Vec<String>,
    /// Number of times that the registry was restored from a copy; `None` before the first contact.
    registry_generation: Option<u64>,
    #[serde(flatten)]
    status: Status,
}

impl OperatorServer {
    /// Serves a listening socket until the process ends.
    pub(super) async fn accept(self: Rc<OperatorServer>, listener: TcpListener) {
        listener::accept(&listener, "operators", |stream, peer| {
            let operators = Rc::clone(&self);
            listener::serve_http(stream, peer, move |request| {
                std::future::ready(operators.respond(&request).map(Full::new))
            })
        })
        .await;
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Bytes> {
        match request.uri().path() {
            "/livez" => build_response(StatusCode::OK, "alive"),
            "/ready" | "/readyz" => self.ready(),
            "/metrics" => self.metrics(),
            "/status" => self.status(),
            "/explain" => self.explain(request.uri().query().unwrap_or_default()),
            _ => build_response(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    fn is_ready(&self) -> bool {
        self.node.is_configured() && *self.phase.borrow() == ShutdownPhase::Serving
    }

    fn metrics(&self) -> Response<Bytes> {
        if let (Some(age_ms), Some(position)) = (self.mirror.age_ms(), self.mirror.position()) {
            let hops = self.mirror.path().len() as u64;
            let generation = position.generation.0;
            self.metrics
                .record_registry_contact(age_ms, hops, generation);
        }
        build_response(StatusCode::OK, self.metrics.encode_text())
    }

    fn status(&self) -> Response<Bytes> {
        let Some(status) = self.node.status() else {
            return build_response(StatusCode::SERVICE_UNAVAILABLE, "the instance has ended");
        };
        json_response(&StatusResponse {
            ready: self.is_ready(),
            registry_age_ms: self.mirror.age_ms(),
            registry_path: self.mirror.path(),
            registry_generation: self.mirror.position().map(|at| at.generation.0),
            status,
        })
    }

    /// Explains how a request would be routed; the query is `host=HOST&path=PATH`.
    fn explain(&self, query: &str) -> Response<Bytes> {
        let field = |name: &str| {
            let mut fields = query.split('&');
            fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
        };
        let (Some(host), Some(path)) = (field("host"), field("path")) else {
            return build_response(
                StatusCode::BAD_REQUEST,
                "expected /explain?host=HOST&path=PATH",
            );
        };
        match self.node.explain(host, path) {
            Some(explained) => json_response(&explained),
            None => build_response(StatusCode::NOT_FOUND, "no route takes this host and path"),
        }
    }

    fn ready(&self) -> Response<Bytes> {
        if self.is_ready() {
            build_response(StatusCode::OK, "ready")
        } else {
            build_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}

/// Builds a JSON response.
fn json_response<T>(value: &T) -> Response<Bytes>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => build_response(StatusCode::OK, body),
        Err(err) => {
            log::error!(why = err.to_string(); "an answer to operators can't be written");
            build_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the answer can't be written",
            )
        }
    }
}
