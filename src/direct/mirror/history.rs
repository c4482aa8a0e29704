//! Subjects of the registry that changed recently, in the order of their last change.
//!
//! A follower that is behind needs the present entry of each subject that changed, and the removals.
//! The present entries stand in the local copy, so the history holds none of them: its size depends
//! neither on the size of entries nor on how often a subject changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::EntrySubject;

/// Maximum number of subjects in the history. A follower that is further behind reads all entries
/// again.
const SUBJECTS_MAX: usize = 4_096;

/// Changes since a revision, without the content of entries that are present.
#[derive(Default)]
pub(super) struct History {
    /// Revision after which all changes are known.
    start_revision: u64,
    subjects: BTreeMap<EntrySubject, SubjectChanges>,
    /// Revision of each subject's last change.
    order: BTreeSet<(u64, EntrySubject)>,
}

/// Changes of one subject.
struct SubjectChanges {
    last_revision: u64,
    /// Last entry that says that the subject is absent.
    last_removal: Option<Entry>,
}

impl History {
    /// Forgets all changes and continues after `revision`.
    pub(super) fn restart_after(&mut self, revision: u64) {
        *self = History {
            start_revision: revision,
            ..History::default()
        };
    }

    /// Returns whether all changes after `revision` are known.
    pub(super) fn reaches_back_to(&self, revision: u64) -> bool {
        revision >= self.start_revision
    }

    /// Returns whether there are changes after `revision`.
    pub(super) fn has_changes_after(&self, revision: u64) -> bool {
        let last = self.order.last();
        last.is_some_and(|(last_revision, _)| *last_revision > revision)
    }

    /// Records a change. An entry without a subject changes nothing.
    pub(super) fn record(&mut self, entry: &Entry) {
        let Some(subject) = entry.change.subject() else {
            return;
        };
        let previous = self.subjects.remove(&subject);
        let mut last_removal = None;
        if let Some(previous) = previous {
            self.order
                .remove(&(previous.last_revision, subject.clone()));
            last_removal = previous.last_removal;
        }
        if !entry.change.is_present() {
            last_removal = Some(entry.clone());
        }
        let changes = SubjectChanges {
            last_revision: entry.revision,
            last_removal,
        };
        self.order.insert((entry.revision, subject.clone()));
        self.subjects.insert(subject, changes);
        self.drop_excess();
    }

    /// Returns what a follower lacks whose copy is as of `revision`, in order: of each subject that
    /// changed since, the last removal and the present entry of `entries`.
    pub(super) fn changes_after(
        &self,
        revision: u64,
        entries: &BTreeMap<EntrySubject, Entry>,
    ) -> Vec<Entry> {
        let mut changes = Vec::new();
        // `Routes` is the least subject.
        let start = (revision.saturating_add(1), EntrySubject::Routes);
        for (_, subject) in self.order.range(start..) {
            let removal = self.subjects[subject].last_removal.as_ref();
            changes.extend(removal.filter(|removal| removal.revision > revision));
            changes.extend(entries.get(subject));
        }
        changes.sort_by_key(|entry| entry.revision);
        changes.into_iter().cloned().collect()
    }

    fn drop_excess(&mut self) {
        while self.order.len() > SUBJECTS_MAX {
            let Some((revision, subject)) = self.order.pop_first() else {
                return;
            };
            self.subjects.remove(&subject);
            self.start_revision = self.start_revision.max(revision);
        }
    }
}
