//! Local copy of the registry, used by this instance and by the instances that follow it.

mod confirm;
mod history;
mod state;
mod unconfirmed;

use std::cell::RefCell;
use std::net::SocketAddr;

use hemlockrouter_edge::keep_newer;
use hemlockrouter_edge::EncodedEntries;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::HistoryPosition;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_types::prelude::*;
use tokio::sync::Notify;

use self::state::MirrorState;
pub(super) use self::unconfirmed::Checker;
pub(super) use self::unconfirmed::Registration;
pub(super) use self::unconfirmed::CHECK_INTERVAL_MS;
use super::registry_reads::KnownState;
use super::restore_overrides::OverrideCounts;

/// Minimum lead of this instance's last contact with the registry over a follower's last contact,
/// in milliseconds. A smaller lead is not worth an answer to the follower, since the network
/// latency between the two instances counts as age.
const FRESHER_CONTACT_MIN_MS: u64 = 100;

/// Local copy of the registry, with its recent changes for followers.
pub(super) struct Mirror {
    clock: Clock,
    name: String,
    state: RefCell<MirrorState>,
    change_notify: Notify,
    /// Notified when followers ask for registrations that have to be checked.
    checks_notify: Notify,
}

impl Mirror {
    pub(super) fn new(clock: Clock, name: &str) -> Mirror {
        Mirror {
            clock,
            name: String::from(name),
            state: RefCell::default(),
            change_notify: Notify::new(),
            checks_notify: Notify::new(),
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

    /// Sets whether registrations are assumed to be missing because the registry was away.
    pub(super) fn set_registry_was_away(&self, was_away: bool) {
        self.state.borrow_mut().registry_was_away = was_away;
    }

    /// Applies the changes of a read up to `position`, and returns those that change what is used.
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
        let recent = state.without_late_writes(now, newer);
        let effective_entries = state.effective_entries(&recent.changes);
        let mut used_entries = Vec::with_capacity(effective_entries.len());
        for entry in effective_entries {
            let unconfirmed = recent.find_unconfirmed(&entry);
            if let Some(removal) = unconfirmed.and_then(|unconfirmed| unconfirmed.removal) {
                state.apply_entry(now, removal, None);
                used_entries.push(removal.clone());
            }
            state.apply_entry(now, &entry, unconfirmed);
            if unconfirmed.is_none() {
                used_entries.push(entry);
            }
        }
        for entry in recent.changes {
            state.history.record(entry);
        }
        state.position = state.position.max(position);
        used_entries
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
                let entries = keep_newer(&state.entries, entries, position.revision);
                let entries = entries.into_iter();
                let entries: Vec<Entry> = entries
                    .filter_map(|entry| state.current_entry(now, entry))
                    .collect();
                state.replace(now, &entries, is_restored);
                let used_entries = state.overrides.reconcile_reread(&entries);
                state.without_unconfirmed(used_entries)
            }
        };
        state.history.restart_after(position.revision);
        state.position = position;
        effective_entries
    }

    /// Returns how many entries deviate from the copy from which the registry was restored.
    pub(super) fn override_counts(&self) -> OverrideCounts {
        self.state.borrow().overrides.counts()
    }

    /// Returns the time at which [`Mirror::expire_overrides`], [`Mirror::due_checks`] or
    /// [`Mirror::lasting_registrations`] is due.
    pub(super) fn due_at(&self) -> Option<Time> {
        let state = self.state.borrow();
        let due = [state.overrides.due_at(), state.unconfirmed.due_at()];
        due.into_iter().flatten().min()
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

    /// Returns the registrations that are to be checked now with `checker`.
    pub(super) fn due_checks(&self, checker: Checker) -> Vec<Registration> {
        let now = self.clock.now();
        self.state.borrow_mut().unconfirmed.due_checks(now, checker)
    }

    /// Returns the registrations of new upstreams that nothing tells the health of.
    pub(super) fn uncheckable_registrations(&self) -> Vec<Registration> {
        let state = self.state.borrow();
        let mut registrations = state.unconfirmed.new_registrations();
        registrations.retain(|registration| state.health_target(&registration.id).is_none());
        registrations
    }

    /// Returns the registrations that have lasted long enough to be confirmed.
    pub(super) fn lasting_registrations(&self) -> Vec<Registration> {
        let now = self.clock.now();
        self.state.borrow().unconfirmed.expired(now)
    }

    /// Confirms a registration, and returns the change that takes effect; `None` if the upstream has
    /// another entry by now.
    pub(super) fn confirm(&self, registration: &Registration) -> Option<EntryChange> {
        self.state.borrow_mut().confirm(registration)
    }

    /// Returns those of `registrations` that were confirmed here. Registrations that are used here
    /// although nobody has confirmed them are checked from now on.
    pub(super) fn confirmed_of(&self, mut registrations: Vec<Registration>) -> Vec<Registration> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut checks_begin = false;
        registrations.retain(|registration| {
            checks_begin |= state.begin_check(now, &registration.id);
            state.is_confirmed(registration)
        });
        if checks_begin {
            self.checks_notify.notify_one();
        }
        registrations
    }

    /// Returns the registrations that are held back here, at most `max` of them.
    pub(super) fn held_registrations(&self, max: usize) -> Vec<Registration> {
        self.state.borrow().unconfirmed.registrations(max)
    }

    /// Holds back those of `registrations` that nobody has checked here, and returns the changes that
    /// take effect.
    pub(super) fn hold_back(&self, registrations: &[Registration]) -> Vec<EntryChange> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let held_back = registrations
            .iter()
            .filter_map(|registration| state.hold_back(now, &registration.id));
        held_back.collect()
    }

    /// Waits until another instance has asked for a registration that has to be checked first.
    pub(super) async fn wait_for_checks(&self) {
        self.checks_notify.notified().await;
    }

    /// Returns the address of an upstream and the path at which it reports its health, if its
    /// service has one.
    pub(super) fn health_target(&self, id: &str) -> Option<(SocketAddr, String)> {
        self.state.borrow().health_target(id)
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
            || state.history.has_changes_after(after.revision)
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
                let changes = state.history.changes_after(after.revision, &state.entries);
                EncodedEntries::encode(&changes)?
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
