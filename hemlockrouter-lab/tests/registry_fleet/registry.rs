//! The registry of a simulated fleet.

use std::collections::BTreeMap;

use hemlockrouter_member::RegistrarStep;
use hemlockrouter_member::RegistryCallFailure;
use hemlockrouter_member::REGISTRATION_LEASE_MS;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

/// A registry with the list of instances, its change history, and leases.
#[derive(Default)]
pub(crate) struct Registry {
    pub(crate) list: BTreeMap<String, (InstanceEntry, u64)>,
    pub(crate) history: Vec<(String, Option<InstanceEntry>)>,
    pub(crate) leases: BTreeMap<u64, Time>,
    pub(crate) is_down: bool,
    pub(crate) calls: u64,
}

impl Registry {
    pub(crate) fn revision(&self) -> usize {
        self.history.len()
    }

    pub(crate) fn put(&mut self, entry: &InstanceEntry, lease: u64) {
        let name = entry.name.clone();
        self.history.push((name.clone(), Some(entry.clone())));
        self.list.insert(name, (entry.clone(), lease));
    }

    pub(crate) fn remove(&mut self, name: &str) {
        if self.list.remove(name).is_some() {
            self.history.push((String::from(name), None));
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.leases.retain(|_, ends| *ends > now);
        let list = self.list.iter();
        let expired = list.filter(|(_, (_, lease))| !self.leases.contains_key(lease));
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.remove(&name);
        }
    }

    /// Executes a registrar's step, and returns an error if the lease has expired.
    pub(crate) fn execute(
        &mut self,
        now: Time,
        step: &RegistrarStep,
        lease_for_new: u64,
    ) -> Result<(), RegistryCallFailure> {
        match step {
            RegistrarStep::Wait => {}
            RegistrarStep::Grant => {
                self.leases
                    .insert(lease_for_new, now + REGISTRATION_LEASE_MS);
            }
            RegistrarStep::Renew { lease } => {
                let ends = self
                    .leases
                    .get_mut(lease)
                    .ok_or(RegistryCallFailure::LeaseExpired)?;
                *ends = now + REGISTRATION_LEASE_MS;
            }
            RegistrarStep::Write {
                lease,
                puts,
                removed_names,
            } => {
                if !puts.is_empty() && !self.leases.contains_key(lease) {
                    return Err(RegistryCallFailure::LeaseExpired);
                }
                puts.iter().for_each(|entry| self.put(entry, *lease));
                removed_names.iter().for_each(|name| self.remove(name));
            }
        }
        Ok(())
    }
}
