//! Whether sub-requests wait for slots rather than for work.
//!
//! A hedge shortens the wait for a replica that is slow. Where most sub-requests wait longer in their
//! owners' queues than they are worked on, there is no idle slot for it: it only takes one from
//! another query. When load rises above what the slots carry, latencies grow first and look like
//! stragglers, so hedges would be sent just then.

use hemlockrouter_wire::SubReply;

/// The weight of one reply in the moving share.
const WEIGHT: f64 = 1.0 / 64.0;

/// The share of queued replies above which no hedges are sent.
const SHARE_MAX: f64 = 0.5;

/// The moving share of replies to sub-requests that waited longer than they were worked on.
#[derive(Debug, Default)]
pub(super) struct Queueing {
    share: f64,
}

impl Queueing {
    pub(super) fn note(&mut self, reply: &SubReply) {
        if reply.served_ms == 0 {
            // Nothing was dispatched, so nothing is known of its work.
            return;
        }
        let was_queued = reply.queued_ms > reply.served_ms;
        self.share += WEIGHT * (f64::from(u8::from(was_queued)) - self.share);
    }

    /// Returns whether most sub-requests wait for slots.
    pub(super) fn is_usual(&self) -> bool {
        self.share > SHARE_MAX
    }
}
