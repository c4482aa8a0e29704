//! Latency of each customer's sub-requests at one upstream.
//!
//! Customers send different queries, and the mix of customers may change from one second to the
//! next. The latency of an answer is therefore compared with earlier answers to the same customer.

use hemlockrouter_types::prelude::*;

use crate::mean::ArithmeticMean;
use crate::mean::MovingMean;

/// Latency history of one upstream.
#[derive(Debug, Default)]
pub(crate) struct LatencyHistory {
    /// Latencies per customer, indexed by the slot of the customer's key.
    customers: Vec<Option<CustomerLatency>>,
    /// Number of times that the baseline latencies were discarded.
    baseline_generation: u32,
    /// Number of cold starts.
    cold_start_number: u32,
}

/// Latencies of one customer at the upstream.
#[derive(Debug)]
struct CustomerLatency {
    customer: CustomerKey,
    baseline_generation: u32,
    baseline: MovingMean,
    cold_start_number: u32,
    cold_start_mean: ArithmeticMean,
}

impl LatencyHistory {
    /// Returns the mean latency of answers to `customer` from the warm upstream, in milliseconds.
    pub(crate) fn baseline_ms(&self, customer: CustomerKey) -> Option<u64> {
        let customer_latency = self.customer_latency(customer)?;
        if customer_latency.baseline_generation != self.baseline_generation {
            return None;
        }
        customer_latency.baseline.mean_ms()
    }

    /// Returns the mean latency of answers to `customer` in the current cold start, in
    /// milliseconds.
    pub(crate) fn cold_start_mean_ms(&self, customer: CustomerKey) -> Option<u64> {
        let customer_latency = self.customer_latency(customer)?;
        if customer_latency.cold_start_number != self.cold_start_number
            || customer_latency.cold_start_mean.count() == 0
        {
            return None;
        }
        Some(customer_latency.cold_start_mean.mean())
    }

    /// Adds the latency of an answer from the warm upstream to the customer's baseline.
    pub(crate) fn observe_warm(&mut self, customer: CustomerKey, served_ms: u64) {
        let baseline_generation = self.baseline_generation;
        let customer_latency = self.customer_latency_mut(customer);
        if customer_latency.baseline_generation != baseline_generation {
            customer_latency.baseline_generation = baseline_generation;
            customer_latency.baseline = MovingMean::default();
        }
        customer_latency.baseline.observe(served_ms);
    }

    /// Adds the latency of an answer during a cold start to the customer's mean for that cold
    /// start.
    pub(crate) fn observe_cold(&mut self, customer: CustomerKey, served_ms: u64) {
        let cold_start_number = self.cold_start_number;
        let customer_latency = self.customer_latency_mut(customer);
        if customer_latency.cold_start_number != cold_start_number {
            customer_latency.cold_start_number = cold_start_number;
            customer_latency.cold_start_mean = ArithmeticMean::default();
        }
        customer_latency.cold_start_mean.observe(served_ms);
    }

    /// Starts the per-customer means of a new cold start.
    pub(crate) fn begin_cold_start(&mut self) {
        self.cold_start_number = self.cold_start_number.wrapping_add(1);
    }

    /// Discards the baseline latencies of all customers.
    pub(crate) fn discard_baselines(&mut self) {
        self.baseline_generation = self.baseline_generation.wrapping_add(1);
    }

    fn customer_latency(&self, customer: CustomerKey) -> Option<&CustomerLatency> {
        let customer_latency = self.customers.get(customer.slot())?.as_ref()?;
        (customer_latency.customer == customer).then_some(customer_latency)
    }

    fn customer_latency_mut(&mut self, customer: CustomerKey) -> &mut CustomerLatency {
        let slot = customer.slot();
        if self.customers.len() <= slot {
            self.customers.resize_with(slot + 1, || None);
        }
        let previous = self.customers[slot].take();
        let customer_latency =
            previous.filter(|customer_latency| customer_latency.customer == customer);
        self.customers[slot].insert(customer_latency.unwrap_or_else(|| CustomerLatency {
            customer,
            baseline_generation: self.baseline_generation,
            baseline: MovingMean::default(),
            cold_start_number: self.cold_start_number,
            cold_start_mean: ArithmeticMean::default(),
        }))
    }
}
