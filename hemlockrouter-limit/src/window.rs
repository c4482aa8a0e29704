//! The answers since the limit of an upstream changed.
//!
//! A customer whose own queries are slow or fail says little of the upstream as long as others are
//! served in time. Its late answers are then excused, or it could throttle everybody.

use hemlockrouter_types::prelude::*;

/// How much a request that failed counts against the upstream, in late answers.
const FAILED_VOTES: u32 = 2;

/// Timely and late answers, and whose they were.
#[derive(Debug, Default)]
pub(crate) struct Window {
    timely: u32,
    late: u32,
    timely_of: Customers,
    late_of: Customers,
    /// Timely answers, in milliseconds, from which the usual time is learned if the window ends well.
    lessons: Vec<(CustomerKey, u64)>,
}

/// None, one or several customers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Customers {
    #[default]
    None,
    One(CustomerKey),
    Several,
}

impl Window {
    /// Counts an answer in time, of `served_ms`.
    pub(crate) fn add_timely(&mut self, customer: CustomerKey, served_ms: u64) {
        self.timely += 1;
        self.timely_of.add(customer);
        self.lessons.push((customer, served_ms));
    }

    /// Returns the timely answers.
    pub(crate) fn into_lessons(self) -> Vec<(CustomerKey, u64)> {
        self.lessons
    }

    /// Counts a late answer.
    pub(crate) fn add_late(&mut self, customer: CustomerKey) {
        self.late += 1;
        self.late_of.add(customer);
    }

    /// Counts a request that failed.
    pub(crate) fn add_failed(&mut self, customer: CustomerKey) {
        self.late += FAILED_VOTES;
        self.late_of.add(customer);
    }

    /// Returns whether it holds at least `size` answers.
    pub(crate) fn is_full(&self, size: u32) -> bool {
        self.timely + self.late >= size
    }

    /// Returns whether more than half of `size` answers were late, and not for one customer alone.
    pub(crate) fn is_mostly_late(&self, size: u32) -> bool {
        self.late * 2 > size && !self.is_excused()
    }

    /// Returns whether a quarter of the answers was late, and not for one customer alone.
    pub(crate) fn is_partly_late(&self) -> bool {
        self.late * 4 >= self.timely + self.late && !self.is_excused()
    }

    /// Returns whether all late answers are of one customer while another is served in time.
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
