//! Fake upstream with slots, cold starts, overload and stragglers.

use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_types::prelude::*;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;

/// Parameters of a fake upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FakeUpstreamSpec {
    pub(crate) cold_slots: u32,
    /// Mean service time of a request of cost 1 when warm and when cold, in milliseconds.
    pub(crate) warm_ms: u32,
    pub(crate) cold_ms: u32,
    /// Number of answers and time since the start of a cold start that must both be reached before
    /// the upstream is warm.
    pub(crate) warm_answers: u32,
    pub(crate) warm_after_ms: u64,
    /// Number of answers after a cold start over which the capacity rises to `slots`. Requests in
    /// flight beyond the capacity slow the upstream down.
    pub(crate) capacity_ramp_answers: u32,
    pub(crate) slots: u32,
    /// Time for which all requests fail after an overload, in milliseconds.
    pub(crate) overload_failure_ms: u64,
    /// Stragglers per thousand requests, and the factor by which they take longer.
    pub(crate) stragglers_per_mille: u32,
    pub(crate) straggler_factor: u32,
}

impl FakeUpstreamSpec {
    pub(crate) fn new(slots: u32, cold_slots: u32) -> FakeUpstreamSpec {
        FakeUpstreamSpec {
            cold_slots,
            warm_ms: 5,
            cold_ms: 20,
            warm_answers: 10,
            warm_after_ms: 1_000,
            capacity_ramp_answers: 0,
            slots,
            overload_failure_ms: 200,
            stragglers_per_mille: 0,
            straggler_factor: 20,
        }
    }
}

/// Fake upstream.
pub(crate) struct FakeUpstream {
    pub(crate) spec: FakeUpstreamSpec,
    pub(crate) in_flight: u32,
    /// Number of overloads during cold starts.
    pub(crate) overloads: u32,
    pub(crate) peak_cold_in_flight: u32,
    pub(crate) busy_ms: u64,
    start: u64,
    /// Number of times that all requests in flight were lost.
    loss_count: u32,
    cold_start: Option<(Time, u32)>,
    /// Number of answers since the last cold start.
    answers_since_cold_start: u32,
    failing_until: Time,
    down_until: Time,
    rng: SmallRng,
}

/// A request that an upstream is processing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestInProcess {
    pub(crate) since: Time,
    pub(crate) until: Time,
    loss_count: u32,
    failure: Option<DispatchOutcome>,
}

impl FakeUpstream {
    pub(crate) fn new(spec: FakeUpstreamSpec, now: Time, seed: u64) -> FakeUpstream {
        FakeUpstream {
            spec,
            in_flight: 0,
            overloads: 0,
            peak_cold_in_flight: 0,
            busy_ms: 0,
            start: 1,
            loss_count: 0,
            cold_start: Some((now, 0)),
            answers_since_cold_start: 0,
            failing_until: Time::ZERO,
            down_until: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.cold_start.is_some()
    }

    pub(crate) fn start(&self) -> StartId {
        StartId(self.start)
    }

    /// Begins a cold start without a new start id.
    pub(crate) fn begin_cold_start(&mut self, now: Time) {
        self.cold_start = Some((now, 0));
    }

    /// Restarts the upstream. Requests in flight are lost, and connections are refused for
    /// `down_ms` milliseconds.
    pub(crate) fn restart(&mut self, now: Time, down_ms: u64) {
        self.start += 1;
        self.down_until = now + down_ms;
        self.failing_until = Time::ZERO;
        self.lose_in_flight();
        self.cold_start = Some((self.down_until, 0));
    }

    /// Starts a request that takes `cost` times the usual service time.
    pub(crate) fn start_request(&mut self, now: Time, cost: u32) -> RequestInProcess {
        let failing_request = |after_ms, outcome| RequestInProcess {
            since: now,
            until: now + after_ms,
            loss_count: self.loss_count,
            failure: Some(outcome),
        };
        if now < self.down_until {
            return failing_request(0, DispatchOutcome::Unreachable);
        }
        if now < self.failing_until {
            return failing_request(1, DispatchOutcome::Failed);
        }
        self.in_flight += 1;
        if self.cold_start.is_some() {
            self.peak_cold_in_flight = self.peak_cold_in_flight.max(self.in_flight);
            if self.in_flight > self.spec.cold_slots {
                return self.overload(now);
            }
        }
        let took_ms = self.draw_service_ms(cost);
        self.busy_ms += took_ms;
        RequestInProcess {
            since: now,
            until: now + took_ms,
            loss_count: self.loss_count,
            failure: None,
        }
    }

    /// Ends a request at `now`, which must not be before its `until`.
    pub(crate) fn end_request(
        &mut self,
        now: Time,
        in_process: RequestInProcess,
    ) -> DispatchOutcome {
        if let Some(outcome) = in_process.failure {
            return outcome;
        }
        if in_process.loss_count != self.loss_count {
            return DispatchOutcome::Failed;
        }
        self.in_flight -= 1;
        if let Some((since, answers)) = &mut self.cold_start {
            *answers += 1;
            let warm = *answers >= self.spec.warm_answers
                && now.ms_since(*since) >= self.spec.warm_after_ms;
            if warm {
                self.cold_start = None;
                self.answers_since_cold_start = 0;
            }
        } else {
            self.answers_since_cold_start = self.answers_since_cold_start.saturating_add(1);
        }
        DispatchOutcome::Answered {
            served_ms: now.ms_since(in_process.since) as u32,
            start_id: Some(self.start()),
            leaving: false,
        }
    }

    fn overload(&mut self, now: Time) -> RequestInProcess {
        self.overloads += 1;
        self.failing_until = now + self.spec.overload_failure_ms;
        self.cold_start = Some((self.failing_until, 0));
        self.lose_in_flight();
        RequestInProcess {
            since: now,
            until: now + 1,
            loss_count: self.loss_count,
            failure: Some(DispatchOutcome::Failed),
        }
    }

    fn lose_in_flight(&mut self) {
        self.loss_count += 1;
        self.in_flight = 0;
    }

    fn capacity(&self) -> u32 {
        if self.cold_start.is_some()
            || self.answers_since_cold_start >= self.spec.capacity_ramp_answers
        {
            return self.spec.slots;
        }
        let extra_slots = self.spec.slots - self.spec.cold_slots;
        self.spec.cold_slots
            + extra_slots * self.answers_since_cold_start / self.spec.capacity_ramp_answers
    }

    fn draw_service_ms(&mut self, cost: u32) -> u64 {
        let mean_ms = match self.cold_start {
            Some(_) => self.spec.cold_ms,
            None => self.spec.warm_ms,
        };
        let mean_ms = mean_ms * cost * self.in_flight.div_ceil(self.capacity());
        let half_ms = mean_ms / 2;
        let took_ms = mean_ms - half_ms + self.rng.random_range(0..=2 * half_ms);
        if self.rng.random_range(0..1_000) < self.spec.stragglers_per_mille {
            return u64::from(took_ms * self.spec.straggler_factor);
        }
        u64::from(took_ms)
    }
}
