//! Counts of the calls that the store's stand-in received.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// What a call was.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A read of keys that answers at once.
    Read,
    /// A read of keys that waits for a change.
    Watch,
    /// A write or a deletion of keys.
    Write,
    /// A call on a session.
    Session,
    /// A read of the instance list that answers at once.
    ListRead,
    /// A read of the instance list that waits for a change.
    ListWatch,
    /// A change of the instance list.
    Register,
}

impl Kind {
    fn is_write(self) -> bool {
        match self {
            Kind::Write | Kind::Session | Kind::Register => true,
            Kind::Read | Kind::Watch | Kind::ListRead | Kind::ListWatch => false,
        }
    }
}

/// Counts of calls, in total and in the busiest second. A waiting read counts once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls of each kind.
    pub calls: BTreeMap<Kind, u64>,
    /// Calls that were refused or left without an answer by a fault.
    pub faulted: u64,
    /// Reads in the second that had the most.
    pub max_reads_per_second: u64,
    /// Writes in the second that had the most.
    pub max_writes_per_second: u64,
    /// Reads that are waiting now.
    pub waiting: usize,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    reads: u64,
    #[serde(skip)]
    writes: u64,
}

impl Counts {
    /// Returns the number of calls of one kind.
    pub fn of(&self, kind: Kind) -> u64 {
        self.calls.get(&kind).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, kind: Kind, start: Instant) {
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
