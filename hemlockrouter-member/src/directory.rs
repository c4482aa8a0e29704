//! Owners of the upstreams of all zones. They are computed when the members of a zone change, so
//! that a lookup on the data path costs one access.

use hemlockrouter_types::prelude::*;

use crate::ownership::rank;
use crate::ownership::rank::Candidate;

/// Preferred owner of each upstream, indexed by the slot of the upstream's key.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    owners: Vec<Option<(UpstreamKey, InstanceId)>>,
}

impl Directory {
    /// Recomputes the owners of the upstreams in one zone.
    pub(crate) fn update_zone(&mut self, catalog: &Catalog, zone: &str, candidates: &[Candidate]) {
        let Some(zone) = catalog.find_zone(zone) else {
            return;
        };
        for (key, upstream) in catalog.upstreams.iter() {
            if upstream.zone != zone {
                continue;
            }
            if self.owners.len() <= key.slot() {
                self.owners.resize(key.slot() + 1, None);
            }
            let owner = rank::preferred_owner(key, candidates);
            self.owners[key.slot()] = owner.map(|owner| (key, owner));
        }
    }

    pub(crate) fn owner_of(&self, upstream: UpstreamKey) -> Option<InstanceId> {
        let (key, owner) = (*self.owners.get(upstream.slot())?)?;
        (key == upstream).then_some(owner)
    }
}
