//! A small fake of an upstream: slots, a short queue, connections and a cold start.
//!
//! The fake follows the rules of the simulated [`upstream`](crate::upstream), but in microseconds
//! and without HTTP. If requests in flight exceed the cold limit of a cold upstream, once the
//! router could know that the upstream is cold, then all its requests fail for a while.

use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;
use rand::rngs::StdRng;
use rand::RngExt;

use super::layout::UpstreamSizes;

/// Maximum number of requests queued beyond the slots.
const MAX_QUEUED: usize = 2;

/// Retry delay in the answer to a shed request, in milliseconds.
const SHED_RETRY_AFTER_MS: u32 = 20;

/// Factor by which the service time of a cold upstream is longer.
const COLD_SERVICE_FACTOR: u64 = 4;

/// Minimum number of answers before a cold upstream becomes warm.
const MIN_WARM_UP_ANSWERS: u32 = 10;

/// Minimum time before a cold upstream becomes warm, in microseconds.
const MIN_WARM_UP_US: u64 = 500_000;

/// Time for which all requests fail after an overload of a cold upstream, in microseconds.
const OVERLOAD_FAILURE_US: u64 = 2_000_000;

/// Grace period before the cold limit is enforced, in microseconds.
///
/// An answer or a broken exchange tells the router that the upstream is cold. Requests that were
/// sent before the router processed this signal may still arrive within the period.
const COLD_LIMIT_GRACE_US: u64 = 50_000;

/// Factor by which the service time of a straggler is longer.
const STRAGGLER_SERVICE_FACTOR: u64 = 20;

/// A sub-request in the simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) id: SubRequestId,
    /// Index of the instance that dispatches the sub-request.
    pub(super) dispatcher: usize,
    pub(super) upstream: UpstreamKey,
    /// Index of the query in the records.
    pub(super) query: usize,
    pub(super) shard: ShardNo,
    /// Mean service time of a warm upstream for the sub-request, in microseconds.
    pub(super) serve_us: u64,
    pub(super) deadline_us: u64,
    /// Whether the sub-request opens a new connection.
    pub(super) opens_connection: bool,
}

/// The outcome of a sub-request at its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobOutcome {
    Answered { start_id: u64 },
    Shed { retry_after_ms: u32, start_id: u64 },
    Cancelled,
    Failed,
    Broken,
    Unreachable,
}

/// An action of an upstream in response to an event.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpstreamAction {
    /// The upstream begins to work on a job, which completes after `after_us`.
    Begun { job: Job, after_us: u64 },
    /// The upstream ended a job.
    Ended { job: Job, end: JobOutcome },
}

/// The fake of one upstream.
#[derive(Debug)]
pub(super) struct FakeUpstream {
    pub(super) sizes: UpstreamSizes,
    is_lost: bool,
    start_id: u64,
    open_connections: u32,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    cold: Option<ColdState>,
    failing_until_us: u64,
    pub(super) peak_cold_in_flight: usize,
    /// Number of times that requests in flight exceeded the cold limit once it was enforced.
    pub(super) cold_limit_exceeded: u64,
    pub(super) shed: u64,
}

#[derive(Debug)]
struct ColdState {
    since_us: u64,
    answers: u32,
    enforced_from_us: Option<u64>,
}

impl FakeUpstream {
    /// Creates a warm upstream.
    pub(super) fn new(sizes: UpstreamSizes) -> FakeUpstream {
        FakeUpstream {
            sizes,
            is_lost: false,
            start_id: 1,
            open_connections: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cold: None,
            failing_until_us: 0,
            peak_cold_in_flight: 0,
            cold_limit_exceeded: 0,
            shed: 0,
        }
    }

    /// Returns the share of the slots in use, at most 1, as the health endpoint reports it.
    pub(super) fn load(&self) -> f64 {
        (self.in_flight() as f64 / self.sizes.slots as f64).min(1.0)
    }

    /// Handles the arrival of a job: queues, refuses or fails it.
    pub(super) fn handle_arrival(
        &mut self,
        now_us: u64,
        job: Job,
        straggler_share: f64,
        rng: &mut StdRng,
        out: &mut Vec<UpstreamAction>,
    ) {
        let connections_exhausted =
            job.opens_connection && self.open_connections >= self.sizes.connections;
        if self.is_lost || connections_exhausted {
            let end = JobOutcome::Unreachable;
            out.push(UpstreamAction::Ended { job, end });
            return;
        }
        self.open_connections += u32::from(job.opens_connection);
        if now_us < self.failing_until_us {
            let end = JobOutcome::Failed;
            out.push(UpstreamAction::Ended { job, end });
            return;
        }
        if self.in_flight() >= self.sizes.slots + MAX_QUEUED {
            self.shed(job, out);
            return;
        }
        self.waiting.push_back(job);
        if let Some(cold) = &self.cold {
            let enforced = cold.enforced_from_us.is_some_and(|from| from <= now_us);
            self.peak_cold_in_flight = self.peak_cold_in_flight.max(self.in_flight());
            if enforced && self.in_flight() > self.sizes.cold_slots {
                self.fail_after_overload(now_us, out);
                return;
            }
        }
        self.start_waiting_jobs(now_us, straggler_share, rng, out);
    }

    /// Completes a job whose service time has elapsed. A job cancelled in the meantime is ignored.
    pub(super) fn complete(
        &mut self,
        now_us: u64,
        id: SubRequestId,
        straggler_share: f64,
        rng: &mut StdRng,
        out: &mut Vec<UpstreamAction>,
    ) {
        let Some(index) = self.running.iter().position(|job| job.id == id) else {
            return;
        };
        let job = self.running.swap_remove(index);
        self.warm_up(now_us);
        let end = JobOutcome::Answered {
            start_id: self.start_id,
        };
        out.push(UpstreamAction::Ended { job, end });
        self.start_waiting_jobs(now_us, straggler_share, rng, out);
    }

    /// Cancels a running or queued job.
    pub(super) fn cancel(
        &mut self,
        now_us: u64,
        id: SubRequestId,
        straggler_share: f64,
        rng: &mut StdRng,
        out: &mut Vec<UpstreamAction>,
    ) {
        let end = JobOutcome::Cancelled;
        if let Some(index) = self.running.iter().position(|job| job.id == id) {
            let job = self.running.swap_remove(index);
            out.push(UpstreamAction::Ended { job, end });
            self.start_waiting_jobs(now_us, straggler_share, rng, out);
        } else if let Some(index) = self.waiting.iter().position(|job| job.id == id) {
            let job = self
                .waiting
                .remove(index)
                .expect("the place was just found");
            out.push(UpstreamAction::Ended { job, end });
        }
    }

    /// Restarts the upstream cold and without warning. Jobs in flight are lost, and a lost job reveals
    /// the restart to the router.
    pub(super) fn restart(&mut self, now_us: u64, out: &mut Vec<UpstreamAction>) {
        let had_in_flight = self.in_flight() > 0;
        self.drop_in_flight(out);
        self.start_id += 1;
        self.turn_cold(
            now_us,
            had_in_flight.then_some(now_us + COLD_LIMIT_GRACE_US),
        );
    }

    /// Restarts the upstream cold while it is out of service, which the router knows.
    pub(super) fn restart_out_of_service(&mut self, now_us: u64, out: &mut Vec<UpstreamAction>) {
        self.drop_in_flight(out);
        self.start_id += 1;
        self.turn_cold(now_us, Some(now_us));
    }

    /// Makes the upstream permanently unreachable.
    pub(super) fn make_unreachable(&mut self, out: &mut Vec<UpstreamAction>) {
        self.drop_in_flight(out);
        self.is_lost = true;
    }

    fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    fn start_waiting_jobs(
        &mut self,
        now_us: u64,
        straggler_share: f64,
        rng: &mut StdRng,
        out: &mut Vec<UpstreamAction>,
    ) {
        while self.running.len() < self.sizes.slots {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            if job.deadline_us <= now_us {
                self.shed(job, out);
                continue;
            }
            let mut after_us = draw_service_us(job.serve_us, rng);
            if self.cold.is_some() {
                after_us *= COLD_SERVICE_FACTOR;
            }
            if rng.random_bool(straggler_share) {
                after_us *= STRAGGLER_SERVICE_FACTOR;
            }
            if job.opens_connection {
                after_us += self.sizes.connect_us;
            }
            self.running.push(job);
            out.push(UpstreamAction::Begun { job, after_us });
        }
    }

    fn shed(&mut self, job: Job, out: &mut Vec<UpstreamAction>) {
        self.shed += 1;
        let end = JobOutcome::Shed {
            retry_after_ms: SHED_RETRY_AFTER_MS,
            start_id: self.start_id,
        };
        out.push(UpstreamAction::Ended { job, end });
    }

    fn turn_cold(&mut self, since_us: u64, enforced_from_us: Option<u64>) {
        self.cold = Some(ColdState {
            since_us,
            answers: 0,
            enforced_from_us,
        });
    }

    fn fail_after_overload(&mut self, now_us: u64, out: &mut Vec<UpstreamAction>) {
        self.cold_limit_exceeded += 1;
        let end = JobOutcome::Failed;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(all.map(|job| UpstreamAction::Ended { job, end }));
        self.failing_until_us = now_us + OVERLOAD_FAILURE_US;
        self.turn_cold(self.failing_until_us, Some(self.failing_until_us));
    }

    fn drop_in_flight(&mut self, out: &mut Vec<UpstreamAction>) {
        let end = JobOutcome::Broken;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(all.map(|job| UpstreamAction::Ended { job, end }));
        self.open_connections = 0;
    }

    fn warm_up(&mut self, now_us: u64) {
        let Some(cold) = &mut self.cold else {
            return;
        };
        cold.answers += 1;
        cold.enforced_from_us = cold.enforced_from_us.or(Some(now_us + COLD_LIMIT_GRACE_US));
        if cold.answers >= MIN_WARM_UP_ANSWERS && now_us >= cold.since_us + MIN_WARM_UP_US {
            self.cold = None;
        }
    }
}

/// Draws a service time with a fixed and an exponential part and a mean of `mean_us`.
fn draw_service_us(mean_us: u64, rng: &mut StdRng) -> u64 {
    let fixed_us = mean_us * 7 / 10;
    let exponential_us = (mean_us - fixed_us) as f64;
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    fixed_us + (-uniform.ln() * exponential_us) as u64
}
