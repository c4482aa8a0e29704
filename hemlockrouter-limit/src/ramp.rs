//! The cold-start ramp of one upstream.
//!
//! Health endpoints lag and mislead, so the ramp follows answers alone. The limit begins at one
//! request, doubles after a window of timely answers, and stays at the cold bound until the cold
//! start is over. It halves when the upstream sheds or too many answers of a window are late, and
//! falls back to one when the upstream looks cold again.
//!
//! Whether an answer is late is judged against the usual time of this upstream, which outlives a
//! cold start. Where it is not known yet, answers set it, but they may themselves be slow ones of a
//! cold start; the cold bound then holds for a minimum time too.

use hemlockrouter_types::prelude::*;

use crate::config::Config;

/// What an event did to the ramp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// Nothing that is worth a log line.
    None,
    /// The upstream was taken for cold.
    Cold,
    /// The cold start is over.
    Warm,
    /// The limit was halved.
    Halved,
}

/// The ramp of one upstream.
#[derive(Debug)]
pub(crate) struct Ramp {
    limit: u32,
    slots: u32,
    cold_slots: u32,
    cold_since: Option<Time>,
    /// Mean of answers that were not late, in eighths of a millisecond; 0 if unknown.
    usual_x8: u64,
    /// Whether the usual time was learned while warm.
    trusted: bool,
    timely: u32,
    late: u32,
    /// Timely answers since the upstream was taken for cold or was late.
    run: u32,
    /// Answers in a row that were late, with the sum of their times.
    late_run: u32,
    late_sum_ms: u64,
    late_since: Time,
}

impl Ramp {
    /// Makes the ramp of an upstream that is unknown, and therefore cold.
    pub(crate) fn new(now: Time, slots: u32, cold_slots: u32) -> Ramp {
        let mut ramp = Ramp {
            limit: 1,
            slots: 1,
            cold_slots: 1,
            cold_since: Some(now),
            usual_x8: 0,
            trusted: false,
            timely: 0,
            late: 0,
            run: 0,
            late_run: 0,
            late_sum_ms: 0,
            late_since: now,
        };
        ramp.resize(slots, cold_slots);
        ramp
    }

    /// Takes new sizes from the catalogue.
    pub(crate) fn resize(&mut self, slots: u32, cold_slots: u32) {
        self.slots = slots.max(1);
        self.cold_slots = cold_slots.clamp(1, self.slots);
        self.limit = self.limit.min(self.bound());
    }

    /// Returns how many requests may be in flight.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the upstream is taken for cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// Returns the time in milliseconds above which an answer is late, if the usual time is known.
    pub(crate) fn late_above_ms(&self, config: &Config) -> Option<u64> {
        if self.usual_x8 == 0 {
            return None;
        }
        let usual_ms = self.usual_x8 / 8;
        let by_factor = usual_ms * u64::from(config.late_after);
        Some(by_factor.max(usual_ms + u64::from(config.late_slack_ms)))
    }

    /// Takes the upstream for cold.
    pub(crate) fn cool(&mut self, now: Time) -> Change {
        let was_cold = self.is_cold();
        self.limit = 1;
        self.cold_since = Some(now);
        self.run = 0;
        self.restart_window();
        if was_cold {
            Change::None
        } else {
            Change::Cold
        }
    }

    /// Halves the limit.
    pub(crate) fn halve(&mut self) -> Change {
        self.run = 0;
        self.restart_window();
        if self.limit == 1 {
            return Change::None;
        }
        self.limit = (self.limit / 2).max(1);
        Change::Halved
    }

    /// Takes in an answer, or a wait without one, of `served_ms`.
    pub(crate) fn observe(&mut self, now: Time, served_ms: u32, config: &Config) -> Change {
        let late = self
            .late_above_ms(config)
            .is_some_and(|above| u64::from(served_ms) > above);
        if late {
            return self.observe_late(now, served_ms, config);
        }
        self.late_run = 0;
        self.late_sum_ms = 0;
        self.timely += 1;
        self.run += 1;
        self.learn(served_ms);
        if self.warmed(now, config) {
            self.cold_since = None;
            self.trusted = true;
            self.restart_window();
            self.limit = (self.limit * 2).min(self.slots);
            return Change::Warm;
        }
        self.end_window(config)
    }

    fn observe_late(&mut self, now: Time, served_ms: u32, config: &Config) -> Change {
        if self.late_run == 0 {
            self.late_since = now;
        }
        self.late_run += 1;
        self.late_sum_ms += u64::from(served_ms);
        self.late += 1;
        if self.settled(now, config) {
            self.usual_x8 = self.late_sum_ms * 8 / u64::from(self.late_run);
            self.late_run = 0;
            self.late_sum_ms = 0;
            self.restart_window();
            return Change::None;
        }
        if self.is_cold() {
            return self.halve();
        }
        if self.late >= config.window.max(2) / 2 && self.late > self.timely {
            return self.cool(now);
        }
        self.end_window(config)
    }

    /// Returns whether answers were slower for so long that this is the usual time now.
    fn settled(&self, now: Time, config: &Config) -> bool {
        self.late_run >= 2 * config.warm_after
            && now.since(self.late_since) >= u64::from(config.settle_ms)
    }

    fn warmed(&self, now: Time, config: &Config) -> bool {
        let Some(since) = self.cold_since else {
            return false;
        };
        self.limit == self.cold_slots
            && self.run >= config.warm_after
            && (self.trusted || now.since(since) >= u64::from(config.settle_ms))
    }

    fn end_window(&mut self, config: &Config) -> Change {
        let seen = self.timely + self.late;
        if seen < config.window.max(self.limit) {
            return Change::None;
        }
        let too_late = self.late * 4 >= seen;
        self.restart_window();
        if too_late {
            return self.halve();
        }
        self.limit = (self.limit * 2).min(self.bound());
        Change::None
    }

    fn learn(&mut self, served_ms: u32) {
        let sample_x8 = u64::from(served_ms.max(1)) * 8;
        if self.usual_x8 == 0 {
            self.usual_x8 = sample_x8;
            return;
        }
        self.usual_x8 = (self.usual_x8 * 7 + sample_x8) / 8;
    }

    fn restart_window(&mut self) {
        self.timely = 0;
        self.late = 0;
    }

    fn bound(&self) -> u32 {
        if self.is_cold() {
            self.cold_slots
        } else {
            self.slots
        }
    }
}
