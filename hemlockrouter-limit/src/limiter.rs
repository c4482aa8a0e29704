//! The limiter: finds the upstream of each event and carries out what its state allows.
//!
//! An id is known from its offer to its end, so a duplicated offer, cancel or end finds that it came
//! before and does nothing. The ids of work that must not be repeated are remembered for some time
//! longer.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::queue::Turn;
use crate::queue::Waiting;
use crate::timers::Timers;
use crate::upstream::Flight;
use crate::upstream::Upstream;
use crate::work::Command;
use crate::work::Ended;
use crate::work::Status;
use crate::work::Work;

/// A hasher without a random seed. The maps that use it are never iterated.
type FixedHasher = BuildHasherDefault<DefaultHasher>;

/// Decides when sub-requests go to the upstreams that this instance owns.
///
/// Every event method pushes its commands to `out`. Whoever reports the end of a dispatched
/// sub-request with [`finish`](Limiter::finish) also answers its sender; the limiter refuses only
/// what it did not dispatch.
#[derive(Debug)]
pub struct Limiter {
    config: Config,
    upstreams: HashMap<UpstreamKey, Upstream, FixedHasher>,
    /// The keys of `upstreams`, in order.
    keys: Vec<UpstreamKey>,
    /// By the slot of the customer's key.
    customers: Vec<Option<CustomerKey>>,
    items: HashMap<SubId, Item, FixedHasher>,
    /// Ended work that must not be repeated.
    ended_once: HashSet<SubId, FixedHasher>,
    ended_order: VecDeque<(Time, SubId)>,
    timers: Timers,
    seq: u64,
    /// The instant of the last event.
    now: Time,
}

/// A sub-request that was offered and has not ended.
#[derive(Clone, Copy, Debug)]
struct Item {
    upstream: UpstreamKey,
    once: bool,
    stage: Stage,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Waiting {
        customer: CustomerKey,
        deadline: Time,
        seq: u64,
    },
    InFlight {
        flight: Flight,
        cancelled: bool,
    },
}

impl Limiter {
    /// Makes a limiter that knows no upstream.
    pub fn new(config: Config) -> Limiter {
        Limiter {
            config,
            upstreams: HashMap::default(),
            keys: Vec::new(),
            customers: Vec::new(),
            items: HashMap::default(),
            ended_once: HashSet::default(),
            ended_order: VecDeque::new(),
            timers: Timers::default(),
            seq: 0,
            now: Time::ZERO,
        }
    }

    /// Takes upstreams and customers from `catalog`. Those that stay keep their state. An upstream
    /// that was withdrawn or is out of service refuses what waits for it; what is in flight goes on.
    pub fn configure(&mut self, now: Time, catalog: &Catalog, out: &mut Vec<Command>) {
        self.customers.clear();
        for (key, _) in catalog.customers.iter() {
            self.customers.resize(key.slot() + 1, None);
            self.customers[key.slot()] = Some(key);
        }
        let order = self.config.order;
        for (key, entry) in catalog.upstreams.iter() {
            let upstream = self.upstreams.entry(key).or_insert_with(|| {
                let name = entry.name.clone();
                Upstream::new(now, name, entry.slots, entry.cold_slots, order)
            });
            upstream.resize(entry.slots, entry.cold_slots);
            upstream.in_service = catalog.in_service(key);
        }
        let mut keys = std::mem::take(&mut self.keys);
        keys.extend(catalog.upstreams.iter().map(|(key, _)| key));
        keys.sort_unstable();
        keys.dedup();
        for &key in &keys {
            let upstream = self.upstream_mut(key);
            upstream.withdrawn = catalog.upstreams.get(key).is_none();
            self.refuse_withdrawn(key, out);
            self.pump(now, key, out);
        }
        keys.retain(|&key| {
            let upstream = self.upstream_mut(key);
            let keep = !upstream.withdrawn || upstream.in_flight > 0;
            if !keep {
                self.upstreams.remove(&key);
            }
            keep
        });
        self.keys = keys;
    }

    /// Takes note that the ownership lease of `upstream` is held until `until`. After a gap the
    /// upstream is taken for cold.
    pub fn hold(&mut self, now: Time, upstream: UpstreamKey, until: Time, out: &mut Vec<Command>) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.hold(now, until, &self.config, out);
            self.pump(now, upstream, out);
        }
    }

    /// Takes note that the ownership lease of `upstream` is given up. What waits is refused.
    pub fn release(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.release();
            self.pump(now, upstream, out);
        }
    }

    /// Takes note that the platform's list, or another source besides the upstream's own answers,
    /// calls `upstream` leaving or no longer does.
    pub fn mark_leaving(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        leaving: bool,
        out: &mut Vec<Command>,
    ) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.mark_leaving(now, leaving, &self.config, out);
            self.pump(now, upstream, out);
        }
    }

    /// Takes in work: it is dispatched, waits, or is refused at once. An id that was offered before
    /// is passed over.
    pub fn offer(&mut self, now: Time, work: Work, out: &mut Vec<Command>) {
        self.forget_ended(now);
        if self.items.contains_key(&work.id) || self.ended_once.contains(&work.id) {
            return;
        }
        if let Err(refusal) = self.check(now, &work) {
            self.refuse_offer(now, &work, refusal, out);
            return;
        }
        if !self.make_room(now, &work, out) {
            return;
        }
        self.seq += 1;
        let waiting = Waiting {
            id: work.id,
            customer: work.customer,
            weight: work.weight,
            deadline: work.deadline,
            seq: self.seq,
            since: now,
        };
        let item = Item {
            upstream: work.upstream,
            once: work.once,
            stage: Stage::Waiting {
                customer: work.customer,
                deadline: work.deadline,
                seq: self.seq,
            },
        };
        self.items.insert(work.id, item);
        self.upstream_mut(work.upstream).queue.push(now, waiting);
        self.pump(now, work.upstream, out);
    }

    /// Cancels work: it is refused if it waits, and the upstream is asked to cancel it if it is in
    /// flight.
    pub fn cancel(&mut self, now: Time, id: SubId, out: &mut Vec<Command>) {
        let Some(item) = self.items.get_mut(&id) else {
            return;
        };
        let upstream = item.upstream;
        match &mut item.stage {
            &mut Stage::Waiting {
                customer,
                deadline,
                seq,
            } => {
                self.upstream_mut(upstream)
                    .queue
                    .remove(customer, deadline, seq);
                let refusal = self.refusal(Reason::Cancelled, 0);
                self.refuse(now, id, refusal, out);
                self.pump(now, upstream, out);
            }
            Stage::InFlight { cancelled, .. } => {
                if !*cancelled {
                    *cancelled = true;
                    out.push(Command::CancelUpstream { id, upstream });
                }
            }
        }
    }

    /// Takes in how dispatched work ended. A second end of the same work is passed over.
    pub fn finish(&mut self, now: Time, id: SubId, ended: Ended, out: &mut Vec<Command>) {
        let Some(&Item {
            upstream,
            stage: Stage::InFlight { flight, .. },
            ..
        }) = self.items.get(&id)
        else {
            return;
        };
        self.forget(now, id);
        let state = self
            .upstreams
            .get_mut(&upstream)
            .expect("an upstream is kept while work is in flight");
        state.finish(now, flight, ended, &self.config, out);
        if state.withdrawn && state.in_flight == 0 {
            self.upstreams.remove(&upstream);
            self.keys.retain(|&key| key != upstream);
            return;
        }
        self.pump(now, upstream, out);
    }

    /// Does what is due. It is called at [`next_wake`](Limiter::next_wake).
    pub fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.forget_ended(now);
        while let Some((at, upstreams)) = self.timers.pop(now) {
            for upstream in upstreams {
                let Some(state) = self.upstreams.get_mut(&upstream) else {
                    continue;
                };
                if state.wake != Some(at) {
                    continue;
                }
                state.wake = None;
                self.pump(now, upstream, out);
            }
        }
    }

    /// Returns when [`tick`](Limiter::tick) is to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns how many requests to `upstream` are in flight.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams
            .get(&upstream)
            .map_or(0, |state| state.in_flight)
    }

    /// Returns the condition of `upstream` at the last event, or `None` if it is unknown.
    pub fn status(&self, upstream: UpstreamKey) -> Option<Status> {
        let state = self.upstreams.get(&upstream)?;
        Some(state.status(self.now))
    }

    /// Checks whether work can be taken in, apart from the length of the queue.
    fn check(&self, now: Time, work: &Work) -> Result<(), Refusal> {
        let customer = self.customers.get(work.customer.slot());
        let Some(state) = self.upstreams.get(&work.upstream) else {
            return Err(self.refusal(Reason::NotConfigured, 0));
        };
        if customer != Some(&Some(work.customer)) {
            return Err(self.refusal(Reason::NotConfigured, 0));
        }
        if state.lease_until(now).is_none() {
            return Err(self.refusal(Reason::NotOwner, 0));
        }
        if state.is_leaving(now) {
            return Err(self.leaving_refusal(now, state));
        }
        let left_ms = work.deadline.left(now);
        let served_ms = state.queue.served_ms(now, work.customer);
        if left_ms == 0 || served_ms > left_ms {
            return Err(self.refusal(Reason::Deadline, 0));
        }
        if let Some(pause) = state.pause(now) {
            let pause_ms = pause.until.left(now);
            if pause.reason == Reason::Unreachable || pause_ms + served_ms > left_ms {
                return Err(self.refusal(pause.reason, pause_ms));
            }
        }
        let wait_ms = state.queue.wait_ms(work.customer, work.deadline);
        if wait_ms + served_ms > left_ms {
            let drain_ms = state.queue.drain_ms(work.customer);
            return Err(self.refusal(Reason::Overloaded, drain_ms));
        }
        Ok(())
    }

    /// Makes room in a full queue at the cost of the customer that has most waiting. Returns whether
    /// `work` may be added; if it may not, it was refused.
    fn make_room(&mut self, now: Time, work: &Work, out: &mut Vec<Command>) -> bool {
        let queue_max = self.config.queue_max;
        let queue = &mut self.upstream_mut(work.upstream).queue;
        if queue.len() < queue_max {
            return true;
        }
        let Some(spare) = queue.pop_spare(work.customer) else {
            let drain_ms = queue.drain_ms(work.customer);
            let refusal = self.refusal(Reason::Overloaded, drain_ms);
            self.refuse_offer(now, work, refusal, out);
            return false;
        };
        let drain_ms = queue.drain_ms(spare.customer);
        let refusal = self.refusal(Reason::Overloaded, drain_ms);
        self.refuse(now, spare.id, refusal, out);
        true
    }

    /// Does all that the state of `upstream` allows, and sets its timer.
    fn pump(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        self.now = now;
        self.upstreams
            .get_mut(&upstream)
            .expect("only known upstreams are pumped")
            .check_progress(now, out);
        self.refuse_all_if_closed(now, upstream, out);
        self.refuse_due(now, upstream, out);
        self.dispatch(now, upstream, out);
        self.set_timer(now, upstream);
    }

    /// Refuses everything that waits if the upstream takes no work from this instance.
    fn refuse_all_if_closed(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let state = &self.upstreams[&upstream];
        if state.queue.is_empty() {
            return;
        }
        let refusal = if state.lease_until(now).is_none() {
            self.refusal(Reason::NotOwner, 0)
        } else if state.is_leaving(now) {
            self.leaving_refusal(now, state)
        } else {
            return;
        };
        for waiting in self.upstream_mut(upstream).queue.drain() {
            self.refuse(now, waiting.id, refusal, out);
        }
    }

    /// Refuses what can't be done any more by its deadline, or can't wait for the end of a pause.
    fn refuse_due(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let pause = self.upstreams[&upstream].pause(now);
        let earliest = match pause {
            None => now,
            Some(pause) if pause.reason == Reason::Unreachable => Time::MAX,
            Some(pause) => pause.until,
        };
        while let Some(waiting) = self.upstream_mut(upstream).queue.pop_due(earliest) {
            let refusal = match pause {
                Some(pause) => self.refusal(pause.reason, pause.until.left(now)),
                None => {
                    let queue = &self.upstreams[&upstream].queue;
                    self.refusal(Reason::Deadline, queue.drain_ms(waiting.customer))
                }
            };
            self.refuse(now, waiting.id, refusal, out);
        }
    }

    /// Refuses what waits for customers that were withdrawn.
    fn refuse_withdrawn(&mut self, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let customers = std::mem::take(&mut self.customers);
        let state = self.upstream_mut(upstream);
        let gone = state
            .queue
            .drain_unknown(|customer| customers.get(customer.slot()) == Some(&Some(customer)));
        self.customers = customers;
        for waiting in gone {
            let refusal = self.refusal(Reason::NotConfigured, 0);
            self.refuse(waiting.since, waiting.id, refusal, out);
        }
    }

    fn dispatch(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let state = self
            .upstreams
            .get_mut(&upstream)
            .expect("only known upstreams are pumped");
        while state.may_dispatch(now) {
            let Some(Turn { waiting, charge }) = state.queue.pop(now) else {
                return;
            };
            let flight = state.dispatch(now, charge, &self.config);
            let item = self
                .items
                .get_mut(&waiting.id)
                .expect("whatever waits is known");
            item.stage = Stage::InFlight {
                flight,
                cancelled: false,
            };
            let lease_until = state
                .lease_until(now)
                .expect("work is dispatched under a lease");
            // The next owner waits for so long after the lease. Work that must not be repeated is
            // not cut short for it, since that would leave its outcome unknown.
            let quiet_from = lease_until + u64::from(self.config.quiet_ms);
            let deadline = if item.once {
                waiting.deadline
            } else {
                waiting.deadline.min(quiet_from)
            };
            out.push(Command::Dispatch {
                id: waiting.id,
                upstream,
                lease_until,
                deadline,
            });
        }
    }

    /// Lists the upstream under the next instant at which something can change without an event.
    fn set_timer(&mut self, now: Time, upstream: UpstreamKey) {
        let state = self
            .upstreams
            .get_mut(&upstream)
            .expect("only known upstreams are pumped");
        let mut next = state.stalls_at();
        if let Some(start_by) = state.queue.start_by() {
            let lease_until = state.lease_until(now);
            let pause = state.pause(now).map(|pause| pause.until);
            let due = [next, Some(start_by + 1), lease_until, pause];
            next = due.into_iter().flatten().min();
        }
        // At least a millisecond on, lest a tick at the same instant lists it again for ever.
        let Some(next) = next.map(|next| next.max(now + 1)) else {
            return;
        };
        // A timer that comes too early only looks again, which costs less than moving it.
        if state.wake.is_none_or(|wake| wake > next) {
            state.wake = Some(next);
            self.timers.set(next, upstream);
        }
    }

    fn refuse_offer(&mut self, now: Time, work: &Work, refusal: Refusal, out: &mut Vec<Command>) {
        if work.once {
            self.remember_ended(now, work.id);
        }
        out.push(Command::Refuse {
            id: work.id,
            refusal,
        });
    }

    fn refuse(&mut self, now: Time, id: SubId, refusal: Refusal, out: &mut Vec<Command>) {
        self.forget(now, id);
        out.push(Command::Refuse { id, refusal });
    }

    fn forget(&mut self, now: Time, id: SubId) {
        let item = self.items.remove(&id).expect("whatever ends was known");
        if item.once {
            self.remember_ended(now, id);
        }
    }

    fn remember_ended(&mut self, now: Time, id: SubId) {
        let until = now + u64::from(self.config.once_memory_ms);
        self.ended_once.insert(id);
        self.ended_order.push_back((until, id));
    }

    fn forget_ended(&mut self, now: Time) {
        while let Some(&(until, id)) = self.ended_order.front() {
            if until > now {
                return;
            }
            self.ended_order.pop_front();
            self.ended_once.remove(&id);
        }
    }

    fn refusal(&self, reason: Reason, retry_after_ms: u64) -> Refusal {
        let max = self.config.retry_max_ms;
        let retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(max);
        Refusal {
            reason,
            retry_after_ms: retry_after_ms.clamp(self.config.retry_min_ms, max),
        }
    }

    fn leaving_refusal(&self, now: Time, state: &Upstream) -> Refusal {
        let left_ms = state.leaving_ms(now).filter(|_| state.in_service);
        self.refusal(Reason::Leaving, left_ms.unwrap_or(u64::MAX))
    }

    fn upstream_mut(&mut self, upstream: UpstreamKey) -> &mut Upstream {
        self.upstreams
            .get_mut(&upstream)
            .expect("only known upstreams are looked up")
    }
}
