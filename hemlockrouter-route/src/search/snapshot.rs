//! Selection of the snapshot that a query requests.
//!
//! Upstreams report in each answer which snapshots they can serve. While new indexes are rolled
//! out, only some replicas have them. The newest snapshot that all shards can serve may then be on
//! a single replica of each shard. Requesting it would double the load of that replica and leave no
//! replica for hedges. So a snapshot that most replicas can serve is preferred to a newer one that
//! few can serve.

use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::prelude::*;

use crate::choose::Upstreams;

/// Minimum share of the replicas, in percent, that must serve a snapshot for it to be preferred.
const MIN_SUPPORTING_REPLICA_PERCENT: usize = 75;

/// Maximum number of snapshots that are compared, newest first.
const MAX_SNAPSHOT_CANDIDATES: usize = 8;

/// A snapshot with the number of shards that can serve it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SnapshotCandidate {
    pub(super) snapshot: Snapshot,
    pub(super) shards: usize,
}

/// Cache of the best snapshot of each search. An entry is recomputed only after an upstream's
/// answer or a new catalogue has changed the snapshots that can be served.
#[derive(Debug, Default)]
pub(super) struct BestSnapshotCache {
    entries: Vec<Option<CachedSnapshot>>,
}

#[derive(Clone, Copy, Debug)]
struct CachedSnapshot {
    search: SearchKey,
    change_count: u64,
    best: Option<Snapshot>,
}

impl BestSnapshotCache {
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
        let change_count = upstreams.served_snapshot_changes();
        let valid_entry = self.entries[slot]
            .filter(|cached| cached.search == search && cached.change_count == change_count);
        let cached = valid_entry.unwrap_or_else(|| CachedSnapshot {
            search,
            change_count,
            best: best_snapshot(upstreams, shards).map(|best| best.snapshot),
        });
        self.entries[slot] = Some(cached);
        cached.best
    }
}

/// Returns the best snapshot for `shards`, or `None` while no upstream has reported its snapshots.
pub(super) fn best_snapshot(upstreams: &Upstreams, shards: &[Shard]) -> Option<SnapshotCandidate> {
    let mut best: Option<SnapshotCandidate> = None;
    for snapshot in newest_snapshots(upstreams, shards) {
        let support = SnapshotSupport::count(snapshot, upstreams, shards);
        let candidate = SnapshotCandidate {
            snapshot,
            shards: support.shards,
        };
        let covers_all_shards = support.shards == shards.len();
        if covers_all_shards
            && support.replicas * 100 >= support.reported_replicas * MIN_SUPPORTING_REPLICA_PERCENT
        {
            return Some(candidate);
        }
        if best.is_none_or(|best| best.shards < candidate.shards) {
            best = Some(candidate);
        }
    }
    best
}

/// Returns the distinct newest snapshots of all replicas in service, newest first.
fn newest_snapshots(upstreams: &Upstreams, shards: &[Shard]) -> Vec<Snapshot> {
    let mut newest_snapshots: Vec<Snapshot> = Vec::new();
    for key in shards.iter().flat_map(|shard| shard.upstreams.iter()) {
        if !upstreams.in_service(*key) {
            continue;
        }
        let Some(serves) = upstreams.served_snapshots(*key) else {
            continue;
        };
        let Err(position) = newest_snapshots.binary_search_by(|known| serves.newest.cmp(known))
        else {
            continue;
        };
        newest_snapshots.insert(position, serves.newest);
        newest_snapshots.truncate(MAX_SNAPSHOT_CANDIDATES);
    }
    newest_snapshots
}

/// Number of shards and replicas that can serve a snapshot.
#[derive(Default)]
struct SnapshotSupport {
    shards: usize,
    replicas: usize,
    reported_replicas: usize,
}

impl SnapshotSupport {
    fn count(snapshot: Snapshot, upstreams: &Upstreams, shards: &[Shard]) -> SnapshotSupport {
        let mut support = SnapshotSupport::default();
        for shard in shards {
            support.add_shard(snapshot, upstreams, shard);
        }
        support
    }

    fn add_shard(&mut self, snapshot: Snapshot, upstreams: &Upstreams, shard: &Shard) {
        let mut has_snapshot = false;
        let mut has_report = false;
        for key in &shard.upstreams {
            if !upstreams.in_service(*key) {
                continue;
            }
            let Some(serves) = upstreams.served_snapshots(*key) else {
                continue;
            };
            has_report = true;
            self.reported_replicas += 1;
            if serves.contains(snapshot) {
                has_snapshot = true;
                self.replicas += 1;
            }
        }
        // A shard whose replicas have not reported anything does not exclude the snapshot.
        if has_snapshot || !has_report {
            self.shards += 1;
        }
    }
}
