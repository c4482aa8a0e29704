//! What upstreams say of themselves beside their answers.
//!
//! An upstream that is about to stop says so in its answers, and one that has too much to do says for
//! how long it wants to be left alone. Both are newer than the registry, and reach an instance that is
//! cut off from it. That an upstream leaves holds until it starts again: its registration may be
//! written anew, or lapse and come back, while it stops.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use super::event::Notice;

/// How long an upstream that has left is remembered, in milliseconds.
const DEPARTED_KEPT_MS: u64 = 600_000;

/// The longest rest that an upstream can ask for, in milliseconds.
const REST_MAX_MS: u64 = 600_000;

/// What one start of an upstream has said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Said {
    leaving_since: Option<Time>,
    rest_until: Option<Time>,
}

impl Said {
    /// Takes a notice over, and returns whether it is news.
    pub(super) fn take(&mut self, now: Time, notice: &Notice) -> bool {
        let is_news = notice.leaving && self.leaving_since.is_none();
        if notice.leaving {
            self.leaving_since.get_or_insert(now);
        }
        if notice.rest_ms == 0 {
            return is_news;
        }
        let was_resting = self.rests(now);
        let until = now + notice.rest_ms.min(REST_MAX_MS);
        self.rest_until = self.rest_until.max(Some(until));
        is_news || !was_resting
    }

    /// Returns since when it is known to leave.
    pub(super) fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    /// Returns whether it wants no requests now.
    pub(super) fn rests(&self, now: Time) -> bool {
        self.rest_ms(now) > 0
    }

    /// Returns for how much longer it wants no requests, in milliseconds.
    pub(super) fn rest_ms(&self, now: Time) -> u64 {
        self.rest_until.map_or(0, |until| until.left(now))
    }
}

/// Upstreams that have said that they leave and whose registration has ended since.
#[derive(Debug, Default)]
pub(super) struct Departed {
    known: BTreeMap<String, Departure>,
}

#[derive(Debug)]
struct Departure {
    incarnation: u64,
    said: Said,
    at: Time,
}

impl Departed {
    /// Keeps what an upstream has said that is not registered any more.
    pub(super) fn keep(&mut self, now: Time, id: &str, incarnation: u64, said: Said) {
        self.known
            .retain(|_, known| now.since(known.at) <= DEPARTED_KEPT_MS);
        if said.leaving_since.is_some() || said.rests(now) {
            let departure = Departure {
                incarnation,
                said,
                at: now,
            };
            self.known.insert(String::from(id), departure);
        }
    }

    /// Returns what this start of an upstream has said before.
    pub(super) fn said(&self, id: &str, incarnation: u64) -> Said {
        let known = self.known.get(id);
        let same = known.filter(|known| known.incarnation == incarnation);
        same.map(|known| known.said).unwrap_or_default()
    }
}
