//! Pruning the notes far behind the base document.

use hemlockrouter_types::prelude::*;

use super::note_key;
use super::TOMBSTONE;
use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// How much is kept behind the base document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Margins {
    /// Notes, for operators to read and for readers that are between the base and the notes.
    /// Default: 256.
    pub notes: u64,
    /// Tombstones. An instance that missed more notes than this could take a freed number for the
    /// next one; at 1,800 notes a day it would have been cut off for 55 days. Default: 100,000.
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

/// What pruning did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pruned {
    /// Notes that were replaced by tombstones.
    pub notes: u64,
    /// Tombstones that were deleted.
    pub tombstones: u64,
}

/// Prunes after the base document went from `before` to `now`: one write for each note that falls
/// out of the margin behind the base. It stops when the store does not answer; what is left then
/// stays, and does no harm.
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

/// Returns the numbers that fall out of a margin of `keep` when the base goes from `before` to
/// `now`.
fn behind(
    before: ConfigNumber,
    now: ConfigNumber,
    keep: u64,
) -> impl Iterator<Item = ConfigNumber> {
    let first = before.0.saturating_sub(keep) + 1;
    let last = now.0.saturating_sub(keep);
    (first..=last).map(ConfigNumber)
}
