//! The most recent notes, kept for peers that lack them.

use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;

/// The most recent notes without a gap, bounded in number and bytes.
#[derive(Debug)]
pub(crate) struct Tail {
    max_notes: usize,
    max_bytes: usize,
    /// Number of the note before the first one that is kept.
    before: ConfigNumber,
    notes: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Tail {
    pub(crate) fn new(max_notes: usize, max_bytes: usize) -> Tail {
        Tail {
            max_notes,
            max_bytes,
            before: ConfigNumber(0),
            notes: VecDeque::new(),
            bytes: 0,
        }
    }

    fn last(&self) -> ConfigNumber {
        ConfigNumber(self.before.0 + self.notes.len() as u64)
    }

    /// Discards all notes and continues after a base document that contains the notes up to
    /// `number`.
    pub(crate) fn restart(&mut self, number: ConfigNumber) {
        if number == self.last() {
            return;
        }
        self.notes.clear();
        self.bytes = 0;
        self.before = number;
    }

    /// Appends a note. A note that does not follow the last one discards all notes before it.
    pub(crate) fn push(&mut self, number: ConfigNumber, note: Vec<u8>) {
        if number != self.last().next() {
            self.restart(ConfigNumber(number.0 - 1));
        }
        self.bytes += note.len();
        self.notes.push_back(note);
        while self.notes.len() > self.max_notes || self.bytes > self.max_bytes {
            let Some(oldest) = self.notes.pop_front() else {
                return;
            };
            self.bytes -= oldest.len();
            self.before = self.before.next();
        }
    }

    /// Returns the notes after `have`, or `None` if they are not all kept or there are none. At
    /// least one note is returned, and then as many as fit in `max_bytes`.
    pub(crate) fn after(&self, have: ConfigNumber, max_bytes: usize) -> Option<Vec<Vec<u8>>> {
        if have < self.before || have >= self.last() {
            return None;
        }
        let skip = (have.0 - self.before.0) as usize;
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
