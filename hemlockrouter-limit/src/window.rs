//! Counts of timely and late answers of an upstream since its limit changed.
//!
//! Slow or failing queries of a single customer say little about the upstream as long as other
//! customers are served in time. Late answers to that customer alone are therefore ignored. A
//! single customer could otherwise lower the limit for all others.

use hemlockrouter_types::prelude::*;

/// Number of late answers that a failed request counts as.
const LATE_ANSWERS_PER_FAILURE: u32 = 2;

/// Timely and late answers, with the customers that received them.
#[derive(Debug, Default)]
pub(crate) struct Window {
    timely: u32,
    late: u32,
    timely_of: Customers,
    late_of: Customers,
    /// Latencies of the timely answers, in milliseconds. The baseline is learned from these if most
    /// answers of the window are timely.
    lessons: Vec<(CustomerKey, u64)>,
}

/// Whether no, one or several customers were recorded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Customers {
    #[default]
    None,
    One(CustomerKey),
    Several,
}

impl Window {
    /// Records a timely answer that took `served_ms` milliseconds.
    pub(crate) fn add_timely(&mut self, customer: CustomerKey, served_ms: u64) {
        self.timely += 1;
        self.timely_of.add(customer);
        self.lessons.push((customer, served_ms));
    }

    /// Returns the customers and latencies of the timely answers.
    pub(crate) fn into_lessons(self) -> Vec<(CustomerKey, u64)> {
        self.lessons
    }

    /// Records a late answer.
    pub(crate) fn add_late(&mut self, customer: CustomerKey) {
        self.late += 1;
        self.late_of.add(customer);
    }

    /// Records a failed request.
    pub(crate) fn add_failed(&mut self, customer: CustomerKey) {
        self.late += LATE_ANSWERS_PER_FAILURE;
        self.late_of.add(customer);
    }

    /// Returns whether the window holds at least `size` answers.
    pub(crate) fn is_full(&self, size: u32) -> bool {
        self.timely + self.late >= size
    }

    /// Returns whether more than half of `size` answers were late, unless only a single customer is
    /// affected.
    pub(crate) fn is_mostly_late(&self, size: u32) -> bool {
        self.late * 2 > size && !self.is_excused()
    }

    /// Returns whether at least a quarter of the answers were late, unless only a single customer
    /// is affected.
    pub(crate) fn is_partly_late(&self) -> bool {
        self.late * 4 >= self.timely + self.late && !self.is_excused()
    }

    /// Returns whether there are no late answers, or all of them went to one customer while another
    /// customer was served in time.
    pub(crate) fn is_excused(&self) -> bool {
        match (self.late_of, self.timely_of) {
            (Customers::None, _) | (Customers::One(_), Customers::Several) => true,
            (Customers::One(late), Customers::One(timely)) => late != timely,
            (Customers::One(_), Customers::None) | (Customers::Several, _) => false,
        }
    }
}

impl Customers {
    fn add(&mut self, customer: CustomerKey) {
        *self = match *self {
            Customers::None => Customers::One(customer),
            Customers::One(one) if one == customer => Customers::One(one),
            Customers::One(_) | Customers::Several => Customers::Several,
        };
    }
}
