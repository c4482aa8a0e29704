//! Unconfirmed registrations in the local copy of the registry.
//!
//! Their entries are kept and passed on like all others, but they are not used until they are
//! confirmed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::EntrySubject;
use hemlockrouter_types::prelude::*;

use super::state::MirrorState;
use super::unconfirmed::Registration;
use super::unconfirmed::CONFIRMED_AFTER_MS;

impl MirrorState {
    /// Returns the entries without those of unconfirmed registrations.
    pub(super) fn used_entries(&self) -> BTreeMap<EntrySubject, Entry> {
        let mut entries = self.entries.clone();
        for id in self.unconfirmed.ids() {
            let subject = EntrySubject::Upstream(String::from(id));
            match self.unconfirmed.used_entry(id) {
                Some(used_entry) => entries.insert(subject, used_entry.clone()),
                None => entries.remove(&subject),
            };
        }
        entries
    }

    /// Records that the registration of an upstream at `revision`, which is not stored yet, is
    /// unconfirmed. `has_left` states whether the upstream is known to have left or drained before.
    pub(super) fn hold_unconfirmed(&mut self, now: Time, id: &str, revision: u64, has_left: bool) {
        let registration = Registration {
            id: String::from(id),
            revision,
        };
        let subject = EntrySubject::Upstream(String::from(id));
        let used_entry = self.entries.get(&subject).cloned();
        self.unchecked.remove(id);
        self.unconfirmed
            .hold(now, registration, used_entry, has_left);
    }

    /// Begins to check a registration that is used although nobody has checked it, and returns
    /// whether it is such a one. It is still used meanwhile.
    pub(super) fn begin_check(&mut self, now: Time, id: &str) -> bool {
        let Some(since) = self.unchecked.remove(id) else {
            return false;
        };
        let subject = EntrySubject::Upstream(String::from(id));
        let Some(entry) = self.entries.get(&subject) else {
            return false;
        };
        if now.ms_since(since) >= CONFIRMED_AFTER_MS {
            return false;
        }
        let revision = entry.revision;
        self.hold_unconfirmed(since, id, revision, true);
        true
    }

    /// Holds back an upstream that is used although nobody has checked its registration, and returns
    /// the change that takes effect; `None` if it is not such an upstream.
    pub(super) fn hold_back(&mut self, now: Time, id: &str) -> Option<EntryChange> {
        self.unchecked.remove(id)?;
        let subject = EntrySubject::Upstream(String::from(id));
        let registration = Registration {
            id: String::from(id),
            revision: self.entries.get(&subject)?.revision,
        };
        self.unconfirmed.hold(now, registration, None, true);
        Some(EntryChange::UpstreamGone {
            id: String::from(id),
        })
    }

    /// Replaces unconfirmed registrations among `entries` by the entries that are used until they
    /// are confirmed.
    pub(super) fn without_unconfirmed(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let used_entry = |entry: Entry| match &entry.change {
            EntryChange::Upstream(upstream) if self.unconfirmed.contains(&upstream.id) => {
                self.unconfirmed.used_entry(&upstream.id).cloned()
            }
            _ => Some(entry),
        };
        entries.into_iter().filter_map(used_entry).collect()
    }

    /// Confirms a registration, and returns the change that takes effect; `None` if the upstream
    /// has another entry by now.
    pub(super) fn confirm(&mut self, registration: &Registration) -> Option<EntryChange> {
        if !self.unconfirmed.contains_registration(registration) {
            return None;
        }
        self.unconfirmed.remove(&registration.id);
        self.unchecked.remove(&registration.id);
        self.departed.record_written(&registration.id);
        let subject = EntrySubject::Upstream(registration.id.clone());
        let entry = self.entries.get(&subject)?;
        Some(entry.change.clone())
    }

    /// Returns the address of an upstream and its service's health path.
    pub(super) fn health_target(&self, id: &str) -> Option<(SocketAddr, String)> {
        let subject = EntrySubject::Upstream(String::from(id));
        let EntryChange::Upstream(upstream) = &self.entries.get(&subject)?.change else {
            return None;
        };
        let EntryChange::Routes(document) = &self.entries.get(&EntrySubject::Routes)?.change else {
            return None;
        };
        let mut services = document.services.iter();
        let service = services.find(|service| service.name == upstream.service)?;
        Some((upstream.address, service.health_path.clone()?))
    }

    /// Returns whether an upstream is registered at `registration` or later, and that was confirmed.
    /// [`MirrorState::begin_check`] tells registrations that were not checked.
    pub(super) fn is_confirmed(&self, registration: &Registration) -> bool {
        let subject = EntrySubject::Upstream(registration.id.clone());
        let entry = self.entries.get(&subject);
        entry.is_some_and(|entry| entry.revision >= registration.revision)
            && !self.unconfirmed.contains(&registration.id)
    }
}
