//! Timeouts and delays, derived from the bound within which a change must be in force.
//!
//! An instance that receives no changes has to find another source before the bound is over, so
//! each step may take only a part of the bound. The parts of the longest sequence of steps add up
//! to nine tenths:
//!
//! | part of the bound | step |
//! | --- | --- |
//! | 0.5 | detecting that the copy of the registry is stale |
//! | 0.1 | asking all relays |
//! | 0.1 | asking the registry itself, after a delay that spreads the calls of instances |
//! | 0.2 | offering a new reader to the relays, and three steps to all other instances |

/// Timeouts and delays of the calls that follow the registry, all derived from one bound.
#[derive(Clone, Copy, Debug)]
pub struct RegistryTiming {
    in_force_bound_ms: u64,
    catch_up_ms: u64,
}

/// Longest delay between two watches of the registry, in milliseconds. Changes come in batches.
const WATCH_PAUSE_MAX_MS: u64 = 500;

/// Longest time to wait for answers when all relays are asked at once, in milliseconds: many times
/// the round trip between regions.
const SEARCH_TIMEOUT_MAX_MS: u64 = 500;

/// Longest delay before an instance that reads for others calls the registry again after a failure,
/// in milliseconds.
const READER_RETRY_PAUSE_MAX_MS: u64 = 1_000;

/// Longest delay after the first failed call of an instance that does not read the registry for
/// others, in milliseconds.
const FIRST_RETRY_PAUSE_MAX_MS: u64 = 1_000;

/// Longest delay between failed calls of an instance that does not read the registry for others, in
/// milliseconds.
const RETRY_PAUSE_MAX_MS: u64 = 4_000;

impl RegistryTiming {
    /// Creates the timing for a bound of `in_force_bound_ms` milliseconds within which a change
    /// must be in force. After an outage of the registry, every instance catches up with it within
    /// `catch_up_ms` milliseconds.
    pub fn new(in_force_bound_ms: u64, catch_up_ms: u64) -> RegistryTiming {
        RegistryTiming {
            in_force_bound_ms,
            catch_up_ms,
        }
    }

    /// Returns the age beyond which a copy of the registry is stale, in milliseconds.
    pub(super) fn stale_after_ms(&self) -> u64 {
        self.in_force_bound_ms / 2
    }

    /// Returns how long the registry is asked to wait for a change, in milliseconds.
    pub(super) fn watch_wait_ms(&self) -> u64 {
        self.in_force_bound_ms / 4
    }

    /// Returns how much longer than its wait a call to the registry may take, in milliseconds.
    pub(super) fn watch_slack_ms(&self) -> u64 {
        self.in_force_bound_ms / 4
    }

    /// Returns the delay between two watches of the registry, in milliseconds.
    pub fn watch_pause_ms(&self) -> u64 {
        (self.in_force_bound_ms / 8).min(WATCH_PAUSE_MAX_MS)
    }

    /// Returns how long a relay is asked to wait for changes, in milliseconds. A relay that is in
    /// touch with the registry has some before that.
    pub(super) fn relay_wait_ms(&self) -> u64 {
        self.in_force_bound_ms * 2 / 5
    }

    /// Returns how long a search of all relays waits for answers, in milliseconds. A single call to
    /// a relay may exceed its wait by the same time.
    pub(super) fn search_timeout_ms(&self) -> u64 {
        (self.in_force_bound_ms / 10).min(SEARCH_TIMEOUT_MAX_MS)
    }

    /// Returns the time over which instances spread their calls when they turn to the registry
    /// together, in milliseconds.
    pub(super) fn call_spread_ms(&self) -> u64 {
        self.in_force_bound_ms / 16
    }

    /// Returns the interval at which a better source than the current one is looked for, in
    /// milliseconds.
    pub(super) fn review_interval_ms(&self) -> u64 {
        self.in_force_bound_ms
    }

    /// Returns how long the offer of an instance to be a relay is remembered, in milliseconds.
    pub(super) fn offer_lifetime_ms(&self) -> u64 {
        self.in_force_bound_ms * 4
    }

    /// Returns the longest delay before an instance that reads for others calls the registry again
    /// after a failure, in milliseconds.
    pub(super) fn reader_retry_pause_max_ms(&self) -> u64 {
        (self.in_force_bound_ms / 6).min(READER_RETRY_PAUSE_MAX_MS)
    }

    /// Returns the delay after the first failed call of an instance that does not read for others,
    /// in milliseconds. The delay doubles with each further failure.
    pub(super) fn follower_retry_pause_min_ms(&self) -> u64 {
        (self.in_force_bound_ms / 8).min(FIRST_RETRY_PAUSE_MAX_MS)
    }

    /// Returns the longest delay between failed calls of an instance that does not read for others,
    /// in milliseconds. Jitter may add a quarter to it.
    pub(super) fn follower_retry_pause_max_ms(&self) -> u64 {
        (self.catch_up_ms * 4 / 5).clamp(1, RETRY_PAUSE_MAX_MS)
    }
}
