//! Merges known entries with a registry that was restored from a backup.
//!
//! The backup lacks the latest writes. Operators and upstreams repeat their writes after the
//! restore, and the state of an instance must not go back to older values until they have. An
//! instance therefore keeps entries that it knew from before, by a rule for each kind of entry.
//! Most kinds are held only until [`HeldEntry::fallback`] applies:
//!
//! | entry | while it is held | fallback |
//! | --- | --- | --- |
//! | routes | the greater version | the greater version |
//! | availability zone | out of service if the instance or the backup says so | as in the registry |
//! | upstream that is missing in the backup | used | removed |
//! | upstream that has restarted or announced that it is leaving since the write in the backup | as known | removed |
//! | upstream that is known to have left, without a later write in the backup | not used | as in the registry |
//! | instance that is missing in the backup | counted | removed |
//!
//! Every write after the restore applies immediately.

use std::collections::BTreeMap;

use hemlockrouter_types::routing::UpstreamEntry;

use crate::registry::Entry;
use crate::registry::EntryChange;

/// Subject of a registry entry: the routes, a zone, an upstream or an instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EntrySubject {
    /// The routing document.
    Routes,
    /// An availability zone, by its name.
    Zone(String),
    /// An upstream, by its id.
    Upstream(String),
    /// An instance, by its name.
    Instance(String),
}

/// Position of a write among the writes of one upstream. Later writes compare greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct UpstreamWrite {
    /// Number of the upstream's start.
    pub incarnation: u64,
    /// Number of the write within that start.
    pub sequence: u64,
}

impl UpstreamWrite {
    /// Returns the position of the write that produced `entry`.
    pub fn from_entry(entry: &UpstreamEntry) -> UpstreamWrite {
        UpstreamWrite {
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        }
    }
}

/// A known entry that is kept although the backup differs, until there was time to write it again.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldEntry {
    /// Entry that is used in the meantime.
    pub entry: Entry,
    /// Revision of the entry for the same subject in the backup, if there is one.
    pub backup_revision: Option<u64>,
    /// Change that applies if the entry is not written again in time.
    pub fallback: EntryChange,
}

/// Entries that an instance uses after the registry was restored from a backup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReconciledEntries {
    /// All entries that are used.
    pub entries: Vec<Entry>,
    /// Known entries that are used for a limited time although the backup differs, by subject.
    pub held: BTreeMap<EntrySubject, HeldEntry>,
    /// Revisions of the backup's upstreams that are not used because they are known to have left.
    /// Their registrations expire on their own if the upstreams are no longer running.
    pub departed_upstreams: BTreeMap<EntrySubject, u64>,
}

impl EntryChange {
    /// Returns the subject of the change, or `None` for an unreadable entry that names no upstream.
    pub fn subject(&self) -> Option<EntrySubject> {
        Some(match self {
            EntryChange::Routes(_) => EntrySubject::Routes,
            EntryChange::Zone { zone, .. } => EntrySubject::Zone(zone.clone()),
            EntryChange::Upstream(entry) => EntrySubject::Upstream(entry.id.clone()),
            EntryChange::UpstreamGone { id } => EntrySubject::Upstream(id.clone()),
            EntryChange::Instance(entry) => EntrySubject::Instance(entry.name.clone()),
            EntryChange::InstanceGone { name } => EntrySubject::Instance(name.clone()),
            EntryChange::Unreadable { upstream, .. } => EntrySubject::Upstream(upstream.clone()?),
        })
    }

    /// Returns whether the subject is present after the change. A zone counts as present only while
    /// it is out of service, and as absent while it is in service.
    pub fn is_present(&self) -> bool {
        match self {
            EntryChange::Routes(_) | EntryChange::Upstream(_) | EntryChange::Instance(_) => true,
            EntryChange::Zone { out, .. } => *out,
            EntryChange::UpstreamGone { .. }
            | EntryChange::InstanceGone { .. }
            | EntryChange::Unreadable { .. } => false,
        }
    }
}

/// Adds the known entries that are newer than a complete read to the entries of that read.
///
/// The read holds every entry that was written or removed up to `read_revision`, and possibly newer
/// ones. Known entries that were written later are therefore kept, unless the read has a later
/// entry about the same subject. The registry must not have been restored since `known_entries`
/// were read.
pub fn keep_newer(
    known_entries: &BTreeMap<EntrySubject, Entry>,
    read: &[Entry],
    read_revision: u64,
) -> Vec<Entry> {
    let mut newer_entries = known_entries.clone();
    newer_entries.retain(|_, entry| entry.revision > read_revision);
    let mut entries = Vec::with_capacity(read.len() + newer_entries.len());
    for entry in read {
        let subject = entry.change.subject();
        let known_entry = subject
            .as_ref()
            .and_then(|subject| newer_entries.get(subject));
        if known_entry.is_some_and(|known_entry| known_entry.revision > entry.revision) {
            continue;
        }
        if let Some(subject) = subject {
            newer_entries.remove(&subject);
        }
        entries.push(entry.clone());
    }
    entries.extend(newer_entries.into_values());
    entries
}

/// Merges the known entries with the entries of a registry that was restored from a backup.
///
/// `known_entries` holds the entries that were used before, and `backup` those of the restored
/// registry. `departed` holds the last writes of the upstreams that had left, by their ids.
pub fn reconcile(
    known_entries: &BTreeMap<EntrySubject, Entry>,
    departed: &BTreeMap<String, UpstreamWrite>,
    backup: &[Entry],
) -> ReconciledEntries {
    let mut reconciled = ReconciledEntries::default();
    let mut missing_in_backup = known_entries.clone();
    for entry in backup {
        let subject = entry.change.subject();
        let known_entry = subject
            .as_ref()
            .and_then(|subject| missing_in_backup.remove(subject));
        match subject {
            Some(subject) => reconciled.apply_backup_entry(subject, known_entry, departed, entry),
            None => reconciled.entries.push(entry.clone()),
        }
    }
    for (subject, entry) in missing_in_backup {
        reconciled.hold_known_entry(subject, entry, None);
    }
    reconciled
}

impl ReconciledEntries {
    /// Adds an entry of the backup, or the known entry if that one takes precedence.
    fn apply_backup_entry(
        &mut self,
        subject: EntrySubject,
        known_entry: Option<Entry>,
        departed: &BTreeMap<String, UpstreamWrite>,
        backup_entry: &Entry,
    ) {
        let revision = backup_entry.revision;
        let backup_applies = match (
            &backup_entry.change,
            known_entry.as_ref().map(|entry| &entry.change),
        ) {
            (EntryChange::Routes(backup_entry), Some(EntryChange::Routes(known_entry))) => {
                backup_entry.version >= known_entry.version
            }
            (EntryChange::Upstream(backup_entry), Some(EntryChange::Upstream(known_entry))) => {
                let is_later = UpstreamWrite::from_entry(backup_entry)
                    > UpstreamWrite::from_entry(known_entry);
                let is_same_start = backup_entry.incarnation == known_entry.incarnation;
                is_later || (is_same_start && backup_entry.draining == known_entry.draining)
            }
            (EntryChange::Upstream(backup_entry), None) => {
                let departed = departed.get(&backup_entry.id);
                if departed.is_some_and(|last_write| {
                    *last_write >= UpstreamWrite::from_entry(backup_entry)
                }) {
                    self.departed_upstreams.insert(subject, revision);
                    return;
                }
                true
            }
            _ => true,
        };
        match known_entry {
            Some(known_entry) if !backup_applies => {
                self.hold_known_entry(subject, known_entry, Some(revision))
            }
            _ => self.entries.push(backup_entry.clone()),
        }
    }

    /// Keeps a known entry although the backup differs.
    fn hold_known_entry(
        &mut self,
        subject: EntrySubject,
        known_entry: Entry,
        backup_revision: Option<u64>,
    ) {
        // Revision 0 makes every later write newer than the kept entry.
        let entry = Entry {
            revision: 0,
            ..known_entry
        };
        self.entries.push(entry.clone());
        let fallback = match &subject {
            EntrySubject::Routes => return,
            EntrySubject::Zone(zone) => EntryChange::Zone {
                zone: zone.clone(),
                out: false,
            },
            EntrySubject::Upstream(id) => EntryChange::UpstreamGone { id: id.clone() },
            EntrySubject::Instance(name) => EntryChange::InstanceGone { name: name.clone() },
        };
        let held = HeldEntry {
            entry,
            backup_revision,
            fallback,
        };
        self.held.insert(subject, held);
    }
}
