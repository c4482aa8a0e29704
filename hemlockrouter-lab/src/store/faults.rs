//! The faults that can be injected into the simulated store.

use serde::Deserialize;
use serde::Serialize;

/// The faults of the simulated store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call, including blocking reads that wait, fails with status 500.
    pub down: bool,
    /// Whether calls get no answer. When the fault is cleared, the calls that it held back fail.
    pub hang: bool,
    /// Delay of every answer, in milliseconds.
    pub delay_ms: u64,
    /// Interval, in writes, at which a write takes effect but its answer is lost; 0 loses none.
    pub lose_answers_every: u64,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Whether reads of keys return the data as of the time when this fault was set.
    pub stale_reads: bool,
}
