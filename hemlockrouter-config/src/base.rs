//! The catalogue as one document, from which a new instance starts.
//!
//! Reading thousands of notes one after another would make a new instance late, so the catalogue is
//! written to the store now and then, and travels to peers that lag far behind. The document keeps
//! the slots and generations of all keys: an instance that starts from it assigns the same keys to
//! later additions as one that applied every note.
//!
//! It is MessagePack after a line that names the format. Operators read notes, not this, and at the
//! size to design for JSON takes almost three times the bytes.

use derive_more::Display;
use hemlockrouter_types::prelude::*;

/// How a document of the format that this package writes and reads begins.
const HEADER: &[u8] = b"hemlockrouter base 1\n";

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
    /// It does not begin as one of the format that this release reads.
    #[display("not a base document, or one of another release")]
    Format,
    /// It can't be decoded.
    #[display("a damaged base document: {_0}")]
    Damaged(String),
}

impl Base {
    /// Encodes a catalogue. Equal catalogues give equal documents.
    pub fn encode(catalog: &Catalog) -> Vec<u8> {
        let mut document = HEADER.to_vec();
        rmp_serde::encode::write(&mut document, catalog).expect("a catalogue can be encoded");
        document
    }

    /// Decodes a catalogue.
    ///
    /// # Errors
    ///
    /// Refuses what is no base document, and one of a format that this release does not know.
    pub fn decode(document: &[u8]) -> Result<Catalog, BadBase> {
        let body = document.strip_prefix(HEADER).ok_or(BadBase::Format)?;
        rmp_serde::from_slice(body).map_err(|err| BadBase::Damaged(err.to_string()))
    }
}
