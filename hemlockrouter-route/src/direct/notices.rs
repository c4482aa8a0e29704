//! Remembers the notices that upstreams send along with their answers.
//!
//! An upstream that is about to shut down announces it in its answers, and an overloaded upstream
//! asks for a pause of a given length. Both notices are newer than the registry, and reach an
//! instance that is cut off from the registry. An announced shutdown holds until the upstream
//! restarts: its registration may be renewed, or lapse and return, while the upstream shuts down.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use super::event::Notice;

/// How long the notices of an upstream are remembered after its registration has ended, in
/// milliseconds.
const NOTICES_KEPT_AFTER_REMOVAL_MS: u64 = 600_000;

/// The longest pause that an upstream can ask for, in milliseconds.
const PAUSE_MAX_MS: u64 = 600_000;

/// The notices received from one incarnation (one start) of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnnouncedState {
    leaving_since: Option<Time>,
    paused_until: Option<Time>,
}

impl AnnouncedState {
    /// Records a notice, and returns whether it is new.
    pub(super) fn record(&mut self, now: Time, notice: &Notice) -> bool {
        let is_new = notice.leaving && self.leaving_since.is_none();
        if notice.leaving {
            self.leaving_since.get_or_insert(now);
        }
        if notice.rest_ms == 0 {
            return is_new;
        }
        let was_paused = self.is_paused(now);
        let until = now.after_at_least_ms(notice.rest_ms.min(PAUSE_MAX_MS));
        self.paused_until = self.paused_until.max(Some(until));
        is_new || !was_paused
    }

    /// Returns when the upstream first announced its shutdown.
    pub(super) fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    /// Returns whether the upstream has asked for a pause that has not ended.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        self.pause_left_ms(now) > 0
    }

    /// Returns the remaining length of the pause that the upstream asked for, in milliseconds.
    pub(super) fn pause_left_ms(&self, now: Time) -> u64 {
        self.paused_until.map_or(0, |until| until.remaining_ms(now))
    }
}

/// The notices of upstreams whose registration has ended.
#[derive(Debug, Default)]
pub(super) struct RememberedNotices {
    by_id: BTreeMap<String, RememberedNotice>,
}

#[derive(Debug)]
struct RememberedNotice {
    incarnation: u64,
    announced: AnnouncedState,
    removed_at: Time,
}

impl RememberedNotices {
    /// Remembers the notices of an upstream whose registration has ended.
    pub(super) fn remember(
        &mut self,
        now: Time,
        id: &str,
        incarnation: u64,
        announced: AnnouncedState,
    ) {
        self.by_id.retain(|_, remembered| {
            now.ms_since(remembered.removed_at) <= NOTICES_KEPT_AFTER_REMOVAL_MS
        });
        if announced.leaving_since.is_some() || announced.is_paused(now) {
            let remembered = RememberedNotice {
                incarnation,
                announced,
                removed_at: now,
            };
            self.by_id.insert(String::from(id), remembered);
        }
    }

    /// Returns the remembered notices of one incarnation of an upstream.
    pub(super) fn announced_state(&self, id: &str, incarnation: u64) -> AnnouncedState {
        let remembered = self.by_id.get(id);
        let same_incarnation =
            remembered.filter(|remembered| remembered.incarnation == incarnation);
        same_incarnation
            .map(|remembered| remembered.announced)
            .unwrap_or_default()
    }
}
