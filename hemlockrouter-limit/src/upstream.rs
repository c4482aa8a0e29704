//! The state of one upstream at its owner.
//!
//! Whether work goes out is decided in one place, [`Upstream::may_dispatch`]: the lease is held, the
//! upstream takes work, no pause is on, and fewer requests than the limit are in flight. Everything
//! in flight counts until its end is reported, cancelled or not, in this tenure of the lease or in an
//! earlier one.

use hemlockrouter_types::catalog;
use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::config::Order;
use crate::queue::Charge;
use crate::queue::Queue;
use crate::ramp::Change;
use crate::ramp::Ramp;
use crate::work::Command;
use crate::work::Ended;
use crate::work::Status;
use crate::work::Work;

/// After how long a request is late whose customer's usual time is unknown, in milliseconds.
const LATE_UNKNOWN_MS: u64 = 1_000;

/// Why an upstream is taken for cold that may have broken down under its load.
const REFUSED: &str = "the connection was refused";
const RESTARTED: &str = "the upstream restarted";

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) name: String,
    in_service: bool,
    /// Whether the catalogue no longer has it; it is kept until its work has ended.
    pub(crate) withdrawn: bool,
    pub(crate) queue: Queue,
    pub(crate) in_flight: u32,
    /// The instant under which it is listed among the timers.
    pub(crate) wake: Option<Time>,
    ramp: Ramp,
    held_until: Option<Time>,
    start: Option<StartId>,
    leaving_until: Option<Time>,
    marked_leaving: bool,
    pause: Pause,
    /// The last pause after a refused connection, or 0 if the upstream could be connected to.
    backoff_ms: u32,
    /// When it last answered.
    answered_at: Time,
    /// When everything in flight is late, at the earliest.
    all_late_at: Time,
    /// Since when it may have turned cold: all that was in flight was late, and nothing that went out
    /// afterwards has been answered in time.
    suspect_since: Option<Time>,
    /// Counts how often the upstream was taken for cold.
    epoch: u32,
    /// Counts how often the limit was lowered.
    round: u32,
}

/// A time in which nothing is dispatched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    pub(crate) until: Time,
    /// Why work that can't wait for its end is refused.
    pub(crate) reason: Reason,
}

/// What is remembered of a sub-request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    charge: Charge,
    since: Time,
    late_at: Time,
    epoch: u32,
    round: u32,
}

impl Upstream {
    /// Makes the state of an upstream that is not held yet.
    pub(crate) fn new(now: Time, entry: &catalog::Upstream, order: Order) -> Upstream {
        Upstream {
            name: entry.name.clone(),
            in_service: true,
            withdrawn: false,
            queue: Queue::new(order),
            in_flight: 0,
            wake: None,
            ramp: Ramp::new(entry.slots, entry.cold_slots),
            held_until: None,
            start: None,
            leaving_until: None,
            marked_leaving: false,
            pause: Pause {
                until: Time::ZERO,
                reason: Reason::NotReady,
            },
            backoff_ms: 0,
            answered_at: now,
            all_late_at: now,
            suspect_since: None,
            epoch: 0,
            round: 0,
        }
    }

    /// Takes new sizes from the catalogue.
    pub(crate) fn resize(&mut self, slots: u32, cold_slots: u32) {
        self.ramp.resize(slots, cold_slots);
    }

    /// Extends the lease. After a gap another instance may have owned the upstream, so it is cold.
    pub(crate) fn hold(&mut self, now: Time, until: Time, config: &Config, out: &mut Vec<Command>) {
        match self.held_until {
            Some(held) if held > now => self.held_until = Some(held.max(until)),
            _ => {
                self.held_until = Some(until);
                self.cool(now, "the lease is new", config, out);
                self.pause_for(now, config.quiet_ms, Reason::NotReady);
            }
        }
    }

    /// Ends the lease.
    pub(crate) fn release(&mut self) {
        self.held_until = None;
    }

    /// Returns when the lease runs out, if it is held.
    pub(crate) fn lease_until(&self, now: Time) -> Option<Time> {
        self.held_until.filter(|&until| until > now)
    }

    /// Returns whether the upstream takes no new work.
    pub(crate) fn is_leaving(&self, now: Time) -> bool {
        !self.in_service
            || self.withdrawn
            || self.marked_leaving
            || self.leaving_until.is_some_and(|until| until > now)
    }

    /// Returns the pause that is on.
    pub(crate) fn pause(&self, now: Time) -> Option<Pause> {
        (self.pause.until > now).then_some(self.pause)
    }

    /// Returns why all that waits and all that is offered is refused, if it is.
    pub(crate) fn closed(&self, now: Time, config: &Config) -> Option<Refusal> {
        if self.lease_until(now).is_none() {
            return Some(config.refusal(Reason::NotOwner, 0));
        }
        if !self.is_leaving(now) {
            return None;
        }
        let left_ms = match self.leaving_until {
            Some(until) if self.in_service => until.left(now),
            _ => u64::MAX,
        };
        Some(config.refusal(Reason::Leaving, left_ms))
    }

    /// Checks whether work can be done by its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal that its sender gets at once.
    pub(crate) fn check(&self, now: Time, work: &Work, config: &Config) -> Result<(), Refusal> {
        if let Some(refusal) = self.closed(now, config) {
            return Err(refusal);
        }
        let left_ms = work.deadline.left(now);
        let served_ms = self.queue.served_ms(now, work.customer);
        if left_ms == 0 || served_ms > left_ms {
            return Err(config.refusal(Reason::Deadline, 0));
        }
        if let Some(pause) = self.pause(now) {
            let pause_ms = pause.until.left(now);
            if pause.reason == Reason::Unreachable || pause_ms + served_ms > left_ms {
                return Err(config.refusal(pause.reason, pause_ms));
            }
        }
        let wait_ms = self
            .queue
            .wait_ms(work.customer, work.deadline, self.limit());
        if wait_ms + served_ms > left_ms {
            let drain_ms = self.drain_ms(work.customer);
            return Err(config.refusal(Reason::Overloaded, drain_ms));
        }
        Ok(())
    }

    /// Estimates how long it takes until all that `customer` has waiting is dispatched, in
    /// milliseconds.
    pub(crate) fn drain_ms(&self, customer: CustomerKey) -> u64 {
        self.queue.drain_ms(customer, self.limit())
    }

    /// Returns whether one more request may go to the upstream.
    pub(crate) fn may_dispatch(&self, now: Time) -> bool {
        self.lease_until(now).is_some()
            && !self.is_leaving(now)
            && self.pause(now).is_none()
            && self.in_flight < self.limit()
    }

    /// Counts a request that goes to the upstream.
    pub(crate) fn dispatch(&mut self, now: Time, charge: Charge, config: &Config) -> Flight {
        self.in_flight += 1;
        let late_after_ms = self
            .ramp
            .late_after_ms(charge.customer, config)
            .unwrap_or(LATE_UNKNOWN_MS);
        let late_at = now + late_after_ms;
        self.all_late_at = self.all_late_at.max(late_at);
        Flight {
            charge,
            since: now,
            late_at,
            epoch: self.epoch,
            round: self.round,
        }
    }

    /// Takes in the end of a request.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        flight: Flight,
        ended: Ended,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        self.in_flight = self
            .in_flight
            .checked_sub(1)
            .expect("every request in flight was counted");
        self.queue.settle(flight.charge, now.since(flight.since));
        match ended {
            Ended::Answered {
                served_ms,
                start,
                leaving,
            } => {
                self.backoff_ms = 0;
                self.answered_at = now;
                self.queue
                    .observe_served(now, flight.charge.customer, served_ms);
                self.observe_start(now, flight, start, config, out);
                self.observe(now, flight, served_ms, config, out);
                if leaving {
                    self.leave(now, config, out);
                }
            }
            Ended::Shed {
                retry_after_ms,
                start,
            } => {
                self.backoff_ms = 0;
                self.observe_start(now, flight, start, config, out);
                self.halve(flight, "the upstream sheds load", out);
                let pause_ms = retry_after_ms.min(config.backoff_max_ms);
                self.pause_for(now, pause_ms, Reason::Shed);
            }
            Ended::Leaving => {
                self.backoff_ms = 0;
                self.leave(now, config, out);
            }
            Ended::Unreachable => self.observe_unreachable(now, config, out),
            Ended::TimedOut | Ended::Failed => self.observe_failure(now, flight, config, out),
            Ended::Broken => self.observe_broken(now, flight, config, out),
            Ended::Cancelled => self.observe_cancelled(now, flight, config, out),
            Ended::NotSent => {}
        }
    }

    /// Looks for signs of a cold turn other than answers.
    ///
    /// After a long time without answers the upstream may have restarted. If all that is in flight is
    /// late, it is only suspected: it may as well be stragglers, so the limit comes back with the first
    /// answer in time.
    pub(crate) fn check_progress(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        let idle_ms = now.since(self.answered_at);
        if !self.ramp.is_cold() && self.in_flight == 0 && idle_ms > u64::from(config.idle_ms) {
            self.cool(now, "it has not answered for long", config, out);
        }
        if self.stalls_at().is_some_and(|at| at <= now) {
            self.suspect_since = Some(now);
            self.record_limit("all in flight is late", out);
        }
    }

    /// Returns when the upstream looks cold if nothing goes out or comes back until then.
    pub(crate) fn stalls_at(&self) -> Option<Time> {
        if self.ramp.is_cold() || self.suspect_since.is_some() || self.in_flight < 2 {
            return None;
        }
        Some(self.all_late_at + 1)
    }

    /// Returns how many requests may be in flight.
    fn limit(&self) -> u32 {
        match self.suspect_since {
            Some(_) => self.ramp.limit().min(self.ramp.cold_slots()),
            None => self.ramp.limit(),
        }
    }

    /// Returns the condition.
    pub(crate) fn status(&self, now: Time) -> Status {
        Status {
            limit: self.limit(),
            in_flight: self.in_flight,
            queued: self.queue.len() as u32,
            cold: self.ramp.is_cold(),
            leaving: self.is_leaving(now),
        }
    }

    /// Takes in whether operators let it receive work. What came back may be another start.
    pub(crate) fn set_in_service(
        &mut self,
        now: Time,
        in_service: bool,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if in_service != self.in_service {
            self.in_service = in_service;
            self.cool(now, "operators put it in or out of service", config, out);
        }
    }

    /// Takes in whether another source calls the upstream leaving.
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
        self.cool(
            now,
            "the upstream was marked as leaving or staying",
            config,
            out,
        );
    }

    fn leave(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        if !self.is_leaving(now) {
            out.push(self.decision("refuse new work", "the upstream is leaving"));
        }
        self.leaving_until = Some(now + u64::from(config.leaving_ms));
        // Whatever answers at this address afterwards is another start.
        self.cool(now, "the upstream is leaving", config, out);
    }

    fn observe_start(
        &mut self,
        now: Time,
        flight: Flight,
        start: Option<StartId>,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        // An answer to work from before may be late and name a start that is gone.
        if start.is_none() || flight.epoch != self.epoch {
            return;
        }
        if self.start.is_some() && self.start != start {
            self.cool(now, RESTARTED, config, out);
        }
        self.start = start;
    }

    fn observe(
        &mut self,
        now: Time,
        flight: Flight,
        served_ms: u32,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if self.is_outdated(flight) {
            return;
        }
        if self
            .suspect_since
            .is_some_and(|since| flight.since >= since)
            && now <= flight.late_at
        {
            self.suspect_since = None;
        }
        let customer = flight.charge.customer;
        let change = self
            .ramp
            .observe(now, customer, u64::from(served_ms), config);
        self.record(change, "answers", out);
    }

    fn observe_failure(
        &mut self,
        now: Time,
        flight: Flight,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if self.is_outdated(flight) {
            return;
        }
        let customer = flight.charge.customer;
        let change = self.ramp.observe_failure(now, customer, config);
        self.record(change, "failures", out);
    }

    /// Takes in an exchange that broke off. The upstream is suspected of a restart until an answer
    /// shows the same start: one customer's queries that break exchanges cost the others slots for
    /// a moment, and the other way round a cold upstream would get more than it can bear.
    fn observe_broken(
        &mut self,
        now: Time,
        flight: Flight,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        self.observe_failure(now, flight, config, out);
        if !self.ramp.is_cold() && self.suspect_since.is_none() {
            self.suspect_since = Some(now);
            self.record_limit("an exchange broke off", out);
        }
    }

    /// A request that was cancelled when it was late already counts as a late answer.
    fn observe_cancelled(
        &mut self,
        now: Time,
        flight: Flight,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        if now > flight.late_at {
            let waited_ms = u32::try_from(now.since(flight.since)).unwrap_or(u32::MAX);
            self.observe(now, flight, waited_ms, config, out);
        }
    }

    /// Returns whether the limit was lowered since the request went out. Its end tells of the load
    /// before.
    fn is_outdated(&self, flight: Flight) -> bool {
        flight.epoch != self.epoch || flight.round != self.round
    }

    fn observe_unreachable(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        self.cool(now, REFUSED, config, out);
        if self
            .pause(now)
            .is_some_and(|pause| pause.reason == Reason::Unreachable)
        {
            return;
        }
        let doubled = self.backoff_ms.saturating_mul(2);
        self.backoff_ms = doubled.clamp(config.backoff_min_ms, config.backoff_max_ms);
        self.pause_for(now, self.backoff_ms, Reason::Unreachable);
    }

    fn pause_for(&mut self, now: Time, ms: u32, reason: Reason) {
        let until = now + u64::from(ms);
        if until > self.pause.until {
            self.pause = Pause { until, reason };
        }
    }

    fn halve(&mut self, flight: Flight, why: &'static str, out: &mut Vec<Command>) {
        if self.is_outdated(flight) {
            return;
        }
        let change = self.ramp.halve();
        self.record(change, why, out);
    }

    fn cool(&mut self, now: Time, why: &'static str, config: &Config, out: &mut Vec<Command>) {
        let failed = matches!(why, REFUSED | RESTARTED);
        let change = self.ramp.cool(now, failed, config);
        self.suspect_since = None;
        self.epoch = self.epoch.wrapping_add(1);
        if change == Change::Cold {
            self.record_limit(why, out);
        }
    }

    /// Counts and records what an answer did to the ramp.
    fn record(&mut self, change: Change, why: &'static str, out: &mut Vec<Command>) {
        match change {
            Change::None => return,
            Change::Warm => {}
            Change::Halved => self.round = self.round.wrapping_add(1),
            Change::Cold => {
                self.suspect_since = None;
                self.epoch = self.epoch.wrapping_add(1);
            }
        }
        self.record_limit(why, out);
    }

    fn record_limit(&self, why: &'static str, out: &mut Vec<Command>) {
        let chosen = format!("limit {}", self.limit());
        out.push(self.decision(&chosen, why));
    }

    fn decision(&self, chosen: &str, why: &'static str) -> Command {
        Command::Decision(Decision {
            what: "limit",
            subject: self.name.clone(),
            chosen: chosen.to_owned(),
            passed_over: String::new(),
            why: why.into(),
            took_ms: 0,
        })
    }
}
