//! Release notes in the store: numbered changes of the configuration.
//!
//! Accepted notes are stored under consecutive numbers. A note is accepted by the create-only write
//! of the key with the next number. This write succeeds for one operator only and is atomic, and its
//! outcome can be determined by reading the key if the response was lost. The *base* document holds
//! the catalogue up to some number, so that a new instance reads only the base and the few notes
//! after it (the *tail*).
//!
//! Notes far behind the base are replaced by a small tombstone instead of being deleted. If their
//! numbers became free, an instance that was partitioned for a long time could accept a note under
//! such a number, and no other instance would ever read that note. A tombstone also tells a reader
//! that it has to load the base again.

mod base;
mod follow;
mod load;
mod prune;
mod submit;

use hemlockrouter_types::prelude::*;

pub use self::base::write_base;
pub use self::base::write_base_in_parts;
pub use self::base::BaseHead;
pub use self::base::BaseWriteOutcome;
pub use self::base::PART_MAX_BYTES;
pub use self::follow::FollowResult;
pub use self::follow::Follower;
pub use self::load::load;
pub use self::load::LoadError;
pub use self::load::LoadedConfig;
pub use self::load::NumberedNote;
pub use self::prune::prune;
pub use self::prune::PruneCounts;
pub use self::prune::PruneMargins;
pub use self::submit::check;
pub use self::submit::submit;
pub use self::submit::Submission;

/// Prefix of the keys of notes in the store.
pub const NOTES_PREFIX: &str = "hemlockrouter/notes/";

/// Key of the head of the base document in the store.
pub const BASE_KEY: &str = "hemlockrouter/base";

/// Prefix of the keys of the parts of base documents in the store.
const BASE_PARTS_PREFIX: &str = "hemlockrouter/base-parts/";

/// Value that replaces a pruned note.
const TOMBSTONE_VALUE: &[u8] = b"pruned";

/// The content of the key with a note's number.
enum NoteSlot {
    /// The key does not exist: no note has this number yet.
    Free,
    /// The note was pruned; the base document includes it.
    Pruned,
    /// The bytes of the note.
    Note(Vec<u8>),
}

impl NoteSlot {
    fn new(value: Option<Vec<u8>>) -> NoteSlot {
        match value {
            None => NoteSlot::Free,
            Some(bytes) if bytes == TOMBSTONE_VALUE => NoteSlot::Pruned,
            Some(bytes) => NoteSlot::Note(bytes),
        }
    }
}

/// Returns the key of the note with this number. Keys sort in the order of their numbers.
pub fn note_key(number: ConfigNumber) -> String {
    format!("{NOTES_PREFIX}{:020}", number.0)
}
