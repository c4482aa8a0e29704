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

use crate::config::QueueOrder;
use crate::mean::MovingMean;

/// Cost of one millisecond in a slot, in tag units, before division by the weight.
const COST_PER_MS: u64 = 1 << 16;

/// Age after which the measurements of a customer are discarded, in milliseconds.
const MEASUREMENT_MAX_AGE_MS: u64 = 1_000;

/// A sub-request that waits in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) id: SubRequestId,
    pub(crate) customer: CustomerKey,
    pub(crate) weight: u32,
    pub(crate) deadline: Time,
    /// Number of the sub-request in the order of arrival, which breaks ties between equal
    /// deadlines.
    pub(crate) seq: u64,
}

/// A sub-request that was removed from the queue for dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DequeuedRequest {
    pub(crate) waiting: WaitingRequest,
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
    order: QueueOrder,
    /// Queues per customer, indexed by the slot of the customer's key.
    flows: Vec<Option<Box<CustomerFlow>>>,
    /// Customers with waiting sub-requests, by the key of the configured dispatch order. The
    /// key is the tag if the order is fair over customers.
    by_order_key: BTreeSet<(u64, CustomerKey)>,
    /// Customers with waiting sub-requests, by the latest time at which their most urgent
    /// sub-request must start.
    by_latest_start: BTreeSet<(Time, CustomerKey)>,
    /// Customers with waiting sub-requests, by the number of these.
    by_length: BTreeSet<(usize, CustomerKey)>,
    len: usize,
    /// Tag of the last dispatch, which is the virtual time of the fair queue.
    virtual_time: u64,
    /// Slot of the next flow that is checked for removal.
    next_checked_slot: usize,
}

/// Waiting sub-requests and measurements of one customer at one upstream.
#[derive(Debug)]
struct CustomerFlow {
    customer: CustomerKey,
    start_tag: u64,
    waiting: VecDeque<WaitingRequest>,
    /// Service time of the customer's sub-requests at the upstream.
    service_time: MovingMean,
    /// Time between dispatches of the customer while more of its sub-requests waited.
    dispatch_gap: MovingMean,
    last_dispatch_at: Option<Time>,
    last_served_at: Time,
    index_keys: Option<IndexKeys>,
}

/// Keys under which a customer is listed in the ordered sets of the queue.
#[derive(Clone, Copy, Debug)]
struct IndexKeys {
    order_key: u64,
    latest_start: Time,
    len: usize,
}

impl Queue {
    /// Creates an empty queue.
    pub(crate) fn new(order: QueueOrder) -> Queue {
        Queue {
            order,
            flows: Vec::new(),
            by_order_key: BTreeSet::new(),
            by_latest_start: BTreeSet::new(),
            by_length: BTreeSet::new(),
            len: 0,
            virtual_time: 0,
            next_checked_slot: 0,
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
    pub(crate) fn push(&mut self, now: Time, waiting: WaitingRequest) {
        let customer = waiting.customer;
        let virtual_time = self.virtual_time;
        let order = self.order;
        let flow = self.flow_mut(customer);
        if flow.waiting.is_empty() {
            flow.start_tag = flow.start_tag.max(virtual_time);
            flow.reset_stale_means(now);
        }
        let index = flow.position(order, waiting.deadline, waiting.seq);
        flow.waiting.insert(index, waiting);
        self.len += 1;
        self.update_indexes(customer);
        self.drop_one_stale_flow(now);
    }

    /// Removes the next sub-request in the configured order, and charges its customer the estimated
    /// cost.
    pub(crate) fn pop(&mut self, now: Time) -> Option<DequeuedRequest> {
        let &(_, customer) = self.by_order_key.first()?;
        let charge_by_time = self.order == QueueOrder::FairByTime;
        let flow = self.flow_mut(customer);
        let start_tag = flow.start_tag;
        let waiting = flow
            .waiting
            .pop_front()
            .expect("a customer in the index has a waiting request");
        let charge = Charge {
            customer,
            weight: u64::from(waiting.weight.max(1)),
            estimate_ms: if charge_by_time {
                flow.served_ms(now)
            } else {
                0
            },
        };
        flow.start_tag += charge.cost(charge.estimate_ms);
        flow.observe_dispatch(now);
        self.virtual_time = self.virtual_time.max(start_tag);
        self.len -= 1;
        self.update_indexes(customer);
        Some(DequeuedRequest { waiting, charge })
    }

    /// Replaces the estimated cost of a dispatch by the time for which the sub-request occupied a
    /// slot.
    pub(crate) fn settle_charge(&mut self, charge: Charge, took_ms: u64) {
        // The customer may have been removed since the dispatch, and its slot may belong to another
        // one.
        if self.order != QueueOrder::FairByTime || self.flow(charge.customer).is_none() {
            return;
        }
        let flow = self.flow_mut(charge.customer);
        let estimated_cost = charge.cost(charge.estimate_ms);
        flow.start_tag = (flow.start_tag + charge.cost(took_ms)).saturating_sub(estimated_cost);
        self.update_indexes(charge.customer);
    }

    /// Removes a sub-request.
    pub(crate) fn remove(&mut self, customer: CustomerKey, deadline: Time, seq: u64) {
        let order = self.order;
        let flow = self.flow_mut(customer);
        let index = flow.position(order, deadline, seq);
        let removed = flow.waiting.remove(index);
        debug_assert!(removed.is_some_and(|waiting| waiting.seq == seq));
        self.len -= 1;
        self.update_indexes(customer);
    }

    /// Removes a sub-request that can no longer be completed by its deadline.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<WaitingRequest> {
        let &(latest_start, customer) = self.by_latest_start.first()?;
        if latest_start >= now {
            return None;
        }
        let waiting = self.flow_mut(customer).waiting.pop_front();
        self.len -= 1;
        self.update_indexes(customer);
        waiting
    }

    /// Returns the latest time at which the most urgent sub-request must start.
    pub(crate) fn latest_start(&self) -> Option<Time> {
        self.by_latest_start
            .first()
            .map(|&(latest_start, _)| latest_start)
    }

    /// Evicts a sub-request from a full queue to make room for one of `customer`. The evicted
    /// sub-request has the latest deadline of the customer with the longest queue. Returns `None`
    /// if `customer` itself would have the longest queue, or if the order is not fair over
    /// customers.
    pub(crate) fn evict_for(&mut self, customer: CustomerKey) -> Option<WaitingRequest> {
        if matches!(
            self.order,
            QueueOrder::EarliestDeadline | QueueOrder::FirstIn
        ) {
            return None;
        }
        let &(max_len, longest_customer) = self.by_length.last()?;
        let own_len = self.flow(customer).map_or(0, |flow| flow.waiting.len());
        if own_len + 1 >= max_len {
            return None;
        }
        let evicted = *self.flow(longest_customer)?.waiting.back()?;
        self.remove(longest_customer, evicted.deadline, evicted.seq);
        Some(evicted)
    }

    /// Removes all sub-requests, in the order of customers.
    pub(crate) fn drain(&mut self) -> Vec<WaitingRequest> {
        let mut drained = Vec::with_capacity(self.len);
        for flow in self.flows.iter_mut().flatten() {
            drained.extend(flow.waiting.drain(..));
            flow.index_keys = None;
        }
        self.by_order_key.clear();
        self.by_latest_start.clear();
        self.by_length.clear();
        self.len = 0;
        drained
    }

    /// Removes the customers for which `is_known` returns false, and returns their waiting
    /// sub-requests.
    pub(crate) fn drain_unknown_customers<F>(&mut self, is_known: F) -> Vec<WaitingRequest>
    where
        F: Fn(CustomerKey) -> bool,
    {
        let mut drained = Vec::new();
        for slot in 0..self.flows.len() {
            let Some(flow) = &self.flows[slot] else {
                continue;
            };
            if is_known(flow.customer) {
                continue;
            }
            let customer = flow.customer;
            let waiting = std::mem::take(&mut self.flow_mut(customer).waiting);
            self.len -= waiting.len();
            drained.extend(waiting);
            self.update_indexes(customer);
            self.flows[slot] = None;
        }
        drained
    }

    /// Records the service time of a sub-request of `customer` at the upstream.
    pub(crate) fn observe_served(&mut self, now: Time, customer: CustomerKey, served_ms: u32) {
        if self.flow(customer).is_some() {
            self.flow_mut(customer).observe_served(now, served_ms);
            self.update_indexes(customer);
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
        let ahead_count = flow.position(self.order, deadline, u64::MAX);
        flow.estimate_dispatch_ms(ahead_count, slots)
    }

    /// Estimates how long it takes to dispatch all waiting sub-requests of `customer` to `slots`
    /// slots, in milliseconds.
    pub(crate) fn drain_ms(&self, customer: CustomerKey, slots: u32) -> u64 {
        self.flow(customer).map_or(0, |flow| {
            flow.estimate_dispatch_ms(flow.waiting.len(), slots)
        })
    }

    /// Checks the next flow in turn, and drops it if it is idle and its measurements are stale.
    ///
    /// One check at each push bounds the number of flows to about the number of recently active
    /// customers, at a constant cost.
    fn drop_one_stale_flow(&mut self, now: Time) {
        self.next_checked_slot = (self.next_checked_slot + 1) % self.flows.len();
        let virtual_time = self.virtual_time;
        let flow = &mut self.flows[self.next_checked_slot];
        if flow
            .as_ref()
            .is_some_and(|flow| flow.is_stale(now, virtual_time))
        {
            *flow = None;
        }
    }

    fn flow(&self, customer: CustomerKey) -> Option<&CustomerFlow> {
        let flow = self.flows.get(customer.slot())?.as_deref()?;
        (flow.customer == customer).then_some(flow)
    }

    fn flow_mut(&mut self, customer: CustomerKey) -> &mut CustomerFlow {
        let slot = customer.slot();
        if self.flows.len() <= slot {
            self.flows.resize_with(slot + 1, || None);
        }
        let flow = self.flows[slot].get_or_insert_with(|| Box::new(CustomerFlow::new(customer)));
        if flow.customer != customer {
            debug_assert!(flow.waiting.is_empty());
            **flow = CustomerFlow::new(customer);
        }
        flow
    }

    /// Updates the entries of a customer in the ordered sets.
    fn update_indexes(&mut self, customer: CustomerKey) {
        let order = self.order;
        let flow = self.flow_mut(customer);
        let new_keys = flow.index_keys_for(order);
        let old_keys = std::mem::replace(&mut flow.index_keys, new_keys);
        move_index_entry(
            &mut self.by_order_key,
            customer,
            old_keys.map(|old_keys| old_keys.order_key),
            new_keys.map(|new_keys| new_keys.order_key),
        );
        move_index_entry(
            &mut self.by_latest_start,
            customer,
            old_keys.map(|old_keys| old_keys.latest_start),
            new_keys.map(|new_keys| new_keys.latest_start),
        );
        move_index_entry(
            &mut self.by_length,
            customer,
            old_keys.map(|old_keys| old_keys.len),
            new_keys.map(|new_keys| new_keys.len),
        );
    }
}

/// Moves a customer from one key of an ordered set to another. A key of `None` means that the
/// customer is not in the set.
fn move_index_entry<T>(
    set: &mut BTreeSet<(T, CustomerKey)>,
    customer: CustomerKey,
    old_key: Option<T>,
    new_key: Option<T>,
) where
    T: Ord,
{
    if old_key == new_key {
        return;
    }
    if let Some(old_key) = old_key {
        set.remove(&(old_key, customer));
    }
    if let Some(new_key) = new_key {
        set.insert((new_key, customer));
    }
}

impl CustomerFlow {
    fn new(customer: CustomerKey) -> CustomerFlow {
        CustomerFlow {
            customer,
            start_tag: 0,
            waiting: VecDeque::new(),
            service_time: MovingMean::default(),
            dispatch_gap: MovingMean::default(),
            last_dispatch_at: None,
            last_served_at: Time::ZERO,
            index_keys: None,
        }
    }

    fn index_keys_for(&self, order: QueueOrder) -> Option<IndexKeys> {
        let head = self.waiting.front()?;
        let order_key = match order {
            QueueOrder::FairByTime | QueueOrder::FairByCount => self.start_tag,
            QueueOrder::EarliestDeadline => head.deadline.as_ms(),
            QueueOrder::FirstIn => head.seq,
        };
        Some(IndexKeys {
            order_key,
            latest_start: head
                .deadline
                .minus_ms(self.service_time.mean_ms().unwrap_or(0)),
            len: self.waiting.len(),
        })
    }

    fn is_stale(&self, now: Time, virtual_time: u64) -> bool {
        self.waiting.is_empty()
            && self.start_tag <= virtual_time
            && now.ms_since(self.last_served_at) > MEASUREMENT_MAX_AGE_MS
    }

    /// Returns how many sub-requests precede one with `deadline` and `seq`.
    fn position(&self, order: QueueOrder, deadline: Time, seq: u64) -> usize {
        if order == QueueOrder::FirstIn {
            return self.waiting.partition_point(|other| other.seq < seq);
        }
        self.waiting
            .partition_point(|other| (other.deadline, other.seq) < (deadline, seq))
    }

    fn observe_served(&mut self, now: Time, served_ms: u32) {
        self.service_time
            .observe_with_fast_decrease(u64::from(served_ms));
        self.last_served_at = now;
    }

    /// Returns the mean service time, or 0 if the last measurement is too old. An estimate so high
    /// that all work is refused would otherwise never be corrected.
    fn served_ms(&self, now: Time) -> u64 {
        if now.ms_since(self.last_served_at) > MEASUREMENT_MAX_AGE_MS {
            return 0;
        }
        self.service_time.mean_ms().unwrap_or(0)
    }

    /// Estimates how long `count` dispatches take, in milliseconds. If no gap between dispatches
    /// was measured, the customer is assumed to have all slots to itself.
    fn estimate_dispatch_ms(&self, count: usize, slots: u32) -> u64 {
        let count = count as u64;
        match self.dispatch_gap.mean_ms() {
            Some(_) => self.dispatch_gap.multiple_ms(count),
            None => self.service_time.multiple_ms(count) / u64::from(slots),
        }
    }

    fn observe_dispatch(&mut self, now: Time) {
        if let Some(last) = self.last_dispatch_at {
            self.dispatch_gap.observe(now.ms_since(last));
        }
        self.last_dispatch_at = (!self.waiting.is_empty()).then_some(now);
    }

    fn reset_stale_means(&mut self, now: Time) {
        let stale = self
            .last_dispatch_at
            .is_none_or(|last| now.ms_since(last) > MEASUREMENT_MAX_AGE_MS);
        if stale {
            self.dispatch_gap = MovingMean::default();
        }
        if now.ms_since(self.last_served_at) > MEASUREMENT_MAX_AGE_MS {
            self.service_time = MovingMean::default();
        }
        self.last_dispatch_at = None;
    }
}

impl Charge {
    fn cost(&self, took_ms: u64) -> u64 {
        COST_PER_MS * took_ms.max(1) / self.weight
    }
}
