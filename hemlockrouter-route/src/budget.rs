//! Token buckets that bound extra load as a share of the regular load.
//!
//! Each first try earns a fraction of a token and each extra try spends a whole token, so extra
//! load can't exceed its share for long under any failure. A fixed rate per second would not shrink
//! with the load, and a limit per query would let a fault that affects every query multiply the
//! load. Each customer has a separate bucket, so that failures of one customer do not use up the
//! budget of another.

use hemlockrouter_types::prelude::*;

/// Number of units in one token; shares have a resolution of one thousandth.
const UNITS_PER_TOKEN: u64 = 1_000;

/// Token bucket for the extra load of one customer.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    units_per_first_try: u64,
    max_units: u64,
    available_units: u64,
}

impl Budget {
    /// Creates a full bucket that earns `share` tokens for each first try and holds at most `burst`
    /// tokens.
    pub(crate) fn new(share: f64, burst: u32) -> Budget {
        let max_units = u64::from(burst) * UNITS_PER_TOKEN;
        Budget {
            units_per_first_try: (share * UNITS_PER_TOKEN as f64) as u64,
            max_units,
            available_units: max_units,
        }
    }

    /// Adds the share of a token that one first try earns.
    pub(crate) fn earn(&mut self) {
        self.available_units =
            (self.available_units + self.units_per_first_try).min(self.max_units);
    }

    /// Returns whether at least one token is left.
    pub(crate) fn has_token(&self) -> bool {
        self.available_units >= UNITS_PER_TOKEN
    }

    /// Spends a token and returns `true`, or returns `false` if no token is left.
    pub(crate) fn spend(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.available_units -= UNITS_PER_TOKEN;
        true
    }
}

/// Token buckets by customer.
#[derive(Clone, Debug)]
pub(crate) struct Budgets {
    full_budget: Budget,
    buckets: Vec<Option<(CustomerKey, Budget)>>,
}

impl Budgets {
    /// Creates buckets that each earn `share` tokens for each first try and hold at most `burst`
    /// tokens.
    pub(crate) fn new(share: f64, burst: u32) -> Budgets {
        Budgets {
            full_budget: Budget::new(share, burst),
            buckets: Vec::new(),
        }
    }

    /// Returns the bucket of `customer`, which is full at first use.
    pub(crate) fn for_customer(&mut self, customer: CustomerKey) -> &mut Budget {
        let slot = customer.slot();
        if self.buckets.len() <= slot {
            self.buckets.resize(slot + 1, None);
        }
        let bucket = &mut self.buckets[slot];
        if bucket.as_ref().is_none_or(|(owner, _)| *owner != customer) {
            *bucket = Some((customer, self.full_budget.clone()));
        }
        let (_, budget) = bucket.as_mut().expect("the bucket was just made");
        budget
    }
}
