//! Following the store for new notes.

use hemlockrouter_types::prelude::*;

use super::load::NumberedNote;
use super::note_key;
use super::Slot;
use crate::store::Down;
use crate::store::Store;

/// Follows the notes after some number, one call of the store at a time.
///
/// It watches the key of the next number alone, so what else is written or pruned wakes nobody and
/// costs no bytes. For each number it reads once without waiting, which gives the index to wait
/// from; then each wake or timeout is one call.
#[derive(Clone, Debug)]
pub struct Follower {
    next: ConfigNumber,
    index: Option<u64>,
}

/// What one call gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Followed {
    /// The next note.
    Note(NumberedNote),
    /// There is no next note yet.
    Nothing,
    /// The next note was pruned: load the base document again.
    Behind,
    /// The store does not answer. The caller waits before it calls again.
    Down(Down),
}

impl Follower {
    /// Follows the notes after `after`.
    pub fn new(after: ConfigNumber) -> Follower {
        Follower {
            next: after.next(),
            index: None,
        }
    }

    /// Goes on after `after`, if that is further on: the notes up to it came another way.
    pub fn skip_to(&mut self, after: ConfigNumber) {
        if after >= self.next {
            *self = Follower::new(after);
        }
    }

    /// Calls the store once, for at most `wait_ms` milliseconds and the store's timeout.
    pub fn follow<S>(&mut self, store: &S, wait_ms: u64) -> Followed
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
                return Followed::Down(down);
            }
        };
        match Slot::new(read.entry.map(|entry| entry.value)) {
            Slot::Free => {
                // An index that went back comes from a store that was restored: start again.
                let went_back = self.index.is_some_and(|index| read.index < index);
                self.index = (!went_back).then_some(read.index);
                Followed::Nothing
            }
            Slot::Pruned => {
                self.index = None;
                Followed::Behind
            }
            Slot::Note(bytes) => {
                let number = self.next;
                *self = Follower::new(number);
                Followed::Note(NumberedNote { number, bytes })
            }
        }
    }
}
