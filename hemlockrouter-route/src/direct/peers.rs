//! Tracks the other instances, and assigns the parts of a search to them.
//!
//! Load pattern: few searches at a time, each over many shards, on instances with a small fraction
//! of a CPU core. A single instance sends to all shards one after another and reads the answers one
//! after another, while its neighbors are idle. Each group of shards is therefore delegated to
//! another instance of the same availability zone. All instances choose the same one, so that few
//! instances hold connections to an upstream, and those connections are used often.
//!
//! Parts that are delegated to an instance that is down are sent elsewhere only after a delay.
//! Therefore only instances that have answered recently are used; the other ones are probed
//! periodically.

use std::collections::HashMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::groups::ShardGroup;

/// How long an instance may be used after its last answer, in milliseconds.
const ANSWER_VALID_MS: u64 = 20_000;

/// The interval between probes of an instance, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// The number of answered probes up to which a usable instance is still probed. The first probe
/// also opens a connection, so its response time alone does not show the round trip time.
const PROBE_ANSWERS_MIN: u32 = 2;

/// How long other instances are probed in place of an instance that did not answer, in
/// milliseconds.
const FAILED_PEER_BACKOFF_MS: u64 = 3_000;

/// How long an instance that has collected too few parts is not used, in milliseconds. Such an
/// instance may be cut off from upstreams and still answer other instances.
const POOR_COLLECTOR_EXCLUSION_MS: u64 = 5_000;

/// The state of the other instances.
#[derive(Debug, Default)]
pub(super) struct Peers {
    states: HashMap<SocketAddr, PeerState>,
}

#[derive(Debug, Default)]
struct PeerState {
    /// When the instance last answered; `None` if it has failed since.
    answered_at: Option<Time>,
    probed_at: Option<Time>,
    failed_at: Option<Time>,
    excluded_until: Option<Time>,
    /// The shortest response time of a probe, in milliseconds.
    round_trip_ms: Option<u64>,
    /// The number of answered probes.
    probe_answers: u32,
}

/// An instance that may collect a group of shards.
#[derive(Clone, Copy, Debug)]
pub(super) struct CollectorCandidate<'n> {
    pub(super) name: &'n str,
    /// The address at which the instance accepts batches; `None` for this instance.
    pub(super) address: Option<SocketAddr>,
}

impl Peers {
    /// Records that an instance has answered.
    pub(super) fn record_answer(&mut self, now: Time, peer: SocketAddr) {
        self.states.entry(peer).or_default().answered_at = Some(now);
    }

    /// Records that an instance has answered a probe after `took_ms` milliseconds.
    pub(super) fn record_round_trip(&mut self, peer: SocketAddr, took_ms: u64) {
        let state = self.states.entry(peer).or_default();
        state.probe_answers += 1;
        state.round_trip_ms = Some(
            state
                .round_trip_ms
                .map_or(took_ms, |round_trip_ms| round_trip_ms.min(took_ms)),
        );
    }

    /// Returns the round trip time to an instance, in milliseconds; 0 if unknown.
    pub(super) fn round_trip_ms(&self, peer: SocketAddr) -> u64 {
        let state = self.states.get(&peer);
        state.and_then(|state| state.round_trip_ms).unwrap_or(0)
    }

    /// Records that an instance has not answered.
    pub(super) fn record_failure(&mut self, now: Time, peer: SocketAddr) {
        let state = self.states.entry(peer).or_default();
        state.answered_at = None;
        state.probed_at = Some(now);
        state.failed_at = Some(now);
    }

    /// Excludes an instance for a while after it has collected too few parts.
    pub(super) fn exclude(&mut self, now: Time, peer: SocketAddr) {
        self.record_failure(now, peer);
        let state = self.states.entry(peer).or_default();
        state.excluded_until = Some(now + POOR_COLLECTOR_EXCLUSION_MS);
    }

    /// Returns whether an instance may be used for collecting.
    pub(super) fn is_usable(&self, now: Time, peer: SocketAddr) -> bool {
        let Some(state) = self.states.get(&peer) else {
            return false;
        };
        let is_excluded = state.excluded_until.is_some_and(|until| now < until);
        let answered_at = state.answered_at;
        !is_excluded && answered_at.is_some_and(|at| now.ms_since(at) <= ANSWER_VALID_MS)
    }

    /// Returns whether an instance may be used for collecting, or could be if it answered a probe.
    pub(super) fn is_possibly_usable(&self, now: Time, peer: SocketAddr) -> bool {
        let Some(state) = self.states.get(&peer) else {
            return true;
        };
        let has_failed_recently = state
            .failed_at
            .is_some_and(|at| now.ms_since(at) <= FAILED_PEER_BACKOFF_MS);
        self.is_usable(now, peer) || !has_failed_recently
    }

    /// Returns whether an instance is due to be probed, and records the probe. An instance is
    /// probed while it may not be used, or until enough probes were answered to know its round trip
    /// time: the first probe takes longer, since it opens a connection.
    pub(super) fn start_probe_if_due(&mut self, now: Time, peer: SocketAddr) -> bool {
        let is_usable = self.is_usable(now, peer);
        let state = self.states.entry(peer).or_default();
        if is_usable && state.probe_answers >= PROBE_ANSWERS_MIN {
            return false;
        }
        let is_due = state
            .probed_at
            .is_none_or(|at| now.ms_since(at) >= PROBE_INTERVAL_MS);
        if is_due {
            state.probed_at = Some(now);
        }
        is_due
    }

    /// Forgets instances that have neither answered nor been probed for a long time.
    pub(super) fn remove_stale(&mut self, now: Time) {
        self.states.retain(|_, state| {
            let last_contact_at = state.answered_at.max(state.probed_at);
            last_contact_at.is_some_and(|at| now.ms_since(at) <= 2 * ANSWER_VALID_MS)
        });
    }
}

/// Returns the candidate that collects for the instance `own_name` the parts that no upstream of
/// its region serves. The instances of a region choose different candidates, and each keeps the
/// same one as long as it is available, so that its round trip time is known and connections to it
/// stay in use.
pub(super) fn preferred_collector<'n>(
    own_name: &str,
    candidates: &[CollectorCandidate<'n>],
) -> Option<CollectorCandidate<'n>> {
    let rank = |name: &str| xxh3_64(format!("{own_name}/{name}").as_bytes());
    candidates
        .iter()
        .copied()
        .min_by_key(|candidate| rank(candidate.name))
}

/// Returns the collector of each of `group_count` groups: its address, or `None` for this instance.
/// No instance collects more than one group unless there are fewer instances than groups.
pub(super) fn assign_groups(
    candidates: &[CollectorCandidate<'_>],
    group_count: usize,
) -> Vec<Option<SocketAddr>> {
    let mut unassigned: Vec<CollectorCandidate<'_>> = candidates.to_vec();
    let mut assigned: Vec<Option<CollectorCandidate<'_>>> = Vec::with_capacity(group_count);
    for index in 0..group_count {
        let group = ShardGroup {
            index,
            count: group_count,
        };
        let preferred_candidate =
            remove_best_ranked(&mut unassigned, group, |name| group.is_in_class(name));
        assigned.push(preferred_candidate);
    }
    for (index, owner) in assigned.iter_mut().enumerate() {
        let group = ShardGroup {
            index,
            count: group_count,
        };
        if owner.is_none() {
            *owner = remove_best_ranked(&mut unassigned, group, |_| true);
        }
        if owner.is_none() {
            // There are fewer instances than groups.
            *owner = remove_best_ranked(&mut candidates.to_vec(), group, |_| true);
        }
    }
    let collectors = assigned.into_iter();
    collectors
        .map(|owner| owner.and_then(|owner| owner.address))
        .collect()
}

/// Removes and returns the highest-ranked candidate for a group among those that satisfy
/// `is_allowed`.
fn remove_best_ranked<'n, F>(
    unassigned: &mut Vec<CollectorCandidate<'n>>,
    group: ShardGroup,
    is_allowed: F,
) -> Option<CollectorCandidate<'n>>
where
    F: Fn(&str) -> bool,
{
    let candidates = unassigned.iter().enumerate();
    let allowed = candidates.filter(|(_, candidate)| is_allowed(candidate.name));
    let (position, _) = allowed.min_by_key(|(_, candidate)| group.rank(candidate.name))?;
    Some(unassigned.swap_remove(position))
}
