//! Means of whole numbers, such as durations in milliseconds.

/// Exponentially weighted moving mean in which each new sample has a weight of one eighth.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    /// The mean times eight, or `None` before the first sample.
    mean_x8: Option<u64>,
}

/// Arithmetic mean of a series of samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ArithmeticMean {
    count: u32,
    sum: u64,
}

impl MovingMean {
    /// Returns the mean in milliseconds.
    pub(crate) fn mean_ms(&self) -> Option<u64> {
        self.mean_x8.map(|mean_x8| mean_x8 / 8)
    }

    /// Returns `count` times the mean in milliseconds, or 0 before the first sample.
    pub(crate) fn multiple_ms(&self, count: u64) -> u64 {
        self.mean_x8.unwrap_or(0) * count / 8
    }

    /// Adds a sample.
    pub(crate) fn observe(&mut self, sample: u64) {
        self.mean_x8 = Some(match self.mean_x8 {
            None => sample * 8,
            Some(mean_x8) => mean_x8 - mean_x8 / 8 + sample,
        });
    }

    /// Adds a sample. A sample below half of the mean moves the mean half the way to the sample.
    ///
    /// An estimate that is too high causes refusals of work that could have been done. Few samples
    /// then arrive to correct the estimate, so each one must count for more.
    pub(crate) fn observe_with_fast_decrease(&mut self, sample: u64) {
        match self.mean_x8 {
            Some(mean_x8) if sample * 16 < mean_x8 => {
                self.mean_x8 = Some((mean_x8 + sample * 8) / 2);
            }
            _ => self.observe(sample),
        }
    }
}

impl ArithmeticMean {
    /// Adds a sample.
    pub(crate) fn observe(&mut self, sample: u64) {
        self.count += 1;
        self.sum += sample;
    }

    /// Returns the number of samples.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the mean, or 0 without samples.
    pub(crate) fn mean(&self) -> u64 {
        self.sum / u64::from(self.count.max(1))
    }
}
