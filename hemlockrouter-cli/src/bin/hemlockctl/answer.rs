//! The responses of instances to calls on their operators' port.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

/// The value of `condition` for an instance that has ended.
const DEAD: &str = "dead";

/// The response to a note that was accepted or checked.
#[derive(Debug, Deserialize)]
pub(crate) struct Number {
    pub(crate) number: u64,
}

/// An accepted note.
#[derive(Debug, Deserialize)]
pub(crate) struct NoteRow {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) author: String,
    /// The note's text as its author wrote it, or `None` if the instance has pruned the text.
    #[serde(default)]
    pub(crate) document: Option<String>,
}

/// The list of the last accepted notes.
#[derive(Debug, Deserialize)]
pub(crate) struct NoteRows {
    pub(crate) notes: Vec<NoteRow>,
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
pub(crate) struct Explain {
    pub(crate) config: u64,
    pub(crate) shards: Vec<ExplainShard>,
}

/// The upstream to which the sub-request for one shard would be sent.
#[derive(Debug, Deserialize)]
pub(crate) struct ExplainShard {
    pub(crate) shard: String,
    pub(crate) upstream: Option<String>,
    pub(crate) owner: Option<String>,
    pub(crate) why: String,
    #[serde(default)]
    pub(crate) passed_over: Vec<PassedOver>,
}

/// An upstream that was not chosen, with the reason.
#[derive(Debug, Deserialize)]
pub(crate) struct PassedOver {
    pub(crate) upstream: String,
    pub(crate) why: String,
}

/// The number of instances that have a configuration in force, and of all known instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct InForce {
    pub(crate) reached: usize,
    pub(crate) known: usize,
}

impl InForce {
    pub(crate) fn everywhere(self) -> bool {
        self.reached == self.known
    }
}

impl Status {
    /// Counts the instances that have configuration `number` or a later one in force. Instances
    /// that have ended are left out. The answering instance is counted once, whether or not it
    /// lists itself.
    pub(crate) fn in_force(&self, number: u64) -> InForce {
        let others = self.instances.iter();
        let others = others.filter(|row| row.condition != DEAD && row.instance != self.instance);
        let mut in_force = InForce {
            reached: usize::from(self.config >= number),
            known: 1,
        };
        for row in others {
            in_force.known += 1;
            in_force.reached += usize::from(row.config.is_some_and(|config| config >= number));
        }
        in_force
    }
}

/// The error response of an instance.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Refusal {
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

impl Refusal {
    /// Parses an error response. If `body` has another form, the whole body becomes the code.
    pub(crate) fn read(body: &Value) -> Refusal {
        serde_json::from_value(body.clone()).unwrap_or_else(|_| Refusal {
            code: body.as_str().map_or_else(|| body.to_string(), String::from),
            ..Refusal::default()
        })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.code)?;
        if let Some(message) = &self.message {
            write!(f, ": {message}")?;
        }
        if let Some(retry_after_ms) = self.retry_after_ms {
            write!(f, " (come back in {retry_after_ms} ms)")?;
        }
        Ok(())
    }
}
