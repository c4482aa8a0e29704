//! Which other instances collect a part of a search.
//!
//! Load pattern: few searches at a time, each over many shards, on instances with a small part of a
//! core. One instance alone sends to all shards one after the other, and reads the answers one after
//! the other, while its neighbours idle. So each group of shards goes to another instance of the same
//! availability zone. It is the same one in the view of all, so that few instances hold connections
//! to an upstream, and these are used often.
//!
//! A part that goes to an instance that is down is late when it is sent elsewhere, so only those are
//! used that have answered lately; the others are asked now and then.

use std::collections::HashMap;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::groups::Group;

/// How long after its last answer an instance is used, in milliseconds.
const HEARD_MAX_MS: u64 = 20_000;

/// The interval at which an instance that is not used is asked whether it answers, in milliseconds.
const ASK_EVERY_MS: u64 = 1_000;

/// So many questions must be answered before the time that they take shows how far an instance is.
const ANSWERS_MIN: u32 = 2;

/// For how long others are asked in the place of an instance that did not answer, in milliseconds.
const LOST_MS: u64 = 3_000;

/// For how long an instance is not used that has collected too little, in milliseconds. It may be cut off
/// from upstreams and still answer other instances.
const BARRED_MS: u64 = 5_000;

/// What is known of other instances.
#[derive(Debug, Default)]
pub(super) struct Peers {
    known: HashMap<SocketAddr, Known>,
}

#[derive(Debug, Default)]
struct Known {
    /// When it last answered; `None` if it has failed since.
    heard_at: Option<Time>,
    asked_at: Option<Time>,
    lost_at: Option<Time>,
    barred_until: Option<Time>,
    /// How long the quickest question took to be answered, in milliseconds.
    way_ms: Option<u64>,
    /// How many questions were answered.
    answers: u32,
}

/// An instance that may collect a group of shards.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'n> {
    pub(super) name: &'n str,
    /// Where it takes batches; `None` for this instance.
    pub(super) address: Option<SocketAddr>,
}

impl Peers {
    /// Takes over that an instance has answered.
    pub(super) fn heard(&mut self, now: Time, peer: SocketAddr) {
        self.known.entry(peer).or_default().heard_at = Some(now);
    }

    /// Takes over that an instance has answered after `took_ms` milliseconds whether it answers.
    pub(super) fn measured(&mut self, peer: SocketAddr, took_ms: u64) {
        let known = self.known.entry(peer).or_default();
        known.answers += 1;
        known.way_ms = Some(known.way_ms.map_or(took_ms, |way_ms| way_ms.min(took_ms)));
    }

    /// Returns how long the way to an instance and back takes, in milliseconds; 0 if that is not known.
    pub(super) fn way_ms(&self, peer: SocketAddr) -> u64 {
        let known = self.known.get(&peer);
        known.and_then(|known| known.way_ms).unwrap_or(0)
    }

    /// Takes over that an instance has not answered.
    pub(super) fn lost(&mut self, now: Time, peer: SocketAddr) {
        let known = self.known.entry(peer).or_default();
        known.heard_at = None;
        known.asked_at = Some(now);
        known.lost_at = Some(now);
    }

    /// Takes over that an instance has collected too little.
    pub(super) fn bar(&mut self, now: Time, peer: SocketAddr) {
        self.lost(now, peer);
        let known = self.known.entry(peer).or_default();
        known.barred_until = Some(now + BARRED_MS);
    }

    /// Returns whether an instance may be used.
    pub(super) fn is_usable(&self, now: Time, peer: SocketAddr) -> bool {
        let Some(known) = self.known.get(&peer) else {
            return false;
        };
        let is_barred = known.barred_until.is_some_and(|until| now < until);
        let heard_at = known.heard_at;
        !is_barred && heard_at.is_some_and(|at| now.since(at) <= HEARD_MAX_MS)
    }

    /// Returns whether an instance may be used, or would be if it answered.
    pub(super) fn is_promising(&self, now: Time, peer: SocketAddr) -> bool {
        let Some(known) = self.known.get(&peer) else {
            return true;
        };
        let is_lost = known.lost_at.is_some_and(|at| now.since(at) <= LOST_MS);
        self.is_usable(now, peer) || !is_lost
    }

    /// Returns whether an instance is to be asked now: one that may not be used, or one whose distance is
    /// not known well. The first question takes longer, since a connection is made for it.
    pub(super) fn is_to_be_asked(&mut self, now: Time, peer: SocketAddr) -> bool {
        let is_usable = self.is_usable(now, peer);
        let known = self.known.entry(peer).or_default();
        if is_usable && known.answers >= ANSWERS_MIN {
            return false;
        }
        let is_due = known
            .asked_at
            .is_none_or(|at| now.since(at) >= ASK_EVERY_MS);
        if is_due {
            known.asked_at = Some(now);
        }
        is_due
    }

    /// Forgets instances that were not heard or asked for long.
    pub(super) fn tidy(&mut self, now: Time) {
        self.known.retain(|_, known| {
            let last = known.heard_at.max(known.asked_at);
            last.is_some_and(|at| now.since(at) <= 2 * HEARD_MAX_MS)
        });
    }
}

/// Returns the one of `candidates` that collects for the instance `me` what no upstream of its region serves.
/// The instances of a region choose different ones, and each keeps to its own as long as it is there, so
/// that it is known well and connections to it are in use.
pub(super) fn preferred<'n>(me: &str, candidates: &[Candidate<'n>]) -> Option<Candidate<'n>> {
    let rank = |name: &str| xxh3_64(format!("{me}/{name}").as_bytes());
    candidates.iter().copied().min_by_key(|one| rank(one.name))
}

/// Returns who collects each of `groups` groups: its address, or `None` for this instance. Each instance
/// collects at most one as long as there are enough of them.
pub(super) fn assign(candidates: &[Candidate<'_>], groups: usize) -> Vec<Option<SocketAddr>> {
    let mut left: Vec<Candidate<'_>> = candidates.to_vec();
    let mut assigned: Vec<Option<Candidate<'_>>> = Vec::with_capacity(groups);
    for number in 0..groups {
        let group = Group { number, of: groups };
        let own = take_first(&mut left, group, |name| group.is_of_class(name));
        assigned.push(own);
    }
    for (number, owner) in assigned.iter_mut().enumerate() {
        let group = Group { number, of: groups };
        if owner.is_none() {
            *owner = take_first(&mut left, group, |_| true);
        }
        if owner.is_none() {
            // There are fewer instances than groups.
            *owner = take_first(&mut candidates.to_vec(), group, |_| true);
        }
    }
    let owners = assigned.into_iter();
    owners
        .map(|owner| owner.and_then(|owner| owner.address))
        .collect()
}

/// Removes and returns the first candidate for a group of those that `may` collect it.
fn take_first<'n, F>(left: &mut Vec<Candidate<'n>>, group: Group, may: F) -> Option<Candidate<'n>>
where
    F: Fn(&str) -> bool,
{
    let candidates = left.iter().enumerate();
    let allowed = candidates.filter(|(_, one)| may(one.name));
    let (at, _) = allowed.min_by_key(|(_, one)| group.rank(one.name))?;
    Some(left.swap_remove(at))
}
