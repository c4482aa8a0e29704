//! How much of what a cold upstream bears may come from this instance.
//!
//! The bound counts all instances. Divided evenly among many, it would leave each less than one
//! request a second, and none could send at all. So only a few instances send to a cold upstream,
//! the same ones in everybody's view: those that a rendezvous hash ranks first for it.

use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// The part of the bound that is handed out; sends of an instance that restarted, or that has not
/// heard of a change among the instances, come out of the rest.
const HANDED_OUT: f64 = 0.5;

/// The span over which sends to a cold upstream are counted, in milliseconds. It is longer than the
/// second that the bound names, since requests spend different times on the way.
const SPAN_MS: u64 = 1_200;

/// The sends to one cold upstream in the last second.
#[derive(Debug, Default)]
pub(super) struct ColdSends {
    at: VecDeque<Time>,
}

impl ColdSends {
    /// Counts a send.
    pub(super) fn count(&mut self, now: Time) {
        while self.at.front().is_some_and(|at| now.since(*at) > SPAN_MS) {
            self.at.pop_front();
        }
        self.at.push_back(now);
    }

    /// Returns how many sends are recent.
    pub(super) fn recent(&self, now: Time) -> usize {
        self.at
            .iter()
            .filter(|at| now.since(**at) <= SPAN_MS)
            .count()
    }
}

/// Returns how many requests a second the instance `me` may send to the cold upstream `id`, of
/// which all instances may send `per_s`.
pub(super) fn share<'n, I>(instances: I, me: &str, id: &str, per_s: f64) -> usize
where
    I: Iterator<Item = &'n str>,
{
    let whole = (per_s * HANDED_OUT).floor() as usize;
    let rank = |name: &str| xxh3_64(format!("{name}/{id}").as_bytes());
    let mine = rank(me);
    let others = instances.filter(|name| *name != me);
    let ranks: Vec<u64> = others.map(rank).collect();
    let better = ranks.iter().filter(|other| **other > mine).count();
    let senders = whole.min(ranks.len() + 1);
    if better >= senders {
        return 0;
    }
    whole / senders
}
