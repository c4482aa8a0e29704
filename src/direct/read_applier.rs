//! Applies reads of the registry to the mirror, which serves other instances, and to the node,
//! which decides.

use std::net::SocketAddr;
use std::rc::Rc;

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::HistoryPosition;
use hemlockrouter_member::RegistrySources;
use hemlockrouter_types::prelude::*;
use log::error;
use log::info;
use log::warn;

use super::mirror::Mirror;
use super::mirror::Registration;
use super::node::Node;
use super::registry_reads;
use super::registry_reads::RegistryRead;
use super::restore_overrides::HELD_ENTRIES_PERIOD_MS;

/// Time for which the registry is assumed to refill after an outage or a restore, in milliseconds.
const REFILL_PERIOD_MS: u64 = 3_000;

/// Age of the last contact with the registry above which registrations may have lapsed in an outage,
/// in milliseconds.
const OUTAGE_AGE_MS: u64 = 3_000;

/// Applies reads of the registry and tracks whether the registry is refilling.
pub(super) struct ReadApplier {
    clock: Clock,
    node: Rc<Node>,
    mirror: Rc<Mirror>,
    /// End of the period in which the registry is assumed to refill.
    refill_until: Time,
    /// End of the period in which registrations are assumed to be missing because the registry was
    /// away.
    lapse_until: Time,
}

impl ReadApplier {
    pub(super) fn new(clock: Clock, node: Rc<Node>, mirror: Rc<Mirror>) -> ReadApplier {
        ReadApplier {
            clock,
            node,
            mirror,
            refill_until: Time::ZERO,
            lapse_until: Time::ZERO,
        }
    }

    /// Returns whether registrations that expired or were lost are assumed to be written again.
    pub(super) fn is_refilling(&self) -> bool {
        self.clock.now() < self.refill_until
    }

    /// Applies a read, and reports its age to `sources`.
    pub(super) fn apply(&mut self, read: &RegistryRead, sources: &mut RegistrySources) {
        let now = self.clock.now();
        let was_stale = self
            .mirror
            .age_ms()
            .is_none_or(|age_ms| age_ms > OUTAGE_AGE_MS);
        let known_position = self.mirror.position();
        let is_first = known_position.is_none();
        if read.age_ms <= OUTAGE_AGE_MS {
            if was_stale {
                self.refill_until = now + REFILL_PERIOD_MS;
                if !is_first {
                    self.end_gap(sources.was_registry_away());
                }
            }
            sources.record_contact();
        }
        self.mirror.set_registry_was_away(now < self.lapse_until);
        let known_position = known_position.unwrap_or_default();
        if read.position.generation < known_position.generation {
            // The read shows the registry before it was restored.
            return;
        }
        if read.position.generation > known_position.generation && !is_first {
            self.apply_restored(read, known_position);
        } else if !read.is_whole || read.position >= known_position {
            // The local copy is complete up to its revision, so an older complete read adds
            // nothing.
            self.apply_entries(read);
        }
        let (age_ms, path) = match sources.is_usable_path(&read.path) {
            true => (read.age_ms, read.path.as_slice()),
            // The entries are used, but the read does not prove how recent they are.
            false if is_first => (read.age_ms.max(registry_reads::STALE_READ_AGE_MS), &[][..]),
            false => return,
        };
        sources.record_known_as_of(now.minus_ms(age_ms));
        if self.mirror.record_contact(age_ms, path) {
            info!(
                target: "dependency",
                path = format_path(path),
                age_ms = age_ms,
                revision = read.position.revision;
                "registry heard another way"
            );
        }
    }

    /// Ends a time without contact with the registry. If the registry was away, registrations that
    /// are missing now have lapsed.
    fn end_gap(&mut self, was_registry_away: bool) {
        if was_registry_away {
            self.lapse_until = self.refill_until;
        }
        info!(
            target: "belief",
            age_ms = self.mirror.age_ms(),
            registry_was_away = was_registry_away;
            "in touch with the registry again"
        );
    }

    /// Applies the first read after the registry was restored from a backup copy.
    fn apply_restored(&mut self, read: &RegistryRead, known_position: HistoryPosition) {
        if !read.is_whole {
            error!(target: "belief", "received changes of another generation without a full read");
            return;
        }
        self.apply_entries(read);
        self.refill_until = self.clock.now() + REFILL_PERIOD_MS;
        self.lapse_until = self.refill_until;
        let counts = self.mirror.override_counts();
        let generation = read.position.generation;
        warn!(
            target: "belief",
            generation = generation.0,
            was = known_position.generation.0,
            revision = read.position.revision,
            revision_was = known_position.revision,
            held = counts.held,
            refused = counts.refused;
            "the registry was restored from a copy"
        );
    }

    /// Applies the changes that are due after a restore of the registry: held entries that were not
    /// written again in time are removed or replaced by the entries of the copy, and upstreams that
    /// were refused so far are used if they are still registered.
    pub(super) fn expire_overrides(&self) {
        let due_changes = self.mirror.expire_overrides();
        if !due_changes.is_empty() {
            info!(target: "belief", count = due_changes.len(); "not written again since the registry was restored");
            // An upstream that was not written again may have left at any time in the waiting
            // period.
            self.node
                .apply_changes(due_changes, false, HELD_ENTRIES_PERIOD_MS);
        }
    }

    /// Confirms registrations that have lasted long enough, and those of new upstreams that can't be
    /// checked.
    pub(super) fn confirm_unchecked(&self) {
        let lasting = self.mirror.lasting_registrations();
        self.confirm(&lasting, "it has lasted");
        let uncheckable = self.mirror.uncheckable_registrations();
        self.confirm(&uncheckable, "it has no health path");
    }

    /// Holds back upstreams that another instance holds back, unless they were checked here.
    pub(super) fn hold_back(&self, registrations: &[Registration], relay: SocketAddr) {
        let changes = self.mirror.hold_back(registrations);
        if changes.is_empty() {
            return;
        }
        let relay = relay.to_string();
        info!(target: "belief", relay = relay, count = changes.len(); "registrations held back");
        let staleness_ms = self.mirror.age_ms().unwrap_or_default();
        self.node.apply_changes(changes, false, staleness_ms);
    }

    /// Uses the upstreams of registrations from now on, unless they have changed in the meantime.
    pub(super) fn confirm(&self, registrations: &[Registration], why: &'static str) {
        let mut changes = Vec::with_capacity(registrations.len());
        for registration in registrations {
            let Some(change) = self.mirror.confirm(registration) else {
                continue;
            };
            info!(
                target: "belief",
                upstream = registration.id.as_str(),
                revision = registration.revision,
                why = why;
                "registration confirmed"
            );
            changes.push(change);
        }
        if changes.is_empty() {
            return;
        }
        let staleness_ms = self.mirror.age_ms().unwrap_or_default();
        self.node.apply_changes(changes, false, staleness_ms);
    }

    fn apply_entries(&self, read: &RegistryRead) {
        let entries: Vec<Entry> = match read.is_whole {
            true => self.mirror.replace(&read.entries, read.position),
            false => self.mirror.apply_changes(&read.entries, read.position),
        };
        if read.is_whole || !entries.is_empty() {
            let changes = entries.into_iter().map(|entry| entry.change);
            // The entries of a first read may be of any age, and the node has not used any of them
            // before.
            let staleness_ms = self.mirror.age_ms().unwrap_or_default();
            self.node
                .apply_changes(changes.collect(), read.is_whole, staleness_ms);
        }
    }
}

/// Formats the relays that passed a read on, for the log.
pub(super) fn format_path(path: &[String]) -> String {
    match path {
        [] => String::from("none"),
        path => path.join(" "),
    }
}
