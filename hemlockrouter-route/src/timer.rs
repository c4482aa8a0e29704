//! Timers that trigger actions at given times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlockrouter_types::prelude::*;

/// Queue of all timers, earliest first. A timer stays in the queue when its subject ends, so the
/// handler must ignore timers of subjects that no longer exist.
#[derive(Clone, Debug)]
pub(crate) struct TimerQueue<A> {
    heap: BinaryHeap<Reverse<(Time, A)>>,
}

impl<A> TimerQueue<A>
where
    A: Copy + Ord,
{
    /// Creates an empty queue of timers.
    pub(crate) fn new() -> TimerQueue<A> {
        TimerQueue {
            heap: BinaryHeap::new(),
        }
    }

    /// Adds a timer for `action` at the time `at`.
    pub(crate) fn set(&mut self, at: Time, action: A) {
        self.heap.push(Reverse((at, action)));
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<A> {
        let (at, action) = self.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some(action)
    }

    /// Returns the earliest timer without removing it.
    pub(crate) fn peek(&self) -> Option<(Time, A)> {
        self.heap.peek().map(|Reverse(first)| *first)
    }

    /// Removes the earliest timer.
    pub(crate) fn pop(&mut self) {
        self.heap.pop();
    }
}
