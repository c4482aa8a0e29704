//! Configuration of a [`Searcher`](super::Searcher).

/// Configuration of a [`Searcher`](super::Searcher), with chained setters.
///
/// # Examples
///
/// ```
/// use hemlockrouter_route::SearcherConfig;
///
/// let config = SearcherConfig::new().zone("north").max_hedge_share(0.03);
/// # let _ = config;
/// ```
#[derive(Clone, Debug)]
pub struct SearcherConfig {
    pub(crate) zone: String,
    pub(crate) hedge_quantile: f64,
    pub(crate) max_hedge_share: f64,
    pub(crate) hedge_burst: u32,
    pub(crate) max_hedges_per_shard: u8,
    pub(crate) initial_hedge_delay_ms: u64,
    pub(crate) max_retry_share: f64,
    pub(crate) retry_burst: u32,
    pub(crate) max_tries_per_shard: u8,
    pub(crate) max_replans: u8,
    pub(crate) answer_margin_ms: u64,
    pub(crate) retry_after_min_ms: u32,
    pub(crate) retry_after_max_ms: u32,
    pub(crate) max_in_flight: usize,
}

impl SearcherConfig {
    /// Creates the default configuration.
    pub fn new() -> SearcherConfig {
        SearcherConfig {
            zone: String::new(),
            hedge_quantile: 0.97,
            max_hedge_share: 0.05,
            hedge_burst: 32,
            max_hedges_per_shard: 2,
            initial_hedge_delay_ms: 50,
            max_retry_share: 0.05,
            retry_burst: 540,
            max_tries_per_shard: 4,
            max_replans: 2,
            answer_margin_ms: 5,
            retry_after_min_ms: 50,
            retry_after_max_ms: 5_000,
            max_in_flight: 4_096,
        }
    }

    /// Sets the name of this instance's availability zone, whose upstreams are preferred. Default:
    /// none.
    pub fn zone(mut self, name: &str) -> SearcherConfig {
        self.zone = name.to_owned();
        self
    }

    /// Sets the quantile of an upstream's latencies after which a sub-request is hedged, clamped to
    /// 0.5 to 1. Default: 0.97.
    pub fn hedge_quantile(mut self, quantile: f64) -> SearcherConfig {
        self.hedge_quantile = quantile.clamp(0.5, 1.0);
        self
    }

    /// Sets the limit on hedges as a share of the first tries, from 0 to 1. Default: 0.05. With 0
    /// no hedge is sent.
    pub fn max_hedge_share(mut self, share: f64) -> SearcherConfig {
        self.max_hedge_share = share.clamp(0.0, 1.0);
        self
    }

    /// Sets how many hedges may be sent at once after a time without hedges. Default: 32.
    pub fn hedge_burst(mut self, hedges: u32) -> SearcherConfig {
        self.hedge_burst = hedges;
        self
    }

    /// Sets the maximum number of hedges for one shard of a query. Default: 2.
    pub fn max_hedges_per_shard(mut self, hedges: u8) -> SearcherConfig {
        self.max_hedges_per_shard = hedges;
        self
    }

    /// Sets the delay before a hedge while no latency is known, in milliseconds. Default: 50.
    pub fn initial_hedge_delay_ms(mut self, delay_ms: u64) -> SearcherConfig {
        self.initial_hedge_delay_ms = delay_ms.max(1);
        self
    }

    /// Sets the limit on retries as a share of the first tries, from 0 to 1. Default: 0.05.
    pub fn max_retry_share(mut self, share: f64) -> SearcherConfig {
        self.max_retry_share = share.clamp(0.0, 1.0);
        self
    }

    /// Sets how many retries may be sent at once after a time without retries. Default: 540.
    pub fn retry_burst(mut self, retries: u32) -> SearcherConfig {
        self.retry_burst = retries;
        self
    }

    /// Sets the maximum number of sub-requests for one shard at one snapshot, hedges included.
    /// Default: 4.
    pub fn max_tries_per_shard(mut self, tries: u8) -> SearcherConfig {
        self.max_tries_per_shard = tries.max(1);
        self
    }

    /// Sets how often one query may move to another snapshot or shard map. Default: 2.
    pub fn max_replans(mut self, max_replans: u8) -> SearcherConfig {
        self.max_replans = max_replans;
        self
    }

    /// Sets how long before the deadline the answer is sent, in milliseconds. Default: 5, and at
    /// most a tenth of the time between start and deadline.
    pub fn answer_margin_ms(mut self, answer_margin_ms: u64) -> SearcherConfig {
        self.answer_margin_ms = answer_margin_ms;
        self
    }

    /// Sets the bounds of the retry-after time in refusals, in milliseconds. Default: 50 to 5,000.
    pub fn retry_after_ms(mut self, min_ms: u32, max_ms: u32) -> SearcherConfig {
        self.retry_after_min_ms = min_ms.min(max_ms);
        self.retry_after_max_ms = max_ms;
        self
    }

    /// Sets the maximum number of queries in flight. Default: 4,096.
    pub fn max_in_flight(mut self, queries: usize) -> SearcherConfig {
        self.max_in_flight = queries;
        self
    }
}

impl Default for SearcherConfig {
    fn default() -> SearcherConfig {
        SearcherConfig::new()
    }
}
