//! The base document: a snapshot of the catalogue, from which a new instance starts.
//!
//! Reading thousands of notes one after another would delay the start of a new instance. So
//! instances write a base document to the store from time to time, and send it to peers that lag
//! far behind. The base document keeps the slots and generations of all keys: an instance that
//! starts from it assigns the same keys to later additions as an instance that applied every note.
//!
//! A base document is a header line that names the format, followed by MessagePack. Operators do
//! not read base documents, and JSON takes almost three times the bytes at the size that the
//! design targets.

use derive_more::Display;
use hemlockrouter_types::prelude::*;

/// The first bytes of every base document, which name its format.
const FORMAT_HEADER: &[u8] = b"hemlockrouter base 1\n";

/// Encoder and decoder of the base document.
///
/// # Examples
///
/// ```
/// use hemlockrouter_config::BaseDocument;
/// use hemlockrouter_types::prelude::*;
///
/// let catalog = Catalog::default();
/// assert_eq!(BaseDocument::decode(&BaseDocument::encode(&catalog)).unwrap(), catalog);
/// ```
#[derive(Clone, Copy, Debug)]
pub enum BaseDocument {}

/// An error in decoding a base document.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BaseDecodeError {
    /// The header is missing, or names a format that this release does not read.
    #[display("not a base document, or one of another release")]
    UnknownFormat,
    /// The header is valid, but the rest can't be decoded. The text describes the error.
    #[display("a damaged base document: {_0}")]
    Damaged(String),
}

impl BaseDocument {
    /// Encodes a catalogue as a base document. Equal catalogues give equal documents.
    pub fn encode(catalog: &Catalog) -> Vec<u8> {
        let mut document = FORMAT_HEADER.to_vec();
        rmp_serde::encode::write(&mut document, catalog).expect("a catalogue can be encoded");
        document
    }

    /// Decodes the catalogue in a base document.
    ///
    /// # Errors
    ///
    /// Returns an error if `document` is damaged, is not a base document, or has a format that this
    /// release does not read.
    pub fn decode(document: &[u8]) -> Result<Catalog, BaseDecodeError> {
        let body = document
            .strip_prefix(FORMAT_HEADER)
            .ok_or(BaseDecodeError::UnknownFormat)?;
        rmp_serde::from_slice(body).map_err(|err| BaseDecodeError::Damaged(err.to_string()))
    }
}
