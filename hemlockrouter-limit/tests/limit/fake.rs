//! Fake upstream with slots, cold starts, overload and stragglers.

use hemlockrouter_limit::Ended;
use hemlockrouter_types::prelude::*;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;

/// Parameters of a fake upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spec {
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
    pub(crate) rise_answers: u32,
    pub(crate) slots: u32,
    /// Time for which all requests fail after an overload, in milliseconds.
    pub(crate) fall_ms: u64,
    /// Stragglers per thousand requests, and the factor by which they take longer.
    pub(crate) straggle_per_mille: u32,
    pub(crate) straggle_times: u32,
}

impl Spec {
    pub(crate) fn new(slots: u32, cold_slots: u32) -> Spec {
        Spec {
            cold_slots,
            warm_ms: 5,
            cold_ms: 20,
            warm_answers: 10,
            warm_after_ms: 1_000,
            rise_answers: 0,
            slots,
            fall_ms: 200,
            straggle_per_mille: 0,
            straggle_times: 20,
        }
    }
}

/// Fake upstream.
pub(crate) struct Fake {
    pub(crate) spec: Spec,
    pub(crate) in_flight: u32,
    /// Number of overloads during cold starts.
    pub(crate) overloads: u32,
    pub(crate) peak_cold: u32,
    pub(crate) busy_ms: u64,
    start: u64,
    /// Number of times that all requests in flight were lost.
    generation: u32,
    cold: Option<(Time, u32)>,
    /// Number of answers since the last cold start.
    risen: u32,
    fallen_until: Time,
    down_until: Time,
    rng: SmallRng,
}

/// A request that an upstream is processing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Serving {
    pub(crate) since: Time,
    pub(crate) until: Time,
    generation: u32,
    failed: Option<Ended>,
}

impl Fake {
    pub(crate) fn new(spec: Spec, now: Time, seed: u64) -> Fake {
        Fake {
            spec,
            in_flight: 0,
            overloads: 0,
            peak_cold: 0,
            busy_ms: 0,
            start: 1,
            generation: 0,
            cold: Some((now, 0)),
            risen: 0,
            fallen_until: Time::ZERO,
            down_until: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    pub(crate) fn start(&self) -> StartId {
        StartId(self.start)
    }

    /// Begins a cold start without a new start id.
    pub(crate) fn turn_cold(&mut self, now: Time) {
        self.cold = Some((now, 0));
    }

    /// Restarts the upstream. Requests in flight are lost, and connections are refused for
    /// `down_ms` milliseconds.
    pub(crate) fn restart(&mut self, now: Time, down_ms: u64) {
        self.start += 1;
        self.down_until = now + down_ms;
        self.fallen_until = Time::ZERO;
        self.lose_all();
        self.cold = Some((self.down_until, 0));
    }

    /// Starts a request that takes `cost` times the usual service time.
    pub(crate) fn arrive(&mut self, now: Time, cost: u32) -> Serving {
        let fails = |after_ms, ended| Serving {
            since: now,
            until: now + after_ms,
            generation: self.generation,
            failed: Some(ended),
        };
        if now < self.down_until {
            return fails(0, Ended::Unreachable);
        }
        if now < self.fallen_until {
            return fails(1, Ended::Failed);
        }
        self.in_flight += 1;
        if self.cold.is_some() {
            self.peak_cold = self.peak_cold.max(self.in_flight);
            if self.in_flight > self.spec.cold_slots {
                return self.fall_over(now);
            }
        }
        let took_ms = self.draw_ms(cost);
        self.busy_ms += took_ms;
        Serving {
            since: now,
            until: now + took_ms,
            generation: self.generation,
            failed: None,
        }
    }

    /// Ends a request at `now`, which must not be before its `until`.
    pub(crate) fn end(&mut self, now: Time, serving: Serving) -> Ended {
        if let Some(ended) = serving.failed {
            return ended;
        }
        if serving.generation != self.generation {
            return Ended::Failed;
        }
        self.in_flight -= 1;
        if let Some((since, answers)) = &mut self.cold {
            *answers += 1;
            let warm =
                *answers >= self.spec.warm_answers && now.since(*since) >= self.spec.warm_after_ms;
            if warm {
                self.cold = None;
                self.risen = 0;
            }
        } else {
            self.risen = self.risen.saturating_add(1);
        }
        Ended::Answered {
            served_ms: now.since(serving.since) as u32,
            start: Some(self.start()),
            leaving: false,
        }
    }

    fn fall_over(&mut self, now: Time) -> Serving {
        self.overloads += 1;
        self.fallen_until = now + self.spec.fall_ms;
        self.cold = Some((self.fallen_until, 0));
        self.lose_all();
        Serving {
            since: now,
            until: now + 1,
            generation: self.generation,
            failed: Some(Ended::Failed),
        }
    }

    fn lose_all(&mut self) {
        self.generation += 1;
        self.in_flight = 0;
    }

    fn bears(&self) -> u32 {
        if self.cold.is_some() || self.risen >= self.spec.rise_answers {
            return self.spec.slots;
        }
        let more = self.spec.slots - self.spec.cold_slots;
        self.spec.cold_slots + more * self.risen / self.spec.rise_answers
    }

    fn draw_ms(&mut self, cost: u32) -> u64 {
        let mean_ms = match self.cold {
            Some(_) => self.spec.cold_ms,
            None => self.spec.warm_ms,
        };
        let mean_ms = mean_ms * cost * self.in_flight.div_ceil(self.bears());
        let half_ms = mean_ms / 2;
        let took_ms = mean_ms - half_ms + self.rng.random_range(0..=2 * half_ms);
        if self.rng.random_range(0..1_000) < self.spec.straggle_per_mille {
            return u64::from(took_ms * self.spec.straggle_times);
        }
        u64::from(took_ms)
    }
}
