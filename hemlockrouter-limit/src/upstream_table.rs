//! The upstreams, by key.
//!
//! Upstreams in the catalogue are stored at the slots of their keys. An upstream that is withdrawn
//! while requests are in flight is stored separately until these have ended, since another upstream
//! may reuse its slot.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use crate::upstream::Upstream;

/// The upstreams in the catalogue, and the withdrawn ones with requests in flight.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    by_slot: Vec<Option<(UpstreamKey, Upstream)>>,
    withdrawn: BTreeMap<UpstreamKey, Upstream>,
}

impl UpstreamTable {
    /// Returns the upstream with `key`.
    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        match self.by_slot.get(key.slot()) {
            Some(Some((stored_key, upstream))) if *stored_key == key => Some(upstream),
            _ => self.withdrawn.get(&key),
        }
    }

    /// Returns a mutable reference to the upstream with `key`.
    pub(crate) fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        match self.by_slot.get_mut(key.slot()) {
            Some(Some((stored_key, upstream))) if *stored_key == key => Some(upstream),
            _ => self.withdrawn.get_mut(&key),
        }
    }

    /// Adds an upstream whose slot is free.
    pub(crate) fn insert(&mut self, key: UpstreamKey, upstream: Upstream) {
        let slot = key.slot();
        if self.by_slot.len() <= slot {
            self.by_slot.resize_with(slot + 1, || None);
        }
        self.by_slot[slot] = Some((key, upstream));
    }

    /// Moves an upstream that left the catalogue to the withdrawn ones.
    pub(crate) fn withdraw(&mut self, key: UpstreamKey) {
        let entry = self.by_slot.get_mut(key.slot()).and_then(Option::take);
        if let Some((key, mut upstream)) = entry {
            upstream.withdrawn = true;
            self.withdrawn.insert(key, upstream);
        }
    }

    /// Removes a withdrawn upstream unless requests are in flight.
    pub(crate) fn remove_if_idle(&mut self, key: UpstreamKey) {
        let is_idle = |upstream: &Upstream| upstream.in_flight == 0;
        if self.withdrawn.get(&key).is_some_and(is_idle) {
            self.withdrawn.remove(&key);
        }
    }

    /// Returns the keys of the upstreams in the catalogue.
    pub(crate) fn keys(&self) -> Vec<UpstreamKey> {
        let entries = self.by_slot.iter().flatten();
        entries.map(|&(key, _)| key).collect()
    }
}
