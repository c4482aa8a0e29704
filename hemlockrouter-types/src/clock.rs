//! Instants and durations in milliseconds.
//!
//! Decisions compare only instants on the monotonic clock of one process, because wall clocks step
//! and the clocks of two machines differ. [`Time`] therefore counts from an arbitrary start that is
//! private to the process. Processes send each other remaining durations instead of instants.

use std::ops::Add;
use std::time::Instant;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Instant on the monotonic clock of one process, in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
pub struct Time(u64);

impl Time {
    /// Start of the clock.
    pub const ZERO: Time = Time(0);

    /// Latest instant, which no clock reaches.
    pub const MAX: Time = Time(u64::MAX);

    /// Returns the instant `ms` milliseconds after the start of the clock.
    pub const fn from_ms(ms: u64) -> Time {
        Time(ms)
    }

    /// Returns the milliseconds since the start of the clock.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds from `earlier` to `self`, or 0 if `earlier` is later.
    pub const fn ms_since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds from `now` until `self`, or 0 if `self` has passed.
    pub const fn remaining_ms(self, now: Time) -> u64 {
        self.0.saturating_sub(now.0)
    }

    /// Returns the first instant at which `ms` milliseconds have passed in full since `self` was
    /// read from a clock. Clocks count whole milliseconds, so `self` may have been read up to 1 ms
    /// after the instant that it states.
    pub const fn after_at_least_ms(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms).saturating_add(1))
    }

    /// Returns the instant `ms` milliseconds before `self`, or the start of the clock if that would
    /// be earlier.
    pub const fn minus_ms(self, ms: u64) -> Time {
        Time(self.0.saturating_sub(ms))
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// Adds a duration in milliseconds, saturating at [`Time::MAX`].
    fn add(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms))
    }
}

/// Monotonic clock of this process. Copies of a clock agree with each other.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at [`Time::ZERO`].
    pub fn new() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the current instant.
    pub fn now(&self) -> Time {
        let ms = self.start.elapsed().as_millis();
        Time(u64::try_from(ms).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
