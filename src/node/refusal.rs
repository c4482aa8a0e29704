//! The refusal of a sub-request by an instance, at its sender as at its owner.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubOutcome;

/// When to come back after an instance could not take or reach what a sub-request needs, in
/// milliseconds.
const RETRY_MS: u32 = 200;

/// Makes the outcome of a sub-request that did not run.
pub(crate) fn refuse(reason: Reason) -> SubOutcome {
    SubOutcome::NotRun(Refusal {
        reason,
        retry_after_ms: RETRY_MS,
    })
}
