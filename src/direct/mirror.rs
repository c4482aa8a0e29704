//! What this instance has read of the registry, for itself and for those that follow it.

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

/// How many changes are kept for followers; one that is further behind reads everything again.
const CHANGES_MAX: usize = 4_096;

/// How much later this instance must have heard from the registry than a follower to have news, in
/// milliseconds: the way between them counts as age.
const LATER_MS: u64 = 100;

/// What this instance has read of the registry.
pub(super) struct Mirror {
    clock: Clock,
    /// The name of this instance.
    name: String,
    state: RefCell<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    position: Position,
    /// Changes after this revision are all kept.
    kept_from: u64,
    heard_at: Option<Time>,
    /// The instances through which this one heard, the one that read the registry first.
    path: Vec<String>,
    /// All entries as they travel, and the position up to which they are encoded.
    encoded: Option<(Position, EncodedEntries)>,
    /// What the registry holds.
    entries: BTreeMap<Subject, Entry>,
    /// What is believed against that.
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

    /// Returns up to where the registry was read; `None` before the first read.
    pub(super) fn position(&self) -> Option<Position> {
        let state = self.state.borrow();
        state.heard_at.map(|_| state.position)
    }

    /// Returns how long ago the registry was in the state that is known, at least; `None` before the
    /// first read.
    pub(super) fn age_ms(&self) -> Option<u64> {
        let heard_at = self.state.borrow().heard_at;
        heard_at.map(|at| self.clock.now().since(at))
    }

    /// Returns the instances through which this one heard from the registry last, the one that read it
    /// first; none if this one did.
    pub(super) fn path(&self) -> Vec<String> {
        self.state.borrow().path.clone()
    }

    /// Takes over that the registry was heard from `age_ms` ago through the instances of `path`. Returns
    /// whether these are others than before.
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

    /// Returns those of `entries` that change what is known up to revision `known`: a page that comes a
    /// second time, late, brings nothing back, and of several entries about one subject only the last one
    /// counts. A whole read may hold entries that are newer than its revision.
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

    /// Takes over changes.
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

    /// Takes over all that the registry holds, and returns what to believe. Where the registry was restored
    /// from a copy, that is not the same.
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

    /// Returns what stands against the copy from which the registry was restored.
    pub(super) fn held_counts(&self) -> Counts {
        self.state.borrow().restored.counts()
    }

    /// Returns when [`Mirror::take_due`] is to be called.
    pub(super) fn due_at(&self) -> Option<Time> {
        self.state.borrow().restored.due_at()
    }

    /// Returns what counts from now on since nothing else was written after the registry was restored.
    pub(super) fn take_due(&self) -> Vec<Change> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut due = state.restored.take_due(now);
        let refused = state.restored.take_refused(now);
        let registered = refused.iter().filter_map(|one| state.entries.get(one));
        due.extend(registered.map(|entry| entry.change.clone()));
        due
    }

    /// Returns whether the registry was read, as soon as it is or `wait` is over.
    pub(super) async fn is_read(&self, wait: std::time::Duration) -> bool {
        let changed = self.changed.notified();
        if self.position().is_none() {
            // Whether it was read meanwhile or the time is over shows below.
            let _ = tokio::time::timeout(wait, changed).await;
        }
        self.position().is_some()
    }

    /// Returns what a follower lacks, as soon as there is something, this instance has heard more lately
    /// than the follower, or `wait` is over.
    ///
    /// # Errors
    ///
    /// Returns why the page can't be encoded.
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
        // Whether there is something or the time is over: the page says it.
        let _ = tokio::time::timeout(wait, waiting).await;
        self.page_now(known.position)
    }

    /// Returns whether there is anything that a follower lacks that has heard of the registry as it was
    /// at `heard_at`.
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
    /// Returns the changes after a revision.
    fn newer(&self, after: u64) -> impl Iterator<Item = &Entry> {
        self.changes
            .iter()
            .filter(move |entry| entry.revision > after)
    }

    /// Returns all entries as they travel.
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

    /// Returns what to believe of a copy from which the registry was restored.
    fn reconcile_copy(&mut self, now: Time, copy: &[Entry]) -> Vec<Entry> {
        self.restored.reconcile_copy(now, &self.entries, copy)
    }

    /// Takes over all that the registry holds. Routes do not go back with it.
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

    /// Keeps the routes of `before` if the registry has none that are newer.
    fn keep_routes(&mut self, mut before: BTreeMap<Subject, Entry>) {
        let Some(mut routes) = before.remove(&Subject::Routes) else {
            return;
        };
        if self.routes_version() < version(&routes.change) {
            // Whatever is written from now on is newer.
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
