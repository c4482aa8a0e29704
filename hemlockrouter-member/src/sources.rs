//! From whom an instance learns what the registry holds.
//!
//! A few instances read the registry and the others follow their relays, since the registry bounds its
//! calls over all instances. Whoever loses its relay turns to the next one, and to the registry itself
//! only when no relay is in touch with it. The registry may be out of order for all: then relays still
//! answer, and an instance that follows them looks for itself only now and then, at a time of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Reading;

/// A relay whose last word from the registry is older than this is not in touch, in milliseconds.
const AGE_MAX_MS: u64 = 3_000;

/// For how long a relay that is not in touch is not asked if another one is, in milliseconds.
const OUTDATED_MS: u64 = 2_000;

/// For how long a relay that did not answer is not asked, in milliseconds. It doubles each time.
const BARRED_MIN_MS: u64 = 2_000;

/// The longest time for which a relay that did not answer is not asked, in milliseconds.
const BARRED_MAX_MS: u64 = 16_000;

/// The pause of a reader after the registry first did not answer, in milliseconds. It doubles each time.
const READER_PAUSE_MIN_MS: u64 = 250;

/// The longest pause of a reader, in milliseconds.
const READER_PAUSE_MAX_MS: u64 = 1_000;

/// The pause of other instances after the registry first did not answer, in milliseconds. It doubles
/// each time.
const FOLLOWER_PAUSE_MIN_MS: u64 = 1_000;

/// The longest pause of other instances, in milliseconds.
const FOLLOWER_PAUSE_MAX_MS: u64 = 4_000;

/// Where the next news comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The registry itself.
    Registry,
    /// Another instance.
    Relay(SocketAddr),
    /// Nowhere for so long, in milliseconds.
    Nowhere {
        /// How long to wait.
        wait_ms: u64,
    },
}

/// What is known of the ways to the registry.
#[derive(Clone, Debug)]
pub struct Sources {
    relays: BTreeMap<SocketAddr, Relay>,
    registry_failures: u32,
    registry_due_at: Time,
    /// Since when relays answer but none is in touch.
    outdated_since: Option<Time>,
    /// A number that differs between instances and spreads their calls.
    spread: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Relay {
    failures: u32,
    barred_until: Time,
    outdated_until: Time,
}

impl Sources {
    /// Makes the state of an instance that has asked nobody yet. `spread` is to differ between
    /// instances.
    pub fn new(spread: u64) -> Sources {
        Sources {
            relays: BTreeMap::new(),
            registry_failures: 0,
            registry_due_at: Time::ZERO,
            outdated_since: None,
            spread,
        }
    }

    /// Returns whom to ask next.
    pub fn next(&mut self, now: Time, reading: &Reading) -> Source {
        let is_due = now >= self.registry_due_at;
        if reading.reads && is_due {
            return Source::Registry;
        }
        let answering = reading.relays.iter().copied();
        let mut answering = answering.filter(|relay| !self.is_barred(now, *relay));
        let first = answering.clone().next();
        if let Some(relay) = answering.find(|relay| !self.is_outdated(now, *relay)) {
            return Source::Relay(relay);
        }
        let Some(outdated) = first else {
            return self.registry_or_wait(now);
        };
        // The registry is most likely out of order for all.
        let since = *self.outdated_since.get_or_insert(now);
        let look_at = since + self.spread % FOLLOWER_PAUSE_MAX_MS;
        if is_due && now >= look_at {
            return Source::Registry;
        }
        Source::Relay(outdated)
    }

    /// Takes over that the registry has answered.
    pub fn registry_answered(&mut self, now: Time) {
        self.registry_failures = 0;
        self.registry_due_at = now;
    }

    /// Takes over that the registry has not answered.
    pub fn registry_failed(&mut self, now: Time, reading: &Reading) {
        let (min_ms, max_ms) = match reading.reads {
            true => (READER_PAUSE_MIN_MS, READER_PAUSE_MAX_MS),
            false => (FOLLOWER_PAUSE_MIN_MS, FOLLOWER_PAUSE_MAX_MS),
        };
        let pause_ms = doubled(min_ms, self.registry_failures, max_ms);
        // Up to a quarter longer, so that instances do not call all at once.
        let pause_ms = pause_ms + self.spread % (pause_ms / 4);
        self.registry_failures += 1;
        self.registry_due_at = now + pause_ms;
    }

    /// Takes over that a relay has answered that heard of the registry `age_ms` ago, perhaps through this
    /// instance, and returns whether it is in touch.
    pub fn relay_answered(
        &mut self,
        now: Time,
        relay: SocketAddr,
        age_ms: u64,
        is_through_me: bool,
    ) -> bool {
        let known = self.relays.entry(relay).or_default();
        known.failures = 0;
        let is_in_touch = age_ms <= AGE_MAX_MS && !is_through_me;
        if is_in_touch {
            self.outdated_since = None;
        } else {
            known.outdated_until = now + OUTDATED_MS;
        }
        is_in_touch
    }

    /// Takes over that a relay has not answered, or with less than is known.
    pub fn relay_failed(&mut self, now: Time, relay: SocketAddr) {
        let known = self.relays.entry(relay).or_default();
        let barred_ms = doubled(BARRED_MIN_MS, known.failures, BARRED_MAX_MS);
        known.failures += 1;
        known.barred_until = now + barred_ms;
    }

    fn registry_or_wait(&self, now: Time) -> Source {
        match self.registry_due_at.left(now) {
            0 => Source::Registry,
            wait_ms => Source::Nowhere { wait_ms },
        }
    }

    fn is_barred(&self, now: Time, relay: SocketAddr) -> bool {
        let known = self.relays.get(&relay);
        known.is_some_and(|known| now < known.barred_until)
    }

    fn is_outdated(&self, now: Time, relay: SocketAddr) -> bool {
        let known = self.relays.get(&relay);
        known.is_some_and(|known| now < known.outdated_until)
    }
}

/// Returns `min_ms` doubled `times` times, but at most `max_ms`.
fn doubled(min_ms: u64, times: u32, max_ms: u64) -> u64 {
    min_ms.saturating_mul(1 << times.min(16)).min(max_ms)
}
