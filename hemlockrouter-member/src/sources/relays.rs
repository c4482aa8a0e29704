//! State of other instances as sources of the registry's contents.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;

use super::doubled;

/// How long a relay that did not answer is skipped, unless all relays are asked, in milliseconds.
/// The time doubles with each failure.
const RELAY_COOLDOWN_MIN_MS: u64 = 2_000;

/// Longest time for which a relay that did not answer is skipped, in milliseconds.
const RELAY_COOLDOWN_MAX_MS: u64 = 16_000;

/// Largest number of instances remembered because they offered themselves as relays.
const OFFERED_RELAYS_MAX: usize = 8;

/// Last result of asking a relay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Answered {
    /// The relay has not been asked yet, or did not answer.
    #[default]
    Nothing,
    /// The relay's copy came through this instance, or is too old.
    Unusable,
    /// The relay can be followed.
    Usable,
}

/// State of one relay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Relay {
    pub(super) is_asked: bool,
    pub(super) answered: Answered,
    failures: u32,
    barred_until: Time,
}

/// State of all relays.
#[derive(Clone, Debug, Default)]
pub(super) struct Relays {
    known: BTreeMap<SocketAddr, Relay>,
    /// Instances that offered themselves as relays, and when each offer expires.
    offered: BTreeMap<SocketAddr, Time>,
}

impl Relays {
    pub(super) fn get(&self, relay: SocketAddr) -> Relay {
        self.known.get(&relay).copied().unwrap_or_default()
    }

    pub(super) fn is_barred(&self, now: Time, relay: SocketAddr) -> bool {
        now < self.get(relay).barred_until
    }

    pub(super) fn asked(&mut self, relay: SocketAddr) {
        self.known.entry(relay).or_default().is_asked = true;
    }

    pub(super) fn answered(&mut self, relay: SocketAddr, answered: Answered) {
        self.known.insert(
            relay,
            Relay {
                answered,
                ..Relay::default()
            },
        );
    }

    pub(super) fn failed(&mut self, now: Time, relay: SocketAddr) {
        let known = self.known.entry(relay).or_default();
        known.is_asked = false;
        known.answered = Answered::Nothing;
        known.barred_until =
            now + doubled(RELAY_COOLDOWN_MIN_MS, known.failures, RELAY_COOLDOWN_MAX_MS);
        known.failures += 1;
    }

    pub(super) fn offered(&mut self, relay: SocketAddr, until: Time) {
        self.offered.insert(relay, until);
        if self.offered.len() > OFFERED_RELAYS_MAX {
            let oldest = self.offered.iter().min_by_key(|(_, until)| **until);
            if let Some(oldest) = oldest.map(|(relay, _)| *relay) {
                self.offered.remove(&oldest);
            }
        }
    }

    /// Forgets offers that have expired, and relays that are no longer candidates.
    pub(super) fn forget(&mut self, now: Time, candidates: &[SocketAddr]) {
        self.offered.retain(|_, until| now < *until);
        let offered = &self.offered;
        self.known.retain(|relay, known| {
            known.is_asked || candidates.contains(relay) || offered.contains_key(relay)
        });
    }

    /// Returns the relays that this instance may ask: those in `listed`, then those that offered
    /// themselves.
    pub(super) fn candidates(&self, listed: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut candidates = listed.to_vec();
        let offered = self.offered.keys().copied();
        candidates.extend(offered.filter(|relay| !listed.contains(relay)));
        candidates
    }
}
