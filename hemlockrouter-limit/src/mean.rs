//! Means of whole numbers, such as durations in milliseconds.

/// An exponentially weighted mean in which each sample counts one eighth.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    /// In eighths; `None` before the first sample.
    mean_x8: Option<u64>,
}

/// The plain mean of a run of samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Run {
    count: u32,
    sum: u64,
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
    pub(crate) fn observe(&mut self, sample: u64) {
        self.mean_x8 = Some(match self.mean_x8 {
            None => sample * 8,
            Some(mean_x8) => mean_x8 - mean_x8 / 8 + sample,
        });
    }

    /// Takes in a sample, and moves half the way to one that is below half of the mean.
    ///
    /// An estimate that is too high refuses work that could have been done, and would then be
    /// corrected by few samples.
    pub(crate) fn observe_falling(&mut self, sample: u64) {
        match self.mean_x8 {
            Some(mean_x8) if sample * 16 < mean_x8 => {
                self.mean_x8 = Some((mean_x8 + sample * 8) / 2);
            }
            _ => self.observe(sample),
        }
    }
}

impl Run {
    /// Takes in a sample.
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
