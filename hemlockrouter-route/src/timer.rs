//! Timers: when something has to be done without an event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlockrouter_types::prelude::*;

/// All timers, earliest first. A timer is not removed when its matter ends; whoever takes it finds
/// nothing to do.
#[derive(Clone, Debug)]
pub(crate) struct Timers<D> {
    heap: BinaryHeap<Reverse<(Time, D)>>,
}

impl<D> Timers<D>
where
    D: Copy + Ord,
{
    /// Makes an empty set of timers.
    pub(crate) fn new() -> Timers<D> {
        Timers {
            heap: BinaryHeap::new(),
        }
    }

    /// Sets a timer.
    pub(crate) fn set(&mut self, at: Time, due: D) {
        self.heap.push(Reverse((at, due)));
    }

    /// Takes the earliest timer that is due at `now`.
    pub(crate) fn take(&mut self, now: Time) -> Option<D> {
        let (at, due) = self.first()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some(due)
    }

    /// Returns the earliest timer.
    pub(crate) fn first(&self) -> Option<(Time, D)> {
        self.heap.peek().map(|Reverse(first)| *first)
    }

    /// Drops the earliest timer.
    pub(crate) fn drop_first(&mut self) {
        self.heap.pop();
    }
}
