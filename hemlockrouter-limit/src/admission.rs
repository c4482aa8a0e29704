//! Per-customer limits on the requests that one instance admits.
//!
//! Each customer has a bound on its concurrent requests and a token bucket for its requests per
//! second. The bucket holds one second's worth of tokens. Tokens are counted in thousandths, so
//! that refilling needs no rounding: each millisecond adds as many thousandths of a token as the
//! customer may send requests per second.

use hemlockrouter_types::prelude::*;

/// Cost of one request, in thousandths of a token.
const MILLITOKENS_PER_REQUEST: u64 = 1_000;

/// Minimum retry delay for a customer that has reached its bound on concurrent requests, in
/// milliseconds. The instance can't predict when one of the customer's own requests ends.
const IN_FLIGHT_RETRY_AFTER_MIN_MS: u32 = 50;

/// Admits the requests of customers at the instance that receives them.
///
/// # Examples
///
/// ```
/// use hemlockrouter_limit::Admission;
/// use hemlockrouter_types::prelude::*;
///
/// let mut admission = Admission::new();
/// admission.configure(Time::ZERO, &Catalog::default());
/// let refusal = admission.admit(Time::ZERO, CustomerKey::from_raw(0)).unwrap_err();
/// assert_eq!(refusal.reason, RefusalReason::NotConfigured);
/// ```
#[derive(Debug, Default)]
pub struct Admission {
    /// Token buckets, indexed by the slot of the customer's key.
    customers: Vec<Option<CustomerBucket>>,
}

#[derive(Debug)]
struct CustomerBucket {
    customer: CustomerKey,
    max_in_flight: u32,
    max_per_second: u64,
    in_flight: u32,
    millitokens: u64,
    refilled_at: Time,
}

impl Admission {
    /// Creates an `Admission` without customers, which refuses every request.
    pub fn new() -> Admission {
        Admission::default()
    }

    /// Replaces the customers and their limits by those in `catalog`. A customer that stays in the
    /// catalogue keeps its tokens and its count of requests in flight.
    pub fn configure(&mut self, now: Time, catalog: &Catalog) {
        let mut previous_buckets = std::mem::take(&mut self.customers);
        for (key, customer) in catalog.customers.iter() {
            let slot = key.slot();
            let kept_bucket = previous_buckets.get_mut(slot).and_then(Option::take);
            let kept_bucket = kept_bucket.filter(|bucket| bucket.customer == key);
            let mut bucket = kept_bucket.unwrap_or_else(|| CustomerBucket::new(now, key));
            bucket.resize(now, customer.max_in_flight, customer.max_per_second);
            if self.customers.len() <= slot {
                self.customers.resize_with(slot + 1, || None);
            }
            self.customers[slot] = Some(bucket);
        }
    }

    /// Admits one request of `customer`. The caller reports its end with
    /// [`finish`](Admission::finish).
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with [`RefusalReason::CustomerLimit`] if the customer has reached one
    /// of its limits, and with [`RefusalReason::NotConfigured`] if the customer is unknown.
    pub fn admit(&mut self, now: Time, customer: CustomerKey) -> Result<(), Refusal> {
        let Some(bucket) = self.bucket_mut(customer) else {
            return Err(Refusal {
                reason: RefusalReason::NotConfigured,
                retry_after_ms: 0,
            });
        };
        bucket.refill(now);
        let retry_after_ms = bucket.retry_after_ms();
        if retry_after_ms > 0 {
            return Err(Refusal {
                reason: RefusalReason::CustomerLimit,
                retry_after_ms,
            });
        }
        bucket.millitokens -= MILLITOKENS_PER_REQUEST;
        bucket.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request of `customer`.
    pub fn finish(&mut self, customer: CustomerKey) {
        if let Some(bucket) = self.bucket_mut(customer) {
            bucket.in_flight = bucket.in_flight.saturating_sub(1);
        }
    }

    /// Returns the number of requests of `customer` that were admitted and have not ended.
    pub fn in_flight(&self, customer: CustomerKey) -> u32 {
        let bucket = self.customers.get(customer.slot()).and_then(Option::as_ref);
        bucket
            .filter(|bucket| bucket.customer == customer)
            .map_or(0, |bucket| bucket.in_flight)
    }

    fn bucket_mut(&mut self, customer: CustomerKey) -> Option<&mut CustomerBucket> {
        let bucket = self.customers.get_mut(customer.slot())?.as_mut()?;
        (bucket.customer == customer).then_some(bucket)
    }
}

impl CustomerBucket {
    fn new(now: Time, customer: CustomerKey) -> CustomerBucket {
        CustomerBucket {
            customer,
            max_in_flight: 0,
            max_per_second: 0,
            in_flight: 0,
            millitokens: u64::MAX,
            refilled_at: now,
        }
    }

    fn resize(&mut self, now: Time, max_in_flight: u32, max_per_second: u32) {
        if self.millitokens != u64::MAX {
            self.refill(now);
        }
        self.max_in_flight = max_in_flight;
        self.max_per_second = u64::from(max_per_second);
        self.millitokens = self.millitokens.min(self.capacity());
    }

    fn capacity(&self) -> u64 {
        self.max_per_second * MILLITOKENS_PER_REQUEST
    }

    fn refill(&mut self, now: Time) {
        let added_millitokens = now
            .ms_since(self.refilled_at)
            .saturating_mul(self.max_per_second);
        self.millitokens = self
            .millitokens
            .saturating_add(added_millitokens)
            .min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the milliseconds until a request can be admitted, or 0 if one can be admitted now.
    fn retry_after_ms(&self) -> u32 {
        if self.max_per_second == 0 || self.max_in_flight == 0 {
            return u32::MAX;
        }
        let missing_millitokens = MILLITOKENS_PER_REQUEST.saturating_sub(self.millitokens);
        let rate_delay_ms = missing_millitokens.div_ceil(self.max_per_second) as u32;
        if self.in_flight < self.max_in_flight {
            return rate_delay_ms;
        }
        rate_delay_ms.max(IN_FLIGHT_RETRY_AFTER_MIN_MS)
    }
}
