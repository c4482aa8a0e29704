//! A token bucket that bounds extra load as a share of the load itself.
//!
//! Each first try earns a fraction of a token and each extra one spends a whole token, so extra
//! load can't exceed its share for long, whatever goes wrong. A fixed rate per second would not
//! shrink with the load, and a limit per query lets a fault that touches every query multiply it.
//! Each customer has a bucket of its own: failures of one must not use up what another needs.

use hemlockrouter_types::prelude::*;

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

    /// Earns for a first try.
    pub(crate) fn earn(&mut self) {
        self.level = (self.level + self.earned_per_send).min(self.burst);
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

/// A bucket for each customer.
#[derive(Clone, Debug)]
pub(crate) struct Budgets {
    full: Budget,
    buckets: Vec<Option<(CustomerKey, Budget)>>,
}

impl Budgets {
    /// Makes buckets that each earn `share` tokens for each send and hold `burst` tokens.
    pub(crate) fn new(share: f64, burst: u32) -> Budgets {
        Budgets {
            full: Budget::new(share, burst),
            buckets: Vec::new(),
        }
    }

    /// Returns the bucket of `customer`.
    pub(crate) fn of(&mut self, customer: CustomerKey) -> &mut Budget {
        let slot = customer.slot();
        if self.buckets.len() <= slot {
            self.buckets.resize(slot + 1, None);
        }
        let bucket = &mut self.buckets[slot];
        if bucket.as_ref().is_none_or(|(owner, _)| *owner != customer) {
            *bucket = Some((customer, self.full.clone()));
        }
        let (_, budget) = bucket.as_mut().expect("the bucket was just made");
        budget
    }
}
