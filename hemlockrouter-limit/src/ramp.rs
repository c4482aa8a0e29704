//! The cold-start ramp of one upstream.
//!
//! Health endpoints lag and mislead, so the ramp follows answers alone. The limit begins at one
//! request and grows after each window of timely answers, up to the cold bound until the cold start
//! is over and up to all slots then. It halves when the upstream sheds or too many answers of a
//! window are late, and falls back to one when the upstream looks cold again.
//!
//! That a cold start is over shows in one of three ways. Where the usual time of the warm upstream is
//! known, answers take about that again. Where it is not, they take little more than half of what
//! they took before. Failing both, they have been equally slow for so long that this is the usual
//! time now. If the upstream fails again soon afterwards, its cold start was not over: the usual times
//! are forgotten, and the last way needs twice the time.

use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::config::Growth;
use crate::history::History;
use crate::mean::Run;
use crate::window::Window;

/// The longest time to which the settling time doubles, in milliseconds.
const SETTLE_MAX_MS: u64 = 60_000;

/// Up to how many per cent of the usual time the answers of a warm upstream take on average.
const USUAL_PERCENT: u64 = 150;

/// Up to how many per cent of the time in a cold start so far answers take once it is over.
const FASTER_PERCENT: u64 = 60;

/// From how many per cent on of the time in a cold start so far answers do not get faster.
const STEADY_PERCENT: u64 = 80;

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
    phase: Phase,
    window: Window,
    history: History,
    /// How often the settling time is doubled.
    doublings: u32,
}

#[derive(Debug)]
enum Phase {
    Cold(Cold),
    Warm {
        since: Time,
        /// Since when no window has ended well.
        late_since: Option<Time>,
    },
}

/// What was seen of a cold start.
#[derive(Debug)]
struct Cold {
    /// When its first answer came. Before, it may have restarted without a sign.
    first_answer: Option<Time>,
    /// Answers in per cent of the customer's usual time, where that is known.
    of_usual: Run,
    /// Answers in per cent of the customer's time in this cold start so far.
    of_cold: Run,
}

/// What showed that a cold start is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Warmed {
    /// Answers take about the usual time.
    AsUsual,
    /// Answers became faster.
    Faster,
    /// Answers have taken the same time for long.
    Settled,
}

impl Ramp {
    /// Makes the ramp of an upstream that is unknown, and therefore cold.
    pub(crate) fn new(slots: u32, cold_slots: u32) -> Ramp {
        let mut ramp = Ramp {
            limit: 1,
            slots: 1,
            cold_slots: 1,
            phase: Phase::Cold(Cold::new()),
            window: Window::default(),
            history: History::default(),
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

    /// Returns how many requests may be in flight.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how many requests may be in flight during a cold start.
    pub(crate) fn cold_slots(&self) -> u32 {
        self.cold_slots
    }

    /// Returns whether the upstream is taken for cold.
    pub(crate) fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold(_))
    }

    /// Returns the milliseconds after which an answer to `customer` is late, if that is known.
    pub(crate) fn late_after_ms(&self, customer: CustomerKey, config: &Config) -> Option<u64> {
        let usual_ms = match &self.phase {
            Phase::Cold(_) => None,
            Phase::Warm { .. } => self.history.usual_ms(customer),
        };
        let usual_ms = usual_ms.or_else(|| self.history.cold_ms(customer))?;
        let by_factor = usual_ms * u64::from(config.late_after);
        Some(by_factor.max(usual_ms + u64::from(config.late_slack_ms)))
    }

    /// Takes the upstream for cold. If it `failed`, the end of the last cold start is judged by it.
    pub(crate) fn cool(&mut self, now: Time, failed: bool, config: &Config) -> Change {
        let was_cold = self.is_cold();
        if let Phase::Warm { since, .. } = self.phase {
            if failed {
                self.judge_warming(now.since(since), config);
            }
        }
        self.limit = 1;
        self.phase = Phase::Cold(Cold::new());
        self.window = Window::default();
        self.history.begin_cold_start();
        if was_cold {
            Change::None
        } else {
            Change::Cold
        }
    }

    /// Halves the limit.
    pub(crate) fn halve(&mut self) -> Change {
        if let Phase::Cold(cold) = &mut self.phase {
            cold.restart_runs();
        }
        self.window = Window::default();
        if self.limit == 1 {
            return Change::None;
        }
        self.limit /= 2;
        Change::Halved
    }

    /// Takes in an answer to `customer`, or a wait without one, of `served_ms`.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        customer: CustomerKey,
        served_ms: u64,
        config: &Config,
    ) -> Change {
        let late_after_ms = self.late_after_ms(customer, config);
        if late_after_ms.is_some_and(|late_after_ms| served_ms > late_after_ms) {
            self.window.add_late(customer);
            return self.observe_trouble(now, config);
        }
        self.window.add_timely(customer, served_ms);
        if let Phase::Cold(cold) = &mut self.phase {
            cold.observe(now, customer, served_ms, &mut self.history);
        }
        if let Some(warmed) = self.end_run(now, config) {
            return self.warm(now, warmed);
        }
        self.end_window(now, config)
    }

    /// Takes in that work of `customer` failed or was not answered in time.
    pub(crate) fn observe_failure(
        &mut self,
        now: Time,
        customer: CustomerKey,
        config: &Config,
    ) -> Change {
        self.window.add_failed(customer);
        self.observe_trouble(now, config)
    }

    fn observe_trouble(&mut self, now: Time, config: &Config) -> Change {
        if self.is_cold() {
            if self.window.is_excused() {
                return Change::None;
            }
            return self.halve();
        }
        if self.window.is_mostly_late(self.window_size(config)) {
            return self.cool(now, true, config);
        }
        self.end_window(now, config)
    }

    /// Ends a run of answers in a cold start. Returns what shows that the cold start is over.
    fn end_run(&mut self, now: Time, config: &Config) -> Option<Warmed> {
        let Phase::Cold(cold) = &mut self.phase else {
            return None;
        };
        let enough = config.warm_after;
        if self.limit < self.cold_slots || cold.of_cold.count() < enough {
            return None;
        }
        let known = cold.of_usual.count() >= enough.div_ceil(2);
        let as_usual = known && cold.of_usual.mean() <= USUAL_PERCENT;
        let of_cold_percent = cold.of_cold.mean();
        let cold_ms = cold.first_answer.map_or(0, |first| now.since(first));
        cold.restart_runs();
        if as_usual {
            return Some(Warmed::AsUsual);
        }
        if !known && of_cold_percent <= FASTER_PERCENT {
            return Some(Warmed::Faster);
        }
        if of_cold_percent >= STEADY_PERCENT && cold_ms >= self.settle_ms(known, config) {
            return Some(Warmed::Settled);
        }
        None
    }

    fn warm(&mut self, now: Time, warmed: Warmed) -> Change {
        if warmed == Warmed::Settled {
            self.history.forget_usual();
        }
        self.phase = Phase::Warm {
            since: now,
            late_since: None,
        };
        self.window = Window::default();
        Change::Warm
    }

    fn end_window(&mut self, now: Time, config: &Config) -> Change {
        if !self.window.is_full(self.window_size(config)) {
            return Change::None;
        }
        if self.window.is_partly_late() {
            self.forget_if_slower(now, config);
            return self.halve();
        }
        let window = std::mem::take(&mut self.window);
        if let Phase::Warm { late_since, .. } = &mut self.phase {
            *late_since = None;
            for (customer, served_ms) in window.into_lessons() {
                self.history.observe_warm(customer, served_ms);
            }
        }
        let grown = match config.growth {
            Growth::Double => self.limit * 2,
            Growth::Add => self.limit + 1,
            Growth::Jump => u32::MAX,
        };
        self.limit = grown.min(self.bound());
        Change::None
    }

    /// Forgets the usual times if no window has ended well for so long that they must have changed.
    /// Otherwise the limit would stay low for ever.
    fn forget_if_slower(&mut self, now: Time, config: &Config) {
        let Phase::Warm { late_since, .. } = &mut self.phase else {
            return;
        };
        let since = *late_since.get_or_insert(now);
        if now.since(since) >= u64::from(config.slower_ms) {
            *late_since = None;
            self.history.forget_usual();
        }
    }

    /// Lengthens the settling time if the last cold start ended too soon. What was taken for the usual
    /// time may then come from the cold start, and would end the next one too soon as well.
    fn judge_warming(&mut self, warm_ms: u64, config: &Config) {
        if warm_ms < self.settle_ms(false, config) {
            self.history.forget_usual();
            self.doublings += 1;
        } else {
            self.doublings = 0;
        }
    }

    /// Returns how long equally slow answers must last to be taken for usual, in milliseconds.
    fn settle_ms(&self, known: bool, config: &Config) -> u64 {
        let base_ms = if known {
            config.slower_ms
        } else {
            config.settle_ms
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

impl Cold {
    fn new() -> Cold {
        Cold {
            first_answer: None,
            of_usual: Run::default(),
            of_cold: Run::default(),
        }
    }

    fn observe(&mut self, now: Time, customer: CustomerKey, served_ms: u64, history: &mut History) {
        self.first_answer.get_or_insert(now);
        // A millisecond more on both sides keeps times near zero comparable.
        if let Some(usual_ms) = history.usual_ms(customer) {
            self.of_usual
                .observe((served_ms + 1) * 100 / (usual_ms + 1));
        }
        let cold_ms = history.cold_ms(customer).unwrap_or(served_ms);
        self.of_cold.observe((served_ms + 1) * 100 / (cold_ms + 1));
        history.observe_cold(customer, served_ms);
    }

    fn restart_runs(&mut self) {
        self.of_usual = Run::default();
        self.of_cold = Run::default();
    }
}
