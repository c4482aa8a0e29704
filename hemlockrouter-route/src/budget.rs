//! A token bucket that bounds extra load as a share of the load itself.
//!
//! Each first try earns a fraction of a token and each extra one spends a whole token, so extra
//! load can't exceed its share for long, whatever goes wrong. A fixed rate per second would not
//! shrink with the load, and a limit per query lets a fault that touches every query multiply it.

/// Units of one token; shares are exact to a thousandth.
const TOKEN: u64 = 1_000;

/// A bucket of tokens.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    earned_per_send: u64,
    burst: u64,
    level: u64,
}

impl Budget {
    /// Makes a full bucket that earns `share` tokens for each send and holds `burst` tokens.
    pub(crate) fn new(share: f64, burst: u32) -> Budget {
        let burst = u64::from(burst) * TOKEN;
        Budget {
            earned_per_send: (share * TOKEN as f64) as u64,
            burst,
            level: burst,
        }
    }

    /// Earns for `sends` first tries.
    pub(crate) fn earn(&mut self, sends: u64) {
        let level = self.level + sends * self.earned_per_send;
        self.level = level.min(self.burst);
    }

    /// Returns whether a token is left.
    pub(crate) fn has_token(&self) -> bool {
        self.level >= TOKEN
    }

    /// Spends a token, and returns whether there was one.
    pub(crate) fn spend(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.level -= TOKEN;
        true
    }
}
