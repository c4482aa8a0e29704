//! Rumours that still have to be sent.
//!
//! Each rumour is attached to a bounded number of messages, logarithmic in the size of the zone
//! (SWIM, Das, Gupta and Motivala 2002). Rumours that were sent least often go first.

use hemlockrouter_types::prelude::*;

/// Number of times that a rumour is sent, as a multiple of the binary logarithm of the zone's size.
const SENDS_PER_LOG2_MEMBERS: u32 = 3;

/// Queue of the instances whose table entries changed and are still to be sent as rumours.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    queue: Vec<QueuedRumour>,
}

#[derive(Debug)]
struct QueuedRumour {
    id: InstanceId,
    sends_left: u32,
}

impl Gossip {
    /// Queues a rumour about `id` for a zone of `member_count` instances, and restarts its count of
    /// sends if it is queued already.
    pub(crate) fn add(&mut self, id: InstanceId, member_count: usize) {
        self.queue.retain(|rumour| rumour.id != id);
        let sends_left =
            SENDS_PER_LOG2_MEMBERS * (usize::BITS - member_count.leading_zeros()).max(1);
        self.queue.push(QueuedRumour { id, sends_left });
    }

    /// Returns at most `max` queued ids for one message, and counts one send for each of them.
    pub(crate) fn take(&mut self, max: usize) -> Vec<InstanceId> {
        self.queue
            .sort_by(|a, b| b.sends_left.cmp(&a.sends_left).then(a.id.cmp(&b.id)));
        let mut ids = Vec::new();
        for rumour in self.queue.iter_mut().take(max) {
            rumour.sends_left -= 1;
            ids.push(rumour.id);
        }
        self.queue.retain(|rumour| rumour.sends_left > 0);
        ids
    }
}
