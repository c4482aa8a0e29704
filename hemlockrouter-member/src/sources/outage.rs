//! Evidence for whether the registry was away, or this instance.
//!
//! Registrations that are missing after an outage of the registry have lapsed and are written again.
//! Those that are missing after this instance stood still or was cut off are of upstreams that have
//! left. The age of the copy is the same in both cases, so only what happened meanwhile tells them
//! apart. Without evidence for an outage there was none: an upstream that is then wrongly taken to
//! have left only has to be confirmed before it is used again.

use hemlockrouter_types::prelude::*;

use super::POLL_INTERVAL_MAX_MS;

/// Delay of a turn of the event loop above which the process is assumed to have stood still, in
/// milliseconds.
const TURN_DELAY_MAX_MS: u64 = 1_000;

/// Largest lead of another instance's last contact with the registry over this instance's at which
/// both are assumed to have lost it together, in milliseconds.
const COMMON_LOSS_SPREAD_MS: u64 = 1_000;

/// What happened since the last contact with the registry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutageEvidence {
    last_turn_at: Option<Time>,
    /// Whether the registry rejected a call or did not answer it.
    has_registry_failed: bool,
    /// Whether another instance said that it lost contact with the registry as well.
    have_others_lost_contact: bool,
    /// Whether this instance stood still, reached an instance that was in touch with the registry,
    /// or failed to reach one.
    is_in_doubt: bool,
}

impl OutageEvidence {
    /// Records a turn of the event loop, which takes one each [`POLL_INTERVAL_MAX_MS`] at least.
    pub(super) fn record_turn(&mut self, now: Time) {
        let pause_ms = self.last_turn_at.map_or(0, |at| now.ms_since(at));
        self.is_in_doubt |= pause_ms > POLL_INTERVAL_MAX_MS + TURN_DELAY_MAX_MS;
        self.last_turn_at = Some(now);
    }

    /// Records contact with the registry, after which earlier evidence means nothing.
    pub(super) fn record_contact(&mut self) {
        *self = OutageEvidence {
            last_turn_at: self.last_turn_at,
            ..OutageEvidence::default()
        };
    }

    /// Records that the registry rejected a call or did not answer.
    pub(super) fn record_registry_failure(&mut self) {
        self.has_registry_failed = true;
    }

    /// Records the last contact of another instance with the registry, beside that of this one.
    pub(super) fn record_relay_contact(&mut self, relay_heard_at: Time, heard_at: Option<Time>) {
        let common_until = heard_at.map_or(Time::ZERO, |at| at + COMMON_LOSS_SPREAD_MS);
        match relay_heard_at <= common_until {
            true => self.have_others_lost_contact = true,
            false => self.is_in_doubt = true,
        }
    }

    /// Records that another instance could not be reached.
    pub(super) fn record_relay_failure(&mut self) {
        self.is_in_doubt = true;
    }

    /// Returns whether the registry was away. An instance that knows no others has only its own
    /// calls to tell from.
    pub(super) fn was_registry_away(&self, knows_others: bool) -> bool {
        let is_seen = match knows_others {
            true => self.have_others_lost_contact,
            false => self.has_registry_failed,
        };
        is_seen && !self.is_in_doubt
    }
}
