//! Release notes: what operators add, change and withdraw.
//!
//! A note is accepted as the text that its author wrote, and every instance parses and applies that
//! same text, so all derive the same catalogue with the same keys. A note takes effect whole or not
//! at all: [`Note::apply`] checks the catalogue that would result before it returns it.

mod apply;
mod check;
mod read;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;

use crate::digest;
use crate::document::Source;
use crate::error::Error;
use crate::error::ErrorKind;

/// The largest note, in bytes: what one value of the platform's store holds.
pub const NOTE_MAX_BYTES: usize = 1_048_576;

/// The longest name, in characters.
pub const NAME_MAX_CHARS: usize = 64;

/// A release note that was parsed, but not yet checked against a catalogue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Note {
    id: String,
    id_line: usize,
    author: String,
    text: String,
    file: String,
    document: Vec<u8>,
    added: Added,
    changed: Changed,
    withdrawn: Withdrawn,
}

impl Note {
    /// Parses a note; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Names file, line, field and what was expected. Refuses a note of more than
    /// [`NOTE_MAX_BYTES`].
    pub fn parse(text: &str, file: &str) -> Result<Note, Error> {
        if text.len() > NOTE_MAX_BYTES {
            let message = format!(
                "the note has {} bytes; expected at most {NOTE_MAX_BYTES}; split it",
                text.len()
            );
            return Err(Error::new(ErrorKind::TooLarge, file, 0, "", message));
        }
        let source = Source::new(text, file);
        let value = source.parse()?;
        read::note(source.root(&value), text, file)
    }

    /// Parses a note from the bytes that the store holds.
    ///
    /// # Errors
    ///
    /// As [`Note::parse`]; also refuses bytes that are not UTF-8.
    pub fn from_bytes(bytes: &[u8], file: &str) -> Result<Note, Error> {
        let text = std::str::from_utf8(bytes).map_err(|err| {
            let message = format!("not UTF-8: {err}");
            Error::new(ErrorKind::Syntax, file, 0, "", message)
        })?;
        Note::parse(text, file)
    }

    /// Returns the id, which its author chose; a resubmitted note is known by it.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns who wrote it.
    pub fn author(&self) -> &str {
        &self.author
    }

    /// Returns why it was written.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the bytes that the store holds: the text as its author wrote it, comments included.
    pub fn bytes(&self) -> &[u8] {
        &self.document
    }

    /// Returns whether both notes add, change or withdraw the same thing.
    pub fn overlaps(&self, other: &Note) -> bool {
        let touched = self.touched();
        other.touched().iter().any(|name| touched.contains(name))
    }

    /// Returns the kinds and names of what the note adds, changes or withdraws.
    fn touched(&self) -> BTreeSet<(&'static str, &str)> {
        let mut touched = BTreeSet::new();
        for section in [&self.added, &self.changed] {
            extend(&mut touched, "zone", &section.zones);
            extend(&mut touched, "upstream", &section.upstreams);
            extend(&mut touched, "customer", &section.customers);
            extend(&mut touched, "search", &section.searches);
            extend(&mut touched, "operation", &section.operations);
        }
        extend(&mut touched, "zone", &self.withdrawn.zones);
        extend(&mut touched, "upstream", &self.withdrawn.upstreams);
        extend(&mut touched, "customer", &self.withdrawn.customers);
        extend(&mut touched, "search", &self.withdrawn.searches);
        extend(&mut touched, "operation", &self.withdrawn.operations);
        touched
    }

    /// Returns the [digest](crate::digest) of the text.
    pub fn digest(&self) -> u64 {
        digest(&self.document)
    }
}

fn extend<'n, T>(
    touched: &mut BTreeSet<(&'static str, &'n str)>,
    kind: &'static str,
    entries: &'n [Entry<T>],
) {
    touched.extend(entries.iter().map(|entry| (kind, entry.name.as_str())));
}

/// What applying an accepted note gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The catalogue up to the note.
    pub catalog: Catalog,
    /// Why the note changed nothing, if it did not check.
    pub skipped: Option<Error>,
}

/// Applies the bytes of the note that was accepted under `number`, the one after the catalogue's.
///
/// A note is checked before it is written, so one that does not check was written by something
/// else. It changes nothing but the number, on every instance alike: to stop at it would leave
/// some instances behind for good.
///
/// # Panics
///
/// Panics if `number` does not follow the catalogue's number.
pub fn accept(catalog: &Catalog, number: ConfigNumber, bytes: &[u8]) -> Accepted {
    assert_eq!(number, catalog.number.next(), "notes are applied in order");
    let file = format!("note {number}");
    let applied = Note::from_bytes(bytes, &file).and_then(|note| note.apply(catalog, number));
    match applied {
        Ok(catalog) => Accepted {
            catalog,
            skipped: None,
        },
        Err(err) => Accepted {
            catalog: Catalog {
                number,
                ..catalog.clone()
            },
            skipped: Some(err),
        },
    }
}

/// An entry of a note, and the line that it starts on.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Entry<T> {
    name: String,
    line: usize,
    value: T,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Added {
    zones: Vec<Entry<ZoneChange>>,
    upstreams: Vec<Entry<UpstreamChange>>,
    customers: Vec<Entry<CustomerChange>>,
    searches: Vec<Entry<SearchChange>>,
    operations: Vec<Entry<OperationChange>>,
}

/// Changes have the shape of additions. The reader has made sure that an addition gives every
/// required field.
type Changed = Added;

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Withdrawn {
    zones: Vec<Entry<()>>,
    upstreams: Vec<Entry<()>>,
    customers: Vec<Entry<()>>,
    searches: Vec<Entry<()>>,
    operations: Vec<Entry<()>>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct ZoneChange {
    region: Option<String>,
    in_service: Option<bool>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct UpstreamChange {
    address: Option<SocketAddr>,
    zone: Option<String>,
    slots: Option<u32>,
    cold_slots: Option<u32>,
    connections: Option<u32>,
    in_service: Option<bool>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct CustomerChange {
    key_sha256: Option<[u8; 32]>,
    max_in_flight: Option<u32>,
    max_per_second: Option<u32>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct SearchChange {
    weight: Option<u32>,
    map: Option<u32>,
    shards: Option<Vec<Entry<Vec<String>>>>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct OperationChange {
    weight: Option<u32>,
    upstreams: Option<Vec<String>>,
}

/// Checks the form of a name: what goes into log lines, URLs and metric labels unquoted.
///
/// # Errors
///
/// Returns what was expected.
pub(crate) fn check_name(name: &str) -> Result<(), &'static str> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if name.is_empty() || name.len() > NAME_MAX_CHARS || !name.bytes().all(plain) {
        return Err("a name of 1 to 64 letters, digits, '.', '_' or '-'");
    }
    Ok(())
}
