//! Registrations that may be late writes.
//!
//! The registry can execute a write of an upstream seconds after the upstream's removal. Its entry
//! looks like that of an upstream that is back: writes that change nothing but the sequence do not
//! show, so the last known sequence does not tell which of the two it is. To an instance that does
//! not know of the removal, because it has just started, the entry looks like that of a new
//! upstream. Therefore an upstream that was not registered before is not used until it states that
//! it is healthy, or until its registration has lasted longer than one that is not renewed.

use std::collections::BTreeMap;

use hemlockrouter_edge::Entry;
use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Interval at which an unconfirmed registration is checked, in milliseconds.
pub(in crate::direct) const CHECK_INTERVAL_MS: u64 = 500;

/// Delay after which a relay is asked about a registration for the second time, in milliseconds. The
/// delay doubles with each further time up to the interval of checks.
const RELAY_CHECK_DELAY_MIN_MS: u64 = 50;

/// Maximum number of registrations that are checked at once, and the pause before the next ones, in
/// milliseconds. Hundreds of upstreams are back at once after a partition.
const CHECKS_MAX: usize = 64;
const CHECKS_PAUSE_MS: u64 = 50;

/// Time after which a registration counts as confirmed, in milliseconds. The registry has executed
/// late writes by then, and has removed registrations that were not renewed.
pub(super) const CONFIRMED_AFTER_MS: u64 = 10_000;

/// Who knows whether a registration is current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::direct) enum Checker {
    /// The upstream itself.
    Upstream,
    /// The relay that this instance follows, once it has checked the registration.
    Relay,
}

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
    /// Number of checks so far.
    check_count: u32,
    /// Whether the upstream is known to have left or drained before.
    has_left: bool,
    /// Entry that is used until the registration is confirmed; `None` if the upstream is not used.
    used_entry: Option<Entry>,
}

impl Unconfirmed {
    fn registration(&self, id: &str) -> Registration {
        Registration {
            id: String::from(id),
            revision: self.revision,
        }
    }

    /// Returns the delay until the next check, in milliseconds.
    fn check_delay_ms(&self, checker: Checker) -> u64 {
        match checker {
            Checker::Upstream => CHECK_INTERVAL_MS,
            Checker::Relay => {
                let doublings = self.check_count.min(u32::BITS - 1);
                (RELAY_CHECK_DELAY_MIN_MS << doublings).min(CHECK_INTERVAL_MS)
            }
        }
    }
}

impl UnconfirmedUpstreams {
    /// Records an unconfirmed registration. `used_entry` is the confirmed entry of the upstream, if
    /// there is one; `has_left` states whether the upstream is known to have left or drained before.
    pub(super) fn hold(
        &mut self,
        now: Time,
        registration: Registration,
        used_entry: Option<Entry>,
        has_left: bool,
    ) {
        let previous = self.by_id.remove(&registration.id);
        let (since, used_entry, had_left) = match previous {
            Some(previous) => (previous.since, previous.used_entry, previous.has_left),
            None => (now, used_entry, false),
        };
        let unconfirmed = Unconfirmed {
            revision: registration.revision,
            since,
            next_check_at: now,
            check_count: 0,
            has_left: has_left || had_left,
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

    /// Returns whether the upstream is known to have left or drained before; `None` if its registration
    /// is not unconfirmed.
    pub(super) fn has_left(&self, id: &str) -> Option<bool> {
        Some(self.by_id.get(id)?.has_left)
    }

    /// Returns at most `max` of the registrations.
    pub(super) fn registrations(&self, max: usize) -> Vec<Registration> {
        let all = self.by_id.iter().take(max);
        all.map(|(id, unconfirmed)| unconfirmed.registration(id))
            .collect()
    }

    /// Returns the registrations of upstreams of which no departure is known.
    pub(super) fn new_registrations(&self) -> Vec<Registration> {
        let new = self.by_id.iter().filter(|(_, one)| !one.has_left);
        new.map(|(id, unconfirmed)| unconfirmed.registration(id))
            .collect()
    }

    /// Returns the registrations to check now with `checker`.
    pub(super) fn due_checks(&mut self, now: Time, checker: Checker) -> Vec<Registration> {
        let mut due = Vec::new();
        for (id, unconfirmed) in &mut self.by_id {
            if unconfirmed.next_check_at > now {
                continue;
            }
            if due.len() == CHECKS_MAX {
                unconfirmed.next_check_at = now + CHECKS_PAUSE_MS;
                continue;
            }
            unconfirmed.next_check_at = now + unconfirmed.check_delay_ms(checker);
            unconfirmed.check_count = unconfirmed.check_count.saturating_add(1);
            due.push(unconfirmed.registration(id));
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
            .map(|(id, unconfirmed)| unconfirmed.registration(id))
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
