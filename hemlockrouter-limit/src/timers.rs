//! When upstreams need attention.
//!
//! An upstream is listed under its next instant only. Upstreams are grouped by the millisecond, of
//! which there are no more than lie between now and the latest deadline, so the cost of a timer does
//! not grow with the number of upstreams.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

/// Upstreams by the instant at which they need attention.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeMap<Time, Vec<UpstreamKey>>,
}

impl Timers {
    /// Lists `upstream` under `at`.
    pub(crate) fn set(&mut self, at: Time, upstream: UpstreamKey) {
        self.due.entry(at).or_default().push(upstream);
    }

    /// Returns the first instant that is listed.
    pub(crate) fn next(&self) -> Option<Time> {
        self.due.first_key_value().map(|(&at, _)| at)
    }

    /// Takes out one instant that is due, with its upstreams.
    pub(crate) fn pop(&mut self, now: Time) -> Option<(Time, Vec<UpstreamKey>)> {
        let entry = self.due.first_entry()?;
        if *entry.key() > now {
            return None;
        }
        Some(entry.remove_entry())
    }
}
