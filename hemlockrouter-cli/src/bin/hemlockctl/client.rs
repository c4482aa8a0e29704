//! The HTTP client for the operators' port of an instance.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::eyre;
use eyre::Result;
use eyre::WrapErr;
use hemlockrouter_config::SecretKey;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::http::Response;
use ureq::Agent;
use ureq::Body;

use crate::args::Args;
use crate::outcome::Outcome;
use crate::response::ErrorResponse;

/// The environment variable that holds the operators' key.
const OPERATORS_KEY_VARIABLE: &str = "HEMLOCK_OPERATORS_KEY";

/// The largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: u64 = 64 * 1_024 * 1_024;

/// A client of one instance.
pub(crate) struct Client {
    agent: Agent,
    instance: SocketAddr,
    /// The operators' key, or `None` for an instance that dispatches directly.
    key: Option<SecretKey>,
    json: bool,
}

/// An HTTP response with any status.
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// The error of a call without a complete response.
pub(crate) struct CallError {
    /// Whether the instance may have received the request.
    pub(crate) may_have_arrived: bool,
    pub(crate) reason: String,
}

impl Client {
    pub(crate) fn new(args: &Args) -> Result<Client> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .no_delay(true)
            .proxy(None)
            .timeout_global(Some(Duration::from_millis(args.timeout_ms)))
            .build();
        Ok(Client {
            agent: config.new_agent(),
            instance: args.instance,
            key: match args.command.needs_key() {
                true => Some(load_key(args)?),
                false => None,
            },
            json: args.json,
        })
    }

    /// Returns whether to print JSON.
    pub(crate) fn json(&self) -> bool {
        self.json
    }

    pub(crate) fn get(&self, path: &str) -> Result<HttpResponse, CallError> {
        let url = format!("http://{}{path}", self.instance);
        let mut request = self.agent.get(url);
        if let Some(key) = &self.key {
            request = request.header("Authorization", key.authorization_header());
        }
        read_response(request.call())
    }

    pub(crate) fn post(&self, path: &str, body: &[u8]) -> Result<HttpResponse, CallError> {
        let url = format!("http://{}{path}", self.instance);
        let mut request = self.agent.post(url);
        if let Some(key) = &self.key {
            request = request.header("Authorization", key.authorization_header());
        }
        read_response(request.content_type("application/json").send(body))
    }

    /// Parses the body of a successful response. Otherwise prints the error to standard error.
    fn parse_or_report<T>(&self, response: Result<HttpResponse, CallError>) -> Result<T, Outcome>
    where
        T: DeserializeOwned,
    {
        let response = response.map_err(|call_error| self.print_unreachable(&call_error))?;
        if !matches!(response.status, 200 | 202) {
            return Err(self.print_error_response(&response));
        }
        if self.json {
            println!("{}", response.body);
        }
        serde_json::from_value(response.body).map_err(|err| {
            eprintln!(
                "hemlockctl: {} sent an invalid response: {err}",
                self.instance
            );
            Outcome::Unreachable
        })
    }

    /// Prints the body of a successful response, as JSON or with `print`. Otherwise prints the
    /// error to standard error.
    pub(crate) fn show<T, F>(&self, response: Result<HttpResponse, CallError>, print: F) -> Outcome
    where
        T: DeserializeOwned,
        F: FnOnce(T),
    {
        match self.parse_or_report(response) {
            Ok(value) => {
                if !self.json {
                    print(value);
                }
                Outcome::Succeeded
            }
            Err(outcome) => outcome,
        }
    }

    /// Prints to standard error that the instance did not answer.
    pub(crate) fn print_unreachable(&self, call_error: &CallError) -> Outcome {
        eprintln!(
            "hemlockctl: {} does not answer: {}",
            self.instance, call_error.reason
        );
        Outcome::Unreachable
    }

    /// Prints an error response to standard error.
    pub(crate) fn print_error_response(&self, response: &HttpResponse) -> Outcome {
        if self.json {
            println!("{}", response.body);
        }
        let error_response = ErrorResponse::read(&response.body);
        eprintln!("hemlockctl: {}: {error_response}", response.status);
        match response.status {
            500..=599 => Outcome::Unreachable,
            _ => Outcome::Refused,
        }
    }
}

fn load_key(args: &Args) -> Result<SecretKey> {
    let text = match &args.key_file {
        Some(file) => fs::read_to_string(file)
            .wrap_err_with(|| format!("can't read the key file {}", file.display()))?,
        None => std::env::var(OPERATORS_KEY_VARIABLE)
            .map_err(|_| eyre!("no key: give --key-file or set {OPERATORS_KEY_VARIABLE}"))?,
    };
    SecretKey::new(&text).map_err(|err| eyre!("the operators' key can't be used: {err}"))
}

fn read_response(response: Result<Response<Body>, ureq::Error>) -> Result<HttpResponse, CallError> {
    let mut response = response.map_err(|err| CallError {
        may_have_arrived: !failed_before_sending(&err),
        reason: err.to_string(),
    })?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(RESPONSE_MAX_BYTES);
    let text = body.read_to_string().map_err(|err| CallError {
        may_have_arrived: true,
        reason: err.to_string(),
    })?;
    // Some responses are plain text and are interpreted by their status only.
    let body = serde_json::from_str(&text).unwrap_or_else(|_| Value::from(text.trim()));
    Ok(HttpResponse { status, body })
}

/// Returns whether the call failed before any byte of the request could reach the instance.
fn failed_before_sending(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
