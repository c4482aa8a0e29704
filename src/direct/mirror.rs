//! Local copy of the registry, used by this instance and by the instances that follow it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_edge::keep_newer;
use hemlockrouter_edge::EncodedEntries;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::EntrySubject;
use hemlockrouter_edge::HistoryPosition;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_edge::UpstreamWrite;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::UpstreamEntry;
use log::info;
use tokio::sync::Notify;

use super::departed::is_late_write;
use super::departed::DepartedUpstreams;
use super::registry_reads::KnownState;
use super::restore_overrides::OverrideCounts;
use super::restore_overrides::RestoreOverrides;

/// Maximum number of changes kept for followers. A follower that is further behind reads all
/// entries again.
const KEPT_CHANGES_MAX: usize = 4_096;

/// Minimum lead of this instance's last contact with the registry over a follower's last contact,
/// in milliseconds. A smaller lead is not worth an answer to the follower, since the network
/// latency between the two instances counts as age.
const FRESHER_CONTACT_MIN_MS: u64 = 100;

/// Local copy of the registry, with recent changes for followers.
pub(super) struct Mirror {
    clock: Clock,
    name: String,
    state: RefCell<MirrorState>,
    change_notify: Notify,
}

#[derive(Default)]
struct MirrorState {
    position: HistoryPosition,
    /// Revision after which all changes are kept.
    history_start: u64,
    contact_at: Option<Time>,
    /// Relays that passed the last update on, starting with the instance that read the registry.
    path: Vec<String>,
    /// Encoded form of all entries, and the position at which it was encoded.
    encoded: Option<(HistoryPosition, EncodedEntries)>,
    /// Entries of the registry by subject.
    entries: BTreeMap<EntrySubject, Entry>,
    /// Entries that are trusted or refused in deviation from a restored registry.
    overrides: RestoreOverrides,
    departed: DepartedUpstreams,
    changes: VecDeque<Entry>,
}

impl Mirror {
    pub(super) fn new(clock: Clock, name: &str) -> Mirror {
        Mirror {
            clock,
            name: String::from(name),
            state: RefCell::default(),
            change_notify: Notify::new(),
        }
    }

    /// Returns the position up to which the registry was read; `None` before the first read.
    pub(super) fn position(&self) -> Option<HistoryPosition> {
        let state = self.state.borrow();
        state.contact_at.map(|_| state.position)
    }

    /// Returns the minimum age of the known state of the registry, in milliseconds; `None` before
    /// the first read.
    pub(super) fn age_ms(&self) -> Option<u64> {
        let contact_at = self.state.borrow().contact_at;
        contact_at.map(|at| self.clock.now().ms_since(at))
    }

    /// Returns the relays that passed the last update on, starting with the instance that read the
    /// registry. The path is empty if this instance read the registry itself.
    pub(super) fn path(&self) -> Vec<String> {
        self.state.borrow().path.clone()
    }

    /// Records contact with the registry `age_ms` ago through the instances of `path`. Returns
    /// whether the path has changed.
    pub(super) fn record_contact(&self, age_ms: u64, path: &[String]) -> bool {
        let mut state = self.state.borrow_mut();
        let contact_at = Some(self.clock.now().minus_ms(age_ms));
        if contact_at < state.contact_at {
            return false;
        }
        state.contact_at = contact_at;
        let has_changed = state.path != path;
        if has_changed {
            state.path = path.to_vec();
        }
        drop(state);
        self.change_notify.notify_waiters();
        has_changed
    }

    /// Applies the changes of a read up to `position`, and returns those that change the known
    /// state.
    ///
    /// A page that is received a second time, late, restores no old state, and of several entries
    /// about one subject only the last one counts. A complete read may hold entries that are newer
    /// than its position. Their changes have no effect here when they come up again, but followers
    /// that read the registry at another time lack them, so the history holds all of them.
    pub(super) fn apply_changes(&self, entries: &[Entry], position: HistoryPosition) -> Vec<Entry> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let newer: Vec<&Entry> = entries
            .iter()
            .filter(|entry| entry.revision > state.position.revision)
            .collect();
        let newer = state.without_late_writes(now, newer);
        let effective_entries = state.effective_entries(&newer);
        for entry in &effective_entries {
            state.apply_entry(now, entry);
        }
        for entry in newer {
            state.record_change(entry);
        }
        state.position = state.position.max(position);
        effective_entries
    }

    /// Replaces all entries by those of the registry, and returns the entries to use. The two
    /// differ if the registry was restored from a backup copy.
    pub(super) fn replace(&self, entries: &[Entry], position: HistoryPosition) -> Vec<Entry> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let is_restored =
            state.contact_at.is_some() && position.generation > state.position.generation;
        let effective_entries = match is_restored {
            true => {
                let effective_entries = state.reconcile_copy(now, entries);
                state.replace(now, entries, is_restored);
                effective_entries
            }
            false => {
                // Another instance may have read the registry up to a later revision than this one
                // and still hold older content.
                let mut entries = keep_newer(&state.entries, entries, position.revision);
                entries.retain(|entry| !state.is_late(now, entry));
                state.replace(now, &entries, is_restored);
                state.overrides.reconcile_reread(&entries)
            }
        };
        state.history_start = position.revision;
        state.position = position;
        effective_entries
    }

    /// Returns how many entries deviate from the copy from which the registry was restored.
    pub(super) fn override_counts(&self) -> OverrideCounts {
        self.state.borrow().overrides.counts()
    }

    /// Returns the time at which [`Mirror::expire_overrides`] is due.
    pub(super) fn due_at(&self) -> Option<Time> {
        self.state.borrow().overrides.due_at()
    }

    /// Returns the changes that take effect now because no newer entry was written after the
    /// registry was restored.
    pub(super) fn expire_overrides(&self) -> Vec<EntryChange> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut due_changes = state.overrides.expire_held(now, &mut state.departed);
        let refused = state.overrides.expire_refused(now);
        let registered = refused
            .iter()
            .filter_map(|subject| state.entries.get(subject));
        due_changes.extend(registered.map(|entry| entry.change.clone()));
        due_changes
    }

    /// Waits until the registry was read, at most for `wait`, and returns whether it was.
    pub(super) async fn wait_until_read(&self, wait: std::time::Duration) -> bool {
        let changed = self.change_notify.notified();
        if self.position().is_none() {
            // The result of the timeout is not needed, because the position shows whether the
            // registry was read.
            let _ = tokio::time::timeout(wait, changed).await;
        }
        self.position().is_some()
    }

    /// Returns the changes that a follower lacks. Waits until there is a change, this instance has
    /// more recent contact with the registry than the follower, or `wait` is over.
    ///
    /// # Errors
    ///
    /// Returns an error if the page can't be encoded.
    pub(super) async fn updates_for(
        &self,
        known_state: KnownState,
        wait: std::time::Duration,
    ) -> Result<RelayPage, rmp_serde::encode::Error> {
        let contact_at = self.clock.now().minus_ms(known_state.age_ms);
        let wait_for_updates = async {
            loop {
                let changed = self.change_notify.notified();
                if self.has_updates(known_state.position, contact_at) {
                    return;
                }
                changed.await;
            }
        };
        // The result of the timeout is not needed, because the page shows whether there are
        // changes.
        let _ = tokio::time::timeout(wait, wait_for_updates).await;
        self.current_page(known_state.position)
    }

    /// Returns whether there is an update for a follower whose state is at `after` and whose last
    /// contact with the registry was at `contact_at`.
    fn has_updates(&self, after: Option<HistoryPosition>, contact_at: Time) -> bool {
        let state = self.state.borrow();
        let Some(after) = after else {
            return state.contact_at.is_some();
        };
        let has_fresher_contact = state.contact_at > Some(contact_at + FRESHER_CONTACT_MIN_MS);
        has_fresher_contact
            || !state.has_history_since(after)
            || state.changes_after(after.revision).next().is_some()
    }

    fn current_page(
        &self,
        after: Option<HistoryPosition>,
    ) -> Result<RelayPage, rmp_serde::encode::Error> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let history_position = after.filter(|after| state.has_history_since(*after));
        let entries = match history_position {
            Some(after) => {
                let newer: Vec<Entry> = state.changes_after(after.revision).cloned().collect();
                EncodedEntries::encode(&newer)?
            }
            None => state.encoded()?,
        };
        Ok(RelayPage {
            is_whole: history_position.is_none(),
            position: state.position,
            age_ms: state.contact_at.map_or(u64::MAX, |at| now.ms_since(at)),
            path: state.path.iter().chain([&self.name]).cloned().collect(),
            entries,
        })
    }
}

impl MirrorState {
    /// Returns the kept changes after a revision.
    fn changes_after(&self, after: u64) -> impl Iterator<Item = &Entry> {
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
        let all_entries: Vec<Entry> = self.entries.values().cloned().collect();
        let encoded = EncodedEntries::encode(&all_entries)?;
        self.encoded = Some((self.position, encoded.clone()));
        Ok(encoded)
    }

    /// Returns whether all changes after `after` are kept.
    fn has_history_since(&self, after: HistoryPosition) -> bool {
        after.generation == self.position.generation && after.revision >= self.history_start
    }

    /// Returns the entries to use after the registry was restored from `copy`.
    fn reconcile_copy(&mut self, now: Time, copy: &[Entry]) -> Vec<Entry> {
        self.overrides
            .reconcile_copy(now, &self.entries, &self.departed, copy)
    }

    /// Replaces all entries. After a restore of the registry, the previous routes are kept unless
    /// the copy holds routes that are not older, since routes never revert with the registry.
    fn replace(&mut self, now: Time, entries: &[Entry], is_restored: bool) {
        let previous = std::mem::take(&mut self.entries);
        self.changes.clear();
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

    /// Removes the entries that upstreams wrote before they left and that the registry executed
    /// afterwards.
    fn without_late_writes<'e>(&self, now: Time, newer: Vec<&'e Entry>) -> Vec<&'e Entry> {
        let mut left: BTreeMap<&str, UpstreamWrite> = BTreeMap::new();
        let mut current = newer;
        current.retain(|entry| match &entry.change {
            EntryChange::UpstreamGone { id } => {
                left.extend(
                    self.last_write(id)
                        .map(|last_write| (id.as_str(), last_write)),
                );
                true
            }
            EntryChange::Upstream(upstream) => {
                let last_write = left.get(upstream.id.as_str()).copied();
                let last_write = last_write.or_else(|| self.departed.last_write(now, &upstream.id));
                let is_late = last_write.is_some_and(|last| is_late_write(upstream, last));
                if is_late {
                    log_late_write(upstream);
                }
                !is_late
            }
            _ => true,
        });
        current
    }

    /// Returns the last write of a registered upstream.
    fn last_write(&self, id: &str) -> Option<UpstreamWrite> {
        let entry = self
            .entries
            .get(&EntrySubject::Upstream(String::from(id)))?;
        match &entry.change {
            EntryChange::Upstream(upstream) => Some(UpstreamWrite::from_entry(upstream)),
            _ => None,
        }
    }

    /// Returns whether an upstream wrote an entry of a complete read before it left. Entries of a
    /// restored copy have a rule of their own.
    fn is_late(&self, now: Time, entry: &Entry) -> bool {
        let EntryChange::Upstream(upstream) = &entry.change else {
            return false;
        };
        let subject = EntrySubject::Upstream(upstream.id.clone());
        let is_late = !self.overrides.is_refused(&subject) && self.departed.is_late(now, upstream);
        if is_late {
            log_late_write(upstream);
        }
        is_late
    }

    /// Returns the entries of `newer` that change the known state.
    fn effective_entries(&self, newer: &[&Entry]) -> Vec<Entry> {
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

    fn apply_entry(&mut self, now: Time, entry: &Entry) {
        self.encoded = None;
        if let Some(subject) = entry.change.subject() {
            self.overrides.record_written(&subject);
            if let EntryChange::Upstream(upstream) = &entry.change {
                self.departed.record_written(&upstream.id);
            }
            self.apply_subject(now, subject, entry);
        }
    }

    /// Adds a change to the history that is kept for followers.
    fn record_change(&mut self, entry: &Entry) {
        self.changes.push_back(entry.clone());
        if self.changes.len() > KEPT_CHANGES_MAX {
            if let Some(dropped) = self.changes.pop_front() {
                self.history_start = self.history_start.max(dropped.revision);
            }
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

fn log_late_write(upstream: &UpstreamEntry) {
    info!(
        target: "belief",
        upstream = upstream.id.as_str(),
        sequence = upstream.sequence;
        "late write of an upstream that has left"
    );
}

/// Returns the version of routes; `None` for any other change.
fn version(change: &EntryChange) -> Option<u64> {
    match change {
        EntryChange::Routes(document) => Some(document.version),
        _ => None,
    }
}
