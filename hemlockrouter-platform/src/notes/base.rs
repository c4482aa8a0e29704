//! Writing the base document, and pruning the notes far behind it.

use hemlockrouter_config::Base;
use hemlockrouter_types::prelude::*;

use super::note_key;
use super::BASE_KEY;
use super::TOMBSTONE;
use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// How many notes behind the base are kept, for operators to read and for readers that are between
/// the base and the notes.
const KEEP_NOTES: u64 = 256;

/// How many tombstones are kept. An instance that missed more notes than this could take a freed
/// number for the next one; at 1,800 notes a day it would have been cut off for 55 days.
const KEEP_TOMBSTONES: u64 = 100_000;

/// How writing the base document ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaseWritten {
    /// It was written.
    Yes {
        /// The number of the one that it replaced.
        before: ConfigNumber,
    },
    /// One with this number, not lower, stands already.
    Newer(ConfigNumber),
    /// Another writer came between, or the store did not answer.
    No,
    /// The catalogue is larger than the store holds.
    TooLarge {
        /// The size of the document in bytes.
        bytes: usize,
    },
}

/// Writes the catalogue as the base document, unless one that is not older stands already. It costs
/// one read and at most one write.
pub fn write_base<S>(store: &S, catalog: &Catalog) -> BaseWritten
where
    S: Store + ?Sized,
{
    let Ok(read) = store.get(BASE_KEY) else {
        return BaseWritten::No;
    };
    let (before, guard) = match read.entry {
        None => (ConfigNumber(0), Guard::Absent),
        Some(entry) => match Base::decode(&entry.value) {
            Ok(base) => (base.number, Guard::Version(entry.version)),
            // One that can't be read may be of a later release: leave it.
            Err(_) => return BaseWritten::No,
        },
    };
    if before >= catalog.number {
        return BaseWritten::Newer(before);
    }
    let document = Base::encode(catalog);
    if document.len() > hemlockrouter_config::note::NOTE_MAX_BYTES {
        return BaseWritten::TooLarge {
            bytes: document.len(),
        };
    }
    match store.write(BASE_KEY, &document, guard) {
        Written::Yes => BaseWritten::Yes { before },
        Written::No | Written::NotSent | Written::Unknown => BaseWritten::No,
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
pub fn prune<S>(store: &S, before: ConfigNumber, now: ConfigNumber) -> Pruned
where
    S: Store + ?Sized,
{
    let mut pruned = Pruned::default();
    for number in behind(before, now, KEEP_NOTES) {
        if store.write(&note_key(number), TOMBSTONE, Guard::Any) != Written::Yes {
            return pruned;
        }
        pruned.notes += 1;
    }
    for number in behind(before, now, KEEP_TOMBSTONES) {
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
