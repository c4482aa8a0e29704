//! Counts of timely and late answers of an upstream since its limit changed.
//!
//! Slow or failing queries of a single customer say little about the upstream as long as other
//! customers are served in time. If all late answers went to that customer, they are therefore
//! ignored. A single customer could otherwise lower the limit for all others.

use hemlockrouter_types::prelude::*;

/// Number of late answers that a failed request counts as.
const LATE_ANSWERS_PER_FAILURE: u32 = 2;

/// Timely and late answers, with the customers that received them.
#[derive(Debug, Default)]
pub(crate) struct AnswerWindow {
    timely_count: u32,
    late_count: u32,
    timely_customers: DistinctCustomers,
    late_customers: DistinctCustomers,
    /// Latencies of the timely answers, in milliseconds. The baseline is learned from these if most
    /// answers of the window are timely.
    timely_latencies: Vec<(CustomerKey, u64)>,
}

/// Whether no, one or several customers were recorded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum DistinctCustomers {
    #[default]
    None,
    One(CustomerKey),
    Several,
}

impl AnswerWindow {
    /// Records a timely answer that took `served_ms` milliseconds.
    pub(crate) fn add_timely(&mut self, customer: CustomerKey, served_ms: u64) {
        self.timely_count += 1;
        self.timely_customers.add(customer);
        self.timely_latencies.push((customer, served_ms));
    }

    /// Returns the customers and latencies of the timely answers.
    pub(crate) fn into_timely_latencies(self) -> Vec<(CustomerKey, u64)> {
        self.timely_latencies
    }

    /// Records a late answer.
    pub(crate) fn add_late(&mut self, customer: CustomerKey) {
        self.late_count += 1;
        self.late_customers.add(customer);
    }

    /// Records a failed request.
    pub(crate) fn add_failed(&mut self, customer: CustomerKey) {
        self.late_count += LATE_ANSWERS_PER_FAILURE;
        self.late_customers.add(customer);
    }

    /// Returns whether the window holds at least `size` answers.
    pub(crate) fn is_full(&self, size: u32) -> bool {
        self.timely_count + self.late_count >= size
    }

    /// Returns whether more than half of `size` answers were late, unless the late answers are to
    /// be ignored because all of them went to one customer while another customer was served in
    /// time.
    pub(crate) fn is_mostly_late(&self, size: u32) -> bool {
        self.late_count * 2 > size && !self.should_ignore_late_answers()
    }

    /// Returns whether at least a quarter of the answers were late, unless the late answers are to
    /// be ignored because all of them went to one customer while another customer was served in
    /// time.
    pub(crate) fn is_partly_late(&self) -> bool {
        self.late_count * 4 >= self.timely_count + self.late_count
            && !self.should_ignore_late_answers()
    }

    /// Returns whether there are no late answers, or all of them went to one customer while another
    /// customer was served in time.
    pub(crate) fn should_ignore_late_answers(&self) -> bool {
        match (self.late_customers, self.timely_customers) {
            (DistinctCustomers::None, _)
            | (DistinctCustomers::One(_), DistinctCustomers::Several) => true,
            (DistinctCustomers::One(late_customer), DistinctCustomers::One(timely_customer)) => {
                late_customer != timely_customer
            }
            (DistinctCustomers::One(_), DistinctCustomers::None)
            | (DistinctCustomers::Several, _) => false,
        }
    }
}

impl DistinctCustomers {
    fn add(&mut self, customer: CustomerKey) {
        *self = match *self {
            DistinctCustomers::None => DistinctCustomers::One(customer),
            DistinctCustomers::One(previous) if previous == customer => {
                DistinctCustomers::One(previous)
            }
            DistinctCustomers::One(_) | DistinctCustomers::Several => DistinctCustomers::Several,
        };
    }
}
