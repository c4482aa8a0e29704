//! Limits the repeats (retries and hedges) that one instance may send.
//!
//! The bound on a service's repeats is a single sum over all instances and over any window of time:
//! a ratio of the service's requests plus a fixed allowance. No instance sees that sum. Each
//! instance observes the ratio for its own requests, which also keeps the total within the ratio.
//! Each instance also observes its part of the allowance: an equal part, or, for shards of searches
//! that are divided among instances, a part reserved for the instances that collect the shards (see
//! `groups`). A restarted instance does not know what it spent before, so it has no part of the
//! allowance at first.
//!
//! If another instance sends the requests of a service, the allowance of this instance would stay
//! unused. This instance therefore transfers it along with the requests in small amounts, and keeps
//! one repeat for itself.

use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;

/// The bound on repeats (retries and hedges) that all instances share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// The number of repeats allowed per request.
    pub ratio: f64,
    /// The number of repeats allowed beyond the ratio, over all instances.
    pub allowance: f64,
    /// The length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// The fraction of the allowed ratio of repeats to requests that instances may use.
const RATIO_USED_FRACTION: f64 = 0.85;

/// The budget that an instance keeps when it transfers some to another instance, in thousandths of
/// a repeat.
const TRANSFER_RESERVE_PERMILLE: i64 = 1_000;

/// The maximum budget transferred with one request, in thousandths of a repeat.
const TRANSFER_MAX_PERMILLE: i64 = 500;

/// The number of slices into which the window is divided for counting.
const SLICES_PER_WINDOW: u64 = 20;

/// The requests and repeats of one service in the last window. Repeats are counted in thousandths.
#[derive(Clone, Debug, Default)]
pub(super) struct RepeatBudget {
    slices: VecDeque<Slice>,
    requests: u64,
    spent_permille: u64,
    received_permille: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u64,
    spent_permille: u64,
    received_permille: u64,
}

impl RepeatBudget {
    /// Counts a request for the service.
    pub(super) fn count_request(&mut self, now: Time, repeat_bound: &RepeatBound) {
        self.slice(now, repeat_bound).requests += 1;
        self.requests += 1;
    }

    /// Counts a repeat that was sent to the service.
    pub(super) fn count_repeat(&mut self, now: Time, repeat_bound: &RepeatBound) {
        self.spend(now, repeat_bound, 1_000);
    }

    /// Counts the budget received from another instance, in thousandths of a repeat.
    pub(super) fn receive(&mut self, now: Time, repeat_bound: &RepeatBound, permille: u32) {
        self.slice(now, repeat_bound).received_permille += u64::from(permille);
        self.received_permille += u64::from(permille);
    }

    /// Transfers budget to another instance, and returns the amount in thousandths of a repeat.
    pub(super) fn transfer(
        &mut self,
        now: Time,
        repeat_bound: &RepeatBound,
        allowance_fraction: f64,
    ) -> u32 {
        let remaining_permille =
            (self.remaining(now, repeat_bound, allowance_fraction) * 1_000.0) as i64;
        let transferred_permille =
            (remaining_permille - TRANSFER_RESERVE_PERMILLE).clamp(0, TRANSFER_MAX_PERMILLE) as u32;
        self.spend(now, repeat_bound, u64::from(transferred_permille));
        transferred_permille
    }

    fn spend(&mut self, now: Time, repeat_bound: &RepeatBound, permille: u64) {
        self.slice(now, repeat_bound).spent_permille += permille;
        self.spent_permille += permille;
    }

    /// Returns the number of repeats that may still be sent. `allowance_fraction` is the fraction
    /// of the allowance that belongs to this instance.
    pub(super) fn remaining(
        &mut self,
        now: Time,
        repeat_bound: &RepeatBound,
        allowance_fraction: f64,
    ) -> f64 {
        self.slice(now, repeat_bound);
        let own_allowance = repeat_bound.allowance * allowance_fraction;
        let received = self.received_permille as f64 / 1_000.0;
        let spent = self.spent_permille as f64 / 1_000.0;
        repeat_bound.ratio * RATIO_USED_FRACTION * self.requests as f64 + own_allowance + received
            - spent
    }

    /// Returns the current slice after dropping the slices that have left the window.
    fn slice(&mut self, now: Time, repeat_bound: &RepeatBound) -> &mut Slice {
        let number = now.as_ms() / (repeat_bound.window_ms / SLICES_PER_WINDOW).max(1);
        // One slice more than the window holds is kept, since the window covers the oldest slice
        // only in part.
        while let Some(first) = self.slices.front() {
            if first.number + SLICES_PER_WINDOW >= number {
                break;
            }
            self.requests -= first.requests;
            self.spent_permille -= first.spent_permille;
            self.received_permille -= first.received_permille;
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.number != number) {
            self.slices.push_back(Slice {
                number,
                requests: 0,
                spent_permille: 0,
                received_permille: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }
}
