//! Ranking of the instances that may own an upstream, and the quorums of members that grant its
//! lease.
//!
//! The three highest-ranked members of the upstream's zone by rendezvous hashing (Thaler and
//! Ravishankar 1998) are its guards, the members that vote on its lease. An owner needs grants from
//! a majority of the guards. While instances join the zone, an owner needs such a majority for each
//! subset of the joining instances, because members may differ in which of them they already count.

use hemlockrouter_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Number of guards of an upstream: the members that vote on its lease.
const GUARDS_PER_UPSTREAM: usize = 3;

/// Largest number of joining members for which a quorum is computed for each of their subsets.
const MAX_JOINING_BY_SUBSET: usize = 3;

/// Member of the upstream's zone, with the properties that matter to ranking.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) id: InstanceId,
    pub(crate) is_living: bool,
    pub(crate) is_established: bool,
}

/// Returns the score of an instance for an upstream. The highest score ranks first.
pub(crate) fn score(upstream: UpstreamKey, id: InstanceId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&upstream.raw().to_le_bytes());
    bytes[4..].copy_from_slice(&id.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Returns whether `a` ranks before `b` for an upstream.
pub(crate) fn ranks_before(upstream: UpstreamKey, a: InstanceId, b: InstanceId) -> bool {
    (score(upstream, a), a) > (score(upstream, b), b)
}

/// Returns the highest-ranked member that is living and established.
pub(crate) fn preferred_owner(
    upstream: UpstreamKey,
    candidates: &[Candidate],
) -> Option<InstanceId> {
    candidates
        .iter()
        .filter(|candidate| candidate.is_living && candidate.is_established)
        .map(|candidate| (score(upstream, candidate.id), candidate.id))
        .max()
        .map(|(_, id)| id)
}

/// Sets of instances. An owner needs grants from a majority of each set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Quorums {
    voter_sets: Vec<Vec<InstanceId>>,
}

impl Quorums {
    /// Computes the sets of voting members for one upstream.
    pub(crate) fn new(upstream: UpstreamKey, candidates: &[Candidate]) -> Quorums {
        let established = ranked(upstream, candidates, true);
        let mut joining = ranked(upstream, candidates, false);
        if let Some(last) = established.get(GUARDS_PER_UPSTREAM - 1) {
            joining.retain(|id| ranks_before(upstream, *id, *last));
        }
        let guards: Vec<InstanceId> = established.into_iter().take(GUARDS_PER_UPSTREAM).collect();
        if joining.len() > MAX_JOINING_BY_SUBSET {
            return Quorums::requiring_all(guards, joining);
        }
        let mut voter_sets = Vec::new();
        for subset in 0..1_u32 << joining.len() {
            let joining_subset = joining
                .iter()
                .enumerate()
                .filter(|(index, _)| subset & (1 << index) != 0)
                .map(|(_, id)| *id);
            let mut voter_set: Vec<InstanceId> =
                guards.iter().copied().chain(joining_subset).collect();
            sort_by_rank(upstream, &mut voter_set);
            voter_set.truncate(GUARDS_PER_UPSTREAM);
            if !voter_sets.contains(&voter_set) {
                voter_sets.push(voter_set);
            }
        }
        Quorums { voter_sets }
    }

    /// Requires the grant of every guard and of every joining instance, which satisfies the quorums
    /// of all subsets.
    fn requiring_all(guards: Vec<InstanceId>, joining: Vec<InstanceId>) -> Quorums {
        let voter_sets = guards
            .into_iter()
            .chain(joining)
            .map(|id| vec![id])
            .collect();
        Quorums { voter_sets }
    }

    /// Returns whether there is only one set, so that an owner that is a guard needs one more grant
    /// beside its own.
    pub(crate) fn has_single_set(&self) -> bool {
        self.voter_sets.len() == 1
    }

    /// Returns every instance whose grant can count, each once.
    pub(crate) fn voters(&self) -> Vec<InstanceId> {
        let mut voters: Vec<InstanceId> = self.voter_sets.iter().flatten().copied().collect();
        voters.sort();
        voters.dedup();
        voters
    }

    /// Returns the latest instant until which a majority of every set has granted.
    pub(crate) fn majority_until<F>(&self, granted_until: F) -> Time
    where
        F: Fn(InstanceId) -> Time,
    {
        self.voter_sets
            .iter()
            .map(|voter_set| {
                let mut granted_ends: Vec<Time> =
                    voter_set.iter().map(|id| granted_until(*id)).collect();
                granted_ends.sort_by(|a, b| b.cmp(a));
                granted_ends
                    .get(voter_set.len() / 2)
                    .copied()
                    .unwrap_or(Time::ZERO)
            })
            .min()
            .unwrap_or(Time::ZERO)
    }
}

fn ranked(
    upstream: UpstreamKey,
    candidates: &[Candidate],
    is_established: bool,
) -> Vec<InstanceId> {
    let mut ids: Vec<InstanceId> = candidates
        .iter()
        .filter(|candidate| candidate.is_established == is_established)
        .map(|candidate| candidate.id)
        .collect();
    sort_by_rank(upstream, &mut ids);
    ids
}

fn sort_by_rank(upstream: UpstreamKey, ids: &mut [InstanceId]) {
    ids.sort_by_cached_key(|id| std::cmp::Reverse((score(upstream, *id), *id)));
}
