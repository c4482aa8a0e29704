//! Registers instances for others.
//!
//! Each call to the registry costs, so the instance that others follow registers them together with
//! itself, under one lease that it alone renews. An instance shows every few seconds that it is alive;
//! one that is silent is taken off the list, unless another registrar has taken it over. A registrar
//! that is gone lets its lease run out, and those that it had registered turn to another one sooner
//! than that.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;

/// How long a registration lasts without a renewal, in milliseconds. A restart is sooner.
pub const LEASE_MS: u64 = 20_000;

/// The interval between two renewals, in milliseconds.
const RENEW_EVERY_MS: u64 = 6_000;

/// The interval at which an instance shows its registrar that it is alive, in milliseconds.
pub const JOIN_EVERY_MS: u64 = 4_000;

/// How long an instance may be silent before it is taken off the list, in milliseconds.
const SILENT_MS: u64 = 3 * JOIN_EVERY_MS;

/// How long the list may lack an entry that was written, in milliseconds. The list lags.
const LISTED_AFTER_MS: u64 = 3_000;

/// The interval at which is looked whether the list is right, in milliseconds.
const COMPARE_EVERY_MS: u64 = 1_000;

/// How many entries one write holds.
const WRITE_MAX: usize = 32;

/// The pause after a call failed, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// What a registrar does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// There is nothing to do.
    Wait,
    /// Ask for a lease.
    Grant,
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Write and remove entries, all together.
    Write {
        /// The lease.
        lease: u64,
        /// What is written.
        puts: Vec<InstanceEntry>,
        /// The names of what is removed.
        removes: Vec<String>,
    },
}

/// Why a call came to nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failed {
    /// There is no such lease any more.
    LeaseGone,
    /// The registry did not answer, or did not do what it was asked for.
    NotDone,
}

/// Registers instances.
#[derive(Clone, Debug)]
pub struct Registrar {
    me: InstanceEntry,
    registers_itself: bool,
    members: BTreeMap<String, Registered>,
    removed: BTreeSet<String>,
    lease: Option<Granted>,
    not_before: Time,
    compared_at: Time,
}

#[derive(Clone, Debug)]
struct Registered {
    entry: InstanceEntry,
    heard_at: Time,
    written_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    id: u64,
    renew_at: Time,
}

impl Registrar {
    /// Makes the registrar of the instance `me`, which registers nobody yet.
    pub fn new(me: InstanceEntry) -> Registrar {
        Registrar {
            me,
            registers_itself: false,
            members: BTreeMap::new(),
            removed: BTreeSet::new(),
            lease: None,
            not_before: Time::ZERO,
            compared_at: Time::ZERO,
        }
    }

    /// Registers this instance itself, or leaves it to another registrar.
    pub fn register_itself(&mut self, now: Time, registers: bool) {
        if registers {
            self.join(now, self.me.clone());
        } else if self.registers_itself {
            self.members.remove(&self.me.name);
        }
        self.registers_itself = registers;
    }

    /// Takes over that an instance is alive and wants to be registered.
    pub fn join(&mut self, now: Time, entry: InstanceEntry) {
        let entry = InstanceEntry {
            registered_by: Some(self.me.name.clone()),
            ..entry
        };
        self.removed.remove(&entry.name);
        let known = self.members.get_mut(&entry.name);
        if let Some(known) = known.filter(|known| known.entry == entry) {
            known.heard_at = now;
            return;
        }
        let registered = Registered {
            entry,
            heard_at: now,
            written_at: None,
        };
        let name = registered.entry.name.clone();
        self.members.insert(name, registered);
    }

    /// Takes over that an instance stops.
    pub fn leave(&mut self, name: &str) {
        if self.members.remove(name).is_some() {
            self.removed.insert(String::from(name));
        }
        if name == self.me.name {
            self.registers_itself = false;
        }
    }

    /// Returns how many instances it registers.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns whether [`Registrar::compare`] is to be called now.
    pub fn is_to_be_compared(&mut self, now: Time) -> bool {
        let is_due = !self.members.is_empty() && now.since(self.compared_at) >= COMPARE_EVERY_MS;
        if is_due {
            self.compared_at = now;
        }
        is_due
    }

    /// Compares what was written with the list: `registrar_of` returns who has registered an instance
    /// that is on it. What the list lacks is written again, and silent instances are taken off unless
    /// another registrar has taken them over.
    pub fn compare<'l, F>(&mut self, now: Time, registrar_of: F)
    where
        F: Fn(&str) -> Option<&'l str>,
    {
        for (name, known) in &mut self.members {
            let is_old = known
                .written_at
                .is_some_and(|at| now.since(at) > LISTED_AFTER_MS);
            if is_old && registrar_of(name).is_none() {
                known.written_at = None;
            }
        }
        let members = self.members.iter();
        let silent = members.filter(|(name, known)| {
            **name != self.me.name && now.since(known.heard_at) > SILENT_MS
        });
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            self.members.remove(&name);
            if registrar_of(&name) == Some(self.me.name.as_str()) {
                self.removed.insert(name);
            }
        }
    }

    /// Returns what to do next.
    pub fn step(&self, now: Time) -> Step {
        if now < self.not_before {
            return Step::Wait;
        }
        let unwritten = self.members.values().filter(|one| one.written_at.is_none());
        let mut puts: Vec<InstanceEntry> = unwritten.map(|one| one.entry.clone()).collect();
        let Some(lease) = self.lease else {
            return if puts.is_empty() {
                Step::Wait
            } else {
                Step::Grant
            };
        };
        if puts.is_empty() && self.removed.is_empty() {
            let is_used = !self.members.is_empty();
            return match is_used && now >= lease.renew_at {
                true => Step::Renew { lease: lease.id },
                false => Step::Wait,
            };
        }
        let removes: Vec<String> = self.removed.iter().take(WRITE_MAX).cloned().collect();
        puts.truncate(WRITE_MAX - removes.len());
        Step::Write {
            lease: lease.id,
            puts,
            removes,
        }
    }

    /// Takes over that a lease was granted.
    pub fn granted(&mut self, now: Time, lease: u64) {
        self.lease = Some(Granted {
            id: lease,
            renew_at: now + RENEW_EVERY_MS,
        });
    }

    /// Takes over that the lease was renewed.
    pub fn renewed(&mut self, now: Time) {
        if let Some(lease) = &mut self.lease {
            lease.renew_at = now + RENEW_EVERY_MS;
        }
    }

    /// Takes over that entries were written and removed.
    pub fn written(&mut self, now: Time, puts: &[InstanceEntry], removes: &[String]) {
        for entry in puts {
            let known = self.members.get_mut(&entry.name);
            if let Some(known) = known.filter(|known| known.entry == *entry) {
                known.written_at = Some(now);
            }
        }
        for name in removes {
            self.removed.remove(name);
        }
    }

    /// Takes over that a call came to nothing.
    pub fn failed(&mut self, now: Time, why: Failed) {
        match why {
            Failed::LeaseGone => {
                self.lease = None;
                for known in self.members.values_mut() {
                    known.written_at = None;
                }
            }
            Failed::NotDone => self.not_before = now + PAUSE_MS,
        }
    }
}
