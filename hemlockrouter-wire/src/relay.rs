//! Distribution of release notes through the zones.

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Message of the configuration relay. Notes and base documents are sent as the bytes that the
/// store holds, so that every instance checks and applies the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Accepted notes in the order of their numbers.
    Notes {
        /// Root of the tree in the receiver's zone along which the receiver passes the notes on, or
        /// `None` in an answer to a pull.
        root: Option<InstanceId>,
        /// Number of the first note.
        first: ConfigNumber,
        /// Consecutive notes, beginning with number `first`.
        notes: Vec<NoteBytes>,
    },
    /// Asks for the notes after `have`.
    Pull {
        /// Number of the last release note that the sender has applied.
        have: ConfigNumber,
    },
    /// Whole catalogue, for an instance that lacks more notes than its peer keeps.
    Base {
        /// Number of the last release note that the document contains.
        number: ConfigNumber,
        /// Catalogue, encoded as a base document.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
}

/// Encoded release note.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NoteBytes(#[serde(with = "serde_bytes")] pub Vec<u8>);
