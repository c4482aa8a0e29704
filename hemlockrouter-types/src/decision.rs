//! The record of one routing or placement decision.
//!
//! Decision packages return these among their commands instead of logging, since they do no I/O.
//! The daemon writes one JSON line for each.

use std::borrow::Cow;

use derive_more::Display;
use serde::Serialize;

/// One routing or placement decision, for one log line.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{what} {subject}: chose {chosen}, passed over {passed_over}, because {why}")]
pub struct Decision {
    /// What kind of decision it was, for example `search` or `take_over`.
    pub what: &'static str,
    /// The id of what was decided about.
    pub subject: String,
    /// What was chosen.
    pub chosen: String,
    /// What was passed over.
    pub passed_over: String,
    /// Why, in a few words.
    pub why: Cow<'static, str>,
    /// How long the matter decided about took or waited, in milliseconds.
    pub took_ms: u64,
}
