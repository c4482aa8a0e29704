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

use crate::answer::Refusal;
use crate::args::Args;
use crate::end::End;

/// The environment variable that holds the operators' key.
const KEY_VARIABLE: &str = "HEMLOCK_OPERATORS_KEY";

/// The largest response body that is read, in bytes.
const ANSWER_MAX_BYTES: u64 = 64 * 1_024 * 1_024;

/// A client of one instance.
pub(crate) struct Client {
    agent: Agent,
    instance: SocketAddr,
    /// The operators' key, or `None` for an instance that dispatches directly.
    key: Option<SecretKey>,
    json: bool,
}

/// An HTTP response with any status.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// The error of a call without a complete response.
pub(crate) struct Lost {
    /// Whether the instance may have received the request.
    pub(crate) maybe: bool,
    pub(crate) why: String,
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
                true => Some(key(args)?),
                false => None,
            },
            json: args.json,
        })
    }

    /// Returns whether to print JSON.
    pub(crate) fn json(&self) -> bool {
        self.json
    }

    pub(crate) fn get(&self, path: &str) -> Result<Answer, Lost> {
        let url = format!("http://{}{path}", self.instance);
        let mut request = self.agent.get(url);
        if let Some(key) = &self.key {
            request = request.header("Authorization", key.authorization());
        }
        read(request.call())
    }

    pub(crate) fn post(&self, path: &str, body: &[u8]) -> Result<Answer, Lost> {
        let url = format!("http://{}{path}", self.instance);
        let mut request = self.agent.post(url);
        if let Some(key) = &self.key {
            request = request.header("Authorization", key.authorization());
        }
        read(request.content_type("application/json").send(body))
    }

    /// Parses the body of a successful response. Otherwise prints the error to standard error.
    fn expect<T>(&self, answer: Result<Answer, Lost>) -> Result<T, End>
    where
        T: DeserializeOwned,
    {
        let answer = answer.map_err(|lost| self.unreachable(&lost))?;
        if !matches!(answer.status, 200 | 202) {
            return Err(self.refused(&answer));
        }
        if self.json {
            println!("{}", answer.body);
        }
        serde_json::from_value(answer.body).map_err(|err| {
            eprintln!("hemlockctl: {} sent an odd answer: {err}", self.instance);
            End::Unreachable
        })
    }

    /// Prints the body of a successful response, as JSON or with `print`. Otherwise prints the
    /// error to standard error.
    pub(crate) fn show<T, F>(&self, answer: Result<Answer, Lost>, print: F) -> End
    where
        T: DeserializeOwned,
        F: FnOnce(T),
    {
        match self.expect(answer) {
            Ok(value) => {
                if !self.json {
                    print(value);
                }
                End::Done
            }
            Err(end) => end,
        }
    }

    /// Prints to standard error that the instance did not answer.
    pub(crate) fn unreachable(&self, lost: &Lost) -> End {
        eprintln!(
            "hemlockctl: {} does not answer: {}",
            self.instance, lost.why
        );
        End::Unreachable
    }

    /// Prints an error response to standard error.
    pub(crate) fn refused(&self, answer: &Answer) -> End {
        if self.json {
            println!("{}", answer.body);
        }
        let refusal = Refusal::read(&answer.body);
        eprintln!("hemlockctl: {}: {refusal}", answer.status);
        match answer.status {
            500..=599 => End::Unreachable,
            _ => End::Refused,
        }
    }
}

fn key(args: &Args) -> Result<SecretKey> {
    let text = match &args.key_file {
        Some(file) => fs::read_to_string(file)
            .wrap_err_with(|| format!("can't read the key file {}", file.display()))?,
        None => std::env::var(KEY_VARIABLE)
            .map_err(|_| eyre!("no key: give --key-file or set {KEY_VARIABLE}"))?,
    };
    SecretKey::new(&text).map_err(|weak| eyre!("the operators' key can't be used: {weak}"))
}

fn read(answer: Result<Response<Body>, ureq::Error>) -> Result<Answer, Lost> {
    let mut answer = answer.map_err(|err| Lost {
        maybe: !never_connected(&err),
        why: err.to_string(),
    })?;
    let status = answer.status().as_u16();
    let body = answer.body_mut().with_config().limit(ANSWER_MAX_BYTES);
    let text = body.read_to_string().map_err(|err| Lost {
        maybe: true,
        why: err.to_string(),
    })?;
    // Some responses are plain text and are interpreted by their status only.
    let body = serde_json::from_str(&text).unwrap_or_else(|_| Value::from(text.trim()));
    Ok(Answer { status, body })
}

/// Returns whether the call failed before any byte of the request could reach the instance.
fn never_connected(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
