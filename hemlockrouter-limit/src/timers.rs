//! Timers of the upstreams.
//!
//! Upstreams are grouped by the millisecond at which they must be examined. There are at most as
//! many groups as milliseconds between now and the latest deadline, so the cost of a timer does not
//! grow with the number of upstreams.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

/// Upstreams by the time at which they must be examined.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeMap<Time, Vec<UpstreamKey>>,
}

impl Timers {
    /// Sets a timer for `upstream` at `due_at`.
    pub(crate) fn set(&mut self, due_at: Time, upstream: UpstreamKey) {
        self.due.entry(due_at).or_default().push(upstream);
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn earliest(&self) -> Option<Time> {
        self.due.first_key_value().map(|(&due_at, _)| due_at)
    }

    /// Removes the earliest group of timers if it is due, and returns its time and upstreams.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<(Time, Vec<UpstreamKey>)> {
        let entry = self.due.first_entry()?;
        if *entry.key() > now {
            return None;
        }
        Some(entry.remove_entry())
    }
}
