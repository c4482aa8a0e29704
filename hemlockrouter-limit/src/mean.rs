//! Means of durations in whole milliseconds.

/// An exponentially weighted mean. It falls fast and rises slowly: an estimate that is too high
/// refuses or delays work that could have been done, and would correct itself late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    /// In eighths of a millisecond; `None` before the first sample.
    mean_x8: Option<u64>,
}

/// The plain mean of a run of samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Run {
    count: u32,
    sum_ms: u64,
}

impl Mean {
    /// Returns the mean in milliseconds.
    pub(crate) fn ms(&self) -> Option<u64> {
        self.mean_x8.map(|mean_x8| mean_x8 / 8)
    }

    /// Returns `count` times the mean in milliseconds, or 0 before the first sample.
    pub(crate) fn times_ms(&self, count: u64) -> u64 {
        self.mean_x8.unwrap_or(0) * count / 8
    }

    /// Takes in a sample.
    pub(crate) fn observe(&mut self, sample_ms: u64) {
        let sample_x8 = sample_ms * 8;
        self.mean_x8 = Some(match self.mean_x8 {
            None => sample_x8,
            Some(mean_x8) if sample_x8 * 2 < mean_x8 => (mean_x8 + sample_x8) / 2,
            Some(mean_x8) => mean_x8 - mean_x8 / 8 + sample_ms,
        });
    }

    /// Forgets all samples but `sample_ms`.
    pub(crate) fn reset(&mut self, sample_ms: u64) {
        self.mean_x8 = Some(sample_ms * 8);
    }
}

impl Run {
    /// Takes in a sample.
    pub(crate) fn observe(&mut self, sample_ms: u64) {
        self.count += 1;
        self.sum_ms += sample_ms;
    }

    /// Returns the number of samples.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the mean in milliseconds, or 0 without samples.
    pub(crate) fn mean_ms(&self) -> u64 {
        self.sum_ms / u64::from(self.count.max(1))
    }
}
