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
use super::unconfirmed::UnconfirmedUpstreams;
use crate::direct::departed::DepartedUpstreams;
use crate::direct::late_writes::without_earlier_writes;
use crate::direct::late_writes::LastWrite;
use crate::direct::late_writes::PreviousWrite;
use crate::direct::late_writes::RecentChanges;
use crate::direct::late_writes::UnconfirmedChange;
use crate::direct::late_writes::Verdict;
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
    /// Upstreams whose present entries may be late writes.
    pub(super) unconfirmed: UnconfirmedUpstreams,
    /// Upstreams that are used although nobody has checked their registrations, by id, each with the
    /// time at which its registration was seen first.
    pub(super) unchecked: BTreeMap<String, Time>,
    /// Whether registrations are assumed to be missing because the registry was away, not because
    /// upstreams have left.
    pub(super) registry_was_away: bool,
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
        let entries = self.used_entries();
        self.unconfirmed.clear();
        self.overrides
            .reconcile_copy(now, &entries, &self.departed, copy)
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
        for (subject, entry) in previous {
            if let EntryChange::Upstream(upstream) = entry.change {
                if !self.entries.contains_key(&subject) {
                    let last_write =
                        self.write_before_removal(UpstreamWrite::from_entry(&upstream));
                    self.departed.record_left(now, &upstream.id, last_write);
                    self.unconfirmed.remove(&upstream.id);
                    self.unchecked.remove(&upstream.id);
                }
            }
        }
    }

    /// Returns what the removal of an upstream's entry says about the last write before it.
    fn write_before_removal(&self, write: UpstreamWrite) -> LastWrite {
        match self.registry_was_away {
            true => LastWrite::Lapsed(write),
            false => LastWrite::Left(write),
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
        changes: Vec<&'e Entry>,
    ) -> RecentChanges<'e> {
        let last_write = |id: &str, revision: u64| self.last_write(now, id, revision);
        without_earlier_writes(changes, last_write, |write| {
            self.write_before_removal(write)
        })
    }

    /// Returns the entry to keep for an entry of a complete read: the known one if that of the read
    /// is a late write of a registered upstream, and none if it is one of an upstream that has left.
    /// An entry that may be a late write is recorded as unconfirmed. Entries of a restored copy have
    /// a rule of their own.
    pub(super) fn current_entry(&mut self, now: Time, entry: Entry) -> Option<Entry> {
        let EntryChange::Upstream(upstream) = &entry.change else {
            return Some(entry);
        };
        let subject = EntrySubject::Upstream(upstream.id.clone());
        if self.overrides.is_refused(&subject) {
            return Some(entry);
        }
        let previous = self.last_write(now, &upstream.id, entry.revision);
        if matches!(previous, PreviousWrite::Unseen) && self.contact_at.is_none() {
            // The entries of a first read are all used, and none of them was checked.
            self.unchecked.insert(upstream.id.clone(), now);
            return Some(entry);
        }
        match previous.judge(upstream) {
            Verdict::Repeated => Some(entry),
            Verdict::Current => {
                self.note_used(now, &upstream.id);
                Some(entry)
            }
            Verdict::Unconfirmed { has_left } => {
                self.hold_unconfirmed(now, &upstream.id, entry.revision, has_left);
                Some(entry)
            }
            Verdict::Earlier => {
                let known_entry = self.entries.get(&subject)?;
                Some(Entry {
                    revision: entry.revision,
                    ..known_entry.clone()
                })
            }
        }
    }

    /// Returns what is known of an upstream's writes before `revision`. If the known entry has this or
    /// a later revision, the registry repeats an earlier change.
    fn last_write(&self, now: Time, id: &str, revision: u64) -> PreviousWrite {
        let subject = EntrySubject::Upstream(String::from(id));
        let Some(known_entry) = self.entries.get(&subject) else {
            if self.overrides.is_held(&subject) {
                return PreviousWrite::Expected;
            }
            let last_write = self.departed.last_write(now, id);
            return last_write.map_or(PreviousWrite::Unseen, PreviousWrite::Seen);
        };
        match &known_entry.change {
            EntryChange::Upstream(upstream) if known_entry.revision < revision => {
                let last_write = match self.unconfirmed.has_left(id) {
                    Some(has_left) => LastWrite::unconfirmed(upstream, has_left),
                    None => LastWrite::Registered(UpstreamWrite::from_entry(upstream)),
                };
                PreviousWrite::Seen(last_write)
            }
            _ => PreviousWrite::Expected,
        }
    }

    /// Records that the registration of an upstream is used from now on without a check, unless it
    /// was used before.
    fn note_used(&mut self, now: Time, id: &str) {
        let subject = EntrySubject::Upstream(String::from(id));
        if !self.entries.contains_key(&subject) || self.unconfirmed.contains(id) {
            self.unchecked.insert(String::from(id), now);
        }
        self.unconfirmed.remove(id);
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

    /// Applies an entry. `unconfirmed` is set if it may be a late write of its upstream.
    pub(super) fn apply_entry(
        &mut self,
        now: Time,
        entry: &Entry,
        unconfirmed: Option<UnconfirmedChange<'_>>,
    ) {
        self.encoded = None;
        if let Some(subject) = entry.change.subject() {
            self.overrides.record_written(&subject);
            if let EntryChange::Upstream(upstream) = &entry.change {
                if let Some(unconfirmed) = unconfirmed {
                    let has_left = unconfirmed.has_left;
                    self.hold_unconfirmed(now, &upstream.id, entry.revision, has_left);
                } else {
                    self.note_used(now, &upstream.id);
                    self.departed.record_written(&upstream.id);
                }
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
        if let EntryChange::UpstreamGone { id } = &entry.change {
            if removed.is_none() && !self.registry_was_away {
                self.departed.record_removed(now, id);
            }
        }
        if let Some(EntryChange::Upstream(upstream)) = removed.map(|entry| entry.change) {
            let write = UpstreamWrite::from_entry(&upstream);
            let last_write = match &entry.change {
                // The upstream writes its entry again.
                EntryChange::Unreadable { .. } => LastWrite::Lapsed(write),
                _ => self.write_before_removal(write),
            };
            self.departed.record_left(now, &upstream.id, last_write);
            self.unconfirmed.remove(&upstream.id);
            self.unchecked.remove(&upstream.id);
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
