//! Latency of each customer's sub-requests at one upstream.
//!
//! Customers send different queries, and the mix of customers may change from one second to the
//! next. The latency of an answer is therefore compared with earlier answers to the same customer.

use hemlockrouter_types::prelude::*;

use crate::mean::Mean;
use crate::mean::Run;

/// Latency history of one upstream.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Latencies per customer, indexed by the slot of the customer's key.
    customers: Vec<Option<Past>>,
    /// Number of times that the baseline latencies were discarded.
    generation: u32,
    /// Number of cold starts.
    cold_start: u32,
}

/// Latencies of one customer at the upstream.
#[derive(Debug)]
struct Past {
    customer: CustomerKey,
    generation: u32,
    usual: Mean,
    cold_start: u32,
    cold: Run,
}

impl History {
    /// Returns the mean latency of answers to `customer` from the warm upstream, in milliseconds.
    pub(crate) fn usual_ms(&self, customer: CustomerKey) -> Option<u64> {
        let past = self.past(customer)?;
        if past.generation != self.generation {
            return None;
        }
        past.usual.ms()
    }

    /// Returns the mean latency of answers to `customer` in the current cold start, in
    /// milliseconds.
    pub(crate) fn cold_ms(&self, customer: CustomerKey) -> Option<u64> {
        let past = self.past(customer)?;
        if past.cold_start != self.cold_start || past.cold.count() == 0 {
            return None;
        }
        Some(past.cold.mean())
    }

    /// Adds the latency of an answer from the warm upstream to the customer's baseline.
    pub(crate) fn observe_warm(&mut self, customer: CustomerKey, served_ms: u64) {
        let generation = self.generation;
        let past = self.past_mut(customer);
        if past.generation != generation {
            past.generation = generation;
            past.usual = Mean::default();
        }
        past.usual.observe(served_ms);
    }

    /// Adds the latency of an answer during a cold start to the customer's mean for that cold
    /// start.
    pub(crate) fn observe_cold(&mut self, customer: CustomerKey, served_ms: u64) {
        let cold_start = self.cold_start;
        let past = self.past_mut(customer);
        if past.cold_start != cold_start {
            past.cold_start = cold_start;
            past.cold = Run::default();
        }
        past.cold.observe(served_ms);
    }

    /// Starts the per-customer means of a new cold start.
    pub(crate) fn begin_cold_start(&mut self) {
        self.cold_start = self.cold_start.wrapping_add(1);
    }

    /// Discards the baseline latencies of all customers.
    pub(crate) fn forget_usual(&mut self) {
        self.generation = self.generation.wrapping_add(1);
    }

    fn past(&self, customer: CustomerKey) -> Option<&Past> {
        let past = self.customers.get(customer.slot())?.as_ref()?;
        (past.customer == customer).then_some(past)
    }

    fn past_mut(&mut self, customer: CustomerKey) -> &mut Past {
        let slot = customer.slot();
        if self.customers.len() <= slot {
            self.customers.resize_with(slot + 1, || None);
        }
        let known = self.customers[slot].take();
        let past = known.filter(|past| past.customer == customer);
        self.customers[slot].insert(past.unwrap_or_else(|| Past {
            customer,
            generation: self.generation,
            usual: Mean::default(),
            cold_start: self.cold_start,
            cold: Run::default(),
        }))
    }
}
