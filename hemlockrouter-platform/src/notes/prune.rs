//! Replaces notes far behind the base document by tombstones, and deletes old tombstones.

use hemlockrouter_types::prelude::*;

use super::note_key;
use super::TOMBSTONE_VALUE;
use crate::store::Store;
use crate::store::WriteCondition;
use crate::store::WriteOutcome;

/// The numbers of notes and tombstones that are kept behind the base document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PruneMargins {
    /// Number of notes that are kept, for operators to read and for readers that have loaded the base
    /// but not yet all notes after it. Default: 256.
    pub notes: u64,
    /// Number of tombstones that are kept. An instance that missed more notes than this could
    /// mistake a freed number for the next one. At 1,800 notes per day, this happens only after a
    /// partition of 55 days. Default: 100,000.
    pub tombstones: u64,
}

impl Default for PruneMargins {
    fn default() -> PruneMargins {
        PruneMargins {
            notes: 256,
            tombstones: 100_000,
        }
    }
}

/// The result of [`prune`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PruneCounts {
    /// Number of notes that were replaced by tombstones.
    pub notes: u64,
    /// Number of tombstones that were deleted.
    pub tombstones: u64,
}

/// Prunes notes after the number of the base document rose from `base_before` to `base_now`. This
/// costs one write for each note that leaves the margin of notes, and one deletion for each
/// tombstone that leaves the margin of tombstones. Pruning stops at the first write that fails. The
/// remaining notes and tombstones then stay in the store, which is harmless.
pub fn prune<S>(
    store: &S,
    base_before: ConfigNumber,
    base_now: ConfigNumber,
    margins: PruneMargins,
) -> PruneCounts
where
    S: Store + ?Sized,
{
    let mut pruned = PruneCounts::default();
    for number in numbers_leaving_margin(base_before, base_now, margins.notes) {
        if store.write(
            &note_key(number),
            TOMBSTONE_VALUE,
            WriteCondition::Unconditional,
        ) != WriteOutcome::Applied
        {
            return pruned;
        }
        pruned.notes += 1;
    }
    for number in numbers_leaving_margin(base_before, base_now, margins.tombstones) {
        if store.delete(&note_key(number)) != WriteOutcome::Applied {
            return pruned;
        }
        pruned.tombstones += 1;
    }
    pruned
}

/// Returns the numbers that leave a margin of `margin` notes when the number of the base rises from
/// `base_before` to `base_now`.
fn numbers_leaving_margin(
    base_before: ConfigNumber,
    base_now: ConfigNumber,
    margin: u64,
) -> impl Iterator<Item = ConfigNumber> {
    let first = base_before.0.saturating_sub(margin) + 1;
    let last = base_now.0.saturating_sub(margin);
    (first..=last).map(ConfigNumber)
}
