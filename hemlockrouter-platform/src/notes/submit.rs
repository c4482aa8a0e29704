//! Submitting a note.

use std::borrow::Cow;

use hemlockrouter_config::Error;
use hemlockrouter_config::Note;
use hemlockrouter_types::prelude::*;

use super::load;
use super::note_key;
use super::Slot;
use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// How often a write whose answer was lost is settled before the submission is given up.
const SETTLE_MAX: usize = 3;

/// How many accepted notes are searched for one that was submitted before.
const SEARCH_MAX: usize = 4_096;

/// How a submission ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Submission {
    /// The note is accepted, now or by an earlier submission of the same file.
    Accepted {
        /// The number under which it was accepted.
        number: ConfigNumber,
    },
    /// The note does not check. Nothing was written.
    Refused(Error),
    /// Another note came first. This one is not accepted.
    Conflict {
        /// The number of the note that came first.
        number: ConfigNumber,
        /// Its id.
        id: String,
        /// Who wrote it.
        author: String,
    },
    /// The store did not answer.
    Unavailable {
        /// Whether the note may have been accepted all the same. Submitting the same file again
        /// settles it, and is safe either way.
        maybe: bool,
    },
}

/// Checks a note against a catalogue without submitting it.
///
/// # Errors
///
/// As [`Note::apply`].
pub fn check(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    note.apply(catalog, catalog.number.next()).map(|_| ())
}

/// Submits `note`, checked against `catalog`, as the note after the catalogue's number.
///
/// The one create-only write of the next number is the acceptance. If its answer is lost, the slot
/// tells whose note it holds. A note that another submission of the same file got accepted is found
/// among the catalogue's [recent notes](Catalog::recent) or in the store after them.
pub fn submit<S>(store: &S, note: &Note, catalog: &Catalog) -> Submission
where
    S: Store + ?Sized,
{
    let mut catalog = Cow::Borrowed(catalog);
    let mut maybe = false;
    // An instance that was cut off for so long that its next number is pruned starts from the
    // base, once.
    for _ in 0..2 {
        match attempt(store, note, &catalog, &mut maybe) {
            Attempt::Ended(submission) => return submission,
            Attempt::Behind => match load(store) {
                Ok(loaded) => catalog = Cow::Owned(loaded.catalog),
                Err(_) => return Submission::Unavailable { maybe },
            },
        }
    }
    Submission::Unavailable { maybe }
}

enum Attempt {
    Ended(Submission),
    /// The next number of the catalogue is pruned.
    Behind,
}

fn attempt<S>(store: &S, note: &Note, catalog: &Catalog, maybe: &mut bool) -> Attempt
where
    S: Store + ?Sized,
{
    if let Some(head) = catalog.find_note(note.id()) {
        if head.digest == note.digest() {
            return Attempt::Ended(Submission::Accepted {
                number: head.number,
            });
        }
    }
    let number = catalog.number.next();
    if let Err(err) = note.apply(catalog, number) {
        return refused(store, note, number, err);
    }
    for _ in 0..SETTLE_MAX {
        match store.write(&note_key(number), note.bytes(), Guard::Absent) {
            Written::Yes => return Attempt::Ended(Submission::Accepted { number }),
            Written::NotSent => break,
            Written::No => {}
            Written::Unknown => *maybe = true,
        }
        match search(store, note, number) {
            // The write has not taken effect so far. Writing the same again is safe.
            Found::Nothing => {}
            Found::Down => break,
            Found::Pruned => return Attempt::Behind,
            Found::This(number) => return Attempt::Ended(Submission::Accepted { number }),
            Found::Other { number, id, author } => {
                return Attempt::Ended(Submission::Conflict { number, id, author });
            }
        }
    }
    Attempt::Ended(Submission::Unavailable { maybe: *maybe })
}

/// Ends a submission whose note does not check against this instance's catalogue. If the instance
/// lags, the reason may be that the note is accepted already, or that another came first.
fn refused<S>(store: &S, note: &Note, number: ConfigNumber, err: Error) -> Attempt
where
    S: Store + ?Sized,
{
    match search(store, note, number) {
        Found::This(number) => Attempt::Ended(Submission::Accepted { number }),
        Found::Pruned => Attempt::Behind,
        Found::Nothing | Found::Other { .. } | Found::Down => {
            Attempt::Ended(Submission::Refused(err))
        }
    }
}

/// What the numbers after a catalogue hold.
enum Found {
    /// No note.
    Nothing,
    /// This note, under this number.
    This(ConfigNumber),
    /// Other notes; the first of them.
    Other {
        number: ConfigNumber,
        id: String,
        author: String,
    },
    /// A tombstone.
    Pruned,
    /// The store does not answer.
    Down,
}

/// Searches the store from `first` on for `note`.
fn search<S>(store: &S, note: &Note, first: ConfigNumber) -> Found
where
    S: Store + ?Sized,
{
    let mut other = Found::Nothing;
    let mut number = first;
    for _ in 0..SEARCH_MAX {
        let Ok(read) = store.get(&note_key(number)) else {
            return Found::Down;
        };
        match Slot::new(read.entry.map(|entry| entry.value)) {
            Slot::Free => return other,
            Slot::Pruned => return Found::Pruned,
            Slot::Note(bytes) if bytes == note.bytes() => return Found::This(number),
            Slot::Note(bytes) => {
                if matches!(other, Found::Nothing) {
                    other = describe(number, &bytes);
                }
            }
        }
        number = number.next();
    }
    other
}

fn describe(number: ConfigNumber, bytes: &[u8]) -> Found {
    let (id, author) = match Note::from_bytes(bytes, "") {
        Ok(note) => (String::from(note.id()), String::from(note.author())),
        Err(_) => (String::from("unreadable"), String::from("unknown")),
    };
    Found::Other { number, id, author }
}
