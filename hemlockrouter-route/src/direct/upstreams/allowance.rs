//! Computes this instance's share of the repeat allowance (retries and hedges) of a service.

use std::collections::HashMap;

use hemlockrouter_types::prelude::*;

use super::Upstreams;
use crate::direct::groups::ShardGroup;

/// The fraction of a service's allowance that is divided evenly among all instances. The rest is
/// kept back in case instances disagree on the list of instances for a moment.
const EVEN_FRACTION: f64 = 0.85;

/// The same fraction as [`EVEN_FRACTION`] for a shard whose group is owned by instances.
const OWNED_SHARD_EVEN_FRACTION: f64 = 0.5;

/// The fraction of a shard's allowance that is divided among the owners of the shard's group, one
/// in each availability zone.
const OWNERS_FRACTION: f64 = 0.35;

/// A cache of which groups of shards this instance owns. The cache is cleared when the list of
/// instances changes.
#[derive(Debug, Default)]
pub(super) struct OwnedGroupsCache {
    list_version: u64,
    is_owner_by_group: HashMap<ShardGroup, bool>,
}

impl Upstreams {
    /// Updates the sets of services that are searched together.
    pub(in crate::direct) fn set_searches<'s, I>(&mut self, searches: I)
    where
        I: Iterator<Item = &'s [ServiceKey]>,
    {
        let search_division = self.config.search_division;
        let mut divided_searches: Vec<&[ServiceKey]> = searches
            .filter(|services| search_division.is_divided(services.len()))
            .collect();
        // A service that is part of several searches is assigned to a group of the largest search.
        divided_searches.sort_by_key(|services| services.len());
        let all_services: Vec<ServiceKey> = self.services.iter().map(|(key, _)| key).collect();
        for key in all_services {
            self.service_mut(key).group = None;
        }
        for services in divided_searches {
            for (shard_index, key) in services.iter().enumerate() {
                let group = ShardGroup::of_shard(
                    shard_index,
                    services.len(),
                    search_division.shards_per_instance,
                );
                self.service_mut(*key).group = Some(group);
            }
        }
    }

    /// Returns the fraction of a service's repeat allowance that this instance may spend. The
    /// fraction is zero while the list of instances is incomplete.
    ///
    /// A restarted instance does not know what it spent before, so its fraction is zero for the
    /// first window of the bound after its start.
    pub(in crate::direct) fn allowance_fraction(&mut self, now: Time, service: ServiceKey) -> f64 {
        let Some(instance_count) = self.instances.complete_count(now) else {
            return 0.0;
        };
        let window_ms = self.config.repeat_bound.window_ms;
        let restarted_at = self.restarted_at;
        if restarted_at.is_some_and(|at| now.ms_since(at) <= window_ms) {
            return 0.0;
        }
        let group = self.services.get(service).and_then(|service| service.group);
        let Some(group) = group else {
            return EVEN_FRACTION / f64::from(instance_count);
        };
        let even_fraction = OWNED_SHARD_EVEN_FRACTION / f64::from(instance_count);
        if self.owns_group(group) {
            even_fraction + OWNERS_FRACTION / self.config.zones.len().max(1) as f64
        } else {
            even_fraction
        }
    }

    fn owns_group(&mut self, group: ShardGroup) -> bool {
        let list_version = self.instances.version();
        if self.owned_groups.list_version != list_version {
            self.owned_groups = OwnedGroupsCache {
                list_version,
                is_owner_by_group: HashMap::new(),
            };
        }
        let names = self.instances.callable_names_in_zone(&self.config.zone);
        let own_name = self.config.name.as_str();
        let is_owner = self.owned_groups.is_owner_by_group.entry(group);
        *is_owner.or_insert_with(|| group.owner(names) == Some(own_name))
    }
}
