//! Refusals and dispatches that follow from the state of one upstream after an event.
//!
//! After every event that concerns an upstream, the waiting sub-requests that can't be served are
//! refused first. The sub-requests that may be sent are dispatched afterwards.

use hemlockrouter_types::prelude::*;

use crate::active_requests::ActiveRequests;
use crate::active_requests::RequestStage;
use crate::config::Config;
use crate::queue::DequeuedRequest;
use crate::queue::WaitingRequest;
use crate::upstream::Upstream;
use crate::work::Command;

/// One upstream at the time of an event, with the state that its decisions read and change.
pub(crate) struct UpstreamDispatcher<'a> {
    pub(crate) now: Time,
    pub(crate) key: UpstreamKey,
    pub(crate) config: &'a Config,
    pub(crate) upstream: &'a mut Upstream,
    pub(crate) active_requests: &'a mut ActiveRequests,
    pub(crate) out: &'a mut Vec<Command>,
}

impl UpstreamDispatcher<'_> {
    /// Refuses and dispatches sub-requests as the state of the upstream requires.
    pub(crate) fn run(&mut self) {
        self.upstream
            .check_for_cold_start(self.now, self.config, self.out);
        self.refuse_all_if_closed();
        self.refuse_expired();
        self.dispatch();
    }

    /// Returns the next time at which the state of the upstream can change without an event.
    pub(crate) fn next_change_at(&self) -> Option<Time> {
        let suspect_at = self.upstream.suspect_at();
        let Some(latest_start) = self.upstream.queue.latest_start() else {
            return suspect_at;
        };
        let lease_until = self.upstream.lease_until(self.now);
        let pause = self.upstream.pause(self.now).map(|pause| pause.until);
        let instants = [suspect_at, Some(latest_start + 1), lease_until, pause];
        instants.into_iter().flatten().min()
    }

    /// Refuses a waiting sub-request.
    pub(crate) fn refuse(&mut self, waiting: &WaitingRequest, refusal: Refusal) {
        self.active_requests.remove_ended(self.now, waiting.id);
        self.out.push(Command::Refuse {
            id: waiting.id,
            refusal,
        });
    }

    /// Refuses all waiting sub-requests if the upstream accepts no work from this instance.
    fn refuse_all_if_closed(&mut self) {
        if self.upstream.queue.is_empty() {
            return;
        }
        let Some(refusal) = self.upstream.closed_refusal(self.now, self.config) else {
            return;
        };
        for waiting in self.upstream.queue.drain() {
            self.refuse(&waiting, refusal);
        }
    }

    /// Refuses the sub-requests that can't be completed by their deadlines or can't wait until the
    /// current pause ends.
    fn refuse_expired(&mut self) {
        let now = self.now;
        let pause = self.upstream.pause(now);
        let earliest_start = match pause {
            None => now,
            Some(pause) if pause.reason == RefusalReason::Unreachable => Time::MAX,
            Some(pause) => pause.until,
        };
        while let Some(waiting) = self.upstream.queue.pop_expired(earliest_start) {
            let refusal = match pause {
                Some(pause) => self
                    .config
                    .refusal(pause.reason, pause.until.remaining_ms(now)),
                None => {
                    let drain_ms = self.upstream.drain_ms(waiting.customer);
                    self.config.refusal(RefusalReason::Deadline, drain_ms)
                }
            };
            self.refuse(&waiting, refusal);
        }
    }

    fn dispatch(&mut self) {
        while self.upstream.may_dispatch(self.now) {
            let Some(dequeued_request) = self.upstream.queue.pop(self.now) else {
                return;
            };
            self.send_request(dequeued_request);
        }
    }

    fn send_request(&mut self, dequeued_request: DequeuedRequest) {
        let DequeuedRequest { waiting, charge } = dequeued_request;
        let sent_request = self.upstream.dispatch(self.now, charge, self.config);
        let active_request = self.active_requests.get_mut(waiting.id);
        let active_request =
            active_request.expect("every waiting request is in the table of active requests");
        active_request.stage = RequestStage::InFlight {
            sent_request,
            cancelled: false,
        };
        let lease_until = self.upstream.lease_until(self.now);
        let lease_until =
            lease_until.expect("requests are dispatched only while the lease is held");
        // The next owner waits for `takeover_delay_ms` after the lease ends, so the deadline ends
        // there as well. Work that must not be repeated keeps its full deadline, because cutting it
        // short would leave its outcome unknown.
        let takeover_at = lease_until + u64::from(self.config.takeover_delay_ms);
        let deadline = if active_request.non_repeatable {
            waiting.deadline
        } else {
            waiting.deadline.min(takeover_at)
        };
        self.out.push(Command::Dispatch {
            id: waiting.id,
            upstream: self.key,
            lease_until,
            deadline,
        });
    }
}
