//! News that still has to be passed on.
//!
//! Each item rides on a bounded number of messages, logarithmic in the size of the zone (SWIM,
//! Das, Gupta and Motivala 2002), and fresh items go first.

use hemlockrouter_types::prelude::*;

/// How many times the logarithm of the members one item is sent.
const REPEATS: u32 = 3;

/// The ids of the instances about which there is news.
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
    /// Adds news about `id`, to be passed on in a zone of `members`.
    pub(crate) fn add(&mut self, id: InstanceId, members: usize) {
        self.items.retain(|item| item.id != id);
        let sends_left = REPEATS * (usize::BITS - members.leading_zeros()).max(1);
        self.items.push(Item { id, sends_left });
    }

    /// Takes the ids of at most `max` items for one message.
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
