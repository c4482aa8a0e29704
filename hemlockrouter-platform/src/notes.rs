//! Release notes in the store.
//!
//! Accepted notes stand under consecutive numbers. The create-only write of the next number is the
//! acceptance of a note: it succeeds for one operator only, takes effect whole, and can be settled
//! by reading the slot if its answer was lost. The *base* document holds the catalogue up to some
//! number, so that a new instance reads it and the few notes after it (the *tail*).
//!
//! Notes far behind the base are replaced by a small tombstone instead of being deleted. A number
//! that is free again would let an instance that was cut off for long accept a note under it, which
//! nobody would ever read; and a reader that meets a tombstone knows that it has to start from the
//! base again.

mod base;
mod follow;
mod load;
mod prune;
mod submit;

use hemlockrouter_types::prelude::*;

pub use self::base::write_base;
pub use self::base::write_base_in_parts;
pub use self::base::BaseHead;
pub use self::base::BaseWritten;
pub use self::base::PART_MAX_BYTES;
pub use self::follow::Followed;
pub use self::follow::Follower;
pub use self::load::load;
pub use self::load::LoadError;
pub use self::load::Loaded;
pub use self::load::NumberedNote;
pub use self::prune::prune;
pub use self::prune::Margins;
pub use self::prune::Pruned;
pub use self::submit::check;
pub use self::submit::submit;
pub use self::submit::Submission;

/// Where notes stand in the store.
pub const NOTES_PREFIX: &str = "hemlockrouter/notes/";

/// Where the head of the base document stands in the store.
pub const BASE_KEY: &str = "hemlockrouter/base";

/// Where the parts of base documents stand in the store.
const BASE_PARTS_PREFIX: &str = "hemlockrouter/base-parts/";

/// What stands under the number of a note that was pruned.
const TOMBSTONE: &[u8] = b"pruned";

/// What stands under the number of a note.
enum Slot {
    /// Nothing: no note has this number yet.
    Free,
    /// The note was pruned; the base document includes it.
    Pruned,
    /// The bytes of the note.
    Note(Vec<u8>),
}

impl Slot {
    fn new(value: Option<Vec<u8>>) -> Slot {
        match value {
            None => Slot::Free,
            Some(bytes) if bytes == TOMBSTONE => Slot::Pruned,
            Some(bytes) => Slot::Note(bytes),
        }
    }
}

/// Returns the key of the note with this number. Keys sort as the numbers do.
pub fn note_key(number: ConfigNumber) -> String {
    format!("{NOTES_PREFIX}{:020}", number.0)
}
