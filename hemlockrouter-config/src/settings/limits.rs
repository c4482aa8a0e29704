//! Bounds on the resources of one instance, so that no caller, peer or upstream can exhaust them.

use crate::document::JsonObject;
use crate::error::Error;

/// The known fields of the settings' `limits` object.
const LIMITS_FIELDS: &[&str] = &[
    "callers_connections",
    "body_max_bytes",
    "answer_max_bytes",
    "header_max_bytes",
    "header_timeout_ms",
    "body_timeout_ms",
    "callers_threads",
    "upstream_threads",
    "peer_threads",
    "requests_max",
    "queue_max",
    "batch_max",
    "tickets_max",
];

/// Bounds on the resources that one instance uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The largest number of open connections from callers. Default: 256.
    pub callers_connections: usize,
    /// The largest body of a caller's request, in bytes. Default: 65,536.
    pub body_max_bytes: usize,
    /// The largest answer of an upstream, in bytes. Default: 1,048,576.
    pub answer_max_bytes: usize,
    /// The largest header of a caller's request, in bytes. Default: 32,768.
    pub header_max_bytes: usize,
    /// The time within which a caller must send a header, in milliseconds. Default: 1,000.
    pub header_timeout_ms: u64,
    /// The time within which a caller must send a body, in milliseconds. Default: 2,000.
    pub body_timeout_ms: u64,
    /// The number of threads that serve callers' connections. Default: 2.
    pub callers_threads: usize,
    /// The number of threads that call upstreams. Default: 64.
    pub upstream_threads: usize,
    /// The number of threads that send messages to other instances. Default: 16.
    pub peer_threads: usize,
    /// The largest number of callers' requests in flight. Default: 4,096.
    pub requests_max: usize,
    /// The largest number of sub-requests queued for one upstream. Default: 1,000.
    pub queue_max: usize,
    /// The largest number of messages in one batch to another instance. Default: 256.
    pub batch_max: usize,
    /// The largest number of tickets that the instance stores. Default: 100,000.
    pub tickets_max: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            callers_connections: 256,
            body_max_bytes: 65_536,
            answer_max_bytes: 1_048_576,
            header_max_bytes: 32_768,
            header_timeout_ms: 1_000,
            body_timeout_ms: 2_000,
            callers_threads: 2,
            upstream_threads: 64,
            peer_threads: 16,
            requests_max: 4_096,
            queue_max: 1_000,
            batch_max: 256,
            tickets_max: 100_000,
        }
    }
}

impl Limits {
    pub(super) fn read(settings: &JsonObject<'_, '_>) -> Result<Limits, Error> {
        let default = Limits::default();
        let Some(field) = settings.get("limits") else {
            return Ok(default);
        };
        let object = field.object(LIMITS_FIELDS)?;
        Ok(Limits {
            callers_connections: object.number_or(
                "callers_connections",
                default.callers_connections,
                1,
                65_536,
            )?,
            body_max_bytes: object.number_or(
                "body_max_bytes",
                default.body_max_bytes,
                1_024,
                16_777_216,
            )?,
            answer_max_bytes: object.number_or(
                "answer_max_bytes",
                default.answer_max_bytes,
                1_024,
                67_108_864,
            )?,
            header_max_bytes: object.number_or(
                "header_max_bytes",
                default.header_max_bytes,
                1_024,
                1_048_576,
            )?,
            header_timeout_ms: object.number_or(
                "header_timeout_ms",
                default.header_timeout_ms,
                10,
                60_000,
            )?,
            body_timeout_ms: object.number_or(
                "body_timeout_ms",
                default.body_timeout_ms,
                10,
                60_000,
            )?,
            callers_threads: object.number_or("callers_threads", default.callers_threads, 1, 64)?,
            upstream_threads: object.number_or(
                "upstream_threads",
                default.upstream_threads,
                1,
                4_096,
            )?,
            peer_threads: object.number_or("peer_threads", default.peer_threads, 1, 1_024)?,
            requests_max: object.number_or("requests_max", default.requests_max, 1, 1_000_000)?,
            queue_max: object.number_or("queue_max", default.queue_max, 1, 1_000_000)?,
            batch_max: object.number_or("batch_max", default.batch_max, 1, 65_536)?,
            tickets_max: object.number_or("tickets_max", default.tickets_max, 1, 10_000_000)?,
        })
    }
}
