//! Loads the configuration from the store: the base document and the notes after it.

use derive_more::Display;
use derive_more::From;
use hemlockrouter_config::apply_accepted_note;
use hemlockrouter_config::base::BaseDecodeError;
use hemlockrouter_config::BaseDocument;
use hemlockrouter_types::prelude::*;

use super::base::read_base;
use super::base::BaseRead;
use super::note_key;
use super::NoteSlot;
use crate::store::PlatformUnavailable;
use crate::store::Store;

/// Maximum number of times that a load is attempted, in case notes or parts are pruned during the load.
const LOAD_ATTEMPTS_MAX: usize = 3;

/// The configuration that the store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedConfig {
    /// Catalogue after the last accepted note.
    pub catalog: Catalog,
    /// Number of the base document, or 0 if the store holds none.
    pub base: ConfigNumber,
    /// Notes after the base, in order of their numbers.
    pub tail: Vec<NumberedNote>,
}

/// An accepted note and its number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NumberedNote {
    /// Number under which the note was accepted.
    pub number: ConfigNumber,
    /// Bytes of the note as submitted.
    pub bytes: Vec<u8>,
}

/// Error of loading the configuration.
#[derive(Clone, Debug, Display, Eq, From, PartialEq)]
pub enum LoadError {
    /// The store does not answer.
    PlatformUnavailable(PlatformUnavailable),
    /// The base document could not be decoded.
    InvalidBase(BaseDecodeError),
    /// The head of the base document could not be decoded.
    #[display("the store names no base document that this release reads")]
    #[from(skip)]
    InvalidHead,
    /// The base document changed during every attempt, or is older than the pruned notes.
    #[display("the base document in the store is incomplete or older than the pruned notes")]
    #[from(skip)]
    Pruned,
}

impl std::error::Error for LoadError {}

/// Loads the base document and the notes after it. This costs one read for the head of the base, one
/// for each part, one for each note, and one for the free number after the last note.
///
/// # Errors
///
/// [`LoadError`] if the store does not answer, or its content is incomplete or cannot be decoded.
pub fn load<S>(store: &S) -> Result<LoadedConfig, LoadError>
where
    S: Store + ?Sized,
{
    for _ in 0..LOAD_ATTEMPTS_MAX {
        let Some(mut loaded) = load_base(store)? else {
            continue;
        };
        if load_tail(store, &mut loaded)? == TailOutcome::Complete {
            return Ok(loaded);
        }
    }
    Err(LoadError::Pruned)
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum TailOutcome {
    Complete,
    Pruned,
}

/// Loads the base document, or returns `None` if the document was replaced during the read.
fn load_base<S>(store: &S) -> Result<Option<LoadedConfig>, LoadError>
where
    S: Store + ?Sized,
{
    let catalog = match read_base(store)? {
        BaseRead::Absent => Catalog::default(),
        BaseRead::Complete(document) => BaseDocument::decode(&document)?,
        BaseRead::Incomplete => return Ok(None),
    };
    Ok(Some(LoadedConfig {
        base: catalog.number,
        catalog,
        tail: Vec::new(),
    }))
}

fn load_tail<S>(store: &S, loaded: &mut LoadedConfig) -> Result<TailOutcome, LoadError>
where
    S: Store + ?Sized,
{
    loop {
        let number = loaded.catalog.number.next();
        let read = store.get(&note_key(number))?;
        match NoteSlot::new(read.entry.map(|entry| entry.value)) {
            NoteSlot::Free => return Ok(TailOutcome::Complete),
            NoteSlot::Pruned => return Ok(TailOutcome::Pruned),
            NoteSlot::Note(bytes) => {
                let accepted = apply_accepted_note(&loaded.catalog, number, &bytes);
                if let Some(err) = accepted.skip_error {
                    log::error!("note {number} in the store changes nothing: {err}");
                }
                loaded.catalog = accepted.catalog;
                loaded.tail.push(NumberedNote { number, bytes });
            }
        }
    }
}
