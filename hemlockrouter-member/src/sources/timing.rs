//! How the ages and limits of calls follow from the time within which a change must be in force.
//!
//! An instance that hears nothing new finds another way before the bound is over, so what every step
//! may take is a part of it. The parts of the longest way add up to nine tenths:
//!
//! | part of the bound | for |
//! | --- | --- |
//! | 0.5 | noticing that what is known is stale |
//! | 0.1 | asking all relays |
//! | 0.1 | asking the registry itself, after a moment that spreads the calls |
//! | 0.2 | telling the relays of a new reader, and three steps to all others |

/// Ages and limits of calls, from the bound on how soon a change is in force.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    bound_ms: u64,
    catch_up_ms: u64,
}

/// The longest pause between two watches, in milliseconds: changes come in batches.
const PACE_MAX_MS: u64 = 500;

/// The longest time for which relays are asked all at once, in milliseconds: many times the way between
/// regions and back.
const SEARCH_MAX_MS: u64 = 500;

/// The longest pause of an instance that reads for others and that the registry does not answer, in
/// milliseconds.
const READER_PAUSE_MAX_MS: u64 = 1_000;

/// The longest first pause of an instance that is not to read the registry for others, in milliseconds.
const PAUSE_MIN_MAX_MS: u64 = 1_000;

/// The longest pause of an instance that the registry does not answer and that is not to read it for
/// others, in milliseconds.
const PAUSE_MAX_MS: u64 = 4_000;

impl Timing {
    /// Makes the timing of instances in which a change is in force within `bound_ms`, and that know
    /// what the registry holds within `catch_up_ms` after an outage of it.
    pub fn new(bound_ms: u64, catch_up_ms: u64) -> Timing {
        Timing {
            bound_ms,
            catch_up_ms,
        }
    }

    /// Returns the age from which on what is known is stale, in milliseconds.
    pub(super) fn stale_ms(&self) -> u64 {
        self.bound_ms / 2
    }

    /// Returns for how long the registry is asked to wait for a change, in milliseconds.
    pub(super) fn watch_ms(&self) -> u64 {
        self.bound_ms / 4
    }

    /// Returns how much longer than it waits a call to the registry may take, in milliseconds.
    pub(super) fn watch_slack_ms(&self) -> u64 {
        self.bound_ms / 4
    }

    /// Returns the pause between two watches, in milliseconds.
    pub fn pace_ms(&self) -> u64 {
        (self.bound_ms / 8).min(PACE_MAX_MS)
    }

    /// Returns for how long a relay is asked to wait for news, in milliseconds. One that is in touch has
    /// some earlier.
    pub(super) fn relay_wait_ms(&self) -> u64 {
        self.bound_ms * 2 / 5
    }

    /// Returns for how long relays are asked all at once, and how much longer than it waits a call to a
    /// relay may take, in milliseconds.
    pub(super) fn search_ms(&self) -> u64 {
        (self.bound_ms / 10).min(SEARCH_MAX_MS)
    }

    /// Returns the time over which the calls of instances are spread that turn to the registry together,
    /// in milliseconds.
    pub(super) fn spread_ms(&self) -> u64 {
        self.bound_ms / 16
    }

    /// Returns the interval at which is looked for a better way than the one in use, in milliseconds.
    pub(super) fn review_ms(&self) -> u64 {
        self.bound_ms
    }

    /// Returns for how long an instance that offered itself as a relay is remembered, in milliseconds.
    pub(super) fn offer_ms(&self) -> u64 {
        self.bound_ms * 4
    }

    /// Returns the longest pause of an instance that reads for others and that the registry does not
    /// answer, in milliseconds.
    pub(super) fn reader_pause_max_ms(&self) -> u64 {
        (self.bound_ms / 6).min(READER_PAUSE_MAX_MS)
    }

    /// Returns the pause of an instance that does not read for others after the registry first did not
    /// answer, in milliseconds. It doubles each time.
    pub(super) fn pause_min_ms(&self) -> u64 {
        (self.bound_ms / 8).min(PAUSE_MIN_MAX_MS)
    }

    /// Returns the longest pause of an instance that does not read for others and that the registry does
    /// not answer, in milliseconds. It may take a quarter longer.
    pub(super) fn pause_max_ms(&self) -> u64 {
        (self.catch_up_ms * 4 / 5).clamp(1, PAUSE_MAX_MS)
    }
}
