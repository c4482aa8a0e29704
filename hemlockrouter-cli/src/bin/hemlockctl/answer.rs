//! What instances answer.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

/// The condition of an instance that has ended.
const DEAD: &str = "dead";

/// The answer to an accepted or checked note.
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
    /// The text as its author wrote it, unless it was pruned.
    #[serde(default)]
    pub(crate) document: Option<String>,
}

/// The accepted notes.
#[derive(Debug, Deserialize)]
pub(crate) struct NoteRows {
    pub(crate) notes: Vec<NoteRow>,
}

/// What an instance knows.
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

/// An instance, as another one knows it.
#[derive(Debug, Deserialize)]
pub(crate) struct InstanceRow {
    pub(crate) instance: String,
    pub(crate) zone: String,
    pub(crate) address: String,
    pub(crate) condition: String,
    pub(crate) config: Option<u64>,
    pub(crate) heard_ms_ago: Option<u64>,
}

/// An upstream, as an instance knows it.
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

/// Where the sub-requests of a search would go.
#[derive(Debug, Deserialize)]
pub(crate) struct Explain {
    pub(crate) config: u64,
    pub(crate) shards: Vec<ExplainShard>,
}

/// Where one shard's sub-request would go.
#[derive(Debug, Deserialize)]
pub(crate) struct ExplainShard {
    pub(crate) shard: String,
    pub(crate) upstream: Option<String>,
    pub(crate) owner: Option<String>,
    pub(crate) why: String,
    #[serde(default)]
    pub(crate) passed_over: Vec<PassedOver>,
}

/// An upstream that was not chosen.
#[derive(Debug, Deserialize)]
pub(crate) struct PassedOver {
    pub(crate) upstream: String,
    pub(crate) why: String,
}

/// How many of the known instances have a configuration in force.
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
    /// Counts the instances that have `number` or a later one in force. The answering instance
    /// may or may not list itself; those that have ended don't count.
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

/// Why an instance refused.
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
    /// Reads a refusal; one of another shape is shown as it came.
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
