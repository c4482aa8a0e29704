//! Which snapshot a query asks for.
//!
//! Upstreams say in each answer which snapshots they can serve. While new indexes are rolled out
//! some replicas have them and some don't. The newest snapshot that all shards can serve may then
//! rest on one replica of each shard, which doubles that one's load and leaves nothing to hedge
//! with; so a snapshot that most replicas can serve is preferred to a newer one that few can.

use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::prelude::*;

use crate::choose::Upstreams;

/// The share of the replicas, in percent, that must serve a snapshot for it to be preferred.
const MOST_PERCENT: usize = 75;

/// How many snapshots are weighed at most, newest first.
const MAX_CANDIDATES: usize = 8;

/// A snapshot and how much of a search it covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Candidate {
    pub(super) snapshot: Snapshot,
    pub(super) shards: usize,
}

/// The best snapshot of each search, worked out again only when some upstream's answer or a new
/// catalogue has changed what can be served.
#[derive(Debug, Default)]
pub(super) struct Cache {
    entries: Vec<Option<Cached>>,
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    search: SearchKey,
    changes: u64,
    best: Option<Snapshot>,
}

impl Cache {
    /// Returns the best snapshot for `search`, whose shards are `shards`.
    pub(super) fn best(
        &mut self,
        upstreams: &Upstreams,
        search: SearchKey,
        shards: &[Shard],
    ) -> Option<Snapshot> {
        let slot = search.slot();
        if self.entries.len() <= slot {
            self.entries.resize(slot + 1, None);
        }
        let changes = upstreams.serves_changes();
        let fresh = self.entries[slot]
            .filter(|cached| cached.search == search && cached.changes == changes);
        let cached = fresh.unwrap_or_else(|| Cached {
            search,
            changes,
            best: best(upstreams, shards).map(|best| best.snapshot),
        });
        self.entries[slot] = Some(cached);
        cached.best
    }
}

/// Returns the best snapshot for `shards`, or `None` while nothing is known of their upstreams.
pub(super) fn best(upstreams: &Upstreams, shards: &[Shard]) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    for snapshot in newest(upstreams, shards) {
        let support = Support::of(snapshot, upstreams, shards);
        let candidate = Candidate {
            snapshot,
            shards: support.shards,
        };
        let complete = support.shards == shards.len();
        if complete && support.replicas * 100 >= support.known_replicas * MOST_PERCENT {
            return Some(candidate);
        }
        if best.is_none_or(|best| best.shards < candidate.shards) {
            best = Some(candidate);
        }
    }
    best
}

/// Returns the newest snapshots of all replicas, newest first.
fn newest(upstreams: &Upstreams, shards: &[Shard]) -> Vec<Snapshot> {
    let mut found: Vec<Snapshot> = Vec::new();
    for key in shards.iter().flat_map(|shard| shard.upstreams.iter()) {
        if !upstreams.in_service(*key) {
            continue;
        }
        let Some(serves) = upstreams.serves(*key) else {
            continue;
        };
        let Err(place) = found.binary_search_by(|known| serves.newest.cmp(known)) else {
            continue;
        };
        found.insert(place, serves.newest);
        found.truncate(MAX_CANDIDATES);
    }
    found
}

/// How many shards and replicas can serve a snapshot.
#[derive(Default)]
struct Support {
    shards: usize,
    replicas: usize,
    known_replicas: usize,
}

impl Support {
    fn of(snapshot: Snapshot, upstreams: &Upstreams, shards: &[Shard]) -> Support {
        let mut support = Support::default();
        for shard in shards {
            support.add(snapshot, upstreams, shard);
        }
        support
    }

    fn add(&mut self, snapshot: Snapshot, upstreams: &Upstreams, shard: &Shard) {
        let mut able = false;
        let mut known = false;
        for key in &shard.upstreams {
            if !upstreams.in_service(*key) {
                continue;
            }
            let Some(serves) = upstreams.serves(*key) else {
                continue;
            };
            known = true;
            self.known_replicas += 1;
            if serves.contains(snapshot) {
                able = true;
                self.replicas += 1;
            }
        }
        // A shard of which nothing is known rules nothing out.
        if able || !known {
            self.shards += 1;
        }
    }
}
