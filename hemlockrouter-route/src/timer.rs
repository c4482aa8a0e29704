//! Timers that trigger actions at given times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlockrouter_types::prelude::*;

/// Queue of all timers, earliest first. A timer stays in the queue when its subject ends, so the
/// handler must ignore timers of subjects that no longer exist.
#[derive(Clone, Debug)]
pub(crate) struct Timers<D> {
    heap: BinaryHeap<Reverse<(Time, D)>>,
}

impl<D> Timers<D>
where
    D: Copy + Ord,
{
    /// Creates an empty queue of timers.
    pub(crate) fn new() -> Timers<D> {
        Timers {
            heap: BinaryHeap::new(),
        }
    }

    /// Adds a timer for the action `due` at the time `at`.
    pub(crate) fn set(&mut self, at: Time, due: D) {
        self.heap.push(Reverse((at, due)));
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub(crate) fn take(&mut self, now: Time) -> Option<D> {
        let (at, due) = self.first()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some(due)
    }

    /// Returns the earliest timer without removing it.
    pub(crate) fn first(&self) -> Option<(Time, D)> {
        self.heap.peek().map(|Reverse(first)| *first)
    }

    /// Removes the earliest timer.
    pub(crate) fn drop_first(&mut self) {
        self.heap.pop();
    }
}
