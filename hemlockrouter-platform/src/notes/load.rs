//! Loading the configuration: base and tail.

use derive_more::Display;
use derive_more::From;
use hemlockrouter_config::accept;
use hemlockrouter_config::base::BadBase;
use hemlockrouter_config::Base;
use hemlockrouter_types::prelude::*;

use super::base::read_base;
use super::base::BaseRead;
use super::note_key;
use super::Slot;
use crate::store::Down;
use crate::store::Store;

/// How often loading starts again because notes were pruned meanwhile.
const LOAD_MAX: usize = 3;

/// The configuration as the store has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loaded {
    /// The catalogue up to the last note.
    pub catalog: Catalog,
    /// The number of the base document, or 0 if there is none.
    pub base: ConfigNumber,
    /// The notes after the base, in order.
    pub tail: Vec<NumberedNote>,
}

/// An accepted note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NumberedNote {
    /// Its number.
    pub number: ConfigNumber,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Why the configuration could not be loaded.
#[derive(Clone, Debug, Display, Eq, From, PartialEq)]
pub enum LoadError {
    /// The store does not answer.
    Down(Down),
    /// The base document can't be read.
    Base(BadBase),
    /// What names the base document can't be read.
    #[display("the store names no base document that this release reads")]
    #[from(skip)]
    Head,
    /// The base document kept changing, or is older than the notes that were pruned.
    #[display("the base document in the store is incomplete or older than the pruned notes")]
    #[from(skip)]
    Pruned,
}

impl std::error::Error for LoadError {}

/// Loads base and tail. Each part of the base and each note is one read, as are the base's head and
/// the end of the notes.
///
/// # Errors
///
/// If the store does not answer, or what it holds can't be used.
pub fn load<S>(store: &S) -> Result<Loaded, LoadError>
where
    S: Store + ?Sized,
{
    for _ in 0..LOAD_MAX {
        let Some(mut loaded) = load_base(store)? else {
            continue;
        };
        if load_tail(store, &mut loaded)? == Tail::Whole {
            return Ok(loaded);
        }
    }
    Err(LoadError::Pruned)
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Tail {
    Whole,
    Pruned,
}

/// Starts from the base document, or returns nothing if it was replaced while it was read.
fn load_base<S>(store: &S) -> Result<Option<Loaded>, LoadError>
where
    S: Store + ?Sized,
{
    let catalog = match read_base(store)? {
        BaseRead::Absent => Catalog::default(),
        BaseRead::Whole(document) => Base::decode(&document)?,
        BaseRead::Removed => return Ok(None),
    };
    Ok(Some(Loaded {
        base: catalog.number,
        catalog,
        tail: Vec::new(),
    }))
}

fn load_tail<S>(store: &S, loaded: &mut Loaded) -> Result<Tail, LoadError>
where
    S: Store + ?Sized,
{
    loop {
        let number = loaded.catalog.number.next();
        let read = store.get(&note_key(number))?;
        match Slot::new(read.entry.map(|entry| entry.value)) {
            Slot::Free => return Ok(Tail::Whole),
            Slot::Pruned => return Ok(Tail::Pruned),
            Slot::Note(bytes) => {
                let accepted = accept(&loaded.catalog, number, &bytes);
                if let Some(err) = accepted.skipped {
                    log::error!("note {number} in the store changes nothing: {err}");
                }
                loaded.catalog = accepted.catalog;
                loaded.tail.push(NumberedNote { number, bytes });
            }
        }
    }
}
