//! The share of repeats that one instance may send.
//!
//! The bound on repeats of a service is one sum over all instances and over any window of time:
//! a ratio of the service's requests and a fixed allowance. No instance sees the sum. Each keeps to
//! the ratio of its own requests, which adds up by itself, and to a part of the allowance: an equal one, or
//! for shards of searches that are shared one that belongs to the instances that collect them (see
//! `groups`). An instance that restarts forgets what it has spent, so it has no part of the allowance at
//! first.
//!
//! Where another instance sends the requests of a service, what this one may spend would lie idle. It is
//! given away with the requests, in small pieces, but for one repeat that is kept.

use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;

/// The bound that all instances share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond the ratio, over all instances.
    pub allowance: f64,
    /// The length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// The part of the ratio that instances hand out.
const RATIO_PART: f64 = 0.85;

/// Repeats that an instance keeps when it gives some away, in thousandths of one.
const KEPT_PERMILLE: i64 = 1_000;

/// The most that is given away with one request, in thousandths of a repeat.
const GIVEN_MAX_PERMILLE: i64 = 500;

/// How many slices a window is counted in.
const SLICES: u64 = 20;

/// The requests and repeats of one service in the last window. Repeats are counted in thousandths.
#[derive(Clone, Debug, Default)]
pub(super) struct Spending {
    slices: VecDeque<Slice>,
    requests: u64,
    spent_permille: u64,
    got_permille: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u64,
    spent_permille: u64,
    got_permille: u64,
}

impl Spending {
    /// Counts a request for the service.
    pub(super) fn request(&mut self, now: Time, bound: &RepeatBound) {
        self.slice(now, bound).requests += 1;
        self.requests += 1;
    }

    /// Counts a repeat that was sent to the service.
    pub(super) fn repeat(&mut self, now: Time, bound: &RepeatBound) {
        self.spend(now, bound, 1_000);
    }

    /// Counts what another instance has given.
    pub(super) fn get(&mut self, now: Time, bound: &RepeatBound, permille: u32) {
        self.slice(now, bound).got_permille += u64::from(permille);
        self.got_permille += u64::from(permille);
    }

    /// Gives a piece away, and returns how much, in thousandths of a repeat.
    pub(super) fn give(&mut self, now: Time, bound: &RepeatBound, part: f64) -> u32 {
        let left_permille = (self.left(now, bound, part) * 1_000.0) as i64;
        let given = (left_permille - KEPT_PERMILLE).clamp(0, GIVEN_MAX_PERMILLE) as u32;
        self.spend(now, bound, u64::from(given));
        given
    }

    fn spend(&mut self, now: Time, bound: &RepeatBound, permille: u64) {
        self.slice(now, bound).spent_permille += permille;
        self.spent_permille += permille;
    }

    /// Returns how many repeats may still be sent now. `part` is this instance's part of the allowance.
    pub(super) fn left(&mut self, now: Time, bound: &RepeatBound, part: f64) -> f64 {
        self.slice(now, bound);
        let own = bound.allowance * part;
        let got = self.got_permille as f64 / 1_000.0;
        let spent = self.spent_permille as f64 / 1_000.0;
        bound.ratio * RATIO_PART * self.requests as f64 + own + got - spent
    }

    /// Returns the current slice after dropping those that have left the window.
    fn slice(&mut self, now: Time, bound: &RepeatBound) -> &mut Slice {
        let number = now.as_ms() / (bound.window_ms / SLICES).max(1);
        // One slice more than the window holds, since the oldest one is cut by its edge.
        while let Some(first) = self.slices.front() {
            if first.number + SLICES >= number {
                break;
            }
            self.requests -= first.requests;
            self.spent_permille -= first.spent_permille;
            self.got_permille -= first.got_permille;
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.number != number) {
            self.slices.push_back(Slice {
                number,
                requests: 0,
                spent_permille: 0,
                got_permille: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }
}
