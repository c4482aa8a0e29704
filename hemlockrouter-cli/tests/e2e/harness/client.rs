//! HTTP clients that act as callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use ureq::Agent;

use super::layout::TEACHERS_KEY;
use super::LIVENESS_TIMEOUT;

/// The status and the JSON body of a response. A body that is not JSON is represented as `null`.
pub(crate) type Answer = (u16, Value);

/// A client that presents a bearer key.
pub(crate) struct Caller {
    agent: Agent,
    key: String,
}

impl Caller {
    /// Creates a caller with the key of the customer `teachers`.
    pub(crate) fn for_teachers() -> Caller {
        Caller::new(TEACHERS_KEY)
    }

    /// Creates a caller with the given key. The caller opens a connection for each request.
    pub(crate) fn new(key: &str) -> Caller {
        Caller {
            agent: agent(LIVENESS_TIMEOUT),
            key: key.to_owned(),
        }
    }

    /// Sends a search of the customer's `halls`.
    pub(crate) fn search(&self, to: SocketAddr, id: &str) -> Answer {
        let body = json!({"search": "halls", "query": {"id": id}, "deadline_ms": 5_000});
        self.post(to, "/v1/search", None, &body)
    }

    /// Sends a `confirm` operation with an idempotency key.
    pub(crate) fn run_with_key(&self, to: SocketAddr, key: &str, id: &str) -> Answer {
        let body = json!({"operation": "confirm", "request": {"id": id}, "deadline_ms": 5_000});
        self.post(to, "/v1/run", Some(key), &body)
    }

    /// Requests a ticket for a `confirm` operation.
    pub(crate) fn request_ticket(&self, to: SocketAddr) -> String {
        let (status, body) = self.post(to, "/v1/tickets", None, &json!({"operation": "confirm"}));
        assert_eq!(status, 200, "{body}");
        body["ticket"].as_str().expect("a ticket").to_owned()
    }

    /// Sends a `confirm` operation with a ticket.
    pub(crate) fn run_with_ticket(&self, to: SocketAddr, ticket: &str, id: &str) -> Answer {
        let body = json!({
            "operation": "confirm",
            "request": {"id": id},
            "deadline_ms": 5_000,
            "ticket": ticket,
        });
        self.post(to, "/v1/run", None, &body)
    }

    /// Sends a POST request with a JSON body. Panics if there is no response.
    pub(crate) fn post(
        &self,
        to: SocketAddr,
        path: &str,
        idempotency_key: Option<&str>,
        body: &Value,
    ) -> Answer {
        let mut request = self
            .agent
            .post(format!("http://{to}{path}"))
            .header("Authorization", format!("Bearer {}", self.key));
        if let Some(key) = idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        let sent = request.send(body.to_string());
        read(sent).unwrap_or_else(|err| panic!("no answer from {to}{path}: {err}"))
    }

    /// Sends a GET request without a key, and returns the body as text.
    pub(crate) fn get_text(&self, to: SocketAddr, path: &str) -> Result<String, ureq::Error> {
        let request = self.agent.get(format!("http://{to}{path}"));
        request.call()?.body_mut().read_to_string()
    }

    /// Sends a GET request with the caller's key.
    pub(crate) fn get(&self, to: SocketAddr, path: &str) -> Result<Answer, ureq::Error> {
        let request = self.agent.get(format!("http://{to}{path}"));
        read(
            request
                .header("Authorization", format!("Bearer {}", self.key))
                .call(),
        )
    }
}

fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(timeout));
    config.build().into()
}

fn read(sent: Result<http::Response<ureq::Body>, ureq::Error>) -> Result<Answer, ureq::Error> {
    let mut response = sent?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    Ok((status, serde_json::from_str(&text).unwrap_or(Value::Null)))
}
