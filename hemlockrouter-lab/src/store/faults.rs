//! What goes wrong with the store's stand-in.

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with status 500, and waiting reads fail too.
    pub down: bool,
    /// No call is answered until this is cleared; then they fail.
    pub hang: bool,
    /// Every answer is this late, in milliseconds.
    pub delay_ms: u64,
    /// One in so many writes takes effect without an answer; 0 for none.
    pub lose_answers_every: u64,
    /// The list shows changes this late, in milliseconds.
    pub list_lag_ms: u64,
    /// Reads of keys see what was stored when this was set.
    pub stale_reads: bool,
}
