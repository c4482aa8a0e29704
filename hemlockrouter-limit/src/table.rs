//! The upstreams, by key.
//!
//! Those of the catalogue stand at the slots of their keys. An upstream that was withdrawn while work
//! was in flight moves aside until that has ended, since its slot may be taken by another.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use crate::upstream::Upstream;

/// The upstreams.
#[derive(Debug, Default)]
pub(crate) struct Table {
    slots: Vec<Option<(UpstreamKey, Upstream)>>,
    withdrawn: BTreeMap<UpstreamKey, Upstream>,
}

impl Table {
    /// Returns the upstream with `key`.
    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        match self.slots.get(key.slot()) {
            Some(Some((found, upstream))) if *found == key => Some(upstream),
            _ => self.withdrawn.get(&key),
        }
    }

    /// Returns the upstream with `key`, to change it.
    pub(crate) fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        match self.slots.get_mut(key.slot()) {
            Some(Some((found, upstream))) if *found == key => Some(upstream),
            _ => self.withdrawn.get_mut(&key),
        }
    }

    /// Adds an upstream whose slot is free.
    pub(crate) fn insert(&mut self, key: UpstreamKey, upstream: Upstream) {
        let slot = key.slot();
        if self.slots.len() <= slot {
            self.slots.resize_with(slot + 1, || None);
        }
        self.slots[slot] = Some((key, upstream));
    }

    /// Moves an upstream aside that was withdrawn.
    pub(crate) fn withdraw(&mut self, key: UpstreamKey) {
        let entry = self.slots.get_mut(key.slot()).and_then(Option::take);
        if let Some((key, mut upstream)) = entry {
            upstream.withdrawn = true;
            self.withdrawn.insert(key, upstream);
        }
    }

    /// Removes an upstream that was withdrawn, unless work is in flight.
    pub(crate) fn remove_if_idle(&mut self, key: UpstreamKey) {
        let idle = |upstream: &Upstream| upstream.in_flight == 0;
        if self.withdrawn.get(&key).is_some_and(idle) {
            self.withdrawn.remove(&key);
        }
    }

    /// Returns the keys of the upstreams that were not withdrawn.
    pub(crate) fn keys(&self) -> Vec<UpstreamKey> {
        let entries = self.slots.iter().flatten();
        entries.map(|&(key, _)| key).collect()
    }
}
