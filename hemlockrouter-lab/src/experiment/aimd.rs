//! A baseline dispatcher with additive-increase, multiplicative-decrease limits.
//!
//! Each instance dispatches directly, with a limit for each upstream that rises on answers and
//! halves on shed or failed requests.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_limit::Command;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::prelude::*;

/// Maximum number of sub-requests queued for one upstream.
const MAX_QUEUED: usize = 256;

/// Retry delay in a refusal, in milliseconds.
const RETRY_AFTER_MS: u32 = 50;

/// The dispatcher of one instance, with a limit for each upstream.
#[derive(Debug, Default)]
pub(super) struct Aimd {
    /// Limit of each upstream, indexed by the slot of the upstream's key.
    upstreams: Vec<UpstreamLimit>,
    active_work: BTreeMap<SubRequestId, (UpstreamKey, bool)>,
}

#[derive(Debug)]
struct UpstreamLimit {
    limit: f64,
    max_limit: f64,
    in_flight: u32,
    in_service: bool,
    waiting: VecDeque<SubRequest>,
}

impl Aimd {
    pub(super) fn configure(&mut self, catalog: &Catalog) {
        for (key, upstream) in catalog.upstreams.iter() {
            if self.upstreams.len() <= key.slot() {
                self.upstreams.push(UpstreamLimit {
                    limit: 1.0,
                    max_limit: f64::from(upstream.slots),
                    in_flight: 0,
                    in_service: true,
                    waiting: VecDeque::new(),
                });
            }
            self.upstreams[key.slot()].in_service = catalog.is_in_service(key);
        }
    }

    pub(super) fn offer(&mut self, now: Time, work: SubRequest, out: &mut Vec<Command>) {
        let limit = &mut self.upstreams[work.upstream.slot()];
        let reason = match limit.in_service {
            false => Some(RefusalReason::Leaving),
            true if limit.waiting.len() >= MAX_QUEUED => Some(RefusalReason::Overloaded),
            true => None,
        };
        if let Some(reason) = reason {
            out.push(refuse(work.id, reason));
            return;
        }
        self.active_work.insert(work.id, (work.upstream, false));
        limit.waiting.push_back(work);
        self.dispatch_waiting(now, work.upstream, out);
    }

    pub(super) fn cancel(&mut self, id: SubRequestId, out: &mut Vec<Command>) {
        let Some(&(upstream, in_flight)) = self.active_work.get(&id) else {
            return;
        };
        if in_flight {
            out.push(Command::CancelAtUpstream { id, upstream });
            return;
        }
        self.active_work.remove(&id);
        let waiting = &mut self.upstreams[upstream.slot()].waiting;
        waiting.retain(|work| work.id != id);
        out.push(refuse(id, RefusalReason::Cancelled));
    }

    pub(super) fn finish(
        &mut self,
        now: Time,
        id: SubRequestId,
        ended: DispatchOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some((upstream, _)) = self.active_work.remove(&id) else {
            return;
        };
        let limit = &mut self.upstreams[upstream.slot()];
        limit.in_flight -= 1;
        match ended {
            DispatchOutcome::Answered { .. } => limit.limit += 1.0 / limit.limit,
            DispatchOutcome::Cancelled => (),
            _ => limit.limit /= 2.0,
        }
        limit.limit = limit.limit.clamp(1.0, limit.max_limit);
        self.dispatch_waiting(now, upstream, out);
    }

    fn dispatch_waiting(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let limit = &mut self.upstreams[upstream.slot()];
        while f64::from(limit.in_flight + 1) <= limit.limit {
            let Some(work) = limit.waiting.pop_front() else {
                return;
            };
            if work.deadline <= now {
                self.active_work.remove(&work.id);
                out.push(refuse(work.id, RefusalReason::Deadline));
                continue;
            }
            limit.in_flight += 1;
            self.active_work.insert(work.id, (upstream, true));
            out.push(Command::Dispatch {
                id: work.id,
                upstream,
                lease_until: Time::MAX,
                deadline: work.deadline,
            });
        }
    }
}

fn refuse(id: SubRequestId, reason: RefusalReason) -> Command {
    let refusal = Refusal {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    };
    Command::Refuse { id, refusal }
}
