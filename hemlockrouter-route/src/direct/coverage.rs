//! Which shards a search asks when some of them are too slow to answer in time.
//!
//! A shard whose only upstream in order is many times slower than usual can't answer every search.
//! If all ask it, its queue grows until it answers none in time, and with a few such shards no search
//! reaches the share of shards that it needs. So a search asks only as many of the slow shards as it
//! needs, in turn, and one now and then asks more, to find out when a shard is in order again.

use hemlockrouter_types::prelude::*;

/// The interval at which one search asks a slow shard that it does not need, in milliseconds.
const PROBE_EVERY_MS: u64 = 250;

/// What is expected of one shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// When its answer is expected, in milliseconds; `None` if no upstream may be used.
    pub(super) latency_ms: Option<f64>,
    /// When it was last asked although it was slow.
    pub(super) probed_at: Time,
}

/// Returns for each shard whether it is asked, so that `needed` can answer within `limit_ms`. `turn`
/// varies which of the slow shards are asked.
pub(super) fn choose_shards(
    now: Time,
    shards: &[Expected],
    needed: usize,
    limit_ms: f64,
    turn: usize,
) -> Vec<bool> {
    let is_slow = |shard: &Expected| shard.latency_ms.is_some_and(|ms| ms > limit_ms);
    let mut asked: Vec<bool> = shards.iter().map(|shard| !is_slow(shard)).collect();
    let slow: Vec<usize> = (0..shards.len()).filter(|at| !asked[*at]).collect();
    let unavailable = shards.iter().filter(|shard| shard.latency_ms.is_none());
    let in_order = shards.len() - slow.len() - unavailable.count();
    let mut missing = needed.saturating_sub(in_order);
    for step in 0..slow.len() {
        let at = slow[(turn + step) % slow.len()];
        let is_due = now.since(shards[at].probed_at) >= PROBE_EVERY_MS;
        if missing > 0 || is_due {
            asked[at] = true;
            missing = missing.saturating_sub(1);
        }
    }
    asked
}
