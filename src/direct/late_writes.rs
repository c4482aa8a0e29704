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
    /// The upstream is registered with the entry of this write, which may be late, and no departure
    /// is known.
    New(UpstreamWrite),
    /// The upstream has left after this write.
    Left(UpstreamWrite),
    /// The registration with this write was lost while the registry was away, or was overwritten
    /// by another writer. The upstream is expected to register again.
    Lapsed(UpstreamWrite),
}

/// What is known of an upstream's writes before an entry.
#[derive(Clone, Copy, Debug)]
pub(super) enum PreviousWrite {
    /// The upstream is not registered, and no departure is known.
    Unseen,
    /// The entry is known or expected: the registry repeats it, or lost it in a restore.
    Expected,
    /// The upstream's last write.
    Seen(LastWrite),
}

/// Whether an entry is more recent than the last known write of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Recency {
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
    fn recency_of(self, entry: &UpstreamEntry) -> Recency {
        let write = UpstreamWrite::from_entry(entry);
        let last_write = self.write();
        let is_repetition = write.sequence == last_write.sequence;
        let (later, repeated) = match self {
            LastWrite::Registered(_) => (Recency::Later, Recency::Later),
            LastWrite::New(_) => (Recency::Unknown, Recency::Unknown),
            LastWrite::Left(_) => (Recency::Unknown, Recency::Earlier),
            LastWrite::Lapsed(_) => (Recency::Later, Recency::Earlier),
        };
        match write.incarnation.cmp(&last_write.incarnation) {
            Ordering::Greater => later,
            Ordering::Less => Recency::Unknown,
            Ordering::Equal if write.sequence < last_write.sequence => Recency::Earlier,
            Ordering::Equal if is_repetition => repeated,
            Ordering::Equal => later,
        }
    }

    /// Returns the last write of an upstream whose entry is not confirmed. `has_left` states whether it
    /// is known to have left or drained before.
    pub(super) fn unconfirmed(entry: &UpstreamEntry, has_left: bool) -> LastWrite {
        let write = UpstreamWrite::from_entry(entry);
        match has_left {
            true => LastWrite::Left(write),
            false => LastWrite::New(write),
        }
    }

    /// Logs that an earlier write is not used.
    fn log_earlier(self, entry: &UpstreamEntry) {
        let message = match self {
            LastWrite::Registered(_) | LastWrite::New(_) => "late write of a registered upstream",
            LastWrite::Left(_) | LastWrite::Lapsed(_) => "late write of an upstream that has left",
        };
        self.log(entry, message);
    }

    /// Logs that an upstream is not used before its registration is confirmed.
    fn log_unconfirmed(self, entry: &UpstreamEntry) {
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
            LastWrite::Registered(write)
            | LastWrite::New(write)
            | LastWrite::Left(write)
            | LastWrite::Lapsed(write) => write,
        }
    }
}

/// What becomes of an entry of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) enum Verdict {
    /// The entry changes nothing that is known.
    Repeated,
    /// The entry is an earlier write, which is not used.
    Earlier,
    /// The entry is used.
    Current,
    /// The entry is not used before it is confirmed. `has_left` states whether the upstream is known
    /// to have left or drained before.
    Unconfirmed { has_left: bool },
}

impl PreviousWrite {
    /// Decides on an entry, and logs it unless it is used.
    pub(super) fn judge(self, entry: &UpstreamEntry) -> Verdict {
        let last_write = match self {
            PreviousWrite::Expected => return Verdict::Repeated,
            PreviousWrite::Unseen => {
                log_new(entry);
                return Verdict::Unconfirmed { has_left: false };
            }
            PreviousWrite::Seen(last_write) => last_write,
        };
        match last_write.recency_of(entry) {
            Recency::Later => Verdict::Current,
            Recency::Earlier => {
                last_write.log_earlier(entry);
                Verdict::Earlier
            }
            Recency::Unknown => {
                last_write.log_unconfirmed(entry);
                let has_left = !matches!(last_write, LastWrite::New(_));
                Verdict::Unconfirmed { has_left }
            }
        }
    }
}

/// Logs that a new upstream is not used before its registration is confirmed.
fn log_new(entry: &UpstreamEntry) {
    info!(
        target: "belief",
        upstream = entry.id.as_str(),
        sequence = entry.sequence,
        start = entry.incarnation;
        "new registration to be confirmed"
    );
}

/// An upstream whose last entry in a series may be a late write.
#[derive(Clone, Copy)]
pub(super) struct UnconfirmedChange<'c> {
    /// Removal of the upstream in the series.
    pub(super) removal: Option<&'c Entry>,
    /// Whether the upstream is known to have left or drained before.
    pub(super) has_left: bool,
}

/// A series of changes without the earlier writes in it.
pub(super) struct RecentChanges<'c> {
    pub(super) changes: Vec<&'c Entry>,
    /// Upstreams whose last entry in the series may be an earlier write, by id.
    unconfirmed: BTreeMap<&'c str, UnconfirmedChange<'c>>,
}

impl<'c> RecentChanges<'c> {
    /// Returns what is known of an entry that may be an earlier write; `None` for any other.
    pub(super) fn find_unconfirmed(&self, entry: &Entry) -> Option<UnconfirmedChange<'c>> {
        match &entry.change {
            EntryChange::Upstream(upstream) => self.unconfirmed.get(upstream.id.as_str()).copied(),
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
    F: Fn(&str, u64) -> PreviousWrite,
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
            let in_series = last_writes.get(id).copied().map(PreviousWrite::Seen);
            in_series.unwrap_or_else(|| last_write(id, entry.revision))
        };
        match &entry.change {
            EntryChange::UpstreamGone { id } => {
                recent.unconfirmed.remove(id.as_str());
                removals.insert(id, entry);
                if let PreviousWrite::Seen(last_write) = known(id) {
                    last_writes.insert(id, write_before_removal(last_write.write()));
                }
            }
            EntryChange::Upstream(upstream) => {
                let (unconfirmed, write_after) = match known(&upstream.id).judge(upstream) {
                    Verdict::Earlier => continue,
                    Verdict::Repeated => (None, None),
                    Verdict::Current => {
                        let write = UpstreamWrite::from_entry(upstream);
                        recent.unconfirmed.remove(upstream.id.as_str());
                        (None, Some(LastWrite::Registered(write)))
                    }
                    Verdict::Unconfirmed { has_left } => {
                        let removal = removals.get(upstream.id.as_str()).copied();
                        let unconfirmed = UnconfirmedChange { removal, has_left };
                        let write_after = LastWrite::unconfirmed(upstream, has_left);
                        (Some(unconfirmed), Some(write_after))
                    }
                };
                if let Some(unconfirmed) = unconfirmed {
                    recent.unconfirmed.insert(&upstream.id, unconfirmed);
                }
                if let Some(write_after) = write_after {
                    last_writes.insert(&upstream.id, write_after);
                }
            }
            _ => {}
        }
        recent.changes.push(entry);
    }
    recent
}
