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
    items: Vec<Item>,
}

#[derive(Debug)]
struct Item {
    id: InstanceId,
    sends_left: u32,
}

impl Gossip {
    /// Queues a rumour about `id` for a zone of `members` instances, and restarts its count of
    /// sends if it is queued already.
    pub(crate) fn add(&mut self, id: InstanceId, members: usize) {
        self.items.retain(|item| item.id != id);
        let sends_left = SENDS_PER_LOG2_MEMBERS * (usize::BITS - members.leading_zeros()).max(1);
        self.items.push(Item { id, sends_left });
    }

    /// Returns at most `max` queued ids for one message, and counts one send for each of them.
    pub(crate) fn take(&mut self, max: usize) -> Vec<InstanceId> {
        self.items
            .sort_by(|a, b| b.sends_left.cmp(&a.sends_left).then(a.id.cmp(&b.id)));
        let mut ids = Vec::new();
        for item in self.items.iter_mut().take(max) {
            item.sends_left -= 1;
            ids.push(item.id);
        }
        self.items.retain(|item| item.sends_left > 0);
        ids
    }
}
