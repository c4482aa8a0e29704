//! Computes this instance's share of the rate limit of a cold (recently started) upstream.
//!
//! The limit applies to all instances together. If it were divided evenly among many instances,
//! each would get less than one request per second, and none could send at all. Only a few
//! instances therefore send to a cold upstream. All instances agree on these few: the ones that a
//! rendezvous hash ranks first for the upstream.

use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// The fraction of the rate limit that is divided among instances. The rest covers sends of
/// instances that have restarted or do not know of a recent change in the list of instances.
const DIVIDED_LIMIT_FRACTION: f64 = 0.5;

/// The span over which sends to a cold upstream are counted, in milliseconds. The span is longer
/// than the second to which the limit refers, since transit times of requests differ.
const COUNTING_SPAN_MS: u64 = 1_200;

/// The recent sends to one cold upstream.
#[derive(Debug, Default)]
pub(super) struct ColdSends {
    sent_at: VecDeque<Time>,
}

impl ColdSends {
    /// Records a send to the upstream.
    pub(super) fn record(&mut self, now: Time) {
        while self
            .sent_at
            .front()
            .is_some_and(|sent_at| now.ms_since(*sent_at) > COUNTING_SPAN_MS)
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Returns the number of recent sends to the upstream.
    pub(super) fn recent_count(&self, now: Time) -> usize {
        self.sent_at
            .iter()
            .filter(|sent_at| now.ms_since(**sent_at) <= COUNTING_SPAN_MS)
            .count()
    }
}

/// Returns the number of requests per second that the instance `own_name` may send to the cold
/// upstream `upstream_id`, given a limit of `per_s` for all instances.
pub(super) fn instance_limit_per_s<'n, I>(
    instances: I,
    own_name: &str,
    upstream_id: &str,
    per_s: f64,
) -> usize
where
    I: Iterator<Item = &'n str>,
{
    let limit_per_s = (per_s * DIVIDED_LIMIT_FRACTION).floor() as usize;
    let rank = |name: &str| xxh3_64(format!("{name}/{upstream_id}").as_bytes());
    let own_rank = rank(own_name);
    let other_instances = instances.filter(|name| *name != own_name);
    let ranks: Vec<u64> = other_instances.map(rank).collect();
    let higher_ranked = ranks.iter().filter(|other| **other > own_rank).count();
    let senders = limit_per_s.min(ranks.len() + 1);
    if higher_ranked >= senders {
        return 0;
    }
    limit_per_s / senders
}
