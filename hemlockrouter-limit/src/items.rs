//! The sub-requests that were offered and have not ended.
//!
//! An id is known from its offer to its end, so that a duplicated offer, cancel or end finds that it
//! came before. Ids of work that must not be repeated are remembered for some time longer.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use hemlockrouter_types::prelude::*;

use crate::upstream::Flight;

/// A hasher without a random seed. The maps that use it are never iterated.
type FixedHasher = BuildHasherDefault<DefaultHasher>;

/// A sub-request that was offered and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    pub(crate) upstream: UpstreamKey,
    pub(crate) once: bool,
    pub(crate) stage: Stage,
}

/// How far a sub-request has come.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// It waits; the fields find its place in the queue.
    Waiting {
        customer: CustomerKey,
        deadline: Time,
        seq: u64,
    },
    /// It went out.
    InFlight { flight: Flight, cancelled: bool },
}

/// All sub-requests that have not ended, by id.
#[derive(Debug)]
pub(crate) struct Items {
    items: HashMap<SubId, Item, FixedHasher>,
    ended_once: HashSet<SubId, FixedHasher>,
    /// What is in `ended_once`, by when it is forgotten.
    order: VecDeque<(Time, SubId)>,
    memory_ms: u32,
}

impl Items {
    /// Makes an empty set that remembers ended work that must not be repeated for `memory_ms`.
    pub(crate) fn new(memory_ms: u32) -> Items {
        Items {
            items: HashMap::default(),
            ended_once: HashSet::default(),
            order: VecDeque::new(),
            memory_ms,
        }
    }

    /// Returns whether work with `id` was offered before and must not be taken in again.
    pub(crate) fn is_known(&self, id: SubId, once: bool) -> bool {
        self.items.contains_key(&id) || (once && self.ended_once.contains(&id))
    }

    /// Adds work.
    pub(crate) fn insert(&mut self, id: SubId, item: Item) {
        self.items.insert(id, item);
    }

    /// Returns the work with `id`.
    pub(crate) fn get_mut(&mut self, id: SubId) -> Option<&mut Item> {
        self.items.get_mut(&id)
    }

    /// Ends work that is known.
    pub(crate) fn end(&mut self, now: Time, id: SubId) {
        let item = self.items.remove(&id).expect("whatever ends was known");
        if item.once {
            self.remember(now, id);
        }
    }

    /// Remembers the id of work that must not be repeated and was refused at its offer.
    pub(crate) fn remember(&mut self, now: Time, id: SubId) {
        self.ended_once.insert(id);
        self.order.push_back((now + u64::from(self.memory_ms), id));
    }

    /// Forgets ids that were remembered long enough.
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
