//! Remembers upstreams that have left, so that entries that they wrote before are not used again.
//!
//! The registry can execute a write of an upstream after the upstream's removal, and a copy from
//! which the registry is restored can list upstreams that have left since.

use std::collections::BTreeMap;

use hemlockrouter_edge::UpstreamWrite;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::UpstreamEntry;

use super::late_writes::LastWrite;

/// Time for which an upstream that has left is remembered, in milliseconds. It is longer than the
/// age of a backup copy and the delay of a write.
const RETENTION_MS: u64 = 60_000;

/// Upstreams that have left.
#[derive(Default)]
pub(super) struct DepartedUpstreams {
    /// Last write of each upstream and the time at which it left, by id.
    by_id: BTreeMap<String, (LastWrite, Time)>,
}

impl DepartedUpstreams {
    /// Records that an upstream has left after `last_write`.
    pub(super) fn record_left(&mut self, now: Time, id: &str, last_write: LastWrite) {
        self.by_id
            .retain(|_, (_, at)| now.ms_since(*at) <= RETENTION_MS);
        self.by_id.insert(String::from(id), (last_write, now));
    }

    /// Records that the registration of an upstream was lost in a restore of the registry.
    pub(super) fn record_lapsed(&mut self, now: Time, entry: &UpstreamEntry) {
        let last_write = LastWrite::Lapsed(UpstreamWrite::from_entry(entry));
        self.record_left(now, &entry.id, last_write);
    }

    /// Records the removal of an upstream whose registration had lapsed, so that it is not expected
    /// back any more.
    pub(super) fn record_removed(&mut self, now: Time, id: &str) {
        if let Some(last_write) = self.last_write(now, id) {
            self.record_left(now, id, LastWrite::Left(last_write.write()));
        }
    }

    /// Records a write of an upstream, which is back.
    pub(super) fn record_written(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Returns the last write of each upstream that has left.
    pub(super) fn last_writes(&self) -> BTreeMap<String, UpstreamWrite> {
        let last_writes = self.by_id.iter();
        last_writes
            .map(|(id, (last_write, _))| (id.clone(), last_write.write()))
            .collect()
    }

    /// Returns the last write of an upstream that has left; `None` if that is not known.
    pub(super) fn last_write(&self, now: Time, id: &str) -> Option<LastWrite> {
        let (last_write, left_at) = self.by_id.get(id)?;
        (now.ms_since(*left_at) <= RETENTION_MS).then_some(*last_write)
    }
}
