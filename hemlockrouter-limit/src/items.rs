//! Sub-requests that were offered and have not ended, by id.
//!
//! A sub-request is kept from its offer to its end, so that a duplicated offer, cancellation or end
//! is recognized. The ids of sub-requests that must not be repeated are kept for some time longer.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use hemlockrouter_types::prelude::*;

use crate::upstream::Flight;

/// Hasher without a random seed. Maps with this hasher are never iterated, so their order does not
/// matter.
type FixedHasher = BuildHasherDefault<DefaultHasher>;

/// State of a sub-request that was offered and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    pub(crate) upstream: UpstreamKey,
    pub(crate) once: bool,
    pub(crate) stage: Stage,
}

/// Progress of a sub-request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// The sub-request waits in the queue of its upstream. The fields locate its queue entry.
    Waiting {
        customer: CustomerKey,
        deadline: Time,
        seq: u64,
    },
    /// The sub-request was dispatched.
    InFlight { flight: Flight, cancelled: bool },
}

/// All sub-requests that have not ended, by id.
#[derive(Debug)]
pub(crate) struct Items {
    items: HashMap<SubId, Item, FixedHasher>,
    ended_once: HashSet<SubId, FixedHasher>,
    /// The ids in `ended_once`, in the order of the times at which they expire.
    order: VecDeque<(Time, SubId)>,
    memory_ms: u32,
}

impl Items {
    /// Creates an empty set. The ids of ended sub-requests that must not be repeated are kept for
    /// `memory_ms` milliseconds.
    pub(crate) fn new(memory_ms: u32) -> Items {
        Items {
            items: HashMap::default(),
            ended_once: HashSet::default(),
            order: VecDeque::new(),
            memory_ms,
        }
    }

    /// Returns whether a sub-request with `id` was offered before, so that a second offer must be
    /// ignored.
    pub(crate) fn is_known(&self, id: SubId, once: bool) -> bool {
        self.items.contains_key(&id) || (once && self.ended_once.contains(&id))
    }

    /// Adds a sub-request.
    pub(crate) fn insert(&mut self, id: SubId, item: Item) {
        self.items.insert(id, item);
    }

    /// Returns the state of the sub-request with `id`.
    pub(crate) fn get_mut(&mut self, id: SubId) -> Option<&mut Item> {
        self.items.get_mut(&id)
    }

    /// Removes a sub-request that has ended. Its id is remembered if the sub-request must not be
    /// repeated.
    pub(crate) fn end(&mut self, now: Time, id: SubId) {
        let item = self.items.remove(&id).expect("whatever ends was known");
        if item.once {
            self.remember(now, id);
        }
    }

    /// Remembers the id of a sub-request that must not be repeated and was refused when it was
    /// offered.
    pub(crate) fn remember(&mut self, now: Time, id: SubId) {
        self.ended_once.insert(id);
        self.order.push_back((now + u64::from(self.memory_ms), id));
    }

    /// Drops the remembered ids that have expired.
    pub(crate) fn forget_old(&mut self, now: Time) {
        while let Some(&(until, id)) = self.order.front() {
            if until > now {
                return;
            }
            self.order.pop_front();
            self.ended_once.remove(&id);
        }
    }
}
