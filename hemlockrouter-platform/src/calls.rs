//! How often the platform was called.
//!
//! The platform counts each call and grows more slowly than the fleet, so the product counts them
//! as well, for its metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Numbers of calls since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of keys, of lists of keys and of the instance list.
    pub reads: u64,
    /// Blocking reads; one that waits for long counts once.
    pub waits: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Calls of any kind without a usable answer.
    pub failed: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counter {
    reads: AtomicU64,
    waits: AtomicU64,
    writes: AtomicU64,
    failed: AtomicU64,
}

impl Counter {
    pub(crate) fn read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn wait(&self) {
        self.waits.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn fail(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            waits: self.waits.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}
