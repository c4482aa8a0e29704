//! The responses of instances to calls on their operators' port.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

/// The value of `condition` for an instance that has ended.
const CONDITION_DEAD: &str = "dead";

/// The response to a note that was accepted or checked.
#[derive(Debug, Deserialize)]
pub(crate) struct NoteNumber {
    pub(crate) number: u64,
}

/// An accepted note.
#[derive(Debug, Deserialize)]
pub(crate) struct AcceptedNote {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) author: String,
    /// The note's text as its author wrote it, or `None` if the instance has pruned the text.
    #[serde(default)]
    pub(crate) document: Option<String>,
}

/// The list of the last accepted notes.
#[derive(Debug, Deserialize)]
pub(crate) struct AcceptedNotes {
    pub(crate) notes: Vec<AcceptedNote>,
}

/// The status of an instance, with its view of other instances and of upstreams.
#[derive(Debug, Deserialize)]
pub(crate) struct Status {
    pub(crate) instance: String,
    pub(crate) zone: String,
    pub(crate) config: u64,
    pub(crate) ready: bool,
    pub(crate) store: String,
    pub(crate) instances: Vec<InstanceRow>,
    pub(crate) upstreams: Vec<UpstreamRow>,
}

/// The state of an instance, as seen by the instance that answers.
#[derive(Debug, Deserialize)]
pub(crate) struct InstanceRow {
    pub(crate) instance: String,
    pub(crate) zone: String,
    pub(crate) address: String,
    pub(crate) condition: String,
    pub(crate) config: Option<u64>,
    pub(crate) heard_ms_ago: Option<u64>,
}

/// The state of an upstream, as seen by the instance that answers.
#[derive(Debug, Deserialize)]
pub(crate) struct UpstreamRow {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) owner: Option<String>,
    #[serde(default)]
    pub(crate) owned_here: bool,
    #[serde(default)]
    pub(crate) limit: Option<u32>,
    #[serde(default)]
    pub(crate) in_flight: Option<u32>,
    #[serde(default)]
    pub(crate) queued: Option<u32>,
    #[serde(default)]
    pub(crate) cold: Option<bool>,
}

/// The upstreams to which the sub-requests of a search would be sent.
#[derive(Debug, Deserialize)]
pub(crate) struct SearchExplanation {
    pub(crate) config: u64,
    pub(crate) shards: Vec<ShardExplanation>,
}

/// The upstream to which the sub-request for one shard would be sent.
#[derive(Debug, Deserialize)]
pub(crate) struct ShardExplanation {
    pub(crate) shard: String,
    pub(crate) upstream: Option<String>,
    pub(crate) owner: Option<String>,
    pub(crate) why: String,
    #[serde(default)]
    pub(crate) passed_over: Vec<RejectedUpstream>,
}

/// An upstream that was not chosen, with the reason.
#[derive(Debug, Deserialize)]
pub(crate) struct RejectedUpstream {
    pub(crate) upstream: String,
    pub(crate) why: String,
}

/// The number of instances that have a configuration in force, and of all known instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct InForceCount {
    pub(crate) reached_count: usize,
    pub(crate) known_count: usize,
}

impl InForceCount {
    pub(crate) fn is_everywhere(self) -> bool {
        self.reached_count == self.known_count
    }
}

impl Status {
    /// Counts the instances that have configuration `number` or a later one in force. Instances
    /// that have ended are left out. The answering instance is counted once, whether or not it
    /// lists itself.
    pub(crate) fn in_force_count(&self, number: u64) -> InForceCount {
        let others = self.instances.iter();
        let others =
            others.filter(|row| row.condition != CONDITION_DEAD && row.instance != self.instance);
        let mut in_force_count = InForceCount {
            reached_count: usize::from(self.config >= number),
            known_count: 1,
        };
        for row in others {
            in_force_count.known_count += 1;
            in_force_count.reached_count +=
                usize::from(row.config.is_some_and(|config| config >= number));
        }
        in_force_count
    }
}

/// The error response of an instance.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct ErrorResponse {
    #[serde(default)]
    pub(crate) code: String,
    #[serde(default)]
    pub(crate) message: Option<String>,
    #[serde(default)]
    pub(crate) line: Option<usize>,
    #[serde(default)]
    pub(crate) number: Option<u64>,
    #[serde(default)]
    pub(crate) id: Option<String>,
    #[serde(default)]
    pub(crate) author: Option<String>,
    #[serde(default)]
    pub(crate) maybe: bool,
    #[serde(default)]
    pub(crate) retry_after_ms: Option<u64>,
}

impl ErrorResponse {
    /// Parses an error response. If `body` has another form, the whole body becomes the code.
    pub(crate) fn read(body: &Value) -> ErrorResponse {
        serde_json::from_value(body.clone()).unwrap_or_else(|_| ErrorResponse {
            code: body.as_str().map_or_else(|| body.to_string(), String::from),
            ..ErrorResponse::default()
        })
    }
}

impl fmt::Display for ErrorResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.code)?;
        if let Some(message) = &self.message {
            write!(f, ": {message}")?;
        }
        if let Some(retry_after_ms) = self.retry_after_ms {
            write!(f, " (retry in {retry_after_ms} ms)")?;
        }
        Ok(())
    }
}
