//! Network round trip to the owner of an upstream.
//!
//! An owner works on the request with the earliest deadline first, and that is often one that can
//! only just be finished in time. If the network delay were not subtracted from the deadline, the
//! reply to exactly this request would come back late. The minimum of recent round trips is used:
//! one delayed message says nothing about the next one, and no work is given up because of it.

use hemlockrouter_types::prelude::*;

/// Length of one measuring window in milliseconds. The minimum covers the current and the previous
/// window, so a round trip that has grown is known after two windows.
const WINDOW_MS: u64 = 5_000;

/// Minimum of the recent round trips to the owner of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoundTrip {
    window_start: Time,
    current_window_ms: Option<u64>,
    previous_window_ms: Option<u64>,
}

impl RoundTrip {
    /// Records a round trip in milliseconds that ended at `now`.
    pub(crate) fn record(&mut self, now: Time, round_trip_ms: u64) {
        if now.ms_since(self.window_start) >= WINDOW_MS {
            self.window_start = now;
            self.previous_window_ms = self.current_window_ms.take();
        }
        let min_ms = self
            .current_window_ms
            .map_or(round_trip_ms, |current| current.min(round_trip_ms));
        self.current_window_ms = Some(min_ms);
    }

    /// Returns the minimum of the recent round trips in milliseconds, or 0 if none is known.
    pub(crate) fn min_ms(&self) -> u64 {
        let min_ms = self
            .current_window_ms
            .into_iter()
            .chain(self.previous_window_ms)
            .min();
        min_ms.unwrap_or(0)
    }
}
