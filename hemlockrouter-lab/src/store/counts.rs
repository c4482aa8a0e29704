//! Counters of the calls to the simulated store.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// The kind of a call to the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A read of keys that is answered at once.
    Read,
    /// A read of keys that waits for a change.
    Watch,
    /// A write or a deletion of keys.
    Write,
    /// A call on a session.
    Session,
    /// A read of the instance list that is answered at once.
    ListRead,
    /// A read of the instance list that waits for a change.
    ListWatch,
    /// A change of the instance list.
    Register,
}

impl CallKind {
    fn is_write(self) -> bool {
        match self {
            CallKind::Write | CallKind::Session | CallKind::Register => true,
            CallKind::Read | CallKind::Watch | CallKind::ListRead | CallKind::ListWatch => false,
        }
    }
}

/// Counters of calls, in total and in the busiest second. A blocking read counts once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Number of calls by kind.
    pub calls: BTreeMap<CallKind, u64>,
    /// Calls that failed or got no answer because of an injected fault.
    pub faulted: u64,
    /// Maximum number of reads in one second.
    pub max_reads_per_second: u64,
    /// Maximum number of writes in one second.
    pub max_writes_per_second: u64,
    /// Blocking reads that are waiting now.
    pub waiting: usize,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    reads: u64,
    #[serde(skip)]
    writes: u64,
}

impl StoreCounts {
    /// Returns the number of calls of one kind.
    pub fn calls_of_kind(&self, kind: CallKind) -> u64 {
        self.calls.get(&kind).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, kind: CallKind, start: Instant) {
        *self.calls.entry(kind).or_default() += 1;
        let second = start.elapsed().as_secs();
        if second != self.second {
            self.second = second;
            self.reads = 0;
            self.writes = 0;
        }
        if kind.is_write() {
            self.writes += 1;
            self.max_writes_per_second = self.max_writes_per_second.max(self.writes);
        } else {
            self.reads += 1;
            self.max_reads_per_second = self.max_reads_per_second.max(self.reads);
        }
    }
}
