//! Which part of the allowance of repeats to a service this instance may spend.

use std::collections::HashMap;

use hemlockrouter_types::prelude::*;

use super::Upstreams;
use crate::direct::groups::Group;

/// The part of the allowance of a service that is divided evenly between all instances. The rest covers
/// views of the list that differ for a moment.
const EVEN_PART: f64 = 0.85;

/// As [`EVEN_PART`], for a shard that has owners.
const EVEN_PART_OF_OWNED: f64 = 0.5;

/// The part of the allowance of a shard that is divided between the owners of its group in all
/// availability zones.
const OWNERS_PART: f64 = 0.35;

/// Which groups of shards belong to this instance, as far as that was looked up since the list of
/// instances changed.
#[derive(Debug, Default)]
pub(super) struct OwnedGroups {
    changes: u64,
    known: HashMap<Group, bool>,
}

impl Upstreams {
    /// Takes over which services are searched together.
    pub(in crate::direct) fn set_searches<'s, I>(&mut self, searches: I)
    where
        I: Iterator<Item = &'s [ServiceKey]>,
    {
        let sharing = self.config.sharing;
        let mut shared: Vec<&[ServiceKey]> = searches
            .filter(|services| sharing.shares(services.len()))
            .collect();
        // A service of several searches belongs to a group of the largest one.
        shared.sort_by_key(|services| services.len());
        let known: Vec<ServiceKey> = self.services.iter().map(|(key, _)| key).collect();
        for key in known {
            self.service_mut(key).group = None;
        }
        for services in shared {
            for (place, key) in services.iter().enumerate() {
                let group = Group::of_place(place, services.len(), sharing.parts_each);
                self.service_mut(*key).group = Some(group);
            }
        }
    }

    /// Returns the part of the allowance of a service that this instance may spend. Without a complete
    /// list of instances it has none.
    ///
    /// An instance that starts again does not know what it has spent, so it has none for the first window of
    /// the bound after its start.
    pub(in crate::direct) fn allowance_part(&mut self, now: Time, service: ServiceKey) -> f64 {
        let Some(sharing) = self.instances.sharing(now) else {
            return 0.0;
        };
        let window_ms = self.config.repeats.window_ms;
        let restarted_at = self.restarted_at;
        if restarted_at.is_some_and(|at| now.since(at) <= window_ms) {
            return 0.0;
        }
        let group = self.services.get(service).and_then(|known| known.group);
        let Some(group) = group else {
            return EVEN_PART / f64::from(sharing);
        };
        let even = EVEN_PART_OF_OWNED / f64::from(sharing);
        if self.owns(group) {
            even + OWNERS_PART / self.config.zones.len().max(1) as f64
        } else {
            even
        }
    }

    fn owns(&mut self, group: Group) -> bool {
        let changes = self.instances.changes();
        if self.owned_groups.changes != changes {
            self.owned_groups = OwnedGroups {
                changes,
                known: HashMap::new(),
            };
        }
        let names = self.instances.names_of(&self.config.zone);
        let me = self.config.name.as_str();
        let known = self.owned_groups.known.entry(group);
        *known.or_insert_with(|| group.owner(names) == Some(me))
    }
}
