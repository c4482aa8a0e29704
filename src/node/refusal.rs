//! Refusal of a sub-request by an instance, either its sender or the owner of its upstream.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;

/// Delay before a retry of a sub-request that an instance refused because it could not accept the
/// sub-request, or could not reach the upstream or its owner, in milliseconds.
const REFUSAL_RETRY_AFTER_MS: u32 = 200;

/// Builds the outcome of a sub-request that did not run.
pub(crate) fn refused_outcome(reason: RefusalReason) -> SubRequestOutcome {
    SubRequestOutcome::NotRun(Refusal {
        reason,
        retry_after_ms: REFUSAL_RETRY_AFTER_MS,
    })
}
