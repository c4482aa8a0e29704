//! Submitting a note.
//!
//! A submission first catches up: it reads the numbers after the instance's own until one is free,
//! and applies the notes that it finds. It then checks the note and writes it under the free
//! number, create-only. That order makes every answer final. At the time of the read no note stood
//! under the free number or a later one, so an earlier submission of the same file, whose write may
//! still be on its way, aimed at this number or at one that is taken: either this submission meets
//! it there, or it takes no effect.

use std::borrow::Cow;

use hemlockrouter_config::accept;
use hemlockrouter_config::Error;
use hemlockrouter_config::Note;
use hemlockrouter_types::prelude::*;

use super::load;
use super::note_key;
use super::Slot;
use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// How many accepted notes an instance may lag behind.
const LAG_MAX: usize = 1_024;

/// How many writes a submission tries. Most are lost to notes of other operators that came first
/// without touching what this one touches; others had no answer.
const WRITES_MAX: usize = 32;

/// How many writes in a row without an answer a submission tries.
const UNANSWERED_MAX: usize = 3;

/// How a submission ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Submission {
    /// The note is accepted, now or by an earlier submission of the same file.
    Accepted {
        /// The number under which it was accepted.
        number: ConfigNumber,
    },
    /// The note does not check. It is not accepted.
    Refused(Error),
    /// Another note came first: it raced with this one and touches the same things, or this one
    /// does not check any more because of it. This one is not accepted.
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
        /// Whether this submission may have got the note accepted all the same. Submitting the
        /// same file again settles it, and is safe either way. What became of an earlier submission
        /// of the same file is as open as before.
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

/// Submits `note` through an instance that has `catalog` in force.
///
/// It costs one read and one write, and one more read for each note that the instance lags behind.
/// A note that another submission of the same file got accepted is known by its id, among the
/// [recent notes](Catalog::recent).
pub fn submit<S>(store: &S, note: &Note, catalog: &Catalog) -> Submission
where
    S: Store + ?Sized,
{
    let mut attempt = Attempt {
        store,
        note,
        catalog: Cow::Borrowed(catalog),
        first: None,
        raced: None,
        maybe: false,
    };
    attempt.run()
}

struct Attempt<'a, S>
where
    S: ?Sized,
{
    store: &'a S,
    note: &'a Note,
    catalog: Cow<'a, Catalog>,
    /// The note because of which this one does not check any more.
    first: Option<Rival>,
    /// The number for which a write of this submission failed or was not answered.
    raced: Option<ConfigNumber>,
    /// Whether a write was not answered.
    maybe: bool,
}

/// A note of another operator.
struct Rival {
    number: ConfigNumber,
    id: String,
    author: String,
}

/// What a step of a submission gave.
enum Step {
    /// The submission goes on.
    Next,
    Ended(Submission),
}

impl<S> Attempt<'_, S>
where
    S: Store + ?Sized,
{
    fn run(&mut self) -> Submission {
        let mut unanswered = 0;
        for _ in 0..WRITES_MAX {
            if let Step::Ended(submission) = self.catch_up() {
                return submission;
            }
            let number = self.catalog.number.next();
            if let Err(err) = self.note.apply(&self.catalog, number) {
                return self.refused(err);
            }
            match self
                .store
                .write(&note_key(number), self.note.bytes(), Guard::Absent)
            {
                Written::Yes => return Submission::Accepted { number },
                Written::NotSent => return self.unavailable(),
                Written::No => unanswered = 0,
                Written::Unknown => {
                    self.maybe = true;
                    unanswered += 1;
                }
            }
            self.raced = Some(number);
            if unanswered == UNANSWERED_MAX {
                return self.unavailable();
            }
        }
        self.unavailable()
    }

    /// Applies the notes after the catalogue, until a number is free.
    fn catch_up(&mut self) -> Step {
        for _ in 0..LAG_MAX {
            if let Some(number) = self.accepted() {
                return Step::Ended(Submission::Accepted { number });
            }
            let number = self.catalog.number.next();
            let Ok(read) = self.store.get_latest(&note_key(number)) else {
                return Step::Ended(self.unavailable());
            };
            let step = match Slot::new(read.entry.map(|entry| entry.value)) {
                Slot::Free => return Step::Next,
                Slot::Pruned => self.start_from_base(),
                Slot::Note(bytes) => self.apply(number, &bytes),
            };
            if let Step::Ended(submission) = step {
                return Step::Ended(submission);
            }
        }
        Step::Ended(self.unavailable())
    }

    /// Returns the number under which this note was accepted already.
    fn accepted(&self) -> Option<ConfigNumber> {
        let head = self.catalog.find_note(self.note.id())?;
        (head.digest == self.note.digest()).then_some(head.number)
    }

    fn start_from_base(&mut self) -> Step {
        match load(self.store) {
            Ok(loaded) if loaded.catalog.number > self.catalog.number => {
                self.catalog = Cow::Owned(loaded.catalog);
                Step::Next
            }
            _ => Step::Ended(self.unavailable()),
        }
    }

    /// Applies a note that came first.
    fn apply(&mut self, number: ConfigNumber, bytes: &[u8]) -> Step {
        let checked = check(self.note, &self.catalog).is_ok();
        self.catalog = Cow::Owned(accept(&self.catalog, number, bytes).catalog);
        if bytes == self.note.bytes() {
            return Step::Next;
        }
        if self.raced == Some(number) {
            // Whatever became of this submission's own write, it can't take effect any more.
            self.maybe = false;
        }
        let Ok(other) = Note::from_bytes(bytes, "") else {
            return Step::Next;
        };
        let rival = Rival {
            number,
            id: String::from(other.id()),
            author: String::from(other.author()),
        };
        if self.raced == Some(number) && other.overlaps(self.note) {
            return Step::Ended(rival.conflict());
        }
        if checked && check(self.note, &self.catalog).is_err() {
            self.first = Some(rival);
        }
        Step::Next
    }

    fn refused(&mut self, err: Error) -> Submission {
        match self.first.take() {
            Some(rival) => rival.conflict(),
            None => Submission::Refused(err),
        }
    }

    fn unavailable(&self) -> Submission {
        Submission::Unavailable { maybe: self.maybe }
    }
}

impl Rival {
    fn conflict(self) -> Submission {
        Submission::Conflict {
            number: self.number,
            id: self.id,
            author: self.author,
        }
    }
}
