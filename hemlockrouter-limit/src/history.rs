//! How long the work of each customer takes at one upstream.
//!
//! Customers' queries differ, and so may the mix of customers from one second to the next. An answer
//! is therefore judged against earlier answers to the same customer.

use hemlockrouter_types::prelude::*;

use crate::mean::Mean;
use crate::mean::Run;

/// The history of one upstream.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// By the slot of the customer's key.
    customers: Vec<Option<Past>>,
    /// Counts how often the usual times were forgotten.
    generation: u32,
    /// Counts cold starts.
    cold_start: u32,
}

/// What is known of one customer.
#[derive(Debug)]
struct Past {
    customer: CustomerKey,
    generation: u32,
    usual: Mean,
    cold_start: u32,
    cold: Run,
}

impl History {
    /// Returns how long answers to `customer` take when the upstream is warm, in milliseconds.
    pub(crate) fn usual_ms(&self, customer: CustomerKey) -> Option<u64> {
        let past = self.past(customer)?;
        if past.generation != self.generation {
            return None;
        }
        past.usual.ms()
    }

    /// Returns how long answers to `customer` have taken in this cold start, in milliseconds.
    pub(crate) fn cold_ms(&self, customer: CustomerKey) -> Option<u64> {
        let past = self.past(customer)?;
        if past.cold_start != self.cold_start || past.cold.count() == 0 {
            return None;
        }
        Some(past.cold.mean())
    }

    /// Takes in an answer of the warm upstream.
    pub(crate) fn observe_warm(&mut self, customer: CustomerKey, served_ms: u64) {
        let generation = self.generation;
        let past = self.past_mut(customer);
        if past.generation != generation {
            past.generation = generation;
            past.usual = Mean::default();
        }
        past.usual.observe(served_ms);
    }

    /// Takes in an answer of a cold start.
    pub(crate) fn observe_cold(&mut self, customer: CustomerKey, served_ms: u64) {
        let cold_start = self.cold_start;
        let past = self.past_mut(customer);
        if past.cold_start != cold_start {
            past.cold_start = cold_start;
            past.cold = Run::default();
        }
        past.cold.observe(served_ms);
    }

    /// Begins a cold start.
    pub(crate) fn begin_cold_start(&mut self) {
        self.cold_start = self.cold_start.wrapping_add(1);
    }

    /// Forgets the usual times.
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
