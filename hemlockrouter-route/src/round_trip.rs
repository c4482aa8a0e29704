//! The way to an upstream's owner and back.
//!
//! An owner works on what is due first, which is what can just be finished in time. Without the way
//! back taken off its deadline, exactly this work comes back late. The least recent way is taken: one
//! message that was held up says nothing about the next, and work is not given up for it.

use hemlockrouter_types::prelude::*;

/// The least way is that of the current span of this many milliseconds and of the one before, so a
/// way that grew is known after two.
const SPAN_MS: u64 = 5_000;

/// The least recent round trip to the owner of one upstream.
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

    /// Returns the least recent round trip in milliseconds, or 0 if none is known.
    pub(crate) fn least_ms(&self) -> u64 {
        let least_ms = self.current_ms.into_iter().chain(self.before_ms).min();
        least_ms.unwrap_or(0)
    }
}
