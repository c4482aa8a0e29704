//! HTTP client for a key-value store and an instance list that follow Consul's published API.
//!
//! Every call has a timeout and every response a size limit. The client never retries a call: a
//! hidden retry of a write would make the outcome of the first write ambiguous, and retries would
//! add load to a store that is already overloaded.

use std::net::SocketAddr;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;
use ureq::http::Response;
use ureq::Agent;
use ureq::Body;
use ureq::Timeout;

use crate::calls::CallCounter;
use crate::calls::CallCounts;
use crate::list::InstanceList;
use crate::list::ListEntry;
use crate::list::ListedProcess;
use crate::store::Entry;
use crate::store::PlatformUnavailable;
use crate::store::ReadResult;
use crate::store::Store;
use crate::store::WriteCondition;
use crate::store::WriteOutcome;

/// Size limit of a response with one value: one megabyte in base64, plus the surrounding JSON.
const VALUE_RESPONSE_MAX_BYTES: u64 = 1_500_000;

/// Size limit of a response with a list of keys or of instances.
const LIST_RESPONSE_MAX_BYTES: u64 = 8_000_000;

/// Header with the index of the state that a read returned.
const CONSUL_INDEX_HEADER: &str = "X-Consul-Index";

/// Divisor of the wait time that bounds the store's jitter: the store extends a blocking read by up
/// to 1/16 of its wait time to spread its responses.
const WAIT_JITTER_DIVISOR: u64 = 16;

/// A client of the platform's store and instance list.
#[derive(Debug)]
pub struct ConsulClient {
    agent: Agent,
    address: SocketAddr,
    timeout_ms: u64,
    counter: CallCounter,
}

/// The JSON form of one value in a response of the store.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyValue {
    value: Option<String>,
    modify_index: u64,
}

impl ConsulClient {
    /// Creates a client of the store at `address`, whose calls take at most `timeout_ms`
    /// milliseconds. The wait time of a blocking read comes on top of this limit.
    pub fn new(address: SocketAddr, timeout_ms: u64) -> ConsulClient {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .no_delay(true)
            .proxy(None)
            .build();
        ConsulClient {
            agent: config.new_agent(),
            address,
            timeout_ms,
            counter: CallCounter::default(),
        }
    }

    /// Returns the numbers of calls to the platform so far.
    pub fn calls(&self) -> CallCounts {
        self.counter.calls()
    }

    fn read(&self, path: &str, timeout_ms: u64) -> Result<Response<Body>, PlatformUnavailable> {
        let url = format!("http://{}{path}", self.address);
        let request = self.agent.get(url).config();
        let request = request.timeout_global(Some(Duration::from_millis(timeout_ms)));
        let response = request.build().call().map_err(PlatformUnavailable::new);
        self.count_failure(response)
    }

    fn read_key(&self, path: &str, timeout_ms: u64) -> Result<ReadResult, PlatformUnavailable> {
        let mut response = self.read(path, timeout_ms)?;
        let read = decode_read(&mut response);
        self.count_failure(read)
    }

    fn read_json<T>(&self, path: &str) -> Result<Option<T>, PlatformUnavailable>
    where
        T: DeserializeOwned,
    {
        let mut response = self.read(path, self.timeout_ms)?;
        let list = match response.status().as_u16() {
            200 => read_json_body(&mut response, LIST_RESPONSE_MAX_BYTES).map(Some),
            404 => Ok(None),
            status => Err(PlatformUnavailable::new(format!("status {status}"))),
        };
        self.count_failure(list)
    }

    fn count_failure<T>(
        &self,
        outcome: Result<T, PlatformUnavailable>,
    ) -> Result<T, PlatformUnavailable> {
        if outcome.is_err() {
            self.counter.count_failure();
        }
        outcome
    }

    fn count_failed_write(&self, written: WriteOutcome) -> WriteOutcome {
        if matches!(written, WriteOutcome::NotApplied | WriteOutcome::Unknown) {
            self.counter.count_failure();
        }
        written
    }
}

impl Store for ConsulClient {
    fn get(&self, key: &str) -> Result<ReadResult, PlatformUnavailable> {
        self.counter.count_read();
        self.read_key(&format!("/v1/kv/{key}"), self.timeout_ms)
    }

    fn get_latest(&self, key: &str) -> Result<ReadResult, PlatformUnavailable> {
        self.counter.count_read();
        self.read_key(&format!("/v1/kv/{key}?consistent"), self.timeout_ms)
    }

    fn wait(&self, key: &str, index: u64, wait_ms: u64) -> Result<ReadResult, PlatformUnavailable> {
        self.counter.count_wait();
        let path = format!("/v1/kv/{key}?index={index}&wait={wait_ms}ms");
        let timeout_ms = wait_ms + wait_ms / WAIT_JITTER_DIVISOR + self.timeout_ms;
        self.read_key(&path, timeout_ms)
    }

    fn keys(&self, prefix: &str) -> Result<Vec<String>, PlatformUnavailable> {
        self.counter.count_read();
        let keys = self.read_json(&format!("/v1/kv/{prefix}?keys"))?;
        Ok(keys.unwrap_or_default())
    }

    fn write(&self, key: &str, value: &[u8], guard: WriteCondition) -> WriteOutcome {
        self.counter.count_write();
        let query = match guard {
            WriteCondition::IfAbsent => String::from("?cas=0"),
            WriteCondition::IfVersion(version) => format!("?cas={version}"),
            WriteCondition::Unconditional => String::new(),
        };
        let url = format!("http://{}/v1/kv/{key}{query}", self.address);
        let request = self.agent.put(url).config();
        let timeout = Duration::from_millis(self.timeout_ms);
        let request = request.timeout_global(Some(timeout)).build();
        self.count_failed_write(write_outcome(request.send(value)))
    }

    fn delete(&self, key: &str) -> WriteOutcome {
        self.counter.count_write();
        let url = format!("http://{}/v1/kv/{key}", self.address);
        let request = self.agent.delete(url).config();
        let timeout = Duration::from_millis(self.timeout_ms);
        let request = request.timeout_global(Some(timeout)).build();
        self.count_failed_write(write_outcome(request.call()))
    }
}

impl InstanceList for ConsulClient {
    fn instances(&self, service: &str) -> Result<Vec<ListedProcess>, PlatformUnavailable> {
        self.counter.count_read();
        // Each entry is decoded by itself, since one invalid entry must not hide the others.
        let rows: Option<Vec<Box<RawValue>>> =
            self.read_json(&format!("/v1/health/service/{service}"))?;
        let rows = rows.unwrap_or_default();
        Ok(rows
            .iter()
            .filter_map(|row| ListEntry::decode(row.get()))
            .filter_map(ListEntry::into_listed)
            .collect())
    }
}

fn decode_read(response: &mut Response<Body>) -> Result<ReadResult, PlatformUnavailable> {
    let index = response.headers().get(CONSUL_INDEX_HEADER);
    let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
    let index = index.ok_or_else(|| {
        let status = response.status().as_u16();
        PlatformUnavailable::new(format!("status {status} without {CONSUL_INDEX_HEADER}"))
    })?;
    let entry = match response.status().as_u16() {
        200 => Some(read_entry(response)?),
        404 => None,
        status => return Err(PlatformUnavailable::new(format!("status {status}"))),
    };
    Ok(ReadResult { index, entry })
}

fn read_entry(response: &mut Response<Body>) -> Result<Entry, PlatformUnavailable> {
    let rows: Vec<KeyValue> = read_json_body(response, VALUE_RESPONSE_MAX_BYTES)?;
    let mut rows = rows.into_iter();
    let (Some(row), None) = (rows.next(), rows.next()) else {
        return Err(PlatformUnavailable::new(
            "not exactly one value in the answer",
        ));
    };
    let value = STANDARD.decode(row.value.unwrap_or_default());
    Ok(Entry {
        value: value.map_err(PlatformUnavailable::new)?,
        version: row.modify_index,
    })
}

fn read_json_body<T>(
    response: &mut Response<Body>,
    max_bytes: u64,
) -> Result<T, PlatformUnavailable>
where
    T: DeserializeOwned,
{
    let body = response.body_mut().with_config().limit(max_bytes);
    body.read_json().map_err(PlatformUnavailable::new)
}

/// Derives the outcome of a write from its response, or from the error that replaced the response.
fn write_outcome(response: Result<Response<Body>, ureq::Error>) -> WriteOutcome {
    let mut response = match response {
        Ok(response) => response,
        Err(err) => return outcome_of_failed_write(&err),
    };
    match response.status().as_u16() {
        200 => match read_json_body::<bool>(&mut response, VALUE_RESPONSE_MAX_BYTES) {
            Ok(true) => WriteOutcome::Applied,
            Ok(false) => WriteOutcome::ConditionFailed,
            Err(_) => WriteOutcome::Unknown,
        },
        400..=499 => WriteOutcome::NotApplied,
        _ => WriteOutcome::Unknown,
    }
}

/// Derives the outcome of a write that got no response. Only a failure to connect proves that nothing
/// was written.
fn outcome_of_failed_write(err: &ureq::Error) -> WriteOutcome {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => WriteOutcome::NotApplied,
        ureq::Error::Io(err) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            WriteOutcome::NotApplied
        }
        _ => WriteOutcome::Unknown,
    }
}
