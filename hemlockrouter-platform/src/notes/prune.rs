//! Replaces notes far behind the base document by tombstones, and deletes old tombstones.

use hemlockrouter_types::prelude::*;

use super::note_key;
use super::TOMBSTONE;
use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// The numbers of notes and tombstones that are kept behind the base document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Margins {
    /// Number of notes that are kept, for operators to read and for readers that have loaded the base
    /// but not yet all notes after it. Default: 256.
    pub notes: u64,
    /// Number of tombstones that are kept. An instance that missed more notes than this could mistake a
    /// freed number for the next one. At 1,800 notes per day, that takes a partition of 55 days.
    /// Default: 100,000.
    pub tombstones: u64,
}

impl Default for Margins {
    fn default() -> Margins {
        Margins {
            notes: 256,
            tombstones: 100_000,
        }
    }
}

/// The result of [`prune`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pruned {
    /// Number of notes that were replaced by tombstones.
    pub notes: u64,
    /// Number of tombstones that were deleted.
    pub tombstones: u64,
}

/// Prunes notes after the number of the base document rose from `before` to `now`. This costs one write
/// for each note that leaves the margin of notes, and one deletion for each tombstone that leaves the
/// margin of tombstones. Pruning stops at the first write that fails. The remaining notes and
/// tombstones then stay in the store, which is harmless.
pub fn prune<S>(store: &S, before: ConfigNumber, now: ConfigNumber, margins: Margins) -> Pruned
where
    S: Store + ?Sized,
{
    let mut pruned = Pruned::default();
    for number in behind(before, now, margins.notes) {
        if store.write(&note_key(number), TOMBSTONE, Guard::Any) != Written::Yes {
            return pruned;
        }
        pruned.notes += 1;
    }
    for number in behind(before, now, margins.tombstones) {
        if store.delete(&note_key(number)) != Written::Yes {
            return pruned;
        }
        pruned.tombstones += 1;
    }
    pruned
}

/// Returns the numbers that leave a margin of `keep` notes when the number of the base rises from
/// `before` to `now`.
fn behind(
    before: ConfigNumber,
    now: ConfigNumber,
    keep: u64,
) -> impl Iterator<Item = ConfigNumber> {
    let first = before.0.saturating_sub(keep) + 1;
    let last = now.0.saturating_sub(keep);
    (first..=last).map(ConfigNumber)
}
