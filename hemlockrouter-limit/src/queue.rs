//! Weighted fair queue of the sub-requests that wait for one upstream.
//!
//! Customers are served by start-time fair queueing (Goyal, Vin and Cheng, 1996). Each dispatch
//! advances the tag of its customer by the cost of the sub-request divided by its weight, and the
//! customer with the lowest tag is served next. The cost is the time for which the sub-request
//! occupies a slot. This cost is estimated at the dispatch and corrected at the end, so that a few
//! slow queries are charged as much as many fast ones. Within a customer, the earliest deadline
//! comes first. The queue of a customer is a sorted ring buffer: deadlines mostly arrive in order,
//! so an insertion is mostly a push at the back.
//!
//! Waiting times are estimated only from the customer's own queue and dispatches, so that the
//! estimates reveal nothing about other customers.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;

use crate::config::Order;
use crate::mean::MovingMean;

/// Cost of one millisecond in a slot, in tag units, before division by the weight.
const COST_PER_MS: u64 = 1 << 16;

/// Age after which the measurements of a customer are discarded, in milliseconds.
const MEASUREMENT_MAX_AGE_MS: u64 = 1_000;

/// A sub-request that waits in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) id: SubId,
    pub(crate) customer: CustomerKey,
    pub(crate) weight: u32,
    pub(crate) deadline: Time,
    /// Number of the sub-request in the order of arrival, which breaks ties between equal
    /// deadlines.
    pub(crate) seq: u64,
}

/// A sub-request that was removed from the queue for dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) waiting: Waiting,
    pub(crate) charge: Charge,
}

/// The cost that a customer was charged for a dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    pub(crate) customer: CustomerKey,
    weight: u64,
    estimate_ms: u64,
}

/// Queue of one upstream.
#[derive(Debug)]
pub(crate) struct Queue {
    order: Order,
    /// Queues per customer, indexed by the slot of the customer's key.
    flows: Vec<Option<Box<Flow>>>,
    /// Customers with waiting sub-requests, by tag.
    turns: BTreeSet<(u64, CustomerKey)>,
    /// Customers with waiting sub-requests, by the latest time at which their most urgent
    /// sub-request must start.
    heads: BTreeSet<(Time, CustomerKey)>,
    /// Customers with waiting sub-requests, by the number of these.
    lengths: BTreeSet<(usize, CustomerKey)>,
    len: usize,
    /// Tag of the last dispatch, which is the virtual time of the fair queue.
    turn: u64,
    /// Slot of the next flow that is checked for removal.
    hand: usize,
}

/// Waiting sub-requests and measurements of one customer at one upstream.
#[derive(Debug)]
struct Flow {
    customer: CustomerKey,
    tag: u64,
    waiting: VecDeque<Waiting>,
    /// Service time of the customer's sub-requests at the upstream.
    served: MovingMean,
    /// Time between dispatches of the customer while more of its sub-requests waited.
    gap: MovingMean,
    last_dispatch: Option<Time>,
    last_served: Time,
    listed: Option<Listed>,
}

/// Keys under which a customer is listed in the ordered sets of the queue.
#[derive(Clone, Copy, Debug)]
struct Listed {
    turn: u64,
    start_by: Time,
    len: usize,
}

impl Queue {
    /// Creates an empty queue.
    pub(crate) fn new(order: Order) -> Queue {
        Queue {
            order,
            flows: Vec::new(),
            turns: BTreeSet::new(),
            heads: BTreeSet::new(),
            lengths: BTreeSet::new(),
            len: 0,
            turn: 0,
            hand: 0,
        }
    }

    /// Returns the number of waiting sub-requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a sub-request.
    pub(crate) fn push(&mut self, now: Time, waiting: Waiting) {
        let customer = waiting.customer;
        let turn = self.turn;
        let order = self.order;
        let flow = self.flow_mut(customer);
        if flow.waiting.is_empty() {
            flow.tag = flow.tag.max(turn);
            flow.forget_gap(now);
        }
        let at = flow.rank(order, waiting.deadline, waiting.seq);
        flow.waiting.insert(at, waiting);
        self.len += 1;
        self.relist(customer);
        self.forget_one(now);
    }

    /// Removes the next sub-request in the configured order, and charges its customer the estimated
    /// cost.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Turn> {
        let &(_, customer) = self.turns.first()?;
        let by_time = self.order == Order::FairByTime;
        let flow = self.flow_mut(customer);
        let tag = flow.tag;
        let waiting = flow
            .waiting
            .pop_front()
            .expect("a listed customer has work waiting");
        let charge = Charge {
            customer,
            weight: u64::from(waiting.weight.max(1)),
            estimate_ms: if by_time { flow.served_ms(now) } else { 0 },
        };
        flow.tag += charge.cost(charge.estimate_ms);
        flow.observe_dispatch(now);
        self.turn = self.turn.max(tag);
        self.len -= 1;
        self.relist(customer);
        Some(Turn { waiting, charge })
    }

    /// Replaces the estimated cost of a dispatch by the time for which the sub-request occupied a
    /// slot.
    pub(crate) fn settle(&mut self, charge: Charge, took_ms: u64) {
        // The customer may have been removed since the dispatch, and its slot may belong to another
        // one.
        if self.order != Order::FairByTime || self.flow(charge.customer).is_none() {
            return;
        }
        let flow = self.flow_mut(charge.customer);
        let charged = charge.cost(charge.estimate_ms);
        flow.tag = (flow.tag + charge.cost(took_ms)).saturating_sub(charged);
        self.relist(charge.customer);
    }

    /// Removes a sub-request.
    pub(crate) fn remove(&mut self, customer: CustomerKey, deadline: Time, seq: u64) {
        let order = self.order;
        let flow = self.flow_mut(customer);
        let at = flow.rank(order, deadline, seq);
        let removed = flow.waiting.remove(at);
        debug_assert!(removed.is_some_and(|waiting| waiting.seq == seq));
        self.len -= 1;
        self.relist(customer);
    }

    /// Removes a sub-request that can no longer be completed by its deadline.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Waiting> {
        let &(start_by, customer) = self.heads.first()?;
        if start_by >= now {
            return None;
        }
        let waiting = self.flow_mut(customer).waiting.pop_front();
        self.len -= 1;
        self.relist(customer);
        waiting
    }

    /// Returns the latest time at which the most urgent sub-request must start.
    pub(crate) fn start_by(&self) -> Option<Time> {
        self.heads.first().map(|&(start_by, _)| start_by)
    }

    /// Evicts a sub-request from a full queue to make room for one of `customer`. The evicted
    /// sub-request has the latest deadline of the customer with the longest queue. Returns `None`
    /// if `customer` itself would have the longest queue, or if the order is not fair over
    /// customers.
    pub(crate) fn pop_spare(&mut self, customer: CustomerKey) -> Option<Waiting> {
        if matches!(self.order, Order::EarliestDeadline | Order::FirstIn) {
            return None;
        }
        let &(most, longest) = self.lengths.last()?;
        let own = self.flow(customer).map_or(0, |flow| flow.waiting.len());
        if own + 1 >= most {
            return None;
        }
        let back = *self.flow(longest)?.waiting.back()?;
        self.remove(longest, back.deadline, back.seq);
        Some(back)
    }

    /// Removes all sub-requests, in the order of customers.
    pub(crate) fn drain(&mut self) -> Vec<Waiting> {
        let mut all = Vec::with_capacity(self.len);
        for flow in self.flows.iter_mut().flatten() {
            all.extend(flow.waiting.drain(..));
            flow.listed = None;
        }
        self.turns.clear();
        self.heads.clear();
        self.lengths.clear();
        self.len = 0;
        all
    }

    /// Removes the customers for which `known` returns false, and returns their waiting
    /// sub-requests.
    pub(crate) fn drain_unknown<F>(&mut self, known: F) -> Vec<Waiting>
    where
        F: Fn(CustomerKey) -> bool,
    {
        let mut all = Vec::new();
        for slot in 0..self.flows.len() {
            let Some(flow) = &self.flows[slot] else {
                continue;
            };
            if known(flow.customer) {
                continue;
            }
            let customer = flow.customer;
            let waiting = std::mem::take(&mut self.flow_mut(customer).waiting);
            self.len -= waiting.len();
            all.extend(waiting);
            self.relist(customer);
            self.flows[slot] = None;
        }
        all
    }

    /// Records the service time of a sub-request of `customer` at the upstream.
    pub(crate) fn observe_served(&mut self, now: Time, customer: CustomerKey, served_ms: u32) {
        if self.flow(customer).is_some() {
            self.flow_mut(customer).observe_served(now, served_ms);
            self.relist(customer);
        }
    }

    /// Returns the mean service time of `customer` at the upstream in milliseconds, or 0 if it is
    /// unknown.
    pub(crate) fn served_ms(&self, now: Time, customer: CustomerKey) -> u64 {
        self.flow(customer).map_or(0, |flow| flow.served_ms(now))
    }

    /// Estimates how long a sub-request of `customer` with `deadline` would wait for one of `slots`
    /// slots, in milliseconds.
    pub(crate) fn wait_ms(&self, customer: CustomerKey, deadline: Time, slots: u32) -> u64 {
        let Some(flow) = self.flow(customer) else {
            return 0;
        };
        let ahead = flow.rank(self.order, deadline, u64::MAX);
        flow.dispatch_ms(ahead, slots)
    }

    /// Estimates how long it takes to dispatch all waiting sub-requests of `customer` to `slots`
    /// slots, in milliseconds.
    pub(crate) fn drain_ms(&self, customer: CustomerKey, slots: u32) -> u64 {
        self.flow(customer)
            .map_or(0, |flow| flow.dispatch_ms(flow.waiting.len(), slots))
    }

    /// Checks the next flow in turn, and drops it if it is idle and its measurements are stale.
    ///
    /// One check at each push bounds the number of flows to about the number of recently active
    /// customers, at a constant cost.
    fn forget_one(&mut self, now: Time) {
        self.hand = (self.hand + 1) % self.flows.len();
        let turn = self.turn;
        let flow = &mut self.flows[self.hand];
        if flow.as_ref().is_some_and(|flow| flow.is_stale(now, turn)) {
            *flow = None;
        }
    }

    fn flow(&self, customer: CustomerKey) -> Option<&Flow> {
        let flow = self.flows.get(customer.slot())?.as_deref()?;
        (flow.customer == customer).then_some(flow)
    }

    fn flow_mut(&mut self, customer: CustomerKey) -> &mut Flow {
        let slot = customer.slot();
        if self.flows.len() <= slot {
            self.flows.resize_with(slot + 1, || None);
        }
        let flow = self.flows[slot].get_or_insert_with(|| Box::new(Flow::new(customer)));
        if flow.customer != customer {
            debug_assert!(flow.waiting.is_empty());
            **flow = Flow::new(customer);
        }
        flow
    }

    /// Updates the entries of a customer in the ordered sets.
    fn relist(&mut self, customer: CustomerKey) {
        let order = self.order;
        let flow = self.flow_mut(customer);
        let new = flow.listed_by(order);
        let old = std::mem::replace(&mut flow.listed, new);
        replace(
            &mut self.turns,
            customer,
            old.map(|old| old.turn),
            new.map(|new| new.turn),
        );
        replace(
            &mut self.heads,
            customer,
            old.map(|old| old.start_by),
            new.map(|new| new.start_by),
        );
        replace(
            &mut self.lengths,
            customer,
            old.map(|old| old.len),
            new.map(|new| new.len),
        );
    }
}

/// Moves a customer from one key of an ordered set to another. A key of `None` means that the
/// customer is not in the set.
fn replace<T>(
    set: &mut BTreeSet<(T, CustomerKey)>,
    customer: CustomerKey,
    old: Option<T>,
    new: Option<T>,
) where
    T: Ord,
{
    if old == new {
        return;
    }
    if let Some(old) = old {
        set.remove(&(old, customer));
    }
    if let Some(new) = new {
        set.insert((new, customer));
    }
}

impl Flow {
    fn new(customer: CustomerKey) -> Flow {
        Flow {
            customer,
            tag: 0,
            waiting: VecDeque::new(),
            served: MovingMean::default(),
            gap: MovingMean::default(),
            last_dispatch: None,
            last_served: Time::ZERO,
            listed: None,
        }
    }

    fn listed_by(&self, order: Order) -> Option<Listed> {
        let head = self.waiting.front()?;
        let turn = match order {
            Order::FairByTime | Order::FairByCount => self.tag,
            Order::EarliestDeadline => head.deadline.as_ms(),
            Order::FirstIn => head.seq,
        };
        Some(Listed {
            turn,
            start_by: head.deadline.before(self.served.mean_ms().unwrap_or(0)),
            len: self.waiting.len(),
        })
    }

    fn is_stale(&self, now: Time, turn: u64) -> bool {
        self.waiting.is_empty()
            && self.tag <= turn
            && now.since(self.last_served) > MEASUREMENT_MAX_AGE_MS
    }

    /// Returns how many sub-requests precede one with `deadline` and `seq`.
    fn rank(&self, order: Order, deadline: Time, seq: u64) -> usize {
        if order == Order::FirstIn {
            return self.waiting.partition_point(|other| other.seq < seq);
        }
        self.waiting
            .partition_point(|other| (other.deadline, other.seq) < (deadline, seq))
    }

    fn observe_served(&mut self, now: Time, served_ms: u32) {
        self.served.observe_with_fast_fall(u64::from(served_ms));
        self.last_served = now;
    }

    /// Returns the mean service time, or 0 if the last measurement is too old. An estimate so high
    /// that all work is refused would otherwise never be corrected.
    fn served_ms(&self, now: Time) -> u64 {
        if now.since(self.last_served) > MEASUREMENT_MAX_AGE_MS {
            return 0;
        }
        self.served.mean_ms().unwrap_or(0)
    }

    /// Estimates how long `count` dispatches take, in milliseconds. If no gap between dispatches
    /// was measured, the customer is assumed to have all slots to itself.
    fn dispatch_ms(&self, count: usize, slots: u32) -> u64 {
        let count = count as u64;
        match self.gap.mean_ms() {
            Some(_) => self.gap.multiple_ms(count),
            None => self.served.multiple_ms(count) / u64::from(slots),
        }
    }

    fn observe_dispatch(&mut self, now: Time) {
        if let Some(last) = self.last_dispatch {
            self.gap.observe(now.since(last));
        }
        self.last_dispatch = (!self.waiting.is_empty()).then_some(now);
    }

    fn forget_gap(&mut self, now: Time) {
        let stale = self
            .last_dispatch
            .is_none_or(|last| now.since(last) > MEASUREMENT_MAX_AGE_MS);
        if stale {
            self.gap = MovingMean::default();
        }
        if now.since(self.last_served) > MEASUREMENT_MAX_AGE_MS {
            self.served = MovingMean::default();
        }
        self.last_dispatch = None;
    }
}

impl Charge {
    fn cost(&self, took_ms: u64) -> u64 {
        COST_PER_MS * took_ms.max(1) / self.weight
    }
}
