//! Registration of instances on behalf of other instances.
//!
//! Every call to the registry has a cost, so an instance that others follow registers them together
//! with itself, under one lease that it alone renews. Each of these instances sends its registrar a
//! sign of life every few seconds. An instance that stops sending is removed from the registry,
//! unless another registrar has taken it over. If a registrar ends, its lease runs out, and the
//! instances that it had registered turn to another registrar before that.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

/// How long a registration lasts without a renewal, in milliseconds. A restart takes less time.
pub const REGISTRATION_LEASE_MS: u64 = 20_000;

/// Interval between two renewals of the lease, in milliseconds.
const LEASE_RENEW_INTERVAL_MS: u64 = 6_000;

/// Interval at which an instance sends its registrar a sign of life, in milliseconds.
pub const JOIN_INTERVAL_MS: u64 = 4_000;

/// How long an instance may send no sign of life before it is removed from the registry, in
/// milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 3 * JOIN_INTERVAL_MS;

/// How long the registry's list may lack an entry after it was written, in milliseconds, since the
/// list lags.
const LISTING_LAG_MAX_MS: u64 = 3_000;

/// Interval at which the registry's list is compared with the entries that were written, in
/// milliseconds.
const COMPARE_INTERVAL_MS: u64 = 1_000;

/// Largest number of entries in one write.
const ENTRIES_PER_WRITE_MAX: usize = 32;

/// Delay before the next call after a failed one, in milliseconds.
const FAILED_CALL_PAUSE_MS: u64 = 1_000;

/// Next action of a registrar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistrarStep {
    /// Make no call to the registry for now.
    Wait,
    /// Request a lease from the registry.
    Grant,
    /// Renew the lease that the registrar has.
    Renew {
        /// Id of the lease to renew.
        lease: u64,
    },
    /// Write and remove entries in one transaction.
    Write {
        /// Id of the lease that the written entries belong to.
        lease: u64,
        /// Instance entries to write to the registry.
        puts: Vec<InstanceEntry>,
        /// Names of the instances whose entries are to be removed.
        removed_names: Vec<String>,
    },
}

/// Cause of a failed call to the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistryCallFailure {
    /// The lease does not exist any more.
    LeaseExpired,
    /// The registry did not answer, or refused the call.
    Unanswered,
}

/// Registrar of one or more instances under one lease.
#[derive(Clone, Debug)]
pub struct Registrar {
    own_entry: InstanceEntry,
    registers_itself: bool,
    registrations: BTreeMap<String, Registration>,
    pending_removals: BTreeSet<String>,
    lease: Option<RegistryLease>,
    next_call_at: Time,
    last_compared_at: Time,
}

#[derive(Clone, Debug)]
struct Registration {
    entry: InstanceEntry,
    last_heard_at: Time,
    written_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct RegistryLease {
    id: u64,
    renew_at: Time,
}

impl Registrar {
    /// Creates the registrar of the instance `own_entry`. It registers no instance at first.
    pub fn new(own_entry: InstanceEntry) -> Registrar {
        Registrar {
            own_entry,
            registers_itself: false,
            registrations: BTreeMap::new(),
            pending_removals: BTreeSet::new(),
            lease: None,
            next_call_at: Time::ZERO,
            last_compared_at: Time::ZERO,
        }
    }

    /// Registers this instance itself, or stops doing so because another registrar does.
    pub fn set_registers_itself(&mut self, now: Time, registers: bool) {
        if registers {
            self.record_join(now, self.own_entry.clone());
        } else if self.registers_itself {
            self.registrations.remove(&self.own_entry.name);
        }
        self.registers_itself = registers;
    }

    /// Adds an instance that is to be registered, or records its sign of life.
    pub fn record_join(&mut self, now: Time, entry: InstanceEntry) {
        let entry = InstanceEntry {
            registered_by: Some(self.own_entry.name.clone()),
            ..entry
        };
        self.pending_removals.remove(&entry.name);
        let registration = self.registrations.get_mut(&entry.name);
        if let Some(registration) = registration.filter(|registration| registration.entry == entry)
        {
            registration.last_heard_at = now;
            return;
        }
        let registration = Registration {
            entry,
            last_heard_at: now,
            written_at: None,
        };
        let name = registration.entry.name.clone();
        self.registrations.insert(name, registration);
    }

    /// Removes the registration of an instance that stops.
    pub fn remove_instance(&mut self, name: &str) {
        if self.registrations.remove(name).is_some() {
            self.pending_removals.insert(String::from(name));
        }
        if name == self.own_entry.name {
            self.registers_itself = false;
        }
    }

    /// Returns the number of instances that this registrar registers.
    pub fn registered_count(&self) -> usize {
        self.registrations.len()
    }

    /// Returns whether [`Registrar::compare_with_list`] is to be called now, and if so counts the
    /// call as made.
    pub fn start_comparison_if_due(&mut self, now: Time) -> bool {
        let is_due = !self.registrations.is_empty()
            && now.ms_since(self.last_compared_at) >= COMPARE_INTERVAL_MS;
        if is_due {
            self.last_compared_at = now;
        }
        is_due
    }

    /// Compares the written entries with the registry's list. `registrar_of` returns the registrar
    /// of an instance that is on the list. Entries that are missing from the list are written
    /// again. Instances that send no sign of life are removed, unless another registrar has taken
    /// them over.
    pub fn compare_with_list<'l, F>(&mut self, now: Time, registrar_of: F)
    where
        F: Fn(&str) -> Option<&'l str>,
    {
        for (name, registration) in &mut self.registrations {
            let is_overdue = registration
                .written_at
                .is_some_and(|at| now.ms_since(at) > LISTING_LAG_MAX_MS);
            if is_overdue && registrar_of(name).is_none() {
                registration.written_at = None;
            }
        }
        let registrations = self.registrations.iter();
        let silent = registrations.filter(|(name, registration)| {
            **name != self.own_entry.name
                && now.ms_since(registration.last_heard_at) > SILENCE_TIMEOUT_MS
        });
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            self.registrations.remove(&name);
            if registrar_of(&name) == Some(self.own_entry.name.as_str()) {
                self.pending_removals.insert(name);
            }
        }
    }

    /// Returns the next action of the registrar.
    pub fn next_step(&self, now: Time) -> RegistrarStep {
        if now < self.next_call_at {
            return RegistrarStep::Wait;
        }
        let unwritten = self
            .registrations
            .values()
            .filter(|registration| registration.written_at.is_none());
        let mut puts: Vec<InstanceEntry> = unwritten
            .map(|registration| registration.entry.clone())
            .collect();
        let Some(lease) = self.lease else {
            return if puts.is_empty() {
                RegistrarStep::Wait
            } else {
                RegistrarStep::Grant
            };
        };
        if puts.is_empty() && self.pending_removals.is_empty() {
            let has_registrations = !self.registrations.is_empty();
            return match has_registrations && now >= lease.renew_at {
                true => RegistrarStep::Renew { lease: lease.id },
                false => RegistrarStep::Wait,
            };
        }
        let removed_names: Vec<String> = self
            .pending_removals
            .iter()
            .take(ENTRIES_PER_WRITE_MAX)
            .cloned()
            .collect();
        puts.truncate(ENTRIES_PER_WRITE_MAX - removed_names.len());
        RegistrarStep::Write {
            lease: lease.id,
            puts,
            removed_names,
        }
    }

    /// Records that the registry granted a lease.
    pub fn record_grant(&mut self, now: Time, lease: u64) {
        self.lease = Some(RegistryLease {
            id: lease,
            renew_at: now + LEASE_RENEW_INTERVAL_MS,
        });
    }

    /// Records that the registry renewed the lease.
    pub fn record_renewal(&mut self, now: Time) {
        if let Some(lease) = &mut self.lease {
            lease.renew_at = now + LEASE_RENEW_INTERVAL_MS;
        }
    }

    /// Records that entries were written to the registry and removed from it.
    pub fn record_write(&mut self, now: Time, puts: &[InstanceEntry], removed_names: &[String]) {
        for entry in puts {
            let registration = self.registrations.get_mut(&entry.name);
            if let Some(registration) =
                registration.filter(|registration| registration.entry == *entry)
            {
                registration.written_at = Some(now);
            }
        }
        for name in removed_names {
            self.pending_removals.remove(name);
        }
    }

    /// Records that a call to the registry failed.
    pub fn record_call_failure(&mut self, now: Time, cause: RegistryCallFailure) {
        match cause {
            RegistryCallFailure::LeaseExpired => {
                self.lease = None;
                for registration in self.registrations.values_mut() {
                    registration.written_at = None;
                }
            }
            RegistryCallFailure::Unanswered => self.next_call_at = now + FAILED_CALL_PAUSE_MS,
        }
    }
}
