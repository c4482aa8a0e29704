//! Writes log lines of decisions.
//!
//! Each routing or placement decision is one line of the target `decision`, with its fields as
//! structured values, so that it can be filtered and parsed.

use hemlockrouter_types::prelude::*;
use log::info;

/// Log target of decisions.
const TARGET: &str = "decision";

/// Writes the log line of one decision by the component `role`.
pub(crate) fn decision(role: &'static str, decision: &Decision) {
    info!(
        target: TARGET,
        role = role,
        what = decision.what,
        subject = decision.subject.as_str(),
        chosen = decision.chosen.as_str(),
        passed_over = decision.passed_over.as_str(),
        why = decision.why.as_ref(),
        took_ms = decision.took_ms;
        "decision"
    );
}
