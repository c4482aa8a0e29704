//! Recognizes writes of upstreams that the registry executed late.
//!
//! The registry can execute a write of an upstream after a later write of the same upstream, or after
//! the upstream's removal. The entry would then send requests to an upstream that drains or has left.

use std::collections::BTreeMap;

use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::UpstreamWrite;
use hemlockrouter_types::routing::UpstreamEntry;
use log::info;

/// Last known write of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) enum LastWrite {
    /// The upstream is registered with the entry of this write.
    Registered(UpstreamWrite),
    /// The upstream has left after this write.
    Left(UpstreamWrite),
}

impl LastWrite {
    /// Returns whether `entry` was written before, or is a repetition by an upstream that has left.
    /// Writes of different starts are not compared, since a clock that is set back makes a later
    /// start look earlier.
    pub(super) fn is_late(self, entry: &UpstreamEntry) -> bool {
        let write = UpstreamWrite::from_entry(entry);
        let last_write = self.write();
        let is_earlier = match self {
            LastWrite::Registered(_) => write.sequence < last_write.sequence,
            LastWrite::Left(_) => write.sequence <= last_write.sequence,
        };
        write.incarnation == last_write.incarnation && is_earlier
    }

    /// Logs that a late write is not used.
    pub(super) fn log_late(self, entry: &UpstreamEntry) {
        let message = match self {
            LastWrite::Registered(_) => "late write of a registered upstream",
            LastWrite::Left(_) => "late write of an upstream that has left",
        };
        info!(
            target: "belief",
            upstream = entry.id.as_str(),
            sequence = entry.sequence,
            last_sequence = self.write().sequence;
            "{message}"
        );
    }

    fn write(self) -> UpstreamWrite {
        match self {
            LastWrite::Registered(write) | LastWrite::Left(write) => write,
        }
    }
}

/// Last writes of upstreams in a series of changes.
#[derive(Default)]
pub(super) struct ChangeSeries<'c> {
    last_writes: BTreeMap<&'c str, LastWrite>,
}

impl<'c> ChangeSeries<'c> {
    /// Returns whether the next change of the series is a late write. `last_write` returns the last
    /// write of an upstream before the series.
    pub(super) fn is_late<F>(&mut self, change: &'c EntryChange, last_write: F) -> bool
    where
        F: FnOnce(&str) -> Option<LastWrite>,
    {
        let known = |id: &str| self.last_writes.get(id).copied();
        match change {
            EntryChange::UpstreamGone { id } => {
                if let Some(last_write) = known(id).or_else(|| last_write(id)) {
                    let left = LastWrite::Left(last_write.write());
                    self.last_writes.insert(id, left);
                }
                false
            }
            EntryChange::Upstream(entry) => {
                let last_write = known(&entry.id).or_else(|| last_write(&entry.id));
                if let Some(last_write) = last_write.filter(|last_write| last_write.is_late(entry))
                {
                    last_write.log_late(entry);
                    return true;
                }
                let registered = LastWrite::Registered(UpstreamWrite::from_entry(entry));
                self.last_writes.insert(&entry.id, registered);
                false
            }
            _ => false,
        }
    }
}
