//! Follows the store for newly accepted notes.

use hemlockrouter_types::prelude::*;

use super::load::NumberedNote;
use super::note_key;
use super::NoteSlot;
use crate::store::PlatformUnavailable;
use crate::store::Store;

/// A follower that reads the notes after some number, with one call of the store at a time.
///
/// A follower watches only the key of the next number, so writes to other keys neither wake the
/// follower nor transfer any data. For each number, the follower first reads the key without waiting,
/// to learn the index for blocking reads. After that, each wake-up and each timeout costs one call.
#[derive(Clone, Debug)]
pub struct Follower {
    next: ConfigNumber,
    index: Option<u64>,
}

/// The result of one call of [`Follower::follow`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FollowResult {
    /// The next note.
    Note(NumberedNote),
    /// The next note has not been accepted yet.
    NoNewNote,
    /// The next note was pruned, so the caller has to load the base document again.
    NotePruned,
    /// The store did not answer. The caller must wait before it calls again.
    PlatformUnavailable(PlatformUnavailable),
}

impl Follower {
    /// Creates a follower of the notes after number `after`.
    pub fn new(after: ConfigNumber) -> Follower {
        Follower {
            next: after.next(),
            index: None,
        }
    }

    /// Continues after number `after` if that number is ahead of the follower, for a caller that
    /// got the notes up to `after` by other means.
    pub fn skip_to(&mut self, after: ConfigNumber) {
        if after >= self.next {
            *self = Follower::new(after);
        }
    }

    /// Calls the store once and waits at most `wait_ms` milliseconds for the next note, plus the
    /// timeout of the client.
    pub fn follow<S>(&mut self, store: &S, wait_ms: u64) -> FollowResult
    where
        S: Store + ?Sized,
    {
        let key = note_key(self.next);
        let read = match self.index {
            None => store.get(&key),
            Some(index) => store.wait(&key, index, wait_ms),
        };
        let read = match read {
            Ok(read) => read,
            Err(down) => {
                self.index = None;
                return FollowResult::PlatformUnavailable(down);
            }
        };
        match NoteSlot::new(read.entry.map(|entry| entry.value)) {
            NoteSlot::Free => {
                // A lower index than before means that the store was restored, so the follower
                // starts again with a read that does not wait.
                let has_index_decreased = self.index.is_some_and(|index| read.index < index);
                // A blocking read with index 0 would return at once.
                self.index = (!has_index_decreased).then_some(read.index.max(1));
                FollowResult::NoNewNote
            }
            NoteSlot::Pruned => {
                self.index = None;
                FollowResult::NotePruned
            }
            NoteSlot::Note(bytes) => {
                let number = self.next;
                *self = Follower::new(number);
                FollowResult::Note(NumberedNote { number, bytes })
            }
        }
    }
}
