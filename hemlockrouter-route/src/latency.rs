//! Quantiles of recent latencies.
//!
//! A moving average would mix the body of a distribution with its stragglers: one answer that takes
//! twenty times as long would double the average and send the next requests elsewhere. A histogram
//! keeps both apart: replicas are compared by their median, and a hedge is sent at a high quantile.
//! Counts are halved by time as well as by number, so that old latencies lose weight. If counts
//! were halved by number alone, an upstream that was slow once and is rarely used since would keep
//! its high latency for minutes.

use hemlockrouter_types::prelude::*;

/// Latency in milliseconds below which each millisecond has its own bucket.
const LINEAR_LIMIT_MS: u64 = 16;

/// Number of buckets for each power of two above [`LINEAR_LIMIT_MS`].
const BUCKETS_PER_OCTAVE: u64 = 8;

/// Number of powers of two above [`LINEAR_LIMIT_MS`] that have their own buckets.
const BUCKETED_OCTAVES: u64 = 12;

const BUCKET_COUNT: usize = (LINEAR_LIMIT_MS + BUCKETS_PER_OCTAVE * BUCKETED_OCTAVES) as usize;

/// Total count at which all counts are halved.
const MAX_TOTAL_COUNT: u32 = 1_024;

/// Interval at which all counts are halved, in milliseconds.
const COUNT_HALF_LIFE_MS: u64 = 2_000;

/// Number of new latencies after which the quantiles are recomputed.
const SAMPLES_PER_REFRESH: u32 = 8;

/// Histogram of the recent latencies of one upstream or of one search.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    counts: Box<[u16; BUCKET_COUNT]>,
    total_count: u32,
    samples_since_refresh: u32,
    /// The time at which the counts were last halved for their age.
    decayed_at: Time,
    high_quantile: f64,
    median_ms: u64,
    high_ms: u64,
}

impl LatencyHistogram {
    /// Creates an empty histogram that tracks the median and `high_quantile`.
    pub(crate) fn new(high_quantile: f64) -> LatencyHistogram {
        LatencyHistogram {
            counts: Box::new([0; BUCKET_COUNT]),
            total_count: 0,
            samples_since_refresh: 0,
            decayed_at: Time::ZERO,
            high_quantile,
            median_ms: 0,
            high_ms: 0,
        }
    }

    /// Records a latency in milliseconds that was observed at `now`.
    pub(crate) fn record(&mut self, now: Time, latency_ms: u64) {
        self.decay_counts(now);
        self.counts[bucket_index(latency_ms)] += 1;
        self.total_count += 1;
        self.samples_since_refresh += 1;
        if self.total_count >= MAX_TOTAL_COUNT {
            self.halve_counts();
        }
        if self.samples_since_refresh >= SAMPLES_PER_REFRESH
            || self.total_count <= SAMPLES_PER_REFRESH
        {
            self.recompute_quantiles();
        }
    }

    /// Returns the number of latencies in the histogram.
    pub(crate) fn sample_count(&self) -> u32 {
        self.total_count
    }

    /// Returns the median in milliseconds, or `None` if nothing was recorded.
    pub(crate) fn median_ms(&self) -> Option<u64> {
        (self.total_count > 0).then_some(self.median_ms)
    }

    /// Returns the high quantile in milliseconds, or `None` if nothing was recorded.
    pub(crate) fn high_quantile_ms(&self) -> Option<u64> {
        (self.total_count > 0).then_some(self.high_ms)
    }

    /// Halves the counts for each half-life since they were last halved.
    fn decay_counts(&mut self, now: Time) {
        let halving_count = now.ms_since(self.decayed_at) / COUNT_HALF_LIFE_MS;
        if halving_count == 0 {
            return;
        }
        self.decayed_at = self.decayed_at + halving_count * COUNT_HALF_LIFE_MS;
        for _ in 0..halving_count {
            if self.total_count == 0 {
                break;
            }
            self.halve_counts();
        }
        // After halving, each new latency has a large weight, so the quantiles are recomputed at
        // once.
        self.samples_since_refresh = SAMPLES_PER_REFRESH;
    }

    /// Halves the counts. The remainder of each division is carried to the next larger latency. If
    /// it were dropped, single stragglers would vanish sooner than the body of the distribution.
    fn halve_counts(&mut self) {
        self.total_count = 0;
        let mut remainder = 0;
        for count in self.counts.iter_mut() {
            let sum = *count + remainder;
            *count = sum / 2;
            remainder = sum % 2;
            self.total_count += u32::from(*count);
        }
    }

    fn recompute_quantiles(&mut self) {
        self.samples_since_refresh = 0;
        self.median_ms = self.quantile_ms(0.5);
        self.high_ms = self.quantile_ms(self.high_quantile);
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        let rank = (f64::from(self.total_count) * quantile).ceil() as u32;
        let mut cumulative_count = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative_count += u32::from(*count);
            if cumulative_count >= rank {
                return bucket_upper_ms(index as u64);
            }
        }
        bucket_upper_ms(BUCKET_COUNT as u64 - 1)
    }
}

/// Returns the index of the bucket for a latency.
fn bucket_index(latency_ms: u64) -> usize {
    if latency_ms < LINEAR_LIMIT_MS {
        return latency_ms as usize;
    }
    let octave = u64::from(latency_ms.ilog2() - LINEAR_LIMIT_MS.ilog2());
    let sub_bucket = (latency_ms >> (octave + 1)) - BUCKETS_PER_OCTAVE;
    let index = LINEAR_LIMIT_MS + octave * BUCKETS_PER_OCTAVE + sub_bucket;
    (index as usize).min(BUCKET_COUNT - 1)
}

/// Returns the largest latency of a bucket, in milliseconds.
fn bucket_upper_ms(index: u64) -> u64 {
    if index < LINEAR_LIMIT_MS {
        return index;
    }
    let octave = (index - LINEAR_LIMIT_MS) / BUCKETS_PER_OCTAVE;
    let sub_bucket = (index - LINEAR_LIMIT_MS) % BUCKETS_PER_OCTAVE;
    ((BUCKETS_PER_OCTAVE + sub_bucket + 1) << (octave + 1)) - 1
}
