//! Submits a release note to the store.
//!
//! A submission first catches up: it reads the numbers after the instance's own until one is free,
//! and applies the notes that it finds. The submission then checks its note against the resulting
//! catalogue and writes the note under the free number, create-only. This order makes every result
//! final, even if the delayed write of an earlier submission of the same file is still in flight. When
//! the free number was read, neither that number nor a later one held a note. The earlier write
//! therefore targets this number, where the two writes conflict, or a number that is already in use,
//! where the earlier write has no effect.

use std::borrow::Cow;

use hemlockrouter_config::apply_accepted_note;
use hemlockrouter_config::Error;
use hemlockrouter_config::Note;
use hemlockrouter_types::prelude::*;

use super::load;
use super::note_key;
use super::NoteSlot;
use crate::store::Store;
use crate::store::WriteCondition;
use crate::store::WriteOutcome;

/// Maximum number of accepted notes that a submission reads in one catch-up.
const CATCH_UP_NOTES_MAX: usize = 1_024;

/// Maximum number of writes per submission. A write fails if a note of another operator got the number
/// first without overlapping this note, or if no response arrived.
const SUBMISSION_WRITES_MAX: usize = 32;

/// Maximum number of consecutive writes without a response per submission.
const UNANSWERED_WRITES_MAX: usize = 3;

/// The outcome of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Submission {
    /// The note was accepted, by this submission or by an earlier one of the same file.
    Accepted {
        /// Number under which the note was accepted.
        number: ConfigNumber,
    },
    /// The note is invalid and was not accepted.
    Refused(Error),
    /// The submitted note was not accepted because another note was accepted first. The other note was
    /// written for the same number and overlaps the submitted one, or made the submitted one invalid.
    Conflict {
        /// Number of the note that was accepted first.
        number: ConfigNumber,
        /// Id of the note that was accepted first.
        id: String,
        /// Author of the note that was accepted first.
        author: String,
    },
    /// The store did not answer.
    Unavailable {
        /// Whether a write of this submission may have taken effect. Submitting the same file again
        /// determines the outcome and is safe in both cases. The value says nothing about earlier
        /// submissions of the same file.
        may_have_taken_effect: bool,
    },
}

/// Checks a note against a catalogue without submitting the note.
///
/// # Errors
///
/// Same as [`Note::apply`].
pub fn check(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    note.apply(catalog, catalog.number.next()).map(|_| ())
}

/// Submits `note` through an instance whose current catalogue is `catalog`.
///
/// This costs one read and one write, plus one read for each note that the instance lags behind. A
/// note that was already accepted by another submission of the same file is recognized by its id and
/// digest among the [recent notes](Catalog::recent).
pub fn submit<S>(store: &S, note: &Note, catalog: &Catalog) -> Submission
where
    S: Store + ?Sized,
{
    let mut attempt = SubmissionAttempt {
        store,
        note,
        catalog: Cow::Borrowed(catalog),
        conflicting_note: None,
        attempted_number: None,
        may_have_taken_effect: false,
    };
    attempt.run()
}

struct SubmissionAttempt<'a, S>
where
    S: ?Sized,
{
    store: &'a S,
    note: &'a Note,
    catalog: Cow<'a, Catalog>,
    /// The accepted note of another operator that made the submitted note invalid.
    conflicting_note: Option<CompetingNote>,
    /// The last number for which a write of this submission failed or got no response.
    attempted_number: Option<ConfigNumber>,
    /// Whether a write of this submission without a response may have taken effect.
    may_have_taken_effect: bool,
}

/// An accepted note of another operator that competes with the submitted note.
struct CompetingNote {
    number: ConfigNumber,
    id: String,
    author: String,
}

/// The result of one step of a submission.
enum StepOutcome {
    /// The submission continues.
    Continue,
    Ended(Submission),
}

impl<S> SubmissionAttempt<'_, S>
where
    S: Store + ?Sized,
{
    fn run(&mut self) -> Submission {
        let mut unanswered_writes = 0;
        for _ in 0..SUBMISSION_WRITES_MAX {
            if let StepOutcome::Ended(submission) = self.catch_up() {
                return submission;
            }
            let number = self.catalog.number.next();
            if let Err(err) = self.note.apply(&self.catalog, number) {
                return self.refused_or_conflict(err);
            }
            match self.store.write(
                &note_key(number),
                self.note.bytes(),
                WriteCondition::IfAbsent,
            ) {
                WriteOutcome::Applied => return Submission::Accepted { number },
                WriteOutcome::NotApplied => return self.unavailable(),
                WriteOutcome::ConditionFailed => unanswered_writes = 0,
                WriteOutcome::Unknown => {
                    self.may_have_taken_effect = true;
                    unanswered_writes += 1;
                }
            }
            self.attempted_number = Some(number);
            if unanswered_writes == UNANSWERED_WRITES_MAX {
                return self.unavailable();
            }
        }
        self.unavailable()
    }

    /// Reads and applies the notes after the catalogue until a number is free.
    fn catch_up(&mut self) -> StepOutcome {
        for _ in 0..CATCH_UP_NOTES_MAX {
            if let Some(number) = self.accepted_number() {
                return StepOutcome::Ended(Submission::Accepted { number });
            }
            let number = self.catalog.number.next();
            let Ok(read) = self.store.get_latest(&note_key(number)) else {
                return StepOutcome::Ended(self.unavailable());
            };
            let outcome = match NoteSlot::new(read.entry.map(|entry| entry.value)) {
                NoteSlot::Free => return StepOutcome::Continue,
                NoteSlot::Pruned => self.reload_from_base(),
                NoteSlot::Note(bytes) => self.apply_accepted_note(number, &bytes),
            };
            if let StepOutcome::Ended(submission) = outcome {
                return StepOutcome::Ended(submission);
            }
        }
        StepOutcome::Ended(self.unavailable())
    }

    /// Returns the number of the submitted note if the catalogue shows that it was already accepted.
    fn accepted_number(&self) -> Option<ConfigNumber> {
        let head = self.catalog.find_note(self.note.id())?;
        (head.digest == self.note.digest()).then_some(head.number)
    }

    fn reload_from_base(&mut self) -> StepOutcome {
        match load(self.store) {
            Ok(loaded) if loaded.catalog.number > self.catalog.number => {
                self.catalog = Cow::Owned(loaded.catalog);
                StepOutcome::Continue
            }
            _ => StepOutcome::Ended(self.unavailable()),
        }
    }

    /// Applies an accepted note to the catalogue and checks whether it conflicts with the submitted
    /// note.
    fn apply_accepted_note(&mut self, number: ConfigNumber, bytes: &[u8]) -> StepOutcome {
        let was_valid = check(self.note, &self.catalog).is_ok();
        self.catalog = Cow::Owned(apply_accepted_note(&self.catalog, number, bytes).catalog);
        if bytes == self.note.bytes() {
            return StepOutcome::Continue;
        }
        if self.attempted_number == Some(number) {
            // The number holds another note, so this submission's own create-only write can no longer
            // take effect.
            self.may_have_taken_effect = false;
        }
        let Ok(other_note) = Note::from_bytes(bytes, "") else {
            return StepOutcome::Continue;
        };
        let competing_note = CompetingNote {
            number,
            id: String::from(other_note.id()),
            author: String::from(other_note.author()),
        };
        if self.attempted_number == Some(number) && other_note.overlaps(self.note) {
            return StepOutcome::Ended(competing_note.into_conflict());
        }
        if was_valid && check(self.note, &self.catalog).is_err() {
            self.conflicting_note = Some(competing_note);
        }
        StepOutcome::Continue
    }

    fn refused_or_conflict(&mut self, err: Error) -> Submission {
        match self.conflicting_note.take() {
            Some(competing_note) => competing_note.into_conflict(),
            None => Submission::Refused(err),
        }
    }

    fn unavailable(&self) -> Submission {
        Submission::Unavailable {
            may_have_taken_effect: self.may_have_taken_effect,
        }
    }
}

impl CompetingNote {
    fn into_conflict(self) -> Submission {
        Submission::Conflict {
            number: self.number,
            id: self.id,
            author: self.author,
        }
    }
}
