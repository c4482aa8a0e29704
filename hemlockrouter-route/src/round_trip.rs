//! Network round trip to the owner of an upstream.
//!
//! An owner works on the request with the earliest deadline first, and that is often one that can
//! only just be finished in time. If the network delay were not subtracted from the deadline, the
//! reply to exactly this request would come back late. The minimum of recent round trips is used:
//! one delayed message says nothing about the next one, and no work is given up because of it.

use hemlockrouter_types::prelude::*;

/// Length of one measuring window in milliseconds. The minimum covers the current and the previous
/// window, so a round trip that has grown is known after two windows.
const SPAN_MS: u64 = 5_000;

/// Minimum of the recent round trips to the owner of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoundTrip {
    since: Time,
    current_ms: Option<u64>,
    before_ms: Option<u64>,
}

impl RoundTrip {
    /// Records a round trip in milliseconds that ended at `now`.
    pub(crate) fn record(&mut self, now: Time, way_ms: u64) {
        if now.since(self.since) >= SPAN_MS {
            self.since = now;
            self.before_ms = self.current_ms.take();
        }
        let least_ms = self.current_ms.map_or(way_ms, |least| least.min(way_ms));
        self.current_ms = Some(least_ms);
    }

    /// Returns the minimum of the recent round trips in milliseconds, or 0 if none is known.
    pub(crate) fn least_ms(&self) -> u64 {
        let least_ms = self.current_ms.into_iter().chain(self.before_ms).min();
        least_ms.unwrap_or(0)
    }
}
