//! What this instance has read of the registry, for itself and for those that follow it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_edge::Change;
use hemlockrouter_edge::EncodedEntries;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_types::prelude::*;
use tokio::sync::Notify;

use super::reads::Known;

/// How many changes are kept for followers; one that is further behind reads everything again.
const CHANGES_MAX: usize = 4_096;

/// How much later this instance must have heard from the registry than a follower to have news, in
/// milliseconds: the way between them counts as age.
const LATER_MS: u64 = 100;

/// What an entry is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Subject {
    Routes,
    Zone(String),
    Upstream(String),
    Instance(String),
}

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
    revision: u64,
    /// Changes after this revision are all kept.
    kept_from: u64,
    heard_at: Option<Time>,
    /// The instances through which this one heard, the one that read the registry first.
    path: Vec<String>,
    /// All entries as they travel, and the revision up to which they are encoded.
    encoded: Option<(u64, EncodedEntries)>,
    entries: BTreeMap<Subject, Entry>,
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

    /// Returns the revision that was read last; `None` before the first.
    pub(super) fn revision(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.heard_at.map(|_| state.revision)
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
        let newer: Vec<(&Entry, Option<Subject>)> = newer
            .map(|entry| (entry, subject(&entry.change).map(|(subject, _)| subject)))
            .collect();
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

    /// Takes over what was read.
    pub(super) fn take(&self, entries: &[Entry], revision: u64, is_whole: bool) {
        let mut state = self.state.borrow_mut();
        if is_whole {
            state.entries.clear();
            state.changes.clear();
            state.kept_from = revision;
        }
        for entry in entries {
            state.put(entry, is_whole);
        }
        if is_whole || !entries.is_empty() {
            state.encoded = None;
        }
        state.revision = state.revision.max(revision);
    }

    /// Returns whether the registry was read, as soon as it is or `wait` is over.
    pub(super) async fn is_read(&self, wait: std::time::Duration) -> bool {
        let changed = self.changed.notified();
        if self.revision().is_none() {
            // Whether it was read meanwhile or the time is over shows below.
            let _ = tokio::time::timeout(wait, changed).await;
        }
        self.revision().is_some()
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
                if self.has_news(known.revision, heard_at) {
                    return;
                }
                changed.await;
            }
        };
        // Whether there is something or the time is over: the page says it.
        let _ = tokio::time::timeout(wait, waiting).await;
        self.page_now(known.revision)
    }

    /// Returns whether there is anything that a follower lacks that has heard of the registry as it was
    /// at `heard_at`.
    fn has_news(&self, after: Option<u64>, heard_at: Time) -> bool {
        let state = self.state.borrow();
        let Some(after) = after else {
            return state.heard_at.is_some();
        };
        let has_heard_more = state.heard_at > Some(heard_at + LATER_MS);
        has_heard_more || after < state.kept_from || state.newer(after).next().is_some()
    }

    fn page_now(&self, after: Option<u64>) -> Result<RelayPage, rmp_serde::encode::Error> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let kept = after.filter(|after| *after >= state.kept_from);
        let entries = match kept {
            Some(after) => {
                let newer: Vec<Entry> = state.newer(after).cloned().collect();
                EncodedEntries::encode(&newer)?
            }
            None => state.encoded()?,
        };
        Ok(RelayPage {
            is_whole: kept.is_none(),
            revision: state.revision,
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
        if let Some((revision, encoded)) = &self.encoded {
            if *revision == self.revision {
                return Ok(encoded.clone());
            }
        }
        let all: Vec<Entry> = self.entries.values().cloned().collect();
        let encoded = EncodedEntries::encode(&all)?;
        self.encoded = Some((self.revision, encoded.clone()));
        Ok(encoded)
    }

    fn put(&mut self, entry: &Entry, is_whole: bool) {
        if let Some((subject, is_present)) = subject(&entry.change) {
            if is_present {
                self.entries.insert(subject, entry.clone());
            } else {
                self.entries.remove(&subject);
            }
        }
        if is_whole {
            return;
        }
        self.changes.push_back(entry.clone());
        if self.changes.len() > CHANGES_MAX {
            if let Some(dropped) = self.changes.pop_front() {
                self.kept_from = self.kept_from.max(dropped.revision);
            }
        }
    }
}

/// Returns what a change is about, and whether it is there after the change.
fn subject(change: &Change) -> Option<(Subject, bool)> {
    Some(match change {
        Change::Routes(_) => (Subject::Routes, true),
        Change::Zone { zone, out } => (Subject::Zone(zone.clone()), *out),
        Change::Upstream(entry) => (Subject::Upstream(entry.id.clone()), true),
        Change::UpstreamGone { id } => (Subject::Upstream(id.clone()), false),
        Change::Instance(entry) => (Subject::Instance(entry.name.clone()), true),
        Change::InstanceGone { name } => (Subject::Instance(name.clone()), false),
        Change::Unreadable { upstream, .. } => (Subject::Upstream(upstream.clone()?), false),
    })
}
