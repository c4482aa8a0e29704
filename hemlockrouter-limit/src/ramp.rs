//! Concurrency limit of one upstream during and after a cold start.
//!
//! Health endpoints lag and mislead, so the ramp uses only answers. The limit starts at one request
//! and grows after each window of timely answers. During the cold start the limit is bounded by the
//! cold slots, and afterwards by all slots. The limit halves when the upstream sheds load or too
//! many answers of a window are late, and returns to one when the upstream appears cold again.
//!
//! The end of a cold start is detected in one of three ways. If the baseline latency of the warm
//! upstream is known, answers are about as fast as the baseline again. If the baseline is unknown,
//! answers take little more than half as long as earlier in the cold start. In both cases, a
//! latency that has stayed constant for the settling time is accepted as the new baseline. If the
//! upstream fails again soon afterwards, its cold start was not over: the baseline is discarded,
//! and the settling time doubles.

use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::config::Growth;
use crate::history::History;
use crate::mean::ArithmeticMean;
use crate::window::AnswerWindow;

/// Upper bound of the doubled settling time, in milliseconds.
const SETTLING_TIME_MAX_MS: u64 = 60_000;

/// Maximum mean latency of a warm upstream, in percent of the baseline latency.
const WARM_LATENCY_MAX_PERCENT: u64 = 150;

/// Maximum latency that indicates the end of a cold start, in percent of the mean latency of this
/// cold start so far.
const FASTER_LATENCY_MAX_PERCENT: u64 = 60;

/// Minimum latency that counts as constant, in percent of the mean latency of the cold start so
/// far.
const CONSTANT_LATENCY_MIN_PERCENT: u64 = 80;

/// Effect of an event on the ramp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// No change that is logged.
    None,
    /// A cold start began.
    Cold,
    /// The cold start ended.
    Warm,
    /// The limit was halved.
    Halved,
}

/// Concurrency limit of one upstream and the state that determines it.
#[derive(Debug)]
pub(crate) struct Ramp {
    limit: u32,
    slots: u32,
    cold_slots: u32,
    phase: Phase,
    window: AnswerWindow,
    history: History,
    /// Number of times that the settling time was doubled.
    doublings: u32,
}

#[derive(Debug)]
enum Phase {
    Cold(Cold),
    Warm {
        since: Time,
        /// Time since which no window of mostly timely answers was completed.
        late_since: Option<Time>,
    },
}

/// Measurements of a cold start.
#[derive(Debug)]
struct Cold {
    /// Time of the first answer. The upstream may have restarted unnoticed before that time.
    first_answer: Option<Time>,
    /// Latencies in percent of the customer's baseline, for customers whose baseline is known.
    of_usual: ArithmeticMean,
    /// Latencies in percent of the customer's mean in this cold start so far.
    of_cold: ArithmeticMean,
}

/// Evidence that a cold start is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Warmed {
    /// Answers are about as fast as the baseline.
    AsUsual,
    /// Answers became faster during the cold start.
    Faster,
    /// The latency has stayed constant for long enough.
    Settled,
}

impl Ramp {
    /// Creates the ramp of an upstream whose state is unknown, which is treated as cold.
    pub(crate) fn new(slots: u32, cold_slots: u32) -> Ramp {
        let mut ramp = Ramp {
            limit: 1,
            slots: 1,
            cold_slots: 1,
            phase: Phase::Cold(Cold::new()),
            window: AnswerWindow::default(),
            history: History::default(),
            doublings: 0,
        };
        ramp.resize(slots, cold_slots);
        ramp
    }

    /// Sets the numbers of slots from the catalogue.
    pub(crate) fn resize(&mut self, slots: u32, cold_slots: u32) {
        self.slots = slots.max(1);
        self.cold_slots = cold_slots.clamp(1, self.slots);
        self.limit = self.limit.min(self.bound());
    }

    /// Returns the maximum number of requests in flight.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the maximum number of requests in flight during a cold start.
    pub(crate) fn cold_slots(&self) -> u32 {
        self.cold_slots
    }

    /// Returns whether the upstream is treated as cold.
    pub(crate) fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold(_))
    }

    /// Returns the milliseconds after which an answer to `customer` is late, or `None` without
    /// earlier answers to compare with.
    pub(crate) fn late_after_ms(&self, customer: CustomerKey, config: &Config) -> Option<u64> {
        let baseline_ms = match &self.phase {
            Phase::Cold(_) => None,
            Phase::Warm { .. } => self.history.baseline_ms(customer),
        };
        let baseline_ms = baseline_ms.or_else(|| self.history.cold_start_mean_ms(customer))?;
        let by_factor = baseline_ms * u64::from(config.late_after);
        Some(by_factor.max(baseline_ms + u64::from(config.late_slack_ms)))
    }

    /// Begins a cold start. If the upstream `failed`, the time since the last cold start decides
    /// whether that one had ended too early.
    pub(crate) fn cool(&mut self, now: Time, failed: bool, config: &Config) -> Change {
        let was_cold = self.is_cold();
        if let Phase::Warm { since, .. } = self.phase {
            if failed {
                self.judge_warming(now.since(since), config);
            }
        }
        self.limit = 1;
        self.phase = Phase::Cold(Cold::new());
        self.window = AnswerWindow::default();
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
        self.window = AnswerWindow::default();
        if self.limit == 1 {
            return Change::None;
        }
        self.limit /= 2;
        Change::Halved
    }

    /// Records that `customer` got an answer, or waited in vain, after `served_ms` milliseconds.
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

    /// Records that a sub-request of `customer` failed or timed out.
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
            if self.window.should_ignore_late_answers() {
                return Change::None;
            }
            return self.halve();
        }
        if self.window.is_mostly_late(self.window_size(config)) {
            return self.cool(now, true, config);
        }
        self.end_window(now, config)
    }

    /// Evaluates a series of answers in a cold start. Returns the evidence if the cold start is
    /// over.
    fn end_run(&mut self, now: Time, config: &Config) -> Option<Warmed> {
        let Phase::Cold(cold) = &mut self.phase else {
            return None;
        };
        let enough = config.warm_after;
        if self.limit < self.cold_slots || cold.of_cold.count() < enough {
            return None;
        }
        let known = cold.of_usual.count() >= enough.div_ceil(2);
        let as_usual = known && cold.of_usual.mean() <= WARM_LATENCY_MAX_PERCENT;
        let of_cold_percent = cold.of_cold.mean();
        let elapsed_ms = cold.first_answer.map_or(0, |first| now.since(first));
        cold.restart_runs();
        if as_usual {
            return Some(Warmed::AsUsual);
        }
        if !known && of_cold_percent <= FASTER_LATENCY_MAX_PERCENT {
            return Some(Warmed::Faster);
        }
        if of_cold_percent >= CONSTANT_LATENCY_MIN_PERCENT
            && elapsed_ms >= self.settle_ms(known, config)
        {
            return Some(Warmed::Settled);
        }
        None
    }

    fn warm(&mut self, now: Time, warmed: Warmed) -> Change {
        if warmed == Warmed::Settled {
            self.history.discard_baselines();
        }
        self.phase = Phase::Warm {
            since: now,
            late_since: None,
        };
        self.window = AnswerWindow::default();
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
            for (customer, served_ms) in window.into_timely_latencies() {
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

    /// Discards the baseline latencies if no window of mostly timely answers was completed for so
    /// long that the latency must have changed. The limit would otherwise stay low for ever.
    fn forget_if_slower(&mut self, now: Time, config: &Config) {
        let Phase::Warm { late_since, .. } = &mut self.phase else {
            return;
        };
        let since = *late_since.get_or_insert(now);
        if now.since(since) >= u64::from(config.slower_ms) {
            *late_since = None;
            self.history.discard_baselines();
        }
    }

    /// Doubles the settling time if the last cold start was ended too early. The baseline is
    /// discarded, because it may have been learned during that cold start and would end the next
    /// one too early as well.
    fn judge_warming(&mut self, warm_ms: u64, config: &Config) {
        if warm_ms < self.settle_ms(false, config) {
            self.history.discard_baselines();
            self.doublings += 1;
        } else {
            self.doublings = 0;
        }
    }

    /// Returns how long a constant latency must last to be accepted as the baseline, in
    /// milliseconds.
    fn settle_ms(&self, known: bool, config: &Config) -> u64 {
        let base_ms = if known {
            config.slower_ms
        } else {
            config.settle_ms
        };
        let doubled_ms = u64::from(base_ms) << self.doublings.min(16);
        doubled_ms.min(SETTLING_TIME_MAX_MS)
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
            of_usual: ArithmeticMean::default(),
            of_cold: ArithmeticMean::default(),
        }
    }

    fn observe(&mut self, now: Time, customer: CustomerKey, served_ms: u64, history: &mut History) {
        self.first_answer.get_or_insert(now);
        // Adding a millisecond to both sides avoids a division by zero and large ratios of very
        // short times.
        if let Some(baseline_ms) = history.baseline_ms(customer) {
            self.of_usual
                .observe((served_ms + 1) * 100 / (baseline_ms + 1));
        }
        let cold_mean_ms = history.cold_start_mean_ms(customer).unwrap_or(served_ms);
        self.of_cold
            .observe((served_ms + 1) * 100 / (cold_mean_ms + 1));
        history.observe_cold(customer, served_ms);
    }

    fn restart_runs(&mut self) {
        self.of_usual = ArithmeticMean::default();
        self.of_cold = ArithmeticMean::default();
    }
}
