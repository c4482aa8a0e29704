//! The most recent notes, kept for peers that lack them.

use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;

/// The most recent notes without a gap, bounded in number and bytes.
#[derive(Debug)]
pub(crate) struct RecentNotes {
    max_notes: usize,
    max_bytes: usize,
    /// Number of the note before the first one that is kept.
    number_before_first: ConfigNumber,
    notes: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl RecentNotes {
    pub(crate) fn new(max_notes: usize, max_bytes: usize) -> RecentNotes {
        RecentNotes {
            max_notes,
            max_bytes,
            number_before_first: ConfigNumber(0),
            notes: VecDeque::new(),
            bytes: 0,
        }
    }

    fn last_number(&self) -> ConfigNumber {
        ConfigNumber(self.number_before_first.0 + self.notes.len() as u64)
    }

    /// Discards all notes and continues after a base document that contains the notes up to
    /// `number`.
    pub(crate) fn restart_after(&mut self, number: ConfigNumber) {
        if number == self.last_number() {
            return;
        }
        self.notes.clear();
        self.bytes = 0;
        self.number_before_first = number;
    }

    /// Appends a note. A note that does not follow the last one discards all notes before it.
    pub(crate) fn push(&mut self, number: ConfigNumber, note: Vec<u8>) {
        if number != self.last_number().next() {
            self.restart_after(ConfigNumber(number.0 - 1));
        }
        self.bytes += note.len();
        self.notes.push_back(note);
        while self.notes.len() > self.max_notes || self.bytes > self.max_bytes {
            let Some(oldest) = self.notes.pop_front() else {
                return;
            };
            self.bytes -= oldest.len();
            self.number_before_first = self.number_before_first.next();
        }
    }

    /// Returns the notes after `known_number`, or `None` if they are not all kept or there are
    /// none. At least one note is returned, and then as many as fit in `max_bytes`.
    pub(crate) fn notes_after(
        &self,
        known_number: ConfigNumber,
        max_bytes: usize,
    ) -> Option<Vec<Vec<u8>>> {
        if known_number < self.number_before_first || known_number >= self.last_number() {
            return None;
        }
        let skip = (known_number.0 - self.number_before_first.0) as usize;
        let mut bytes = 0;
        let mut notes = Vec::new();
        for note in self.notes.iter().skip(skip) {
            bytes += note.len();
            if bytes > max_bytes && !notes.is_empty() {
                break;
            }
            notes.push(note.clone());
        }
        Some(notes)
    }
}
