//! Refusals and dispatches that follow from the state of one upstream after an event.
//!
//! After every event that concerns an upstream, the waiting sub-requests that can't be served are
//! refused first. The sub-requests that may be sent are dispatched afterwards.

use hemlockrouter_types::prelude::*;

use crate::config::Config;
use crate::items::Items;
use crate::items::Stage;
use crate::queue::Turn;
use crate::queue::Waiting;
use crate::upstream::Upstream;
use crate::work::Command;

/// One upstream at the time of an event, with the state that its decisions read and change.
pub(crate) struct Pump<'a> {
    pub(crate) now: Time,
    pub(crate) key: UpstreamKey,
    pub(crate) config: &'a Config,
    pub(crate) upstream: &'a mut Upstream,
    pub(crate) items: &'a mut Items,
    pub(crate) out: &'a mut Vec<Command>,
}

impl Pump<'_> {
    /// Refuses and dispatches sub-requests as the state of the upstream requires.
    pub(crate) fn run(&mut self) {
        self.upstream
            .check_progress(self.now, self.config, self.out);
        self.refuse_all_if_closed();
        self.refuse_due();
        self.dispatch();
    }

    /// Returns the next time at which the state of the upstream can change without an event.
    pub(crate) fn next(&self) -> Option<Time> {
        let stalls_at = self.upstream.stalls_at();
        let Some(start_by) = self.upstream.queue.start_by() else {
            return stalls_at;
        };
        let lease_until = self.upstream.lease_until(self.now);
        let pause = self.upstream.pause(self.now).map(|pause| pause.until);
        let due = [stalls_at, Some(start_by + 1), lease_until, pause];
        due.into_iter().flatten().min()
    }

    /// Refuses a waiting sub-request.
    pub(crate) fn refuse(&mut self, waiting: &Waiting, refusal: Refusal) {
        self.items.end(self.now, waiting.id);
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
        let Some(refusal) = self.upstream.closed(self.now, self.config) else {
            return;
        };
        for waiting in self.upstream.queue.drain() {
            self.refuse(&waiting, refusal);
        }
    }

    /// Refuses the sub-requests that can't be completed by their deadlines or can't wait until the
    /// current pause ends.
    fn refuse_due(&mut self) {
        let now = self.now;
        let pause = self.upstream.pause(now);
        let earliest = match pause {
            None => now,
            Some(pause) if pause.reason == Reason::Unreachable => Time::MAX,
            Some(pause) => pause.until,
        };
        while let Some(waiting) = self.upstream.queue.pop_due(earliest) {
            let refusal = match pause {
                Some(pause) => self.config.refusal(pause.reason, pause.until.left(now)),
                None => {
                    let drain_ms = self.upstream.drain_ms(waiting.customer);
                    self.config.refusal(Reason::Deadline, drain_ms)
                }
            };
            self.refuse(&waiting, refusal);
        }
    }

    fn dispatch(&mut self) {
        while self.upstream.may_dispatch(self.now) {
            let Some(turn) = self.upstream.queue.pop(self.now) else {
                return;
            };
            self.send(turn);
        }
    }

    fn send(&mut self, turn: Turn) {
        let Turn { waiting, charge } = turn;
        let flight = self.upstream.dispatch(self.now, charge, self.config);
        let item = self.items.get_mut(waiting.id);
        let item = item.expect("whatever waits is known");
        item.stage = Stage::InFlight {
            flight,
            cancelled: false,
        };
        let lease_until = self.upstream.lease_until(self.now);
        let lease_until = lease_until.expect("work is dispatched under a lease");
        // The next owner waits for `quiet_ms` after the lease ends, so the deadline ends there as
        // well. Work that must not be repeated keeps its full deadline, because cutting it short
        // would leave its outcome unknown.
        let quiet_from = lease_until + u64::from(self.config.quiet_ms);
        let deadline = if item.once {
            waiting.deadline
        } else {
            waiting.deadline.min(quiet_from)
        };
        self.out.push(Command::Dispatch {
            id: waiting.id,
            upstream: self.key,
            lease_until,
            deadline,
        });
    }
}
