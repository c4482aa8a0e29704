//! Settings of the limiter.
//!
//! Every field has a default that suits both small and large installations, so a caller names only
//! what it wants otherwise.

use hemlockrouter_types::prelude::*;

/// How the limit of an upstream grows after a window of timely answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Growth {
    /// It doubles.
    Double,
    /// It grows by one.
    Add,
    /// It goes to the bound at once.
    Jump,
}

/// Whose turn it is when work waits for an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Customers take turns, each turn charged with the time that the upstream spends on it, and
    /// within a customer the earliest deadline is first.
    FairByTime,
    /// Customers take turns, each turn charged alike, and within a customer the earliest deadline is
    /// first.
    FairByCount,
    /// The earliest deadline of all is first.
    EarliestDeadline,
    /// What came first is first.
    FirstIn,
}

/// Settings of a [`Limiter`](crate::Limiter).
///
/// # Examples
///
/// ```
/// use hemlockrouter_limit::Config;
///
/// let config = Config::new().queue_max(64).late_after(4);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) queue_max: usize,
    pub(crate) late_after: u32,
    pub(crate) late_slack_ms: u32,
    pub(crate) window: u32,
    pub(crate) warm_after: u32,
    pub(crate) settle_ms: u32,
    pub(crate) slower_ms: u32,
    pub(crate) growth: Growth,
    pub(crate) order: Order,
    pub(crate) backoff_min_ms: u32,
    pub(crate) backoff_max_ms: u32,
    pub(crate) quiet_ms: u32,
    pub(crate) idle_ms: u32,
    pub(crate) leaving_ms: u32,
    pub(crate) retry_min_ms: u32,
    pub(crate) retry_max_ms: u32,
    pub(crate) once_memory_ms: u32,
}

impl Config {
    /// Makes the default settings.
    pub fn new() -> Config {
        Config {
            queue_max: 256,
            late_after: 3,
            late_slack_ms: 5,
            window: 6,
            warm_after: 8,
            settle_ms: 2_000,
            slower_ms: 10_000,
            growth: Growth::Double,
            order: Order::FairByTime,
            backoff_min_ms: 50,
            backoff_max_ms: 1_000,
            quiet_ms: 250,
            idle_ms: 10_000,
            leaving_ms: 10_000,
            retry_min_ms: 10,
            retry_max_ms: 5_000,
            once_memory_ms: 60_000,
        }
    }

    /// Sets how many sub-requests wait for one upstream at most. The default is 256.
    pub fn queue_max(mut self, items: usize) -> Config {
        self.queue_max = items.max(1);
        self
    }

    /// Sets how many times slower than usual an answer may be before it counts as late. The default
    /// is 3.
    pub fn late_after(mut self, factor: u32) -> Config {
        self.late_after = factor.max(1);
        self
    }

    /// Sets the milliseconds above which, besides [`late_after`](Config::late_after), an answer must
    /// exceed the usual time to count as late. The default is 5.
    pub fn late_slack_ms(mut self, ms: u32) -> Config {
        self.late_slack_ms = ms;
        self
    }

    /// Sets how many answers at least are looked at before the limit changes. The default is 6.
    pub fn window(mut self, answers: u32) -> Config {
        self.window = answers.max(1);
        self
    }

    /// Sets after how many answers without a late or refused one it is judged whether a cold start is
    /// over. The default is 8.
    pub fn warm_after(mut self, answers: u32) -> Config {
        self.warm_after = answers.max(1);
        self
    }

    /// Sets how long answers must take the same time to end the cold start of an upstream whose usual
    /// time is unknown, in milliseconds. It doubles, up to a minute, when the upstream fails as soon
    /// after its cold start. The default is 2,000.
    pub fn settle_ms(mut self, ms: u32) -> Config {
        self.settle_ms = ms;
        self
    }

    /// Sets how long answers must take the same time, but longer than they used to, to end a cold
    /// start, in milliseconds. After as long without a window that ended well, the usual times of a
    /// warm upstream are learned anew. The default is 10,000.
    pub fn slower_ms(mut self, ms: u32) -> Config {
        self.slower_ms = ms;
        self
    }

    /// Sets how the limit grows. The default is [`Growth::Double`].
    pub fn growth(mut self, growth: Growth) -> Config {
        self.growth = growth;
        self
    }

    /// Sets whose turn it is when work waits. The default is [`Order::FairByTime`].
    pub fn order(mut self, order: Order) -> Config {
        self.order = order;
        self
    }

    /// Sets the pauses after a refused connection, in milliseconds: the first, and the longest to
    /// which repeated ones double. The defaults are 50 and 1,000.
    pub fn backoff_ms(mut self, min: u32, max: u32) -> Config {
        self.backoff_min_ms = min.max(1);
        self.backoff_max_ms = max.max(self.backoff_min_ms);
        self
    }

    /// Sets how long a new owner waits before its first dispatch, in milliseconds. What the owner
    /// before it sent may still be in flight, and ends within this time after that owner's lease. The
    /// default is 250.
    pub fn quiet_ms(mut self, ms: u32) -> Config {
        self.quiet_ms = ms;
        self
    }

    /// Sets after how long without an answer an upstream that had no work is taken for cold, in
    /// milliseconds. The default is 10,000.
    pub fn idle_ms(mut self, ms: u32) -> Config {
        self.idle_ms = ms;
        self
    }

    /// Sets how long an upstream that said it is leaving gets no work before one sub-request is tried
    /// again, in milliseconds. The default is 10,000.
    pub fn leaving_ms(mut self, ms: u32) -> Config {
        self.leaving_ms = ms;
        self
    }

    /// Sets the bounds of `retry_after_ms` in refusals. The defaults are 10 and 5,000.
    pub fn retry_after_ms(mut self, min: u32, max: u32) -> Config {
        self.retry_min_ms = min;
        self.retry_max_ms = max.max(min);
        self
    }

    /// Sets how long after its end the id of work that must not be repeated is remembered, in
    /// milliseconds, so that a duplicated message does not run it again. The default is 60,000.
    pub fn once_memory_ms(mut self, ms: u32) -> Config {
        self.once_memory_ms = ms;
        self
    }
}

impl Config {
    /// Makes a refusal, with the time to come back within its bounds.
    pub(crate) fn refusal(&self, reason: Reason, retry_after_ms: u64) -> Refusal {
        let retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
        Refusal {
            reason,
            retry_after_ms: retry_after_ms.clamp(self.retry_min_ms, self.retry_max_ms),
        }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}
