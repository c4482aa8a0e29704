//! Counters of the calls to the platform.
//!
//! The platform counts every call, and its capacity grows more slowly than the fleet. The client
//! therefore counts its own calls, so that the counts can be exported as metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Numbers of calls to the platform since the client was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of keys, of lists of keys and of the instance list.
    pub reads: u64,
    /// Blocking reads; a read counts once, regardless of its wait time.
    pub waits: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Calls of any kind that got no usable response.
    pub failed: u64,
}

#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    reads: AtomicU64,
    waits: AtomicU64,
    writes: AtomicU64,
    failed: AtomicU64,
}

impl CallCounter {
    pub(crate) fn count_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_wait(&self) {
        self.waits.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn calls(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            waits: self.waits.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}
