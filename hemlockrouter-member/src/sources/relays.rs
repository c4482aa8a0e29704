//! State of other instances as sources of the registry's contents.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;

use super::backoff_ms;

/// How long a relay that did not answer is skipped, unless all relays are asked, in milliseconds.
/// The time doubles with each failure.
const RELAY_COOLDOWN_MIN_MS: u64 = 2_000;

/// Longest time for which a relay that did not answer is skipped, in milliseconds.
const RELAY_COOLDOWN_MAX_MS: u64 = 16_000;

/// Largest number of instances remembered because they offered themselves as relays.
const OFFERED_RELAYS_MAX: usize = 8;

/// Outcome of the last call to a relay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum LastAnswer {
    /// The relay has not been asked yet, or did not answer.
    #[default]
    Missing,
    /// The relay's copy came through this instance, or is too old.
    Unusable,
    /// The relay has a recent copy of the registry and can be followed.
    Usable,
}

/// State of one relay: its last answer, call in flight and cooldown.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RelayState {
    pub(super) is_call_in_flight: bool,
    pub(super) last_answer: LastAnswer,
    failures: u32,
    cooldown_until: Time,
}

/// State of all relays that this instance may ask or has been offered.
#[derive(Clone, Debug, Default)]
pub(super) struct Relays {
    states: BTreeMap<SocketAddr, RelayState>,
    /// Instances that offered themselves as relays, and when each offer expires.
    offers: BTreeMap<SocketAddr, Time>,
}

impl Relays {
    pub(super) fn get(&self, relay: SocketAddr) -> RelayState {
        self.states.get(&relay).copied().unwrap_or_default()
    }

    pub(super) fn is_cooling_down(&self, now: Time, relay: SocketAddr) -> bool {
        now < self.get(relay).cooldown_until
    }

    pub(super) fn record_call(&mut self, relay: SocketAddr) {
        self.states.entry(relay).or_default().is_call_in_flight = true;
    }

    pub(super) fn record_answer(&mut self, relay: SocketAddr, last_answer: LastAnswer) {
        self.states.insert(
            relay,
            RelayState {
                last_answer,
                ..RelayState::default()
            },
        );
    }

    pub(super) fn record_failure(&mut self, now: Time, relay: SocketAddr) {
        let state = self.states.entry(relay).or_default();
        state.is_call_in_flight = false;
        state.last_answer = LastAnswer::Missing;
        state.cooldown_until =
            now + backoff_ms(RELAY_COOLDOWN_MIN_MS, state.failures, RELAY_COOLDOWN_MAX_MS);
        state.failures += 1;
    }

    pub(super) fn record_offer(&mut self, relay: SocketAddr, until: Time) {
        self.offers.insert(relay, until);
        if self.offers.len() > OFFERED_RELAYS_MAX {
            let oldest = self.offers.iter().min_by_key(|(_, until)| **until);
            if let Some(oldest) = oldest.map(|(relay, _)| *relay) {
                self.offers.remove(&oldest);
            }
        }
    }

    /// Forgets offers that have expired, and relays that are no longer candidates.
    pub(super) fn forget_expired(&mut self, now: Time, candidates: &[SocketAddr]) {
        self.offers.retain(|_, until| now < *until);
        let offered = &self.offers;
        self.states.retain(|relay, state| {
            state.is_call_in_flight || candidates.contains(relay) || offered.contains_key(relay)
        });
    }

    /// Returns the relays that this instance may ask: those in `listed`, then those that offered
    /// themselves.
    pub(super) fn candidates(&self, listed: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut candidates = listed.to_vec();
        let offered = self.offers.keys().copied();
        candidates.extend(offered.filter(|relay| !listed.contains(relay)));
        candidates
    }
}
