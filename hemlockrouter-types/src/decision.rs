//! Record of one routing or placement decision.
//!
//! Decision packages do no I/O, so they return these records among their commands instead of
//! logging them. The daemon writes each record as one line of JSON.

use std::borrow::Cow;

use derive_more::Display;
use serde::Serialize;

/// Routing or placement decision, written as one log line.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{what} {subject}: chose {chosen}, passed over {passed_over}, because {why}")]
pub struct Decision {
    /// Kind of the decision, for example `search` or `take_over`.
    pub what: &'static str,
    /// Id of the object that the decision is about.
    pub subject: String,
    /// Alternative that was chosen.
    pub chosen: String,
    /// Alternatives that were not chosen.
    pub passed_over: String,
    /// Reason for the decision, in a few words.
    pub why: Cow<'static, str>,
    /// Duration of the operation that the decision is about, or how long it waited, in
    /// milliseconds.
    pub took_ms: u64,
}
