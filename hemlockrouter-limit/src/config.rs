//! Settings of the limiter.
//!
//! Every setting has a default that suits both small and large installations.

use hemlockrouter_types::prelude::*;

/// Growth of the concurrency limit of an upstream after a window of timely answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitGrowth {
    /// Doubles the limit.
    Double,
    /// Raises the limit by one.
    Add,
    /// Raises the limit to its maximum at once.
    Jump,
}

/// Order in which waiting sub-requests are dispatched to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// Fair queueing over customers, in which each dispatch is charged with the time that the
    /// upstream spends on it. Within a customer, the earliest deadline comes first.
    FairByTime,
    /// Fair queueing over customers, in which each dispatch is charged the same. Within a customer,
    /// the earliest deadline comes first.
    FairByCount,
    /// Earliest deadline first, over all customers.
    EarliestDeadline,
    /// First in, first out, over all customers.
    FirstIn,
}

/// Settings of a [`Limiter`](crate::Limiter).
///
/// # Examples
///
/// ```
/// use hemlockrouter_limit::Config;
///
/// let config = Config::new().queue_max(64).late_factor(4);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) queue_max: usize,
    pub(crate) late_factor: u32,
    pub(crate) late_slack_ms: u32,
    pub(crate) window_answers_min: u32,
    pub(crate) warm_answers_min: u32,
    pub(crate) settle_ms: u32,
    pub(crate) baseline_reset_ms: u32,
    pub(crate) growth: LimitGrowth,
    pub(crate) order: QueueOrder,
    pub(crate) backoff_min_ms: u32,
    pub(crate) backoff_max_ms: u32,
    pub(crate) takeover_delay_ms: u32,
    pub(crate) idle_timeout_ms: u32,
    pub(crate) leaving_retry_ms: u32,
    pub(crate) retry_after_min_ms: u32,
    pub(crate) retry_after_max_ms: u32,
    pub(crate) ended_id_retention_ms: u32,
}

impl Config {
    /// Creates the default settings.
    pub fn new() -> Config {
        Config {
            queue_max: 256,
            late_factor: 3,
            late_slack_ms: 5,
            window_answers_min: 6,
            warm_answers_min: 8,
            settle_ms: 2_000,
            baseline_reset_ms: 10_000,
            growth: LimitGrowth::Double,
            order: QueueOrder::FairByTime,
            backoff_min_ms: 50,
            backoff_max_ms: 1_000,
            takeover_delay_ms: 250,
            idle_timeout_ms: 10_000,
            leaving_retry_ms: 10_000,
            retry_after_min_ms: 10,
            retry_after_max_ms: 5_000,
            ended_id_retention_ms: 60_000,
        }
    }

    /// Sets the maximum number of sub-requests that wait for one upstream. The default is 256.
    pub fn queue_max(mut self, items: usize) -> Config {
        self.queue_max = items.max(1);
        self
    }

    /// Sets the factor by which an answer may exceed the customer's baseline latency before it
    /// counts as late. The default is 3.
    pub fn late_factor(mut self, factor: u32) -> Config {
        self.late_factor = factor.max(1);
        self
    }

    /// Sets the milliseconds by which an answer must exceed the baseline latency to count as late,
    /// in addition to exceeding it by the factor [`late_factor`](Config::late_factor). The default
    /// is 5.
    pub fn late_slack_ms(mut self, ms: u32) -> Config {
        self.late_slack_ms = ms;
        self
    }

    /// Sets the minimum number of answers in a window, after which the limit changes. The default
    /// is 6.
    pub fn window_answers_min(mut self, answers: u32) -> Config {
        self.window_answers_min = answers.max(1);
        self
    }

    /// Sets how many answers in a row, none of them late or refused, are evaluated to decide
    /// whether a cold start is over. The default is 8.
    pub fn warm_answers_min(mut self, answers: u32) -> Config {
        self.warm_answers_min = answers.max(1);
        self
    }

    /// Sets how long the latency must stay constant to end the cold start of an upstream without a
    /// known baseline latency, in milliseconds. This time doubles, up to a minute, each time that
    /// the upstream fails again within the same time after its cold start. The default is 2,000.
    pub fn settle_ms(mut self, ms: u32) -> Config {
        self.settle_ms = ms;
        self
    }

    /// Sets how long the latency must stay constant to end a cold start if it stays above the known
    /// baseline, in milliseconds. The baseline latencies of a warm upstream are also discarded and
    /// learned again after this time without a window of mostly timely answers. The default is
    /// 10,000.
    pub fn baseline_reset_ms(mut self, ms: u32) -> Config {
        self.baseline_reset_ms = ms;
        self
    }

    /// Sets how the limit grows. The default is [`LimitGrowth::Double`].
    pub fn growth(mut self, growth: LimitGrowth) -> Config {
        self.growth = growth;
        self
    }

    /// Sets the order in which waiting sub-requests are dispatched. The default is
    /// [`QueueOrder::FairByTime`].
    pub fn order(mut self, order: QueueOrder) -> Config {
        self.order = order;
        self
    }

    /// Sets the first and the longest backoff after a refused connection, in milliseconds. The
    /// backoff doubles with each further refused connection. The defaults are 50 and 1,000.
    pub fn backoff_ms(mut self, min: u32, max: u32) -> Config {
        self.backoff_min_ms = min.max(1);
        self.backoff_max_ms = max.max(self.backoff_min_ms);
        self
    }

    /// Sets how long a new owner of an upstream waits before its first dispatch, in milliseconds.
    /// Sub-requests of the previous owner may still be in flight, and end within this time after
    /// the lease of that owner has expired. The default is 250.
    pub fn takeover_delay_ms(mut self, ms: u32) -> Config {
        self.takeover_delay_ms = ms;
        self
    }

    /// Sets the time without an answer, in milliseconds, after which an upstream with nothing in
    /// flight is treated as cold. The default is 10,000.
    pub fn idle_timeout_ms(mut self, ms: u32) -> Config {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets how long no sub-request is sent to an upstream that has announced that it is leaving,
    /// in milliseconds. A single sub-request is tried afterwards. The default is 10,000.
    pub fn leaving_retry_ms(mut self, ms: u32) -> Config {
        self.leaving_retry_ms = ms;
        self
    }

    /// Sets the lower and upper bound of `retry_after_ms` in refusals, in milliseconds. The
    /// defaults are 10 and 5,000.
    pub fn retry_after_ms(mut self, min: u32, max: u32) -> Config {
        self.retry_after_min_ms = min;
        self.retry_after_max_ms = max.max(min);
        self
    }

    /// Sets how long the id of a sub-request that must not be repeated is remembered after its end,
    /// in milliseconds. A duplicated message within this time does not run the sub-request again.
    /// The default is 60,000.
    pub fn ended_id_retention_ms(mut self, ms: u32) -> Config {
        self.ended_id_retention_ms = ms;
        self
    }
}

impl Config {
    /// Builds a refusal, with `retry_after_ms` clamped to the configured bounds.
    pub(crate) fn refusal(&self, reason: RefusalReason, retry_after_ms: u64) -> Refusal {
        let retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
        Refusal {
            reason,
            retry_after_ms: retry_after_ms.clamp(self.retry_after_min_ms, self.retry_after_max_ms),
        }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}
