//! Release notes on their way through the zones.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A message of the configuration relay. Notes and base documents travel as the bytes that the store
/// holds, so that every instance checks and applies the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Accepted notes, in order.
    Notes {
        /// The instance that the notes spread from in the receiver's zone, to be passed on down its
        /// tree; `None` in an answer to a pull.
        root: Option<InstanceId>,
        /// The number of the first.
        first: ConfigNumber,
        /// The notes.
        notes: Vec<NoteBytes>,
    },
    /// Asks for the notes after `have`.
    Pull {
        /// The last note that the sender has in force.
        have: ConfigNumber,
    },
    /// A whole catalogue, for an instance that lacks more notes than its peer keeps.
    Base {
        /// The last release note that the document contains.
        number: ConfigNumber,
        /// The document.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
}

/// The bytes of one release note.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NoteBytes(#[serde(with = "serde_bytes")] pub Vec<u8>);
