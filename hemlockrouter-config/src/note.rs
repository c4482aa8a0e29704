//! Release notes: changes that operators make to the configuration of all instances.
//!
//! The store holds a note as the text that its author wrote. Every instance parses and applies the
//! same text, so all instances derive the same catalogue with the same keys. A note is applied
//! atomically: [`Note::apply`] checks the resulting catalogue before it returns the catalogue.

mod apply;
mod check;
mod read;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;

use crate::document::JsonSource;
use crate::document_digest;
use crate::error::Error;
use crate::error::ErrorKind;

/// The largest size of a note, in bytes: the largest value that the platform's store holds.
pub const NOTE_MAX_BYTES: usize = 1_048_576;

/// The largest length of a name, in characters.
pub const NAME_MAX_CHARS: usize = 64;

/// A release note that has been parsed, but not yet checked against a catalogue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Note {
    id: String,
    id_line: usize,
    author: String,
    text: String,
    file: String,
    document: Vec<u8>,
    added: AddedEntries,
    changed: ChangedEntries,
    withdrawn: WithdrawnEntries,
}

impl Note {
    /// Parses a note. Errors give `file` as the name of its file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line, the field and the expected value if the note
    /// is malformed or larger than [`NOTE_MAX_BYTES`].
    pub fn parse(text: &str, file: &str) -> Result<Note, Error> {
        if text.len() > NOTE_MAX_BYTES {
            let message = format!(
                "the note has {} bytes; expected at most {NOTE_MAX_BYTES}; split it",
                text.len()
            );
            return Err(Error::new(ErrorKind::TooLarge, file, 0, "", message));
        }
        let source = JsonSource::new(text, file);
        let value = source.parse()?;
        read::read_note(source.root(&value), text, file)
    }

    /// Parses a note from its bytes in the store.
    ///
    /// # Errors
    ///
    /// Returns an error where [`Note::parse`] does, and if the bytes are not UTF-8.
    pub fn from_bytes(bytes: &[u8], file: &str) -> Result<Note, Error> {
        let text = std::str::from_utf8(bytes).map_err(|err| {
            let message = format!("not UTF-8: {err}");
            Error::new(ErrorKind::Syntax, file, 0, "", message)
        })?;
        Note::parse(text, file)
    }

    /// Returns the note's id, which its author chose. A resubmitted note is recognized by this id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the name of the note's author.
    pub fn author(&self) -> &str {
        &self.author
    }

    /// Returns the author's explanation of the note.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the bytes that the store holds: the author's text, including comments.
    pub fn bytes(&self) -> &[u8] {
        &self.document
    }

    /// Returns whether both notes add, change or withdraw an entry of the same kind and name.
    pub fn overlaps(&self, other: &Note) -> bool {
        let affected_entries = self.affected_entries();
        other
            .affected_entries()
            .iter()
            .any(|name| affected_entries.contains(name))
    }

    /// Returns the kinds and names of all entries that the note adds, changes or withdraws.
    fn affected_entries(&self) -> BTreeSet<(&'static str, &str)> {
        let mut affected_entries = BTreeSet::new();
        for section in [&self.added, &self.changed] {
            insert_entry_names(&mut affected_entries, "zone", &section.zones);
            insert_entry_names(&mut affected_entries, "upstream", &section.upstreams);
            insert_entry_names(&mut affected_entries, "customer", &section.customers);
            insert_entry_names(&mut affected_entries, "search", &section.searches);
            insert_entry_names(&mut affected_entries, "operation", &section.operations);
        }
        insert_entry_names(&mut affected_entries, "zone", &self.withdrawn.zones);
        insert_entry_names(&mut affected_entries, "upstream", &self.withdrawn.upstreams);
        insert_entry_names(&mut affected_entries, "customer", &self.withdrawn.customers);
        insert_entry_names(&mut affected_entries, "search", &self.withdrawn.searches);
        insert_entry_names(
            &mut affected_entries,
            "operation",
            &self.withdrawn.operations,
        );
        affected_entries
    }

    /// Returns the [digest](document_digest) of the note's text.
    pub fn digest(&self) -> u64 {
        document_digest(&self.document)
    }
}

fn insert_entry_names<'n, T>(
    affected_entries: &mut BTreeSet<(&'static str, &'n str)>,
    kind: &'static str,
    entries: &'n [Entry<T>],
) {
    affected_entries.extend(entries.iter().map(|entry| (kind, entry.name.as_str())));
}

/// The result of applying an accepted note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedNote {
    /// The catalogue after the note.
    pub catalog: Catalog,
    /// The error for which an invalid note was skipped.
    pub skip_error: Option<Error>,
}

/// Applies a note, given as bytes, that was accepted under `number`, the catalogue's next number.
///
/// Instances check a note before they write it to the store, so an invalid note was written by
/// another program. On every instance, an invalid note changes only the catalogue's number. An
/// instance that stopped at the note would never receive later notes.
///
/// # Panics
///
/// Panics if `number` is not the catalogue's number plus one.
pub fn apply_accepted_note(catalog: &Catalog, number: ConfigNumber, bytes: &[u8]) -> AppliedNote {
    assert_eq!(number, catalog.number.next(), "notes are applied in order");
    let file = format!("note {number}");
    let applied = Note::from_bytes(bytes, &file).and_then(|note| note.apply(catalog, number));
    match applied {
        Ok(catalog) => AppliedNote {
            catalog,
            skip_error: None,
        },
        Err(err) => AppliedNote {
            catalog: Catalog {
                number,
                ..catalog.clone()
            },
            skip_error: Some(err),
        },
    }
}

/// An entry of a note, and the line on which the entry starts.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Entry<T> {
    name: String,
    line: usize,
    value: T,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct AddedEntries {
    zones: Vec<Entry<ZoneChange>>,
    upstreams: Vec<Entry<UpstreamChange>>,
    customers: Vec<Entry<CustomerChange>>,
    searches: Vec<Entry<SearchChange>>,
    operations: Vec<Entry<OperationChange>>,
}

/// Changes have the same type as additions. The parser checks that an addition has every required
/// field.
type ChangedEntries = AddedEntries;

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct WithdrawnEntries {
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

/// Checks that a name holds only characters that need no quoting in log lines, URLs and metric
/// labels.
///
/// # Errors
///
/// Returns a description of the expected form.
pub(crate) fn check_name(name: &str) -> Result<(), &'static str> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if name.is_empty() || name.len() > NAME_MAX_CHARS || !name.bytes().all(is_allowed) {
        return Err("a name of 1 to 64 letters, digits, '.', '_' or '-'");
    }
    Ok(())
}
