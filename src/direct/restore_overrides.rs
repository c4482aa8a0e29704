//! Handles a registry that was restored from a backup copy, which may lack recent entries and
//! contain outdated ones.
//!
//! [`reconcile()`] computes which entries to use. This module limits how long its results apply.

use std::collections::BTreeMap;

use hemlockrouter_edge::reconcile;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::EntrySubject;
use hemlockrouter_edge::HeldEntry;
use hemlockrouter_types::prelude::*;

use super::departed::DepartedUpstreams;

/// Time for which entries that a restored registry lacks are still used, in milliseconds. Upstreams
/// that are alive and reach the registry have registered again by then.
pub(super) const HELD_ENTRIES_PERIOD_MS: u64 = 2_000;

/// Time for which an upstream that had left is not used although the restored registry lists it, in
/// milliseconds. The registration of an upstream that no longer runs has expired by then.
const REFUSED_UPSTREAMS_PERIOD_MS: u64 = 10_000;

/// Entries known before the registry was restored that still override the restored copy.
#[derive(Default)]
pub(super) struct RestoreOverrides {
    held: BTreeMap<EntrySubject, HeldEntry>,
    /// Upstreams of the copy that are not used, with the revisions of their entries.
    refused: BTreeMap<EntrySubject, u64>,
    held_until: Option<Time>,
    refused_until: Option<Time>,
}

/// Number of entries that override the copy, for the log.
pub(super) struct OverrideCounts {
    pub(super) held: usize,
    pub(super) refused: usize,
}

impl RestoreOverrides {
    /// Records a write to the registry, which ends any override for its subject.
    pub(super) fn record_written(&mut self, subject: &EntrySubject) {
        self.held.remove(subject);
        self.refused.remove(subject);
    }

    /// Reconciles a restored copy with `entries`, the previous content of the registry, and returns
    /// the entries to use.
    pub(super) fn reconcile_copy(
        &mut self,
        now: Time,
        entries: &BTreeMap<EntrySubject, Entry>,
        departed: &DepartedUpstreams,
        copy: &[Entry],
    ) -> Vec<Entry> {
        let mut known_entries = entries.clone();
        known_entries.retain(|subject, entry| self.refused.get(subject) != Some(&entry.revision));
        let held = std::mem::take(&mut self.held).into_iter();
        known_entries.extend(held.map(|(subject, held)| (subject, held.entry)));
        let reconciled = reconcile(&known_entries, &departed.last_writes(), copy);
        self.held = reconciled.held;
        self.refused = reconciled.departed_upstreams;
        self.held_until = Some(now + HELD_ENTRIES_PERIOD_MS);
        self.refused_until = Some(now + REFUSED_UPSTREAMS_PERIOD_MS);
        reconciled.entries
    }

    /// Returns the entries to use after a repeated full read of a restored registry.
    pub(super) fn reconcile_reread(&mut self, copy: &[Entry]) -> Vec<Entry> {
        let mut used_entries = Vec::with_capacity(copy.len());
        for entry in copy {
            if let Some(subject) = entry.change.subject() {
                if self.refused.get(&subject) == Some(&entry.revision) {
                    continue;
                }
                let held = self.held.get(&subject);
                if held.is_some_and(|held| held.backup_revision == Some(entry.revision)) {
                    continue;
                }
                self.held.remove(&subject);
            }
            used_entries.push(entry.clone());
        }
        used_entries.extend(self.held.values().map(|held| held.entry.clone()));
        used_entries
    }

    /// Returns whether an entry of the copy is not used for a limited time.
    pub(super) fn is_refused(&self, subject: &EntrySubject) -> bool {
        self.refused.contains_key(subject)
    }

    /// Returns whether the entry that the copy lacks is still used.
    pub(super) fn is_held(&self, subject: &EntrySubject) -> bool {
        self.held.contains_key(subject)
    }

    /// Returns how many entries override the copy.
    pub(super) fn counts(&self) -> OverrideCounts {
        OverrideCounts {
            held: self.held.len(),
            refused: self.refused.len(),
        }
    }

    /// Returns the time at which [`RestoreOverrides::expire_held`] or
    /// [`RestoreOverrides::expire_refused`] is due.
    pub(super) fn due_at(&self) -> Option<Time> {
        match (self.held_until, self.refused_until) {
            (Some(held), Some(refused)) => Some(held.min(refused)),
            (held, refused) => held.or(refused),
        }
    }

    /// Ends the refusal of upstreams if it is due, and returns the subjects of these upstreams. An
    /// upstream is used from now on if it is still registered.
    pub(super) fn expire_refused(&mut self, now: Time) -> Vec<EntrySubject> {
        if self.refused_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.refused_until = None;
        std::mem::take(&mut self.refused).into_keys().collect()
    }

    /// Ends the use of held entries if it is due, and returns the changes that take effect where no
    /// newer entry was written. Upstreams among the entries are recorded in `departed`.
    pub(super) fn expire_held(
        &mut self,
        now: Time,
        departed: &mut DepartedUpstreams,
    ) -> Vec<EntryChange> {
        if self.held_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.held_until = None;
        let mut due_changes = Vec::with_capacity(self.held.len());
        for held in std::mem::take(&mut self.held).into_values() {
            if let EntryChange::Upstream(upstream) = &held.entry.change {
                departed.record_lapsed(now, upstream);
            }
            due_changes.push(held.fallback);
        }
        due_changes
    }
}
