//! The catalogue as one document, from which a new instance starts.
//!
//! Reading thousands of notes one after another would make a new instance late, so the catalogue is
//! written to the store now and then, and travels to peers that lag far behind. The document keeps
//! the slots and generations of all keys: an instance that starts from it assigns the same keys to
//! later additions as one that applied every note.

use derive_more::Display;
use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The version of the document that this package writes and reads.
const FORMAT: u32 = 1;

/// Encodes and decodes the base document.
///
/// # Examples
///
/// ```
/// use hemlockrouter_config::Base;
/// use hemlockrouter_types::prelude::*;
///
/// let catalog = Catalog::default();
/// assert_eq!(Base::decode(&Base::encode(&catalog)).unwrap(), catalog);
/// ```
#[derive(Clone, Copy, Debug)]
pub enum Base {}

/// Why a document is no base document.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BadBase {
    /// It can't be decoded.
    #[display("not a base document: {_0}")]
    Malformed(String),
    /// A later release wrote it.
    #[display("a base document of format {_0}; this release reads format {FORMAT}")]
    Format(u32),
}

#[derive(Serialize)]
struct Written<'c> {
    format: u32,
    catalog: &'c Catalog,
}

#[derive(Deserialize)]
struct Read {
    catalog: Catalog,
}

#[derive(Deserialize)]
struct Head {
    format: u32,
}

impl Base {
    /// Encodes a catalogue.
    pub fn encode(catalog: &Catalog) -> Vec<u8> {
        let written = Written {
            format: FORMAT,
            catalog,
        };
        serde_json::to_vec(&written).expect("a catalogue has only string keys")
    }

    /// Decodes a catalogue.
    ///
    /// # Errors
    ///
    /// Refuses what is no base document, and one of a format that this release does not know.
    pub fn decode(bytes: &[u8]) -> Result<Catalog, BadBase> {
        let malformed = |err: serde_json::Error| BadBase::Malformed(err.to_string());
        let head: Head = serde_json::from_slice(bytes).map_err(malformed)?;
        if head.format != FORMAT {
            return Err(BadBase::Format(head.format));
        }
        let read: Read = serde_json::from_slice(bytes).map_err(malformed)?;
        Ok(read.catalog)
    }
}
