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
const LINEAR_MS: u64 = 16;

/// Number of buckets for each power of two above [`LINEAR_MS`].
const PER_OCTAVE: u64 = 8;

/// Number of powers of two above [`LINEAR_MS`] that have their own buckets.
const OCTAVES: u64 = 12;

const BUCKETS: usize = (LINEAR_MS + PER_OCTAVE * OCTAVES) as usize;

/// Total count at which all counts are halved.
const WINDOW: u32 = 1_024;

/// Interval at which all counts are halved, in milliseconds.
const HALF_LIFE_MS: u64 = 2_000;

/// Number of new latencies after which the quantiles are recomputed.
const REFRESH: u32 = 8;

/// Histogram of the recent latencies of one upstream or of one search.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    counts: Box<[u16; BUCKETS]>,
    total: u32,
    unseen: u32,
    /// The time at which the counts were last halved for their age.
    faded_at: Time,
    high_quantile: f64,
    median_ms: u64,
    high_ms: u64,
}

impl Latency {
    /// Creates an empty histogram that tracks the median and `high_quantile`.
    pub(crate) fn new(high_quantile: f64) -> Latency {
        Latency {
            counts: Box::new([0; BUCKETS]),
            total: 0,
            unseen: 0,
            faded_at: Time::ZERO,
            high_quantile,
            median_ms: 0,
            high_ms: 0,
        }
    }

    /// Records a latency in milliseconds that was observed at `now`.
    pub(crate) fn record(&mut self, now: Time, latency_ms: u64) {
        self.fade(now);
        self.counts[bucket(latency_ms)] += 1;
        self.total += 1;
        self.unseen += 1;
        if self.total >= WINDOW {
            self.halve();
        }
        if self.unseen >= REFRESH || self.total <= REFRESH {
            self.refresh();
        }
    }

    /// Returns the number of latencies in the histogram.
    pub(crate) fn samples(&self) -> u32 {
        self.total
    }

    /// Returns the median in milliseconds, or `None` if nothing was recorded.
    pub(crate) fn median_ms(&self) -> Option<u64> {
        (self.total > 0).then_some(self.median_ms)
    }

    /// Returns the high quantile in milliseconds, or `None` if nothing was recorded.
    pub(crate) fn high_ms(&self) -> Option<u64> {
        (self.total > 0).then_some(self.high_ms)
    }

    /// Halves the counts for each half-life since they were last halved.
    fn fade(&mut self, now: Time) {
        let halvings = now.since(self.faded_at) / HALF_LIFE_MS;
        if halvings == 0 {
            return;
        }
        self.faded_at = self.faded_at + halvings * HALF_LIFE_MS;
        for _ in 0..halvings {
            if self.total == 0 {
                break;
            }
            self.halve();
        }
        // After halving, each new latency has a large weight, so the quantiles are recomputed at
        // once.
        self.unseen = REFRESH;
    }

    /// Halves the counts. The remainder of each division is carried to the next larger latency. If
    /// it were dropped, single stragglers would vanish sooner than the body of the distribution.
    fn halve(&mut self) {
        self.total = 0;
        let mut left_over = 0;
        for count in self.counts.iter_mut() {
            let sum = *count + left_over;
            *count = sum / 2;
            left_over = sum % 2;
            self.total += u32::from(*count);
        }
    }

    fn refresh(&mut self) {
        self.unseen = 0;
        self.median_ms = self.quantile_ms(0.5);
        self.high_ms = self.quantile_ms(self.high_quantile);
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        let rank = (f64::from(self.total) * quantile).ceil() as u32;
        let mut below = 0;
        for (index, count) in self.counts.iter().enumerate() {
            below += u32::from(*count);
            if below >= rank {
                return upper_ms(index as u64);
            }
        }
        upper_ms(BUCKETS as u64 - 1)
    }
}

/// Returns the index of the bucket for a latency.
fn bucket(latency_ms: u64) -> usize {
    if latency_ms < LINEAR_MS {
        return latency_ms as usize;
    }
    let octave = u64::from(latency_ms.ilog2() - LINEAR_MS.ilog2());
    let step = (latency_ms >> (octave + 1)) - PER_OCTAVE;
    let index = LINEAR_MS + octave * PER_OCTAVE + step;
    (index as usize).min(BUCKETS - 1)
}

/// Returns the largest latency of a bucket, in milliseconds.
fn upper_ms(index: u64) -> u64 {
    if index < LINEAR_MS {
        return index;
    }
    let octave = (index - LINEAR_MS) / PER_OCTAVE;
    let step = (index - LINEAR_MS) % PER_OCTAVE;
    ((PER_OCTAVE + step + 1) << (octave + 1)) - 1
}
