//! Detects whether sub-requests spend more time in queues than in service.
//!
//! A hedge shortens the wait for a slow replica. If most sub-requests wait longer in their owners'
//! queues than they are worked on, no slot is idle, and a hedge only takes a slot from another
//! query. When load exceeds the capacity of the slots, latencies grow first and look like
//! stragglers, so without this check hedges would be sent exactly then.

use hemlockrouter_wire::SubRequestReply;

/// Weight of one reply in the moving average.
const REPLY_WEIGHT: f64 = 1.0 / 64.0;

/// Share of queued replies above which no hedges are sent.
const MAX_QUEUED_SHARE: f64 = 0.5;

/// Moving average of the share of replies whose sub-request was queued longer than it was served.
#[derive(Debug, Default)]
pub(super) struct QueueingMonitor {
    queued_share: f64,
}

impl QueueingMonitor {
    pub(super) fn record(&mut self, reply: &SubRequestReply) {
        if reply.served_ms == 0 {
            // A reply without service time was not dispatched, so its times say nothing about
            // queueing.
            return;
        }
        let was_queued = reply.queued_ms > reply.served_ms;
        self.queued_share += REPLY_WEIGHT * (f64::from(u8::from(was_queued)) - self.queued_share);
    }

    /// Returns whether most sub-requests wait longer for a slot than they are served.
    pub(super) fn most_are_queued(&self) -> bool {
        self.queued_share > MAX_QUEUED_SHARE
    }
}
