//! Tracks the instances of the tier, and the number of instances among which a bound is divided.
//!
//! If the count were too low, all instances together could exceed a bound. An instance that
//! disappears from the list is therefore counted for a while, since it may only have lost its
//! connection to the registry. A list that is still growing is considered incomplete, and gives no
//! count at all.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

/// How long an instance is still counted after it was removed from the list, in milliseconds.
const REMOVED_INSTANCE_COUNTED_MS: u64 = 30_000;

/// The time without growth after which the list counts as complete, in milliseconds.
const LIST_SETTLING_MS: u64 = 3_000;

/// The instances of the tier.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    instances: BTreeMap<String, KnownInstance>,
    /// When the list last grew; `None` if the list is known to be complete.
    grown_at: Option<Time>,
    /// Whether the list was complete before it last grew.
    was_complete: bool,
    /// A version number that increases with each change of the counted instances.
    version: u64,
}

#[derive(Clone, Debug)]
struct KnownInstance {
    entry: InstanceEntry,
    /// When the instance was removed from the list; `None` while it is listed.
    removed_at: Option<Time>,
}

impl Instances {
    /// Adds or updates a listed instance, and returns whether the instance was not listed before.
    pub fn add_instance(&mut self, now: Time, entry: InstanceEntry) -> bool {
        self.was_complete = self.has_been_complete(now);
        let name = entry.name.clone();
        let instance = KnownInstance {
            entry,
            removed_at: None,
        };
        let previous = self.instances.insert(name, instance);
        self.version += 1;
        if previous.is_none() {
            self.grown_at = Some(now);
        }
        previous.is_none_or(|previous| previous.removed_at.is_some())
    }

    /// Marks an instance as removed from the list.
    pub fn mark_removed(&mut self, now: Time, name: &str) {
        if let Some(instance) = self.instances.get_mut(name) {
            instance.removed_at.get_or_insert(now);
        }
        self.version += 1;
        self.instances.retain(|_, instance| {
            let removed_at = instance.removed_at;
            removed_at.is_none_or(|since| now.ms_since(since) <= REMOVED_INSTANCE_COUNTED_MS)
        });
    }

    /// Marks all instances except `names` as removed from the list.
    pub fn retain_registered<'n, I>(&mut self, now: Time, names: I)
    where
        I: Iterator<Item = &'n str>,
    {
        let names: Vec<&str> = names.collect();
        let known_names = self.instances.keys();
        let removed = known_names.filter(|name| !names.contains(&name.as_str()));
        let removed: Vec<String> = removed.cloned().collect();
        for name in removed {
            self.mark_removed(now, &name);
        }
    }

    /// Records that the list was read completely for the first time. If the list already holds the
    /// instance `own_name`, that instance has restarted, and the list counts as complete.
    pub fn record_first_read(&mut self, own_name: &str) {
        if self.instances.contains_key(own_name) {
            self.grown_at = None;
        }
    }

    /// Returns the version number of the list, which increases with each change.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the names of the counted instances of an availability zone that accept calls from
    /// other instances.
    pub(super) fn callable_names_in_zone<'i>(
        &'i self,
        zone: &'i str,
    ) -> impl Iterator<Item = &'i str> + Clone {
        let zone_instances = self
            .instances
            .values()
            .filter(move |instance| instance.entry.zone == zone && instance.entry.relay.is_some());
        zone_instances.map(|instance| instance.entry.name.as_str())
    }

    /// Returns the names of all counted instances.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.instances.keys().map(String::as_str)
    }

    /// Returns the number of counted instances, at least one.
    pub fn count(&self) -> u32 {
        u32::try_from(self.instances.len())
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// Returns the number of instances among which a bound is divided; `None` if the list is
    /// incomplete.
    pub fn complete_count(&self, now: Time) -> Option<u32> {
        self.is_list_complete(now).then(|| self.count())
    }

    /// Returns all counted instances, each with whether it is still listed.
    pub(super) fn all(&self) -> impl Iterator<Item = (&InstanceEntry, bool)> {
        let instances = self.instances.values();
        instances.map(|instance| (&instance.entry, instance.removed_at.is_none()))
    }

    /// Returns the name of the instance that registered the instance `name`; `None` if `name` is
    /// not listed.
    pub fn registrar_of(&self, name: &str) -> Option<&str> {
        let instance = self.instances.get(name)?;
        let entry = &instance.entry;
        let registrar = entry.registered_by.as_ref().unwrap_or(&entry.name);
        instance.removed_at.is_none().then_some(registrar)
    }

    /// Returns the listed instances that accept calls from other instances.
    pub(super) fn callable_entries(&self) -> impl Iterator<Item = &InstanceEntry> {
        let present = self.all().filter(|(_, is_present)| *is_present);
        let entries = present.map(|(entry, _)| entry);
        entries.filter(|entry| entry.relay.is_some())
    }

    /// Returns whether the list is complete or was before it last grew. An instance whose list never
    /// was may know only few of the others, or none.
    pub(super) fn has_been_complete(&self, now: Time) -> bool {
        self.was_complete || self.is_list_complete(now)
    }

    pub(super) fn is_list_complete(&self, now: Time) -> bool {
        let grown_at = self.grown_at;
        let has_settled = grown_at.is_none_or(|at| now.ms_since(at) >= LIST_SETTLING_MS);
        has_settled && !self.instances.is_empty()
    }
}
