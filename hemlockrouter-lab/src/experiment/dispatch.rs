//! The simulation of the dispatching side: from the offer of a sub-request to its dispatch, its
//! upstream and its reply.

use hemlockrouter_limit::Command;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;
use rand::rngs::StdRng;

use super::fake::FakeUpstream;
use super::fake::Job;
use super::fake::JobOutcome;
use super::fake::UpstreamAction;
use super::instance::Dispatcher;
use super::instance::PendingSubRequest;
use super::sim::Event;
use super::sim::Simulation;
use super::Scenario;

/// Share of sub-requests that are stragglers in [`Scenario::Stragglers`].
const STRAGGLER_SHARE: f64 = 0.01;

/// Retry delay after a refused connection, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// The only snapshot, which all simulated upstreams serve.
const SNAPSHOT: Snapshot = Snapshot(1);

impl Simulation {
    pub(super) fn offer(&mut self, job: Job, remaining_ms: u64) {
        let kind = self.kind(job.query);
        let deadline = self.now() + remaining_ms;
        let sub = PendingSubRequest {
            job: Job {
                deadline_us: deadline.as_ms() * 1_000,
                ..job
            },
            offered_us: self.now_us,
            dispatched_us: 0,
        };
        self.instances[job.dispatcher]
            .sub_requests
            .insert(job.id, sub);
        let search = self.catalog.searches.get(kind.search);
        let work = SubRequest {
            id: job.id,
            customer: kind.customer,
            upstream: job.upstream,
            weight: search.expect("queries name searches").weight,
            deadline,
            non_repeatable: false,
        };
        self.drive_dispatcher(job.dispatcher, |dispatcher, now, out| {
            dispatcher.offer(now, work, out);
        });
    }

    pub(super) fn drive_dispatcher<F>(&mut self, index: usize, action: F)
    where
        F: FnOnce(&mut Dispatcher, Time, &mut Vec<Command>),
    {
        let now = self.now();
        let mut out = Vec::new();
        action(&mut self.instances[index].dispatcher, now, &mut out);
        for command in out {
            self.execute_dispatcher(index, command);
        }
        let instance = &mut self.instances[index];
        let wake = instance.dispatcher.next_wake();
        let wake_us = wake.map_or(u64::MAX, |wake| wake.as_ms() * 1_000);
        if wake_us < instance.dispatcher_wake_us {
            instance.dispatcher_wake_us = wake_us;
            self.schedule(wake_us.max(self.now_us), Event::WakeDispatcher(index));
        }
    }

    fn execute_dispatcher(&mut self, index: usize, command: Command) {
        match command {
            Command::Dispatch { id, .. } => self.dispatch(index, id),
            Command::Refuse { id, refusal } => {
                if let Some(sub) = self.instances[index].sub_requests.remove(&id) {
                    let queued_ms = whole_ms_between(sub.offered_us, self.now_us);
                    self.reply(sub.job, SubRequestOutcome::NotRun(refusal), queued_ms, 0);
                }
            }
            Command::CancelAtUpstream { id, upstream } => {
                let at_us = self.now_us + self.upstream_delay_us(index, upstream);
                self.schedule(at_us, Event::CancelAtUpstream(upstream, id));
            }
            Command::Decision(_) => (),
        }
    }

    fn dispatch(&mut self, index: usize, id: SubRequestId) {
        let instance = &mut self.instances[index];
        let sub = instance.sub_requests.get_mut(&id);
        let sub = sub.expect("only offered work is dispatched");
        let idle_connections = &mut instance.idle_connections[sub.job.upstream.slot()];
        sub.dispatched_us = self.now_us;
        sub.job.opens_connection = *idle_connections == 0;
        *idle_connections = idle_connections.saturating_sub(1);
        let job = sub.job;
        let at_us = self.now_us + self.upstream_delay_us(index, job.upstream);
        self.schedule(at_us, Event::ReachUpstream(job));
    }

    pub(super) fn reach_upstream(&mut self, job: Job) {
        let zone = self.fakes[job.upstream.slot()].sizes.zone;
        self.late_work += u64::from(self.zone_without_work == Some(zone));
        self.drive_upstream(job.upstream, |fake, now_us, share, rng, out| {
            fake.handle_arrival(now_us, job, share, rng, out);
        });
    }

    pub(super) fn drive_upstream<F>(&mut self, upstream: UpstreamKey, action: F)
    where
        F: FnOnce(&mut FakeUpstream, u64, f64, &mut StdRng, &mut Vec<UpstreamAction>),
    {
        let stragglers = self.options.scenario == Scenario::Stragglers;
        let share = match stragglers && self.now_us >= self.window.from_us {
            true => STRAGGLER_SHARE,
            false => 0.0,
        };
        let mut out = Vec::new();
        let fake = &mut self.fakes[upstream.slot()];
        action(fake, self.now_us, share, &mut self.rng, &mut out);
        self.execute_actions(out);
    }

    /// Schedules the follow-up events of the actions of an upstream.
    pub(super) fn execute_actions(&mut self, actions: Vec<UpstreamAction>) {
        for action in actions {
            match action {
                UpstreamAction::Begun { job, after_us } => {
                    let begun = &mut self.records[job.query].start_counts[usize::from(job.shard.0)];
                    *begun = begun.saturating_add(1);
                    self.schedule(
                        self.now_us + after_us,
                        Event::ServiceElapsed(job.upstream, job.id),
                    );
                }
                UpstreamAction::Ended { job, end } => {
                    if let JobOutcome::Answered { .. } = end {
                        let shard = usize::from(job.shard.0);
                        let completed_us = &mut self.records[job.query].completed_us[shard];
                        completed_us.get_or_insert(self.now_us);
                    }
                    let at_us = self.now_us + self.upstream_delay_us(job.dispatcher, job.upstream);
                    self.schedule(at_us, Event::SubRequestEnded(job, end));
                }
            }
        }
    }

    /// Handles the end of a sub-request at its dispatcher.
    pub(super) fn finish_job(&mut self, job: Job, end: JobOutcome) {
        let instance = &mut self.instances[job.dispatcher];
        let sub = instance.sub_requests.remove(&job.id);
        let sub = sub.expect("a dispatched sub-request ends once");
        if !matches!(end, JobOutcome::Broken | JobOutcome::Unreachable) {
            instance.idle_connections[job.upstream.slot()] += 1;
        }
        let queued_ms = whole_ms_between(sub.offered_us, sub.dispatched_us);
        let served_ms = whole_ms_between(sub.dispatched_us, self.now_us);
        let (ended, outcome) = convert_outcome(end, served_ms);
        self.drive_dispatcher(job.dispatcher, |dispatcher, now, out| {
            dispatcher.finish(now, job.id, ended, out);
        });
        self.reply(job, outcome, queued_ms, served_ms);
    }

    fn reply(&mut self, job: Job, outcome: SubRequestOutcome, queued_ms: u32, served_ms: u32) {
        let entry = job.id.origin.0 as usize;
        let at_us = self.now_us + self.instance_delay_us(job.dispatcher, entry);
        let reply = SubRequestReply {
            id: job.id,
            outcome,
            queued_ms,
            served_ms,
        };
        self.schedule(at_us, Event::Reply(reply));
    }
}

/// Returns the time between two instants, in whole milliseconds.
fn whole_ms_between(from_us: u64, until_us: u64) -> u32 {
    ((until_us - from_us) / 1_000) as u32
}

/// Converts the end of a sub-request into the outcomes for the limiter and for the searcher, as the
/// daemon does.
fn convert_outcome(end: JobOutcome, served_ms: u32) -> (DispatchOutcome, SubRequestOutcome) {
    let not_run = |reason, retry_after_ms| {
        SubRequestOutcome::NotRun(Refusal {
            reason,
            retry_after_ms,
        })
    };
    match end {
        JobOutcome::Answered { start_id } => {
            let ended = DispatchOutcome::Answered {
                served_ms,
                start_id: Some(StartId(start_id)),
                leaving: false,
            };
            let serves = SnapshotRange {
                oldest: SNAPSHOT,
                newest: SNAPSHOT,
            };
            let outcome = SubRequestOutcome::Answered {
                snapshot: SNAPSHOT,
                map: MapVersion(1),
                serves,
                body: Vec::new(),
            };
            (ended, outcome)
        }
        JobOutcome::Shed {
            retry_after_ms,
            start_id,
        } => {
            let ended = DispatchOutcome::Shed {
                retry_after_ms,
                start_id: Some(StartId(start_id)),
            };
            (ended, not_run(RefusalReason::Shed, retry_after_ms))
        }
        JobOutcome::Cancelled => (DispatchOutcome::Cancelled, SubRequestOutcome::Failed),
        JobOutcome::Failed => (DispatchOutcome::Failed, SubRequestOutcome::Failed),
        JobOutcome::Broken => (DispatchOutcome::ConnectionBroken, SubRequestOutcome::Failed),
        JobOutcome::Unreachable => (
            DispatchOutcome::Unreachable,
            not_run(RefusalReason::Unreachable, RETRY_AFTER_MS),
        ),
    }
}
