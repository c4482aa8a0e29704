//! The cold-start ramp of one upstream.
//!
//! Health endpoints lag and mislead, so the ramp follows answers alone. The limit begins at one
//! request and grows after each window of timely answers, up to the cold bound until the cold start
//! is over and up to all slots then. It halves when the upstream sheds or too many answers of a
//! window are late, and falls back to one when the upstream looks cold again.
//!
//! That a cold start is over shows in one of three ways. Where the usual time of the warm upstream is
//! known, answers take about that again. Where it is not, they take less than half of what they took
//! at first. Failing both, they have been equally slow for so long that this is the usual time now.
//! If the upstream turns cold again soon afterwards, the last way was wrong and needs twice the time.

use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::config::Growth;
use crate::mean::Mean;
use crate::mean::Run;

/// The longest time to which the settling time doubles, in milliseconds.
const SETTLE_MAX_MS: u64 = 60_000;

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
    /// How long answers take when the upstream is warm. It outlives a cold start.
    usual: Mean,
    phase: Phase,
    window: Window,
    /// How often the settling time is doubled.
    doublings: u32,
}

#[derive(Debug)]
enum Phase {
    Cold(Cold),
    Warm { since: Time, settled: bool },
}

/// What was seen of a cold start.
#[derive(Debug)]
struct Cold {
    since: Time,
    /// How long answers take in this cold start.
    usual: Mean,
    run: Run,
    first_ms: Option<u64>,
    last_ms: Option<u64>,
}

/// Answers since the limit changed.
#[derive(Debug, Default)]
struct Window {
    timely: u32,
    late: u32,
}

impl Ramp {
    /// Makes the ramp of an upstream that is unknown, and therefore cold.
    pub(crate) fn new(now: Time, slots: u32, cold_slots: u32) -> Ramp {
        let mut ramp = Ramp {
            limit: 1,
            slots: 1,
            cold_slots: 1,
            usual: Mean::default(),
            phase: Phase::Cold(Cold::new(now)),
            window: Window::default(),
            doublings: 0,
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

    /// Takes a usual time that was learned elsewhere, unless one is known.
    pub(crate) fn hint(&mut self, usual_ms: u32) {
        if self.usual.ms().is_none() {
            self.usual.observe(u64::from(usual_ms));
        }
    }

    /// Returns how many requests may be in flight.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the upstream is taken for cold.
    pub(crate) fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold(_))
    }

    /// Returns the time in milliseconds above which an answer is late, if the usual time is known.
    pub(crate) fn late_above_ms(&self, config: &Config) -> Option<u64> {
        let usual_ms = match &self.phase {
            Phase::Cold(cold) => cold.usual.ms()?,
            Phase::Warm { .. } => self.usual.ms()?,
        };
        let by_factor = usual_ms * u64::from(config.late_after);
        Some(by_factor.max(usual_ms + u64::from(config.late_slack_ms)))
    }

    /// Takes the upstream for cold.
    pub(crate) fn cool(&mut self, now: Time, config: &Config) -> Change {
        let was_cold = self.is_cold();
        if let Phase::Warm { since, settled } = self.phase {
            self.judge_settling(now.since(since), settled, config);
        }
        self.limit = 1;
        self.phase = Phase::Cold(Cold::new(now));
        self.window = Window::default();
        if was_cold {
            Change::None
        } else {
            Change::Cold
        }
    }

    /// Halves the limit.
    pub(crate) fn halve(&mut self) -> Change {
        if let Phase::Cold(cold) = &mut self.phase {
            cold.run = Run::default();
        }
        self.window = Window::default();
        if self.limit == 1 {
            return Change::None;
        }
        self.limit /= 2;
        Change::Halved
    }

    /// Takes in an answer, or a wait without one, of `served_ms`.
    pub(crate) fn observe(&mut self, now: Time, served_ms: u32, config: &Config) -> Change {
        let served_ms = u64::from(served_ms);
        let above_ms = self.late_above_ms(config);
        if above_ms.is_some_and(|above_ms| served_ms > above_ms) {
            return self.observe_late(now, served_ms, config);
        }
        self.window.timely += 1;
        match &mut self.phase {
            Phase::Cold(cold) => {
                cold.usual.observe(served_ms);
                cold.run.observe(served_ms);
            }
            Phase::Warm { .. } => self.usual.observe(served_ms),
        }
        if let Some(warm) = self.warmed(now, config) {
            return self.warm(now, warm);
        }
        self.end_window(config)
    }

    fn observe_late(&mut self, now: Time, served_ms: u64, config: &Config) -> Change {
        self.window.late += 1;
        if let Phase::Cold(cold) = &mut self.phase {
            // Slowly, lest one early answer that was quick by chance makes all others late.
            cold.usual.observe(served_ms);
            return self.halve();
        }
        if self.window.late * 2 > self.window_size(config) {
            return self.cool(now, config);
        }
        self.end_window(config)
    }

    /// Ends a run of answers in a cold start. Returns what shows that the cold start is over.
    fn warmed(&mut self, now: Time, config: &Config) -> Option<Warmed> {
        let settle_ms = self.settle_ms(config);
        let known_ms = self.usual.ms();
        let Phase::Cold(cold) = &mut self.phase else {
            return None;
        };
        if cold.run.count() < config.warm_after || self.limit < self.cold_slots {
            return None;
        }
        let run_ms = std::mem::take(&mut cold.run).mean_ms();
        let first_ms = *cold.first_ms.get_or_insert(run_ms);
        let last_ms = cold.last_ms.replace(run_ms);
        if known_ms.is_some_and(|known_ms| run_ms <= known_ms + known_ms / 2 + 1) {
            return Some(Warmed::AsUsual);
        }
        if known_ms.is_none() && run_ms * 2 < first_ms {
            return Some(Warmed::Faster { run_ms });
        }
        let steady = last_ms.is_some_and(|last_ms| run_ms * 4 >= last_ms * 3);
        if steady && now.since(cold.since) >= settle_ms {
            return Some(Warmed::Settled { run_ms });
        }
        None
    }

    fn warm(&mut self, now: Time, warmed: Warmed) -> Change {
        match warmed {
            Warmed::AsUsual => {}
            Warmed::Faster { run_ms } | Warmed::Settled { run_ms } => self.usual.reset(run_ms),
        }
        let settled = matches!(warmed, Warmed::Settled { .. });
        self.phase = Phase::Warm {
            since: now,
            settled,
        };
        self.window = Window::default();
        Change::Warm
    }

    fn end_window(&mut self, config: &Config) -> Change {
        let seen = self.window.timely + self.window.late;
        if seen < self.window_size(config) {
            return Change::None;
        }
        let too_late = self.window.late * 4 >= seen;
        self.window = Window::default();
        if too_late {
            return self.halve();
        }
        let grown = match config.growth {
            Growth::Double => self.limit * 2,
            Growth::Add => self.limit + 1,
            Growth::Jump => u32::MAX,
        };
        self.limit = grown.min(self.bound());
        Change::None
    }

    /// Lengthens the settling time if it ended the last cold start wrongly.
    fn judge_settling(&mut self, warm_ms: u64, settled: bool, config: &Config) {
        if settled && warm_ms < self.settle_ms(config) {
            self.doublings += 1;
            self.usual = Mean::default();
        } else {
            self.doublings = 0;
        }
    }

    /// Returns how long equally slow answers must last to be taken for usual, in milliseconds.
    fn settle_ms(&self, config: &Config) -> u64 {
        let base_ms = match self.usual.ms() {
            Some(_) => config.slower_ms,
            None => config.settle_ms,
        };
        let doubled_ms = u64::from(base_ms) << self.doublings.min(16);
        doubled_ms.min(SETTLE_MAX_MS)
    }

    fn window_size(&self, config: &Config) -> u32 {
        config.window.max(self.limit)
    }

    fn bound(&self) -> u32 {
        if self.is_cold() {
            self.cold_slots
        } else {
            self.slots
        }
    }
}

/// What showed that a cold start is over.
enum Warmed {
    /// Answers take about the usual time.
    AsUsual,
    /// Answers take less than half of what they took at first.
    Faster { run_ms: u64 },
    /// Answers have taken the same time for long.
    Settled { run_ms: u64 },
}

impl Cold {
    fn new(now: Time) -> Cold {
        Cold {
            since: now,
            usual: Mean::default(),
            run: Run::default(),
            first_ms: None,
            last_ms: None,
        }
    }
}
