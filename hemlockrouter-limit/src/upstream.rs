//! The state of one upstream at its owner.
//!
//! Whether work goes out is decided in one place, [`Upstream::may_dispatch`]: the lease is held, the
//! upstream takes work, no pause is on, and fewer requests than the limit are in flight. Everything
//! in flight counts until its end is reported, cancelled or not, in this tenure of the lease or in an
//! earlier one.

use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::queue::Queue;
use crate::ramp::Change;
use crate::ramp::Ramp;
use crate::work::Command;
use crate::work::Ended;
use crate::work::Status;

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) name: String,
    pub(crate) in_service: bool,
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
    pause_until: Time,
    /// The last pause after a refused connection, or 0 if the upstream could be connected to.
    backoff_ms: u32,
    /// When work last went out or came back in time.
    progress: Time,
    /// Counts how often the upstream was taken for cold.
    epoch: u32,
    /// Counts how often the limit was lowered.
    round: u32,
}

/// What is remembered of a sub-request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    pub(crate) customer: CustomerKey,
    pub(crate) since: Time,
    pub(crate) epoch: u32,
    pub(crate) round: u32,
}

impl Upstream {
    /// Makes the state of an upstream that is not held yet.
    pub(crate) fn new(now: Time, name: String, slots: u32, cold_slots: u32) -> Upstream {
        Upstream {
            name,
            in_service: true,
            withdrawn: false,
            queue: Queue::default(),
            in_flight: 0,
            wake: None,
            ramp: Ramp::new(now, slots, cold_slots),
            held_until: None,
            start: None,
            leaving_until: None,
            marked_leaving: false,
            pause_until: Time::ZERO,
            backoff_ms: 0,
            progress: now,
            epoch: 0,
            round: 0,
        }
    }

    /// Takes new sizes from the catalogue.
    pub(crate) fn resize(&mut self, slots: u32, cold_slots: u32) {
        self.ramp.resize(slots, cold_slots);
    }

    /// Extends the lease. After a gap another instance may have owned the upstream, so it is cold.
    pub(crate) fn hold(&mut self, now: Time, until: Time, out: &mut Vec<Command>) {
        match self.held_until {
            Some(held) if held > now => self.held_until = Some(held.max(until)),
            _ => {
                self.held_until = Some(until);
                self.cool(now, "the lease is new", out);
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

    /// Returns whether connections were refused so lately that none is tried.
    pub(crate) fn is_unreachable(&self, now: Time) -> bool {
        self.backoff_ms > 0 && self.pause_until > now
    }

    /// Returns what is left of a pause, in milliseconds.
    pub(crate) fn pause_ms(&self, now: Time) -> u64 {
        self.pause_until.left(now)
    }

    /// Returns what is left of the time for which it is leaving, in milliseconds.
    pub(crate) fn leaving_ms(&self, now: Time) -> Option<u64> {
        self.leaving_until.map(|until| until.left(now))
    }

    /// Returns whether one more request may go to the upstream.
    pub(crate) fn may_dispatch(&self, now: Time) -> bool {
        self.lease_until(now).is_some()
            && !self.is_leaving(now)
            && self.pause_until <= now
            && self.in_flight < self.ramp.limit()
    }

    /// Counts a request that goes to the upstream.
    pub(crate) fn dispatch(&mut self, now: Time, customer: CustomerKey) -> Flight {
        self.in_flight += 1;
        self.progress = now;
        Flight {
            customer,
            since: now,
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
        match ended {
            Ended::Answered {
                served_ms,
                start,
                leaving,
            } => {
                self.backoff_ms = 0;
                self.queue.observe_served(now, flight.customer, served_ms);
                self.observe_start(now, flight, start, out);
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
                self.observe_start(now, flight, start, out);
                self.halve(flight, "the upstream sheds load", out);
                let pause_ms = retry_after_ms.min(config.backoff_max_ms);
                self.pause_until = self.pause_until.max(now + u64::from(pause_ms));
            }
            Ended::Leaving => {
                self.backoff_ms = 0;
                self.leave(now, config, out);
            }
            Ended::Unreachable => self.observe_unreachable(now, config, out),
            Ended::TimedOut | Ended::Failed => {
                self.halve(flight, "the upstream did not answer", out);
            }
            Ended::Cancelled => self.observe_cancelled(now, flight, config, out),
            Ended::NotSent => {}
        }
    }

    /// Takes the upstream for cold if nothing moved for so long that all in flight is late.
    pub(crate) fn check_progress(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        if self.stalls_at(config).is_some_and(|at| at <= now) {
            self.cool(now, "all in flight is late", out);
        }
    }

    /// Returns when the upstream looks cold if nothing moves until then.
    pub(crate) fn stalls_at(&self, config: &Config) -> Option<Time> {
        if self.ramp.is_cold() || self.in_flight < 2 {
            return None;
        }
        let above_ms = self.ramp.late_above_ms(config)?;
        Some(self.progress + above_ms + 1)
    }

    /// Returns the condition.
    pub(crate) fn status(&self, now: Time) -> Status {
        Status {
            limit: self.ramp.limit(),
            in_flight: self.in_flight,
            queued: self.queue.len() as u32,
            cold: self.ramp.is_cold(),
            leaving: self.is_leaving(now),
        }
    }

    /// Takes in whether another source calls the upstream leaving.
    pub(crate) fn mark_leaving(&mut self, now: Time, leaving: bool, out: &mut Vec<Command>) {
        if leaving == self.marked_leaving {
            return;
        }
        self.marked_leaving = leaving;
        self.leaving_until = None;
        self.cool(now, "the upstream was marked as leaving or staying", out);
    }

    fn leave(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        if !self.is_leaving(now) {
            out.push(self.decision("refuse new work", "the upstream is leaving"));
        }
        self.leaving_until = Some(now + u64::from(config.leaving_ms));
        // Whatever answers at this address afterwards is another start.
        self.cool(now, "the upstream is leaving", out);
    }

    fn observe_start(
        &mut self,
        now: Time,
        flight: Flight,
        start: Option<StartId>,
        out: &mut Vec<Command>,
    ) {
        // An answer to work from before may be late and name a start that is gone.
        if start.is_none() || flight.epoch != self.epoch {
            return;
        }
        if self.start.is_some() && self.start != start {
            self.cool(now, "the upstream restarted", out);
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
        // Answers to work from before the limit was lowered tell of the load before.
        if flight.epoch != self.epoch || flight.round != self.round {
            return;
        }
        let above_ms = self.ramp.late_above_ms(config);
        if above_ms.is_none_or(|above_ms| u64::from(served_ms) <= above_ms) {
            self.progress = now;
        }
        let change = self.ramp.observe(now, served_ms, config);
        self.record(change, "answers", out);
    }

    fn observe_cancelled(
        &mut self,
        now: Time,
        flight: Flight,
        config: &Config,
        out: &mut Vec<Command>,
    ) {
        let waited_ms = now.since(flight.since);
        let late = self
            .ramp
            .late_above_ms(config)
            .is_some_and(|above_ms| waited_ms > above_ms);
        if late {
            let waited_ms = u32::try_from(waited_ms).unwrap_or(u32::MAX);
            self.observe(now, flight, waited_ms, config, out);
        }
    }

    fn observe_unreachable(&mut self, now: Time, config: &Config, out: &mut Vec<Command>) {
        self.cool(now, "the connection was refused", out);
        if self.pause_until > now && self.backoff_ms > 0 {
            return;
        }
        let doubled = self.backoff_ms.saturating_mul(2);
        self.backoff_ms = doubled.clamp(config.backoff_min_ms, config.backoff_max_ms);
        self.pause_until = now + u64::from(self.backoff_ms);
    }

    fn halve(&mut self, flight: Flight, why: &'static str, out: &mut Vec<Command>) {
        if flight.epoch != self.epoch || flight.round != self.round {
            return;
        }
        let change = self.ramp.halve();
        self.record(change, why, out);
    }

    fn cool(&mut self, now: Time, why: &'static str, out: &mut Vec<Command>) {
        let change = self.ramp.cool(now);
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
            Change::Cold => self.epoch = self.epoch.wrapping_add(1),
        }
        self.record_limit(why, out);
    }

    fn record_limit(&self, why: &'static str, out: &mut Vec<Command>) {
        let chosen = format!("limit {}", self.ramp.limit());
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
