//! Delayed actions, all run by one thread.
//!
//! A simulated server that "works" on hundreds of requests at once only waits. One thread with a
//! heap of due times does all the waiting, so that a hundred upstreams fit into one process.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

type Action = Box<dyn FnOnce() + Send>;

/// A timer that runs delayed actions in a thread of its own.
///
/// Clones of a timer share the thread, which ends when the last clone is dropped.
#[derive(Clone)]
pub struct Timer {
    shared: Arc<Shared>,
    // Held by the handles only, not by the thread. Dropping the last handle stops the thread.
    _stop_guard: Arc<StopGuard>,
}

struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

#[derive(Default)]
struct Queue {
    entries: BinaryHeap<Entry>,
    next_seq: u64,
    stopped: bool,
}

struct Entry {
    due: Instant,
    seq: u64,
    action: Action,
}

struct StopGuard {
    shared: Arc<Shared>,
}

impl Timer {
    /// Starts a timer and its thread.
    pub fn start() -> Timer {
        let shared = Arc::new(Shared {
            queue: Mutex::default(),
            changed: Condvar::new(),
        });
        let worker = Arc::clone(&shared);
        thread::spawn(move || worker.run());
        Timer {
            _stop_guard: Arc::new(StopGuard {
                shared: Arc::clone(&shared),
            }),
            shared,
        }
    }

    /// Runs `action` in the timer's thread after `delay`. The action must not block.
    pub fn run_after<F>(&self, delay: Duration, action: F)
    where
        F: FnOnce() + Send + 'static,
    {
        let mut queue = self.shared.lock();
        let seq = queue.next_seq;
        queue.next_seq += 1;
        queue.entries.push(Entry {
            due: Instant::now() + delay,
            seq,
            action: Box::new(action),
        });
        self.shared.changed.notify_one();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no action panics under the lock")
    }

    fn run(&self) {
        let mut queue = self.lock();
        while !queue.stopped {
            let now = Instant::now();
            match queue.entries.peek().map(|entry| entry.due) {
                Some(due) if due <= now => {
                    let entry = queue.entries.pop().expect("the entry was just seen");
                    drop(queue);
                    (entry.action)();
                    queue = self.lock();
                }
                Some(due) => {
                    let waited = self.changed.wait_timeout(queue, due - now);
                    queue = waited.expect("no action panics under the lock").0;
                }
                None => {
                    let waited = self.changed.wait(queue);
                    queue = waited.expect("no action panics under the lock");
                }
            }
        }
    }
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_one();
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    // `BinaryHeap` pops the greatest entry first, so the order is reversed to pop the earliest.
    fn cmp(&self, other: &Entry) -> Ordering {
        (other.due, other.seq).cmp(&(self.due, self.seq))
    }
}
