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
use crate::config::LimitGrowth;
use crate::history::LatencyHistory;
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
pub(crate) enum RampChange {
    /// The ramp did not change in a way that is logged.
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
pub(crate) struct ConcurrencyRamp {
    limit: u32,
    slots: u32,
    cold_slots: u32,
    phase: RampPhase,
    window: AnswerWindow,
    history: LatencyHistory,
    /// Number of times that the settling time was doubled.
    settling_time_doublings: u32,
}

#[derive(Debug)]
enum RampPhase {
    Cold(ColdStart),
    Warm {
        since: Time,
        /// Time since which no window of mostly timely answers was completed.
        late_windows_since: Option<Time>,
    },
}

/// Measurements of a cold start.
#[derive(Debug)]
struct ColdStart {
    /// Time of the first answer. The upstream may have restarted unnoticed before that time.
    first_answer_at: Option<Time>,
    /// Latencies in percent of the customer's baseline, for customers whose baseline is known.
    baseline_percent: ArithmeticMean,
    /// Latencies in percent of the customer's mean in this cold start so far.
    cold_mean_percent: ArithmeticMean,
}

/// Evidence that a cold start is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WarmUpEvidence {
    /// Answers are about as fast as the baseline.
    AtBaseline,
    /// Answers became faster during the cold start.
    Faster,
    /// The latency has stayed constant for long enough.
    ConstantLatency,
}

impl ConcurrencyRamp {
    /// Creates the ramp of an upstream whose state is unknown, which is treated as cold.
    pub(crate) fn new(slots: u32, cold_slots: u32) -> ConcurrencyRamp {
        let mut ramp = ConcurrencyRamp {
            limit: 1,
            slots: 1,
            cold_slots: 1,
            phase: RampPhase::Cold(ColdStart::new()),
            window: AnswerWindow::default(),
            history: LatencyHistory::default(),
            settling_time_doublings: 0,
        };
        ramp.resize(slots, cold_slots);
        ramp
    }

    /// Sets the number of slots and of cold slots from the catalogue.
    pub(crate) fn resize(&mut self, slots: u32, cold_slots: u32) {
        self.slots = slots.max(1);
        self.cold_slots = cold_slots.clamp(1, self.slots);
        self.limit = self.limit.min(self.limit_max());
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
        matches!(self.phase, RampPhase::Cold(_))
    }

    /// Returns the milliseconds after which an answer to `customer` is late, or `None` without
    /// earlier answers to compare with.
    pub(crate) fn late_after_ms(&self, customer: CustomerKey, config: &Config) -> Option<u64> {
        let baseline_ms = match &self.phase {
            RampPhase::Cold(_) => None,
            RampPhase::Warm { .. } => self.history.baseline_ms(customer),
        };
        let baseline_ms = baseline_ms.or_else(|| self.history.cold_start_mean_ms(customer))?;
        let late_by_factor_ms = baseline_ms * u64::from(config.late_factor);
        Some(late_by_factor_ms.max(baseline_ms + u64::from(config.late_slack_ms)))
    }

    /// Begins a cold start. If the upstream `failed`, the time since the last cold start decides
    /// whether that one had ended too early.
    pub(crate) fn begin_cold_start(
        &mut self,
        now: Time,
        failed: bool,
        config: &Config,
    ) -> RampChange {
        let was_cold = self.is_cold();
        if let RampPhase::Warm { since, .. } = self.phase {
            if failed {
                self.evaluate_last_warm_up(now.ms_since(since), config);
            }
        }
        self.limit = 1;
        self.phase = RampPhase::Cold(ColdStart::new());
        self.window = AnswerWindow::default();
        self.history.begin_cold_start();
        if was_cold {
            RampChange::None
        } else {
            RampChange::Cold
        }
    }

    /// Halves the limit on the requests in flight.
    pub(crate) fn halve_limit(&mut self) -> RampChange {
        if let RampPhase::Cold(cold_start) = &mut self.phase {
            cold_start.reset_means();
        }
        self.window = AnswerWindow::default();
        if self.limit == 1 {
            return RampChange::None;
        }
        self.limit /= 2;
        RampChange::Halved
    }

    /// Records that `customer` got an answer, or waited in vain, after `served_ms` milliseconds.
    pub(crate) fn observe_answer(
        &mut self,
        now: Time,
        customer: CustomerKey,
        served_ms: u64,
        config: &Config,
    ) -> RampChange {
        let late_after_ms = self.late_after_ms(customer, config);
        if late_after_ms.is_some_and(|late_after_ms| served_ms > late_after_ms) {
            self.window.add_late(customer);
            return self.observe_late_or_failed(now, config);
        }
        self.window.add_timely(customer, served_ms);
        if let RampPhase::Cold(cold_start) = &mut self.phase {
            cold_start.observe_answer(now, customer, served_ms, &mut self.history);
        }
        if let Some(evidence) = self.evaluate_answers(now, config) {
            return self.end_cold_start(now, evidence);
        }
        self.evaluate_window(now, config)
    }

    /// Records that a sub-request of `customer` failed or timed out.
    pub(crate) fn observe_failure(
        &mut self,
        now: Time,
        customer: CustomerKey,
        config: &Config,
    ) -> RampChange {
        self.window.add_failed(customer);
        self.observe_late_or_failed(now, config)
    }

    fn observe_late_or_failed(&mut self, now: Time, config: &Config) -> RampChange {
        if self.is_cold() {
            if self.window.should_ignore_late_answers() {
                return RampChange::None;
            }
            return self.halve_limit();
        }
        if self.window.is_mostly_late(self.window_size(config)) {
            return self.begin_cold_start(now, true, config);
        }
        self.evaluate_window(now, config)
    }

    /// Evaluates a series of answers in a cold start. Returns the evidence if the cold start is
    /// over.
    fn evaluate_answers(&mut self, now: Time, config: &Config) -> Option<WarmUpEvidence> {
        let RampPhase::Cold(cold_start) = &mut self.phase else {
            return None;
        };
        let answers_needed = config.warm_answers_min;
        if self.limit < self.cold_slots || cold_start.cold_mean_percent.count() < answers_needed {
            return None;
        }
        let baseline_known = cold_start.baseline_percent.count() >= answers_needed.div_ceil(2);
        let at_baseline =
            baseline_known && cold_start.baseline_percent.mean() <= WARM_LATENCY_MAX_PERCENT;
        let percent_of_cold_mean = cold_start.cold_mean_percent.mean();
        let elapsed_ms = cold_start
            .first_answer_at
            .map_or(0, |first| now.ms_since(first));
        cold_start.reset_means();
        if at_baseline {
            return Some(WarmUpEvidence::AtBaseline);
        }
        if !baseline_known && percent_of_cold_mean <= FASTER_LATENCY_MAX_PERCENT {
            return Some(WarmUpEvidence::Faster);
        }
        if percent_of_cold_mean >= CONSTANT_LATENCY_MIN_PERCENT
            && elapsed_ms >= self.settling_time_ms(baseline_known, config)
        {
            return Some(WarmUpEvidence::ConstantLatency);
        }
        None
    }

    fn end_cold_start(&mut self, now: Time, evidence: WarmUpEvidence) -> RampChange {
        if evidence == WarmUpEvidence::ConstantLatency {
            self.history.discard_baselines();
        }
        self.phase = RampPhase::Warm {
            since: now,
            late_windows_since: None,
        };
        self.window = AnswerWindow::default();
        RampChange::Warm
    }

    fn evaluate_window(&mut self, now: Time, config: &Config) -> RampChange {
        if !self.window.is_full(self.window_size(config)) {
            return RampChange::None;
        }
        if self.window.is_partly_late() {
            self.discard_outdated_baselines(now, config);
            return self.halve_limit();
        }
        let window = std::mem::take(&mut self.window);
        if let RampPhase::Warm {
            late_windows_since, ..
        } = &mut self.phase
        {
            *late_windows_since = None;
            for (customer, served_ms) in window.into_timely_latencies() {
                self.history.observe_warm(customer, served_ms);
            }
        }
        let grown_limit = match config.growth {
            LimitGrowth::Double => self.limit * 2,
            LimitGrowth::Add => self.limit + 1,
            LimitGrowth::Jump => u32::MAX,
        };
        self.limit = grown_limit.min(self.limit_max());
        RampChange::None
    }

    /// Discards the baseline latencies if no window of mostly timely answers was completed for so
    /// long that the latency must have changed. The limit would otherwise stay low for ever.
    fn discard_outdated_baselines(&mut self, now: Time, config: &Config) {
        let RampPhase::Warm {
            late_windows_since, ..
        } = &mut self.phase
        else {
            return;
        };
        let since = *late_windows_since.get_or_insert(now);
        if now.ms_since(since) >= u64::from(config.baseline_reset_ms) {
            *late_windows_since = None;
            self.history.discard_baselines();
        }
    }

    /// Doubles the settling time if the last cold start was ended too early. The baseline is
    /// discarded, because it may have been learned during that cold start and would end the next
    /// one too early as well.
    fn evaluate_last_warm_up(&mut self, warm_duration_ms: u64, config: &Config) {
        if warm_duration_ms < self.settling_time_ms(false, config) {
            self.history.discard_baselines();
            self.settling_time_doublings += 1;
        } else {
            self.settling_time_doublings = 0;
        }
    }

    /// Returns how long a constant latency must last to be accepted as the baseline, in
    /// milliseconds.
    fn settling_time_ms(&self, baseline_known: bool, config: &Config) -> u64 {
        let base_ms = if baseline_known {
            config.baseline_reset_ms
        } else {
            config.settle_ms
        };
        let doubled_ms = u64::from(base_ms) << self.settling_time_doublings.min(16);
        doubled_ms.min(SETTLING_TIME_MAX_MS)
    }

    fn window_size(&self, config: &Config) -> u32 {
        config.window_answers_min.max(self.limit)
    }

    fn limit_max(&self) -> u32 {
        if self.is_cold() {
            self.cold_slots
        } else {
            self.slots
        }
    }
}

impl ColdStart {
    fn new() -> ColdStart {
        ColdStart {
            first_answer_at: None,
            baseline_percent: ArithmeticMean::default(),
            cold_mean_percent: ArithmeticMean::default(),
        }
    }

    fn observe_answer(
        &mut self,
        now: Time,
        customer: CustomerKey,
        served_ms: u64,
        history: &mut LatencyHistory,
    ) {
        self.first_answer_at.get_or_insert(now);
        // Adding a millisecond to both sides avoids a division by zero and large ratios of very
        // short times.
        if let Some(baseline_ms) = history.baseline_ms(customer) {
            self.baseline_percent
                .observe((served_ms + 1) * 100 / (baseline_ms + 1));
        }
        let cold_mean_ms = history.cold_start_mean_ms(customer).unwrap_or(served_ms);
        self.cold_mean_percent
            .observe((served_ms + 1) * 100 / (cold_mean_ms + 1));
        history.observe_cold(customer, served_ms);
    }

    fn reset_means(&mut self) {
        self.baseline_percent = ArithmeticMean::default();
        self.cold_mean_percent = ArithmeticMean::default();
    }
}
