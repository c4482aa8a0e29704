//! State of one upstream at its owner.
//!
//! [`Upstream::may_dispatch`] alone decides whether a request may be sent: the lease is held, the
//! upstream accepts work, no pause is in effect, and fewer requests are in flight than the limit
//! allows. A request counts as in flight until its end is reported, even if it was cancelled or was
//! sent under an earlier lease.

use hemlockrouter_types::catalog;
use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::config::QueueOrder;
use crate::queue::Charge;
use crate::queue::Queue;
use crate::ramp::ConcurrencyRamp;
use crate::ramp::RampChange;
use crate::work::Command;
use crate::work::DispatchOutcome;
use crate::work::LimiterStatus;
use crate::work::SubRequest;

/// Time after which a request counts as late if the latency of its customer is unknown, in
/// milliseconds.
const LATE_AFTER_DEFAULT_MS: u64 = 1_000;

/// Reasons for a cold start that may mean that the upstream failed under its load.
const REASON_CONNECTION_REFUSED: &str = "the connection was refused";
const REASON_RESTARTED: &str = "the upstream restarted";

/// State of one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) name: String,
    in_service: bool,
    /// Whether the upstream was removed from the catalogue. It is kept until its requests in flight
    /// have ended.
    pub(crate) withdrawn: bool,
    pub(crate) queue: Queue,
    pub(crate) in_flight: u32,
    /// Time of the upstream's timer.
    pub(crate) timer_at: Option<Time>,
    ramp: ConcurrencyRamp,
    lease_expires_at: Option<Time>,
    start: Option<StartId>,
    leaving_until: Option<Time>,
    marked_leaving: bool,
    pause: DispatchPause,
    /// Current backoff after a refused connection in milliseconds, or 0 after a successful
    /// connection.
    backoff_ms: u32,
    /// Time of the last answer.
    last_answer_at: Time,
    /// Earliest time at which all requests in flight are late.
    all_late_at: Time,
    /// Time since which the upstream is suspected of being cold. At that time, all requests in
    /// flight were late or a connection broke. None of the requests dispatched later has been
    /// answered in time yet.
    suspected_cold_since: Option<Time>,
    /// Number of cold starts, which identifies the one in which a request was sent.
    cold_start_count: u32,
    /// Number of times that the limit was halved.
    halving_count: u32,
}

/// A time during which nothing is dispatched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchPause {
    pub(crate) until: Time,
    /// Reason given to sub-requests that can't wait until the pause ends.
    pub(crate) reason: RefusalReason,
}

/// State kept for a sub-request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    charge: Charge,
    sent_at: Time,
    late_at: Time,
    cold_start_count: u32,
    halving_count: u32,
}

impl Upstream {
    /// Creates the state of an upstream whose lease is not held.
    pub(crate) fn new(now: Time, entry: &catalog::Upstream, order: QueueOrder) -> Upstream {
        Upstream {
            name: entry.name.clone(),
            in_service: true,
            withdrawn: false,
            queue: Queue::new(order),
            in_flight: 0,
            timer_at: None,
            ramp: ConcurrencyRamp::new(entry.slots, entry.cold_slots),
            lease_expires_at: None,
            start: None,
            leaving_until: None,
            marked_leaving: false,
            pause: DispatchPause {
                until: Time::ZERO,
                reason: RefusalReason::NotReady,
            },
            backoff_ms: 0,
            last_answer_at: now,
            all_late_at: now,
            suspected_cold_since: None,
            cold_start_count: 0,
            halving_count: 0,
        }
    }

    /// Sets the number of slots and of cold slots from the catalogue.
    pub(crate) fn resize(&mut self, slots: u32, cold_slots: u32) {
        self.ramp.resize(slots, cold_slots);
    }

    /// Extends the ownership lease. If the lease was not held, another instance may have owned the
    /// upstream meanwhile, so the upstream is treated as cold.
    pub(crate) fn extend_lease(
        &mut self,
        now: Time,
        until: Time,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        match self.lease_expires_at {
            Some(expires_at) if expires_at > now => {
                self.lease_expires_at = Some(expires_at.max(until))
            }
            _ => {
                self.lease_expires_at = Some(until);
                self.begin_cold_start(now, "the lease was not held before", config, out);
                self.pause_for(now, config.takeover_delay_ms, RefusalReason::NotReady);
            }
        }
    }

    /// Ends the ownership lease.
    pub(crate) fn end_lease(&mut self) {
        self.lease_expires_at = None;
    }

    /// Returns when the lease expires, if it is held.
    pub(crate) fn lease_until(&self, now: Time) -> Option<Time> {
        self.lease_expires_at.filter(|&until| until > now)
    }

    /// Returns whether the upstream accepts no new work.
    pub(crate) fn is_leaving(&self, now: Time) -> bool {
        !self.in_service
            || self.withdrawn
            || self.marked_leaving
            || self.leaving_until.is_some_and(|until| until > now)
    }

    /// Returns the pause that is in effect.
    pub(crate) fn pause(&self, now: Time) -> Option<DispatchPause> {
        (self.pause.until > now).then_some(self.pause)
    }

    /// Returns the refusal for all waiting and offered sub-requests if the lease is not held or the
    /// upstream is leaving.
    pub(crate) fn closed_refusal(&self, now: Time, config: &Config) -> Option<Refusal> {
        if self.lease_until(now).is_none() {
            return Some(config.refusal(RefusalReason::NotOwner, 0));
        }
        if !self.is_leaving(now) {
            return None;
        }
        let left_ms = match self.leaving_until {
            Some(until) if self.in_service => until.remaining_ms(now),
            _ => u64::MAX,
        };
        Some(config.refusal(RefusalReason::Leaving, left_ms))
    }

    /// Checks whether a sub-request can be completed by its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the sender of the sub-request if it can't.
    pub(crate) fn check_acceptable(
        &self,
        now: Time,
        work: &SubRequest,
        config: &Config,
    ) -> Result<(), Refusal> {
        if let Some(refusal) = self.closed_refusal(now, config) {
            return Err(refusal);
        }
        let left_ms = work.deadline.remaining_ms(now);
        let served_ms = self.queue.served_ms(now, work.customer);
        if left_ms == 0 || served_ms > left_ms {
            return Err(config.refusal(RefusalReason::Deadline, 0));
        }
        if let Some(pause) = self.pause(now) {
            let pause_ms = pause.until.remaining_ms(now);
            if pause.reason == RefusalReason::Unreachable || pause_ms + served_ms > left_ms {
                return Err(config.refusal(pause.reason, pause_ms));
            }
        }
        let wait_ms = self
            .queue
            .wait_ms(work.customer, work.deadline, self.limit());
        if wait_ms + served_ms > left_ms {
            let drain_ms = self.drain_ms(work.customer);
            return Err(config.refusal(RefusalReason::Overloaded, drain_ms));
        }
        Ok(())
    }

    /// Estimates how long it takes to dispatch all waiting sub-requests of `customer`, in
    /// milliseconds.
    pub(crate) fn drain_ms(&self, customer: CustomerKey) -> u64 {
        self.queue.drain_ms(customer, self.limit())
    }

    /// Returns whether one more request may be sent to the upstream.
    pub(crate) fn may_dispatch(&self, now: Time) -> bool {
        self.lease_until(now).is_some()
            && !self.is_leaving(now)
            && self.pause(now).is_none()
            && self.in_flight < self.limit()
    }

    /// Counts a request that is sent to the upstream, and returns the state to keep for it.
    pub(crate) fn dispatch(&mut self, now: Time, charge: Charge, config: &Config) -> SentRequest {
        self.in_flight += 1;
        let late_after_ms = self
            .ramp
            .late_after_ms(charge.customer, config)
            .unwrap_or(LATE_AFTER_DEFAULT_MS);
        let late_at = now + late_after_ms;
        self.all_late_at = self.all_late_at.max(late_at);
        SentRequest {
            charge,
            sent_at: now,
            late_at,
            cold_start_count: self.cold_start_count,
            halving_count: self.halving_count,
        }
    }

    /// Records the end of a request.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        sent_request: SentRequest,
        outcome: DispatchOutcome,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        self.in_flight = self
            .in_flight
            .checked_sub(1)
            .expect("every request in flight was counted");
        self.queue
            .settle_charge(sent_request.charge, now.ms_since(sent_request.sent_at));
        match outcome {
            DispatchOutcome::Answered {
                served_ms,
                start_id: start,
                leaving,
            } => {
                self.backoff_ms = 0;
                self.last_answer_at = now;
                self.queue
                    .observe_served(now, sent_request.charge.customer, served_ms);
                self.observe_start(now, sent_request, start, config, out);
                self.observe_answer(now, sent_request, served_ms, config, out);
                if leaving {
                    self.begin_leaving(now, config, out);
                }
            }
            DispatchOutcome::Shed {
                retry_after_ms,
                start_id: start,
            } => {
                self.backoff_ms = 0;
                self.observe_start(now, sent_request, start, config, out);
                self.halve_limit(sent_request, "the upstream sheds load", out);
                let pause_ms = retry_after_ms.min(config.backoff_max_ms);
                self.pause_for(now, pause_ms, RefusalReason::Shed);
            }
            DispatchOutcome::Leaving => {
                self.backoff_ms = 0;
                self.begin_leaving(now, config, out);
            }
            DispatchOutcome::Unreachable => self.observe_unreachable(now, config, out),
            DispatchOutcome::TimedOut | DispatchOutcome::Failed => {
                self.observe_failure(now, sent_request, config, out)
            }
            DispatchOutcome::ConnectionBroken => {
                self.observe_broken(now, sent_request, config, out)
            }
            DispatchOutcome::Cancelled => self.observe_cancelled(now, sent_request, config, out),
            DispatchOutcome::NotSent => {}
        }
    }

    /// Checks for indications of a cold start other than answers.
    ///
    /// An upstream that has not answered for a long time may have restarted. If all requests in
    /// flight are late, the upstream is only suspected of being cold: the requests may be
    /// stragglers, so the limit is restored by the first timely answer.
    pub(crate) fn check_for_cold_start(
        &mut self,
        now: Time,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        let idle_ms = now.ms_since(self.last_answer_at);
        if !self.ramp.is_cold()
            && self.in_flight == 0
            && idle_ms > u64::from(config.idle_timeout_ms)
        {
            self.begin_cold_start(
                now,
                "the upstream has not answered for a long time",
                config,
                out,
            );
        }
        if self.suspect_at().is_some_and(|at| at <= now) {
            self.suspected_cold_since = Some(now);
            self.record_limit("all in flight is late", out);
        }
    }

    /// Returns the time at which the upstream becomes suspected of being cold if nothing is
    /// dispatched or answered before.
    pub(crate) fn suspect_at(&self) -> Option<Time> {
        if self.ramp.is_cold() || self.suspected_cold_since.is_some() || self.in_flight < 2 {
            return None;
        }
        Some(self.all_late_at + 1)
    }

    /// Returns the maximum number of requests in flight.
    fn limit(&self) -> u32 {
        match self.suspected_cold_since {
            Some(_) => self.ramp.limit().min(self.ramp.cold_slots()),
            None => self.ramp.limit(),
        }
    }

    /// Returns the status of the upstream.
    pub(crate) fn status(&self, now: Time) -> LimiterStatus {
        LimiterStatus {
            limit: self.limit(),
            in_flight: self.in_flight,
            queued: self.queue.len() as u32,
            cold: self.ramp.is_cold(),
            leaving: self.is_leaving(now),
        }
    }

    /// Records whether operators have put the upstream in service. An upstream that returns to
    /// service may have been restarted meanwhile, so it is treated as cold.
    pub(crate) fn set_in_service(
        &mut self,
        now: Time,
        in_service: bool,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if in_service != self.in_service {
            self.in_service = in_service;
            self.begin_cold_start(
                now,
                "operators put the upstream in or out of service",
                config,
                out,
            );
        }
    }

    /// Records whether a source other than the upstream reports it as leaving.
    pub(crate) fn mark_leaving(
        &mut self,
        now: Time,
        leaving: bool,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if leaving == self.marked_leaving {
            return;
        }
        self.marked_leaving = leaving;
        self.leaving_until = None;
        self.begin_cold_start(
            now,
            "the upstream was marked as leaving or staying",
            config,
            out,
        );
    }

    fn begin_leaving(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        if !self.is_leaving(now) {
            out.push(self.decision("refuse new work", "the upstream is leaving"));
        }
        self.leaving_until = Some(now + u64::from(config.leaving_retry_ms));
        // Any later answer from this address comes from a new start of the upstream.
        self.begin_cold_start(now, "the upstream is leaving", config, out);
    }

    fn observe_start(
        &mut self,
        now: Time,
        sent_request: SentRequest,
        start: Option<StartId>,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        // A delayed answer to a request from before the last cold start may carry the id of an
        // earlier start.
        if start.is_none() || sent_request.cold_start_count != self.cold_start_count {
            return;
        }
        if self.start.is_some() && self.start != start {
            self.begin_cold_start(now, REASON_RESTARTED, config, out);
        }
        self.start = start;
    }

    fn observe_answer(
        &mut self,
        now: Time,
        sent_request: SentRequest,
        served_ms: u32,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if self.predates_limit_change(sent_request) {
            return;
        }
        if self
            .suspected_cold_since
            .is_some_and(|since| sent_request.sent_at >= since)
            && now <= sent_request.late_at
        {
            self.suspected_cold_since = None;
        }
        let customer = sent_request.charge.customer;
        let change = self
            .ramp
            .observe_answer(now, customer, u64::from(served_ms), config);
        self.record_change(change, "answers", out);
    }

    fn observe_failure(
        &mut self,
        now: Time,
        sent_request: SentRequest,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if self.predates_limit_change(sent_request) {
            return;
        }
        let customer = sent_request.charge.customer;
        let change = self.ramp.observe_failure(now, customer, config);
        self.record_change(change, "failures", out);
    }

    /// Records that a connection broke before its answer. The upstream is then suspected of having
    /// restarted, which lowers its limit until an answer shows the same start. Queries of one
    /// customer that break connections thereby cost other customers slots for a moment. Without the
    /// suspicion, a cold upstream would receive more requests than it can handle.
    fn observe_broken(
        &mut self,
        now: Time,
        sent_request: SentRequest,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        self.observe_failure(now, sent_request, config, out);
        if !self.ramp.is_cold() && self.suspected_cold_since.is_none() {
            self.suspected_cold_since = Some(now);
            self.record_limit("a connection broke before the answer", out);
        }
    }

    /// Records a confirmed cancellation. A request that was already late when it was cancelled
    /// counts as a late answer.
    fn observe_cancelled(
        &mut self,
        now: Time,
        sent_request: SentRequest,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if now > sent_request.late_at {
            let waited_ms = u32::try_from(now.ms_since(sent_request.sent_at)).unwrap_or(u32::MAX);
            self.observe_answer(now, sent_request, waited_ms, config, out);
        }
    }

    /// Returns whether the limit was lowered after the request was sent. The end of such a request
    /// reflects the load before the limit was lowered.
    fn predates_limit_change(&self, sent_request: SentRequest) -> bool {
        sent_request.cold_start_count != self.cold_start_count
            || sent_request.halving_count != self.halving_count
    }

    fn observe_unreachable(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        self.begin_cold_start(now, REASON_CONNECTION_REFUSED, config, out);
        if self
            .pause(now)
            .is_some_and(|pause| pause.reason == RefusalReason::Unreachable)
        {
            return;
        }
        let doubled_ms = self.backoff_ms.saturating_mul(2);
        self.backoff_ms = doubled_ms.clamp(config.backoff_min_ms, config.backoff_max_ms);
        self.pause_for(now, self.backoff_ms, RefusalReason::Unreachable);
    }

    fn pause_for(&mut self, now: Time, ms: u32, reason: RefusalReason) {
        let until = now + u64::from(ms);
        if until > self.pause.until {
            self.pause = DispatchPause { until, reason };
        }
    }

    fn halve_limit(
        &mut self,
        sent_request: SentRequest,
        reason: &'static str,
        out: &mut Vec<Command>,
    ) {
        if self.predates_limit_change(sent_request) {
            return;
        }
        let change = self.ramp.halve_limit();
        self.record_change(change, reason, out);
    }

    fn begin_cold_start(
        &mut self,
        now: Time,
        reason: &'static str,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        let failed = matches!(reason, REASON_CONNECTION_REFUSED | REASON_RESTARTED);
        let change = self.ramp.begin_cold_start(now, failed, config);
        self.suspected_cold_since = None;
        self.cold_start_count = self.cold_start_count.wrapping_add(1);
        if change == RampChange::Cold {
            self.record_limit(reason, out);
        }
    }

    /// Counts and logs the effect of an answer on the ramp.
    fn record_change(&mut self, change: RampChange, reason: &'static str, out: &mut Vec<Command>) {
        match change {
            RampChange::None => return,
            RampChange::Warm => {}
            RampChange::Halved => self.halving_count = self.halving_count.wrapping_add(1),
            RampChange::Cold => {
                self.suspected_cold_since = None;
                self.cold_start_count = self.cold_start_count.wrapping_add(1);
            }
        }
        self.record_limit(reason, out);
    }

    fn record_limit(&self, reason: &'static str, out: &mut Vec<Command>) {
        let chosen = format!("limit {}", self.limit());
        out.push(self.decision(&chosen, reason));
    }

    fn decision(&self, chosen: &str, reason: &'static str) -> Command {
        Command::Decision(Decision {
            what: "limit",
            subject: self.name.clone(),
            chosen: chosen.to_owned(),
            passed_over: String::new(),
            why: reason.into(),
            took_ms: 0,
        })
    }
}
