//! Local copy of the registry, used by this instance and by the instances that follow it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_edge::Change;
use hemlockrouter_edge::EncodedEntries;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::Position;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_edge::Subject;
use hemlockrouter_types::prelude::*;
use tokio::sync::Notify;

use super::reads::Known;
use super::restored::Counts;
use super::restored::Restored;

/// Maximum number of changes kept for followers. A follower that is further behind reads all
/// entries again.
const CHANGES_MAX: usize = 4_096;

/// Minimum lead, in milliseconds, by which this instance must have newer contact with the registry
/// than a follower before the contact alone is worth an answer. The network latency between the two
/// counts as age.
const LATER_MS: u64 = 100;

/// Local copy of the registry, with recent changes for followers.
pub(super) struct Mirror {
    clock: Clock,
    name: String,
    state: RefCell<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    position: Position,
    /// Revision after which all changes are kept.
    kept_from: u64,
    heard_at: Option<Time>,
    /// Relays that passed the last update on, starting with the instance that read the registry.
    path: Vec<String>,
    /// Encoded form of all entries, and the position at which it was encoded.
    encoded: Option<(Position, EncodedEntries)>,
    /// Entries of the registry by subject.
    entries: BTreeMap<Subject, Entry>,
    /// Entries that are trusted or refused in deviation from a restored registry.
    restored: Restored,
    changes: VecDeque<Entry>,
}

impl Mirror {
    pub(super) fn new(clock: Clock, name: &str) -> Mirror {
        Mirror {
            clock,
            name: String::from(name),
            state: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the position up to which the registry was read; `None` before the first read.
    pub(super) fn position(&self) -> Option<Position> {
        let state = self.state.borrow();
        state.heard_at.map(|_| state.position)
    }

    /// Returns the minimum age of the known state of the registry, in milliseconds; `None` before
    /// the first read.
    pub(super) fn age_ms(&self) -> Option<u64> {
        let heard_at = self.state.borrow().heard_at;
        heard_at.map(|at| self.clock.now().since(at))
    }

    /// Returns the relays that passed the last update on, starting with the instance that read the
    /// registry. The path is empty if this instance read the registry itself.
    pub(super) fn path(&self) -> Vec<String> {
        self.state.borrow().path.clone()
    }

    /// Records contact with the registry `age_ms` ago through the instances of `path`. Returns
    /// whether the path has changed.
    pub(super) fn heard(&self, age_ms: u64, path: &[String]) -> bool {
        let mut state = self.state.borrow_mut();
        let heard_at = Some(self.clock.now().before(age_ms));
        if heard_at < state.heard_at {
            return false;
        }
        state.heard_at = heard_at;
        let is_other = state.path != path;
        if is_other {
            state.path = path.to_vec();
        }
        drop(state);
        self.changed.notify_waiters();
        is_other
    }

    /// Returns the entries that change the known state of revision `known`. A page that is received
    /// twice restores no old state, and of several entries about one subject only the last one
    /// counts. A complete read may hold entries that are newer than its revision.
    pub(super) fn newer(&self, entries: &[Entry], known: u64) -> Vec<Entry> {
        let state = self.state.borrow();
        let newer = entries.iter().filter(|entry| entry.revision > known);
        let newer: Vec<(&Entry, Option<Subject>)> =
            newer.map(|entry| (entry, entry.change.subject())).collect();
        let mut last: BTreeMap<&Subject, u64> = BTreeMap::new();
        for (entry, subject) in &newer {
            if let Some(subject) = subject {
                last.insert(subject, entry.revision);
            }
        }
        let changes_something = |entry: &Entry, subject: &Subject| {
            let known = state.entries.get(subject);
            let is_last = last.get(subject) == Some(&entry.revision);
            is_last && known.is_none_or(|known| known.revision < entry.revision)
        };
        let changing = newer.iter().filter(|(entry, subject)| {
            let subject = subject.as_ref();
            subject.is_none_or(|subject| changes_something(entry, subject))
        });
        changing.map(|(entry, _)| (*entry).clone()).collect()
    }

    /// Applies changes up to `position`.
    pub(super) fn take(&self, changes: &[Entry], position: Position) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        for entry in changes {
            state.put(now, entry);
        }
        if !changes.is_empty() {
            state.encoded = None;
        }
        state.position = state.position.max(position);
    }

    /// Replaces all entries by those of the registry, and returns the entries to use. The two
    /// differ if the registry was restored from a backup copy.
    pub(super) fn replace(&self, entries: &[Entry], position: Position) -> Vec<Entry> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let is_restored =
            state.heard_at.is_some() && position.generation > state.position.generation;
        let believed = match is_restored {
            true => state.reconcile_copy(now, entries),
            false => state.restored.reconcile_reread(entries),
        };
        state.replace(now, entries, is_restored);
        state.kept_from = position.revision;
        state.position = position;
        believed
    }

    /// Returns how many entries deviate from the copy from which the registry was restored.
    pub(super) fn held_counts(&self) -> Counts {
        self.state.borrow().restored.counts()
    }

    /// Returns the time at which [`Mirror::take_due`] is due.
    pub(super) fn due_at(&self) -> Option<Time> {
        self.state.borrow().restored.due_at()
    }

    /// Returns the changes that take effect now because no newer entry was written after the
    /// registry was restored.
    pub(super) fn take_due(&self) -> Vec<Change> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut due = state.restored.take_due(now);
        let refused = state.restored.take_refused(now);
        let registered = refused.iter().filter_map(|one| state.entries.get(one));
        due.extend(registered.map(|entry| entry.change.clone()));
        due
    }

    /// Waits until the registry was read, at most for `wait`, and returns whether it was.
    pub(super) async fn is_read(&self, wait: std::time::Duration) -> bool {
        let changed = self.changed.notified();
        if self.position().is_none() {
            // The position below shows whether the registry was read or the wait timed out.
            let _ = tokio::time::timeout(wait, changed).await;
        }
        self.position().is_some()
    }

    /// Returns the changes that a follower lacks. Waits until there is a change, this instance has
    /// more recent contact with the registry than the follower, or `wait` is over.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub(super) async fn page(
        &self,
        known: Known,
        wait: std::time::Duration,
    ) -> Result<RelayPage, rmp_serde::encode::Error> {
        let heard_at = self.clock.now().before(known.age_ms);
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if self.has_news(known.position, heard_at) {
                    return;
                }
                changed.await;
            }
        };
        // The page shows whether there is a change or the wait timed out.
        let _ = tokio::time::timeout(wait, waiting).await;
        self.page_now(known.position)
    }

    /// Returns whether there is an update for a follower whose state is at `after` and whose last
    /// contact with the registry was at `heard_at`.
    fn has_news(&self, after: Option<Position>, heard_at: Time) -> bool {
        let state = self.state.borrow();
        let Some(after) = after else {
            return state.heard_at.is_some();
        };
        let has_heard_more = state.heard_at > Some(heard_at + LATER_MS);
        has_heard_more || !state.keeps(after) || state.newer(after.revision).next().is_some()
    }

    fn page_now(&self, after: Option<Position>) -> Result<RelayPage, rmp_serde::encode::Error> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let kept = after.filter(|after| state.keeps(*after));
        let entries = match kept {
            Some(after) => {
                let newer: Vec<Entry> = state.newer(after.revision).cloned().collect();
                EncodedEntries::encode(&newer)?
            }
            None => state.encoded()?,
        };
        Ok(RelayPage {
            is_whole: kept.is_none(),
            position: state.position,
            age_ms: state.heard_at.map_or(u64::MAX, |at| now.since(at)),
            path: state.path.iter().chain([&self.name]).cloned().collect(),
            entries,
        })
    }
}

impl State {
    /// Returns the kept changes after a revision.
    fn newer(&self, after: u64) -> impl Iterator<Item = &Entry> {
        self.changes
            .iter()
            .filter(move |entry| entry.revision > after)
    }

    /// Returns all entries in encoded form, from a cache if it is current.
    fn encoded(&mut self) -> Result<EncodedEntries, rmp_serde::encode::Error> {
        if let Some((position, encoded)) = &self.encoded {
            if *position == self.position {
                return Ok(encoded.clone());
            }
        }
        let all: Vec<Entry> = self.entries.values().cloned().collect();
        let encoded = EncodedEntries::encode(&all)?;
        self.encoded = Some((self.position, encoded.clone()));
        Ok(encoded)
    }

    /// Returns whether all changes after `after` are kept.
    fn keeps(&self, after: Position) -> bool {
        after.generation == self.position.generation && after.revision >= self.kept_from
    }

    /// Returns the entries to use after the registry was restored from `copy`.
    fn reconcile_copy(&mut self, now: Time, copy: &[Entry]) -> Vec<Entry> {
        self.restored.reconcile_copy(now, &self.entries, copy)
    }

    /// Replaces all entries. Routes never revert to an older version, even if the registry was
    /// restored.
    fn replace(&mut self, now: Time, entries: &[Entry], is_restored: bool) {
        let before = std::mem::take(&mut self.entries);
        self.changes.clear();
        self.encoded = None;
        for entry in entries {
            if let Some(subject) = entry.change.subject().filter(|_| entry.change.is_present()) {
                self.entries.insert(subject, entry.clone());
            }
        }
        if is_restored {
            self.keep_routes(before);
            return;
        }
        for entry in before.into_values() {
            if let Change::Upstream(upstream) = entry.change {
                if !self
                    .entries
                    .contains_key(&Subject::Upstream(upstream.id.clone()))
                {
                    self.restored.note_left(now, &upstream);
                }
            }
        }
    }

    /// Keeps the routes of `before` unless the registry has a newer version.
    fn keep_routes(&mut self, mut before: BTreeMap<Subject, Entry>) {
        let Some(mut routes) = before.remove(&Subject::Routes) else {
            return;
        };
        if self.routes_version() < version(&routes.change) {
            // Any later write to the registry must count as newer.
            routes.revision = 0;
            self.entries.insert(Subject::Routes, routes);
        }
    }

    fn routes_version(&self) -> Option<u64> {
        version(&self.entries.get(&Subject::Routes)?.change)
    }

    fn put(&mut self, now: Time, entry: &Entry) {
        if let Some(subject) = entry.change.subject() {
            self.restored.note_written(&subject);
            self.put_subject(now, subject, entry);
        }
        self.changes.push_back(entry.clone());
        if self.changes.len() > CHANGES_MAX {
            if let Some(dropped) = self.changes.pop_front() {
                self.kept_from = self.kept_from.max(dropped.revision);
            }
        }
    }

    fn put_subject(&mut self, now: Time, subject: Subject, entry: &Entry) {
        if entry.change.is_present() {
            let is_older_routes =
                subject == Subject::Routes && version(&entry.change) < self.routes_version();
            if !is_older_routes {
                self.entries.insert(subject, entry.clone());
            }
            return;
        }
        let removed = self.entries.remove(&subject);
        if let Some(Change::Upstream(upstream)) = removed.map(|entry| entry.change) {
            self.restored.note_left(now, &upstream);
        }
    }
}

/// Returns the version of routes; `None` for any other change.
fn version(change: &Change) -> Option<u64> {
    match change {
        Change::Routes(document) => Some(document.version),
        _ => None,
    }
}
