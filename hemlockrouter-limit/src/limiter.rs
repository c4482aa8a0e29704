//! The limiter, which applies each event to its upstream and issues the resulting commands.

use hemlockrouter_types::prelude::*;

use crate::active_requests::ActiveRequest;
use crate::active_requests::ActiveRequests;
use crate::active_requests::RequestStage;
use crate::config::Config;
use crate::dispatcher::UpstreamDispatcher;
use crate::queue::WaitingRequest;
use crate::timers::Timers;
use crate::upstream::Upstream;
use crate::upstream_table::UpstreamTable;
use crate::work::Command;
use crate::work::DispatchOutcome;
use crate::work::LimiterStatus;
use crate::work::SubRequest;

/// Decides when sub-requests are sent to the upstreams that this instance owns.
///
/// Every event method appends its commands to `out`. The caller that reports the end of a
/// dispatched sub-request with [`finish`](Limiter::finish) also answers the sender of the
/// sub-request. The limiter answers with a refusal only for sub-requests that were not dispatched.
#[derive(Debug)]
pub struct Limiter {
    config: Config,
    upstreams: UpstreamTable,
    /// Keys of the configured customers, indexed by their slots.
    customers: Vec<Option<CustomerKey>>,
    active_requests: ActiveRequests,
    timers: Timers,
    last_seq: u64,
    /// Time of the last event.
    last_event_at: Time,
}

impl Limiter {
    /// Creates a limiter without upstreams.
    pub fn new(config: Config) -> Limiter {
        Limiter {
            active_requests: ActiveRequests::new(config.ended_id_retention_ms),
            config,
            upstreams: UpstreamTable::default(),
            customers: Vec::new(),
            timers: Timers::default(),
            last_seq: 0,
            last_event_at: Time::ZERO,
        }
    }

    /// Replaces the upstreams and customers by those in `catalog`. Upstreams that stay in the
    /// catalogue keep their state. The sub-requests that wait for an upstream that was withdrawn or
    /// is out of service are refused, and those in flight continue.
    pub fn configure(&mut self, now: Time, catalog: &Catalog, out: &mut Vec<Command>) {
        self.customers.clear();
        for (key, _) in catalog.customers.iter() {
            self.customers.resize(key.slot() + 1, None);
            self.customers[key.slot()] = Some(key);
        }
        for key in self.upstreams.keys() {
            if catalog.upstreams.get(key).is_none() {
                self.upstreams.withdraw(key);
                self.run_dispatcher(now, key, out);
                self.upstreams.remove_if_idle(key);
            }
        }
        for (key, entry) in catalog.upstreams.iter() {
            if self.upstreams.get(key).is_none() {
                let upstream = Upstream::new(now, entry, self.config.order);
                self.upstreams.insert(key, upstream);
            }
            let upstream = self.upstreams.get_mut(key);
            let upstream = upstream.expect("only known upstreams are looked up");
            upstream.resize(entry.slots, entry.cold_slots);
            upstream.set_in_service(now, catalog.is_in_service(key), &self.config, out);
            self.refuse_unknown_customers(now, key, out);
            self.run_dispatcher(now, key, out);
        }
    }

    /// Records that the ownership lease of `upstream` is held until `until`. An upstream whose
    /// lease was not held before is treated as cold.
    pub fn record_lease(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        until: Time,
        out: &mut Vec<Command>,
    ) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.extend_lease(now, until, &self.config, out);
            self.run_dispatcher(now, upstream, out);
        }
    }

    /// Records that the ownership lease of `upstream` was given up. All sub-requests that wait for
    /// the upstream are refused.
    pub fn release_lease(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.end_lease();
            self.run_dispatcher(now, upstream, out);
        }
    }

    /// Records whether a source other than the upstream's own answers, such as the platform's list
    /// of upstreams, reports `upstream` as leaving.
    pub fn mark_leaving(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        leaving: bool,
        out: &mut Vec<Command>,
    ) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.mark_leaving(now, leaving, &self.config, out);
            self.run_dispatcher(now, upstream, out);
        }
    }

    /// Accepts a sub-request, which is dispatched, queued or refused at once. An id that was
    /// offered before is ignored.
    pub fn offer(&mut self, now: Time, work: SubRequest, out: &mut Vec<Command>) {
        self.active_requests.drop_expired_ids(now);
        if self.active_requests.is_known(work.id, work.non_repeatable) {
            return;
        }
        let accepted = self
            .check_acceptable(now, &work)
            .and_then(|()| self.make_room(now, &work, out));
        if let Err(refusal) = accepted {
            if work.non_repeatable {
                self.active_requests.remember_ended(now, work.id);
            }
            out.push(Command::Refuse {
                id: work.id,
                refusal,
            });
            return;
        }
        self.enqueue(now, &work);
        self.run_dispatcher(now, work.upstream, out);
    }

    /// Cancels a sub-request. A waiting sub-request is refused, and for one in flight the upstream
    /// is asked to cancel it.
    pub fn cancel(&mut self, now: Time, id: SubRequestId, out: &mut Vec<Command>) {
        let Some(active_request) = self.active_requests.get_mut(id) else {
            return;
        };
        let upstream = active_request.upstream;
        match &mut active_request.stage {
            &mut RequestStage::Waiting {
                customer,
                deadline,
                seq,
            } => {
                let queue = &mut self.upstream_mut(upstream).queue;
                queue.remove(customer, deadline, seq);
                self.active_requests.remove_ended(now, id);
                let refusal = self.config.refusal(RefusalReason::Cancelled, 0);
                out.push(Command::Refuse { id, refusal });
                self.run_dispatcher(now, upstream, out);
            }
            RequestStage::InFlight { cancelled, .. } => {
                if !*cancelled {
                    *cancelled = true;
                    out.push(Command::CancelAtUpstream { id, upstream });
                }
            }
        }
    }

    /// Records how a dispatched sub-request ended. A second report for the same id is ignored.
    pub fn finish(
        &mut self,
        now: Time,
        id: SubRequestId,
        outcome: DispatchOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(&mut ActiveRequest {
            upstream,
            stage: RequestStage::InFlight { sent_request, .. },
            ..
        }) = self.active_requests.get_mut(id)
        else {
            return;
        };
        self.active_requests.remove_ended(now, id);
        let state = self.upstreams.get_mut(upstream);
        let state = state.expect("an upstream is kept while work is in flight");
        state.finish(now, sent_request, outcome, &self.config, out);
        self.run_dispatcher(now, upstream, out);
        self.upstreams.remove_if_idle(upstream);
    }

    /// Runs the timers that are due. The caller calls this method at
    /// [`next_wake`](Limiter::next_wake).
    pub fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.active_requests.drop_expired_ids(now);
        while let Some((due_at, upstreams)) = self.timers.pop_due(now) {
            for upstream in upstreams {
                self.run_timer(now, due_at, upstream, out);
            }
        }
    }

    /// Returns the time at which [`tick`](Limiter::tick) must be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.earliest()
    }

    /// Returns the number of requests to `upstream` that are in flight.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        let state = self.upstreams.get(upstream);
        state.map_or(0, |state| state.in_flight)
    }

    /// Returns the status of `upstream` at the last event, or `None` if the upstream is unknown.
    pub fn status(&self, upstream: UpstreamKey) -> Option<LimiterStatus> {
        let state = self.upstreams.get(upstream)?;
        Some(state.status(self.last_event_at))
    }

    /// Checks whether a sub-request can be accepted, apart from the length of the queue.
    fn check_acceptable(&self, now: Time, work: &SubRequest) -> Result<(), Refusal> {
        let is_configured = self.customers.get(work.customer.slot()) == Some(&Some(work.customer));
        match self.upstreams.get(work.upstream) {
            Some(state) if is_configured => state.check_acceptable(now, work, &self.config),
            _ => Err(self.config.refusal(RefusalReason::NotConfigured, 0)),
        }
    }

    /// Evicts a sub-request of the customer with the longest queue if the upstream's queue is full.
    /// Returns a refusal for `work` if nothing can be evicted.
    fn make_room(
        &mut self,
        now: Time,
        work: &SubRequest,
        out: &mut Vec<Command>,
    ) -> Result<(), Refusal> {
        let queue_max = self.config.queue_max;
        let state = self.upstream_mut(work.upstream);
        if state.queue.len() < queue_max {
            return Ok(());
        }
        let Some(evicted) = state.queue.evict_for(work.customer) else {
            let drain_ms = state.drain_ms(work.customer);
            return Err(self.config.refusal(RefusalReason::Overloaded, drain_ms));
        };
        let drain_ms = state.drain_ms(evicted.customer);
        let refusal = self.config.refusal(RefusalReason::Overloaded, drain_ms);
        self.active_requests.remove_ended(now, evicted.id);
        out.push(Command::Refuse {
            id: evicted.id,
            refusal,
        });
        Ok(())
    }

    fn enqueue(&mut self, now: Time, work: &SubRequest) {
        self.last_seq += 1;
        let seq = self.last_seq;
        let active_request = ActiveRequest {
            upstream: work.upstream,
            non_repeatable: work.non_repeatable,
            stage: RequestStage::Waiting {
                customer: work.customer,
                deadline: work.deadline,
                seq,
            },
        };
        self.active_requests.insert(work.id, active_request);
        let waiting = WaitingRequest {
            id: work.id,
            customer: work.customer,
            weight: work.weight,
            deadline: work.deadline,
            seq,
        };
        self.upstream_mut(work.upstream).queue.push(now, waiting);
    }

    /// Refuses the waiting sub-requests of customers that are no longer in the catalogue.
    fn refuse_unknown_customers(&mut self, now: Time, key: UpstreamKey, out: &mut Vec<Command>) {
        let refusal = self.config.refusal(RefusalReason::NotConfigured, 0);
        let customers = &self.customers;
        let is_configured =
            |customer: CustomerKey| customers.get(customer.slot()) == Some(&Some(customer));
        let state = self.upstreams.get_mut(key);
        let state = state.expect("only known upstreams are looked up");
        for waiting in state.queue.drain_unknown_customers(is_configured) {
            self.active_requests.remove_ended(now, waiting.id);
            out.push(Command::Refuse {
                id: waiting.id,
                refusal,
            });
        }
    }

    fn run_timer(&mut self, now: Time, due_at: Time, key: UpstreamKey, out: &mut Vec<Command>) {
        let Some(state) = self.upstreams.get_mut(key) else {
            return;
        };
        if state.timer_at == Some(due_at) {
            state.timer_at = None;
            self.run_dispatcher(now, key, out);
        }
    }

    /// Issues the refusals and dispatches that are due for an upstream, and sets its timer.
    fn run_dispatcher(&mut self, now: Time, key: UpstreamKey, out: &mut Vec<Command>) {
        self.last_event_at = now;
        let upstream = self.upstreams.get_mut(key);
        let mut dispatcher = UpstreamDispatcher {
            now,
            key,
            config: &self.config,
            upstream: upstream.expect("only known upstreams are looked up"),
            active_requests: &mut self.active_requests,
            out,
        };
        dispatcher.run();
        // The timer is at least a millisecond ahead. A timer at the current time would make `tick`
        // loop for ever.
        let Some(next) = dispatcher.next_change_at().map(|next| next.max(now + 1)) else {
            return;
        };
        // An earlier timer stays in place: an unneeded check costs less than moving a timer.
        let state = dispatcher.upstream;
        if state.timer_at.is_none_or(|timer_at| timer_at > next) {
            state.timer_at = Some(next);
            self.timers.set(next, key);
        }
    }

    fn upstream_mut(&mut self, key: UpstreamKey) -> &mut Upstream {
        let upstream = self.upstreams.get_mut(key);
        upstream.expect("only known upstreams are looked up")
    }
}
