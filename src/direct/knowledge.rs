//! Takes over what was read of the registry: into what is passed on, and into what decisions rest on.

use std::rc::Rc;

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::Position;
use hemlockrouter_member::Sources;
use hemlockrouter_types::prelude::*;
use log::error;
use log::info;
use log::warn;

use super::mirror::Mirror;
use super::node::Node;
use super::reads;
use super::reads::Read;
use super::restored::HELD_MS;

/// How long the registry is taken to fill again, in milliseconds.
const FILLING_MS: u64 = 3_000;

/// An instance whose last word from the registry was older than this has missed an outage of it, in
/// milliseconds.
const OUTAGE_MS: u64 = 3_000;

/// What this instance has learned of the registry.
pub(super) struct Knowledge {
    clock: Clock,
    node: Rc<Node>,
    mirror: Rc<Mirror>,
    /// Until when the registry fills again.
    filling_until: Time,
}

impl Knowledge {
    pub(super) fn new(clock: Clock, node: Rc<Node>, mirror: Rc<Mirror>) -> Knowledge {
        Knowledge {
            clock,
            node,
            mirror,
            filling_until: Time::ZERO,
        }
    }

    /// Returns whether registrations that have lapsed or were lost are coming back.
    pub(super) fn is_filling(&self) -> bool {
        self.clock.now() < self.filling_until
    }

    /// Takes over what was read, and tells `sources` how old it is.
    pub(super) fn take(&mut self, read: &Read, sources: &mut Sources) {
        let now = self.clock.now();
        let was_old = self.mirror.age_ms().is_none_or(|age_ms| age_ms > OUTAGE_MS);
        if was_old && read.age_ms <= OUTAGE_MS {
            self.filling_until = now + FILLING_MS;
        }
        let known = self.mirror.position();
        let is_first = known.is_none();
        let known = known.unwrap_or_default();
        if read.position.generation < known.generation {
            // It tells how the registry was before it was restored.
            return;
        }
        if read.position.generation > known.generation && !is_first {
            self.take_restored(read, known);
        } else if !read.is_whole || read.position >= known {
            // What is known is whole up to its revision, so an older state adds nothing.
            self.take_entries(read, known);
        }
        let (age_ms, path) = match sources.counts(&read.path) {
            true => (read.age_ms, read.path.as_slice()),
            // What was read is used, but says nothing of how the registry is now.
            false if is_first => (read.age_ms.max(reads::LAG_MAX_MS), &[][..]),
            false => return,
        };
        sources.heard(now.before(age_ms));
        if self.mirror.heard(age_ms, path) {
            info!(
                target: "dependency",
                path = shown(path),
                age_ms = age_ms,
                revision = read.position.revision;
                "registry heard another way"
            );
        }
    }

    /// Takes over that the registry was restored from a copy.
    fn take_restored(&mut self, read: &Read, known: Position) {
        if !read.is_whole {
            error!(target: "belief", "changes of another generation without what they rest on");
            return;
        }
        self.take_entries(read, known);
        self.filling_until = self.clock.now() + FILLING_MS;
        let counts = self.mirror.held_counts();
        let generation = read.position.generation;
        warn!(
            target: "belief",
            generation = generation.0,
            was = known.generation.0,
            revision = read.position.revision,
            revision_was = known.revision,
            held = counts.held,
            refused = counts.refused;
            "the registry was restored from a copy"
        );
    }

    /// Takes over what was not written again in time after the registry was restored.
    pub(super) fn take_due(&self) {
        let due = self.mirror.take_due();
        if !due.is_empty() {
            info!(target: "belief", count = due.len(); "not written again since the registry was restored");
            // It may have left as long ago as it was waited for.
            self.node.changed(due, false, HELD_MS);
        }
    }

    fn take_entries(&self, read: &Read, known: Position) {
        let entries: Vec<Entry> = match read.is_whole {
            true => self.mirror.replace(&read.entries, read.position),
            false => {
                let newer = self.mirror.newer(&read.entries, known.revision);
                self.mirror.take(&newer, read.position);
                newer
            }
        };
        if read.is_whole || !entries.is_empty() {
            let changes = entries.into_iter().map(|entry| entry.change);
            // What a first read holds may be of any age, and nothing was done with it before.
            let unheard_ms = self.mirror.age_ms().unwrap_or_default();
            self.node
                .changed(changes.collect(), read.is_whole, unheard_ms);
        }
    }
}

/// Returns the instances through which news came, for the log.
pub(super) fn shown(path: &[String]) -> String {
    match path {
        [] => String::from("none"),
        path => path.join(" "),
    }
}
