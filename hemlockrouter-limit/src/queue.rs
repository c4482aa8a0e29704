//! The weighted fair queue of one upstream.
//!
//! Customers take turns by start-time fair queueing (Goyal, Vin and Cheng, 1996): each dispatch
//! moves its customer's tag on by the cost of the work divided by its weight, and the customer with
//! the lowest tag is next. The cost is the time for which the work keeps a slot. It is estimated at
//! the dispatch and settled at the end, so that a few slow queries weigh as much as many quick
//! ones. Within a customer the earliest deadline goes first. A customer's queue is a sorted ring:
//! deadlines mostly come in order, so an insert is mostly a push at its end.
//!
//! Waiting times are estimated from the customer's own queue and own dispatches alone, so that what
//! it is told says nothing of others.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;

use crate::config::Order;
use crate::mean::Mean;

/// The cost of one millisecond in a slot, in units of tags, before division by the weight.
const COST: u64 = 1 << 16;

/// What was observed of a customer longer ago than this tells nothing any more, in milliseconds.
const MEMORY_MS: u64 = 1_000;

/// A sub-request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) id: SubId,
    pub(crate) customer: CustomerKey,
    pub(crate) weight: u32,
    pub(crate) deadline: Time,
    /// Counts what the queue took in; it settles the order of equal deadlines.
    pub(crate) seq: u64,
}

/// A sub-request that was taken out to be dispatched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) waiting: Waiting,
    pub(crate) charge: Charge,
}

/// What a customer was charged for a dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    pub(crate) customer: CustomerKey,
    weight: u64,
    estimate_ms: u64,
}

/// The queue of one upstream.
#[derive(Debug)]
pub(crate) struct Queue {
    order: Order,
    /// By the slot of the customer's key.
    flows: Vec<Option<Box<Flow>>>,
    /// Customers that wait, by tag.
    turns: BTreeSet<(u64, CustomerKey)>,
    /// Customers that wait, by when their most urgent work must start.
    heads: BTreeSet<(Time, CustomerKey)>,
    /// Customers that wait, by how many sub-requests of theirs do.
    lengths: BTreeSet<(usize, CustomerKey)>,
    len: usize,
    /// The tag of the last dispatch.
    turn: u64,
    /// The slot that is looked at next for a flow to forget.
    hand: usize,
}

/// What one customer has waiting for one upstream.
#[derive(Debug)]
struct Flow {
    customer: CustomerKey,
    tag: u64,
    waiting: VecDeque<Waiting>,
    /// How long its work took at the upstream.
    served: Mean,
    /// The gap between its dispatches while more of it waited.
    gap: Mean,
    last_dispatch: Option<Time>,
    last_served: Time,
    listed: Option<Listed>,
}

/// The places of a customer in the sets of its queue.
#[derive(Clone, Copy, Debug)]
struct Listed {
    turn: u64,
    start_by: Time,
    len: usize,
}

impl Queue {
    /// Makes an empty queue.
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

    /// Returns how many sub-requests wait.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
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

    /// Takes out the sub-request whose turn it is, and charges its customer.
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

    /// Charges the customer with the time for which its work kept a slot, in place of the estimate.
    pub(crate) fn settle(&mut self, charge: Charge, took_ms: u64) {
        // The customer may have been withdrawn since, and its slot be another's.
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

    /// Takes out work that can't be done any more by its deadline.
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

    /// Returns when the most urgent work must start.
    pub(crate) fn start_by(&self) -> Option<Time> {
        self.heads.first().map(|&(start_by, _)| start_by)
    }

    /// Takes out what must make room in a full queue for work of `customer`: the latest deadline of
    /// the customer that has most waiting. Returns `None` if that would be `customer` itself.
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

    /// Takes out everything, in the order of customers.
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

    /// Takes out what waits for customers for which `known` does not hold, and forgets these.
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

    /// Takes in how long work of `customer` took at the upstream.
    pub(crate) fn observe_served(&mut self, now: Time, customer: CustomerKey, served_ms: u32) {
        if self.flow(customer).is_some() {
            self.flow_mut(customer).observe_served(now, served_ms);
            self.relist(customer);
        }
    }

    /// Returns how long work of `customer` takes at the upstream, in milliseconds; 0 if unknown.
    pub(crate) fn served_ms(&self, now: Time, customer: CustomerKey) -> u64 {
        self.flow(customer).map_or(0, |flow| flow.served_ms(now))
    }

    /// Estimates how long work of `customer` with `deadline` would wait for one of `slots` slots, in
    /// milliseconds.
    pub(crate) fn wait_ms(&self, customer: CustomerKey, deadline: Time, slots: u32) -> u64 {
        let Some(flow) = self.flow(customer) else {
            return 0;
        };
        let ahead = flow.rank(self.order, deadline, u64::MAX);
        flow.dispatch_ms(ahead, slots)
    }

    /// Estimates how long it takes until all that `customer` has waiting is dispatched to `slots`
    /// slots, in milliseconds.
    pub(crate) fn drain_ms(&self, customer: CustomerKey, slots: u32) -> u64 {
        self.flow(customer)
            .map_or(0, |flow| flow.dispatch_ms(flow.waiting.len(), slots))
    }

    /// Looks at one flow, and forgets it if nothing that it holds matters any more.
    ///
    /// Called at each push, this keeps about as many flows as there are customers that lately asked
    /// for work, at a constant cost.
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

    /// Brings the places of a customer in the sets up to date.
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

/// Moves a customer in a set from one place to another; `None` is not in the set.
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
            served: Mean::default(),
            gap: Mean::default(),
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
            start_by: head.deadline.before(self.served.ms().unwrap_or(0)),
            len: self.waiting.len(),
        })
    }

    fn is_stale(&self, now: Time, turn: u64) -> bool {
        self.waiting.is_empty() && self.tag <= turn && now.since(self.last_served) > MEMORY_MS
    }

    /// Returns how many sub-requests go before one with `deadline` and `seq`.
    fn rank(&self, order: Order, deadline: Time, seq: u64) -> usize {
        if order == Order::FirstIn {
            return self.waiting.partition_point(|other| other.seq < seq);
        }
        self.waiting
            .partition_point(|other| (other.deadline, other.seq) < (deadline, seq))
    }

    fn observe_served(&mut self, now: Time, served_ms: u32) {
        self.served.observe_falling(u64::from(served_ms));
        self.last_served = now;
    }

    /// An estimate that refuses all work would never be corrected, so it is forgotten after a while.
    fn served_ms(&self, now: Time) -> u64 {
        if now.since(self.last_served) > MEMORY_MS {
            return 0;
        }
        self.served.ms().unwrap_or(0)
    }

    /// Estimates how long `count` dispatches take. Without gaps to go by, as if the customer had all
    /// slots to itself.
    fn dispatch_ms(&self, count: usize, slots: u32) -> u64 {
        let count = count as u64;
        match self.gap.ms() {
            Some(_) => self.gap.times_ms(count),
            None => self.served.times_ms(count) / u64::from(slots),
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
            .is_none_or(|last| now.since(last) > MEMORY_MS);
        if stale {
            self.gap = Mean::default();
        }
        if now.since(self.last_served) > MEMORY_MS {
            self.served = Mean::default();
        }
        self.last_dispatch = None;
    }
}

impl Charge {
    fn cost(&self, took_ms: u64) -> u64 {
        COST * took_ms.max(1) / self.weight
    }
}
