//! Registrations that may be late writes.
//!
//! The registry can execute a write of an upstream seconds after the upstream's removal. Its entry
//! looks like that of an upstream that is back: writes that change nothing but the sequence do not
//! show, so the last known sequence does not tell which of the two it is. Such an upstream is not
//! used until it states that it is healthy, or until its registration has lasted longer than one
//! that is not renewed.

use std::collections::BTreeMap;

use hemlockrouter_edge::Entry;
use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Interval at which an unconfirmed registration is checked, in milliseconds.
pub(in crate::direct) const CHECK_INTERVAL_MS: u64 = 500;

/// Maximum number of registrations that are checked at once, and the pause before the next ones, in
/// milliseconds. Hundreds of upstreams are back at once after a partition.
const CHECKS_MAX: usize = 64;
const CHECKS_PAUSE_MS: u64 = 50;

/// Time after which a registration counts as confirmed, in milliseconds. The registry has executed
/// late writes by then, and has removed registrations that were not renewed.
const CONFIRMED_AFTER_MS: u64 = 10_000;

/// A registration to be confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(in crate::direct) struct Registration {
    /// Id of the upstream.
    pub(in crate::direct) id: String,
    /// Revision of the entry.
    pub(in crate::direct) revision: u64,
}

/// Registrations that may be late writes, by the id of the upstream.
#[derive(Default)]
pub(super) struct UnconfirmedUpstreams {
    by_id: BTreeMap<String, Unconfirmed>,
}

struct Unconfirmed {
    revision: u64,
    since: Time,
    next_check_at: Time,
    /// Entry that is used until the registration is confirmed; `None` if the upstream is not used.
    used_entry: Option<Entry>,
}

impl UnconfirmedUpstreams {
    /// Records an unconfirmed registration. `used_entry` is the confirmed entry of the upstream, if
    /// there is one.
    pub(super) fn hold(
        &mut self,
        now: Time,
        registration: Registration,
        used_entry: Option<Entry>,
    ) {
        let previous = self.by_id.remove(&registration.id);
        let (since, used_entry) = match previous {
            Some(previous) => (previous.since, previous.used_entry),
            None => (now, used_entry),
        };
        let unconfirmed = Unconfirmed {
            revision: registration.revision,
            since,
            next_check_at: now,
            used_entry,
        };
        self.by_id.insert(registration.id, unconfirmed);
    }

    /// Forgets an upstream, whose registration is confirmed or has ended.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Forgets all upstreams.
    pub(super) fn clear(&mut self) {
        self.by_id.clear();
    }

    /// Returns the ids of the upstreams.
    pub(super) fn ids(&self) -> impl Iterator<Item = &str> {
        self.by_id.keys().map(String::as_str)
    }

    /// Returns whether the upstream's registration is unconfirmed.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns whether exactly this registration is unconfirmed.
    pub(super) fn contains_registration(&self, registration: &Registration) -> bool {
        let unconfirmed = self.by_id.get(&registration.id);
        unconfirmed.is_some_and(|unconfirmed| unconfirmed.revision == registration.revision)
    }

    /// Returns the entry to use until the upstream's registration is confirmed.
    pub(super) fn used_entry(&self, id: &str) -> Option<&Entry> {
        self.by_id.get(id)?.used_entry.as_ref()
    }

    /// Returns the registrations to check now.
    pub(super) fn due_checks(&mut self, now: Time) -> Vec<Registration> {
        let mut due = Vec::new();
        for (id, unconfirmed) in &mut self.by_id {
            if unconfirmed.next_check_at > now {
                continue;
            }
            if due.len() == CHECKS_MAX {
                unconfirmed.next_check_at = now + CHECKS_PAUSE_MS;
                continue;
            }
            unconfirmed.next_check_at = now + CHECK_INTERVAL_MS;
            due.push(Registration {
                id: id.clone(),
                revision: unconfirmed.revision,
            });
        }
        due
    }

    /// Returns the registrations that have lasted long enough to count as confirmed.
    pub(super) fn expired(&self, now: Time) -> Vec<Registration> {
        let expired = self
            .by_id
            .iter()
            .filter(|(_, unconfirmed)| now.ms_since(unconfirmed.since) >= CONFIRMED_AFTER_MS);
        expired
            .map(|(id, unconfirmed)| Registration {
                id: id.clone(),
                revision: unconfirmed.revision,
            })
            .collect()
    }

    /// Returns the time at which the next check or expiry is due.
    pub(super) fn due_at(&self) -> Option<Time> {
        let due = self.by_id.values().map(|unconfirmed| {
            let expires_at = unconfirmed.since + CONFIRMED_AFTER_MS;
            unconfirmed.next_check_at.min(expires_at)
        });
        due.min()
    }
}
