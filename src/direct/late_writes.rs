//! Recognizes writes of upstreams that the registry executed late.
//!
//! The registry can execute a write of an upstream after a later write of the same upstream, or after
//! the upstream's removal. The entry would then send requests to an upstream that drains or has left.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use hemlockrouter_edge::Entry;
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
    /// The registration with this write was lost while the registry was away, or was overwritten
    /// by another writer. The upstream is expected to register again.
    Lapsed(UpstreamWrite),
}

/// Whether an entry is more recent than the last known write of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Recency {
    /// The entry was written later.
    Later,
    /// The entry was written earlier, or repeats the last write of an upstream that has left.
    Earlier,
    /// The entry may have been written earlier. Writes that change nothing but the sequence are not
    /// known, and a clock that is set back makes a later start look earlier.
    Unknown,
}

impl LastWrite {
    /// Returns whether `entry` is more recent.
    pub(super) fn recency_of(self, entry: &UpstreamEntry) -> Recency {
        let write = UpstreamWrite::from_entry(entry);
        let last_write = self.write();
        let is_repetition = write.sequence == last_write.sequence;
        match write.incarnation.cmp(&last_write.incarnation) {
            Ordering::Greater => Recency::Later,
            Ordering::Less => Recency::Unknown,
            Ordering::Equal if write.sequence < last_write.sequence => Recency::Earlier,
            Ordering::Equal => match self {
                LastWrite::Registered(_) => Recency::Later,
                LastWrite::Left(_) | LastWrite::Lapsed(_) if is_repetition => Recency::Earlier,
                LastWrite::Left(_) => Recency::Unknown,
                LastWrite::Lapsed(_) => Recency::Later,
            },
        }
    }

    /// Logs that an earlier write is not used.
    pub(super) fn log_earlier(self, entry: &UpstreamEntry) {
        let message = match self {
            LastWrite::Registered(_) => "late write of a registered upstream",
            LastWrite::Left(_) | LastWrite::Lapsed(_) => "late write of an upstream that has left",
        };
        self.log(entry, message);
    }

    /// Logs that an upstream is not used before its registration is confirmed.
    pub(super) fn log_unconfirmed(self, entry: &UpstreamEntry) {
        self.log(entry, "registration to be confirmed");
    }

    fn log(self, entry: &UpstreamEntry, message: &str) {
        let last_write = self.write();
        info!(
            target: "belief",
            upstream = entry.id.as_str(),
            sequence = entry.sequence,
            last_sequence = last_write.sequence,
            start = entry.incarnation,
            last_start = last_write.incarnation;
            "{message}"
        );
    }

    /// Returns the position of the write.
    pub(super) fn write(self) -> UpstreamWrite {
        match self {
            LastWrite::Registered(write) | LastWrite::Left(write) | LastWrite::Lapsed(write) => {
                write
            }
        }
    }
}

/// A series of changes without the earlier writes in it.
pub(super) struct RecentChanges<'c> {
    pub(super) changes: Vec<&'c Entry>,
    /// Upstreams whose last entry in the series may be an earlier write, by id, each with its removal
    /// in the series, if there is one.
    unconfirmed: BTreeMap<&'c str, Option<&'c Entry>>,
}

impl RecentChanges<'_> {
    /// Returns whether the last entry of a subject may be an earlier write.
    pub(super) fn is_unconfirmed(&self, entry: &Entry) -> bool {
        self.find_unconfirmed(entry).is_some()
    }

    /// Returns the removal that precedes an unconfirmed entry in the series.
    pub(super) fn removal_before(&self, entry: &Entry) -> Option<&Entry> {
        *self.find_unconfirmed(entry)?
    }

    fn find_unconfirmed(&self, entry: &Entry) -> Option<&Option<&Entry>> {
        match &entry.change {
            EntryChange::Upstream(upstream) => self.unconfirmed.get(upstream.id.as_str()),
            _ => None,
        }
    }
}

/// Removes earlier writes of upstreams from a series of changes. `last_write` returns the last write
/// of an upstream before the series, and `write_before_removal` what a removal in the series says of
/// the write before it.
pub(super) fn without_earlier_writes<'c, F, L>(
    changes: Vec<&'c Entry>,
    last_write: F,
    write_before_removal: L,
) -> RecentChanges<'c>
where
    F: Fn(&str, u64) -> Option<LastWrite>,
    L: Fn(UpstreamWrite) -> LastWrite,
{
    let mut last_writes: BTreeMap<&str, LastWrite> = BTreeMap::new();
    let mut recent = RecentChanges {
        changes: Vec::with_capacity(changes.len()),
        unconfirmed: BTreeMap::new(),
    };
    let mut removals: BTreeMap<&str, &Entry> = BTreeMap::new();
    for entry in changes {
        let known = |id: &str| {
            let in_series = last_writes.get(id).copied();
            in_series.or_else(|| last_write(id, entry.revision))
        };
        match &entry.change {
            EntryChange::UpstreamGone { id } => {
                recent.unconfirmed.remove(id.as_str());
                removals.insert(id, entry);
                if let Some(last_write) = known(id) {
                    last_writes.insert(id, write_before_removal(last_write.write()));
                }
            }
            EntryChange::Upstream(upstream) => {
                let last_write = known(&upstream.id);
                let write = UpstreamWrite::from_entry(upstream);
                match last_write.map(|last_write| (last_write, last_write.recency_of(upstream))) {
                    Some((last_write, Recency::Earlier)) => {
                        last_write.log_earlier(upstream);
                        continue;
                    }
                    Some((last_write, Recency::Unknown)) => {
                        last_write.log_unconfirmed(upstream);
                        let removal = removals.get(upstream.id.as_str()).copied();
                        recent.unconfirmed.insert(&upstream.id, removal);
                        last_writes.insert(&upstream.id, LastWrite::Left(write));
                    }
                    Some((_, Recency::Later)) | None => {
                        recent.unconfirmed.remove(upstream.id.as_str());
                        last_writes.insert(&upstream.id, LastWrite::Registered(write));
                    }
                }
            }
            _ => {}
        }
        recent.changes.push(entry);
    }
    recent
}
