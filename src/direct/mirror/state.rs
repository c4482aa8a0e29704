//! Content of the local copy of the registry, and the rules by which entries change it.

use std::collections::BTreeMap;

use hemlockrouter_edge::EncodedEntries;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::EntrySubject;
use hemlockrouter_edge::HistoryPosition;
use hemlockrouter_edge::UpstreamWrite;
use hemlockrouter_types::prelude::*;

use super::history::History;
use crate::direct::departed::DepartedUpstreams;
use crate::direct::late_writes::ChangeSeries;
use crate::direct::late_writes::LastWrite;
use crate::direct::restore_overrides::RestoreOverrides;

/// Content of the local copy.
#[derive(Default)]
pub(super) struct MirrorState {
    pub(super) position: HistoryPosition,
    pub(super) contact_at: Option<Time>,
    /// Relays that passed the last update on, starting with the instance that read the registry.
    pub(super) path: Vec<String>,
    /// Encoded form of all entries, and the position at which it was encoded.
    pub(super) encoded: Option<(HistoryPosition, EncodedEntries)>,
    /// Entries of the registry by subject.
    pub(super) entries: BTreeMap<EntrySubject, Entry>,
    /// Entries that are trusted or refused in deviation from a restored registry.
    pub(super) overrides: RestoreOverrides,
    pub(super) departed: DepartedUpstreams,
    /// Recent changes, for followers.
    pub(super) history: History,
}

impl MirrorState {
    /// Returns all entries in encoded form, from a cache if it is current.
    pub(super) fn encoded(&mut self) -> Result<EncodedEntries, rmp_serde::encode::Error> {
        if let Some((position, encoded)) = &self.encoded {
            if *position == self.position {
                return Ok(encoded.clone());
            }
        }
        let all_entries: Vec<Entry> = self.entries.values().cloned().collect();
        let encoded = EncodedEntries::encode(&all_entries)?;
        self.encoded = Some((self.position, encoded.clone()));
        Ok(encoded)
    }

    /// Returns whether all changes after `after` are known.
    pub(super) fn has_history_since(&self, after: HistoryPosition) -> bool {
        let is_same_generation = after.generation == self.position.generation;
        is_same_generation && self.history.reaches_back_to(after.revision)
    }

    /// Returns the entries to use after the registry was restored from `copy`.
    pub(super) fn reconcile_copy(&mut self, now: Time, copy: &[Entry]) -> Vec<Entry> {
        self.overrides
            .reconcile_copy(now, &self.entries, &self.departed, copy)
    }

    /// Replaces all entries. After a restore of the registry, the previous routes are kept unless
    /// the copy holds routes that are not older, since routes never revert with the registry.
    pub(super) fn replace(&mut self, now: Time, entries: &[Entry], is_restored: bool) {
        let previous = std::mem::take(&mut self.entries);
        self.encoded = None;
        for entry in entries {
            if let Some(subject) = entry.change.subject().filter(|_| entry.change.is_present()) {
                self.entries.insert(subject, entry.clone());
            }
        }
        if is_restored {
            self.keep_routes(previous);
            return;
        }
        for entry in previous.into_values() {
            if let EntryChange::Upstream(upstream) = entry.change {
                if !self
                    .entries
                    .contains_key(&EntrySubject::Upstream(upstream.id.clone()))
                {
                    self.departed.record_left(now, &upstream);
                }
            }
        }
    }

    /// Keeps the routes of `previous` unless the registry has a newer version.
    fn keep_routes(&mut self, mut previous: BTreeMap<EntrySubject, Entry>) {
        let Some(mut routes) = previous.remove(&EntrySubject::Routes) else {
            return;
        };
        if self.routes_version() < version(&routes.change) {
            // Revision 0 makes any later write to the registry count as newer.
            routes.revision = 0;
            self.entries.insert(EntrySubject::Routes, routes);
        }
    }

    fn routes_version(&self) -> Option<u64> {
        version(&self.entries.get(&EntrySubject::Routes)?.change)
    }

    /// Removes late writes of upstreams from a series of changes.
    pub(super) fn without_late_writes<'e>(
        &self,
        now: Time,
        mut changes: Vec<&'e Entry>,
    ) -> Vec<&'e Entry> {
        let mut series = ChangeSeries::default();
        changes.retain(|entry| {
            let last_write = |id: &str| self.last_write(now, id, entry.revision);
            !series.is_late(&entry.change, last_write)
        });
        changes
    }

    /// Returns the entry to use for an entry of a complete read: the known one if that of the read is
    /// a late write of a registered upstream, and none if it is one of an upstream that has left.
    /// Entries of a restored copy have a rule of their own.
    pub(super) fn current_entry(&self, now: Time, entry: Entry) -> Option<Entry> {
        let EntryChange::Upstream(upstream) = &entry.change else {
            return Some(entry);
        };
        let subject = EntrySubject::Upstream(upstream.id.clone());
        if self.overrides.is_refused(&subject) {
            return Some(entry);
        }
        let last_write = self.last_write(now, &upstream.id, entry.revision);
        let Some(last_write) = last_write.filter(|last_write| last_write.is_late(upstream)) else {
            return Some(entry);
        };
        last_write.log_late(upstream);
        let known_entry = self.entries.get(&subject)?;
        Some(Entry {
            revision: entry.revision,
            ..known_entry.clone()
        })
    }

    /// Returns the last write of an upstream before `revision`; `None` if it is not known, or if the
    /// known entry has this or a later revision, so that the registry repeats an earlier change.
    fn last_write(&self, now: Time, id: &str, revision: u64) -> Option<LastWrite> {
        let known_entry = self.entries.get(&EntrySubject::Upstream(String::from(id)));
        let Some(known_entry) = known_entry else {
            return self.departed.last_write(now, id).map(LastWrite::Left);
        };
        match &known_entry.change {
            EntryChange::Upstream(upstream) if known_entry.revision < revision => {
                let write = UpstreamWrite::from_entry(upstream);
                Some(LastWrite::Registered(write))
            }
            _ => None,
        }
    }

    /// Returns the entries of `newer` that change the known state.
    pub(super) fn effective_entries(&self, newer: &[&Entry]) -> Vec<Entry> {
        let newer: Vec<(&Entry, Option<EntrySubject>)> = newer
            .iter()
            .map(|entry| (*entry, entry.change.subject()))
            .collect();
        let mut last_revisions: BTreeMap<&EntrySubject, u64> = BTreeMap::new();
        for (entry, subject) in &newer {
            if let Some(subject) = subject {
                last_revisions.insert(subject, entry.revision);
            }
        }
        let is_effective = |entry: &Entry, subject: &EntrySubject| {
            let known_entry = self.entries.get(subject);
            let is_last = last_revisions.get(subject) == Some(&entry.revision);
            is_last && known_entry.is_none_or(|known_entry| known_entry.revision < entry.revision)
        };
        let changing = newer.iter().filter(|(entry, subject)| {
            let subject = subject.as_ref();
            subject.is_none_or(|subject| is_effective(entry, subject))
        });
        changing.map(|(entry, _)| (*entry).clone()).collect()
    }

    pub(super) fn apply_entry(&mut self, now: Time, entry: &Entry) {
        self.encoded = None;
        if let Some(subject) = entry.change.subject() {
            self.overrides.record_written(&subject);
            if let EntryChange::Upstream(upstream) = &entry.change {
                self.departed.record_written(&upstream.id);
            }
            self.apply_subject(now, subject, entry);
        }
    }

    fn apply_subject(&mut self, now: Time, subject: EntrySubject, entry: &Entry) {
        if entry.change.is_present() {
            let is_older_routes =
                subject == EntrySubject::Routes && version(&entry.change) < self.routes_version();
            if !is_older_routes {
                self.entries.insert(subject, entry.clone());
            }
            return;
        }
        let removed = self.entries.remove(&subject);
        if let Some(EntryChange::Upstream(upstream)) = removed.map(|entry| entry.change) {
            self.departed.record_left(now, &upstream);
        }
    }
}

/// Returns the version of routes; `None` for any other change.
fn version(change: &EntryChange) -> Option<u64> {
    match change {
        EntryChange::Routes(document) => Some(document.version),
        _ => None,
    }
}
