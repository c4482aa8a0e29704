//! The base document in the store.
//!
//! At the design size the document is larger than the largest value that the store accepts, so it is
//! stored in parts. The keys of the parts contain the number and the digest of the document. A small
//! *head* names the current document. Parts are immutable because equal catalogues give equal
//! documents, so any instance may write them, also repeatedly. The head is replaced by
//! compare-and-swap, and only by one with a higher number. A reader that finds parts missing reads
//! the head again.

use std::collections::BTreeSet;

use hemlockrouter_config::document_digest;
use hemlockrouter_config::BaseDocument;
use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::load::LoadError;
use super::BASE_KEY;
use super::BASE_PARTS_PREFIX;
use crate::store::PlatformUnavailable;
use crate::store::Store;
use crate::store::WriteCondition;
use crate::store::WriteOutcome;

/// Maximum size of a part, in bytes. It equals the maximum size of a value in the store.
pub const PART_MAX_BYTES: usize = 1_048_576;

/// Maximum number of parts of a document.
const BASE_PARTS_MAX: usize = 64;

/// The head of the base document, which identifies the current document and its parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BaseHead {
    /// Number of the last note that the base document includes.
    pub number: ConfigNumber,
    digest: u64,
    parts: usize,
}

impl BaseHead {
    /// Decodes a head from the value of [`BASE_KEY`], or returns `None` if the value is not a valid
    /// head.
    pub fn from_bytes(bytes: &[u8]) -> Option<BaseHead> {
        serde_json::from_slice(bytes).ok()
    }

    fn to_bytes(self) -> Vec<u8> {
        serde_json::to_vec(&self).expect("a head can be encoded")
    }

    fn part_key(&self, part: usize) -> String {
        let number = self.number.0;
        let digest = self.digest;
        format!("{BASE_PARTS_PREFIX}{number:020}-{digest:016x}/{part:02}")
    }
}

/// The outcome of writing the base document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaseWriteOutcome {
    /// The base document was written.
    Written {
        /// Number of the base document that was replaced; 0 if there was none.
        replaced_number: ConfigNumber,
    },
    /// The store already holds a base document with this number, which is equal or higher.
    UpToDate(ConfigNumber),
    /// The write was not confirmed: another writer was first, the store did not answer, or the present
    /// head could not be decoded.
    NotConfirmed,
    /// The document would have too many parts.
    TooLarge {
        /// Size of the document in bytes.
        bytes: usize,
    },
}

/// Writes the catalogue as the base document, unless the store already holds one with an equal or
/// higher number. This costs one read if there is nothing to write. Otherwise it also costs one write
/// for each part, one write for the head, one listing of the part keys, and one deletion for each part
/// of older documents.
pub fn write_base<S>(store: &S, catalog: &Catalog) -> BaseWriteOutcome
where
    S: Store + ?Sized,
{
    write_base_in_parts(store, catalog, PART_MAX_BYTES)
}

/// Writes the base document like [`write_base`], in parts of at most `part_max_bytes` bytes.
pub fn write_base_in_parts<S>(
    store: &S,
    catalog: &Catalog,
    part_max_bytes: usize,
) -> BaseWriteOutcome
where
    S: Store + ?Sized,
{
    let Ok(read) = store.get(BASE_KEY) else {
        return BaseWriteOutcome::NotConfirmed;
    };
    let (before, guard) = match &read.entry {
        None => (ConfigNumber(0), WriteCondition::IfAbsent),
        Some(entry) => match BaseHead::from_bytes(&entry.value) {
            Some(head) => (head.number, WriteCondition::IfVersion(entry.version)),
            // A head that cannot be decoded may come from a later release, so it is not replaced.
            None => return BaseWriteOutcome::NotConfirmed,
        },
    };
    if before >= catalog.number {
        return BaseWriteOutcome::UpToDate(before);
    }
    let document = BaseDocument::encode(catalog);
    let parts: Vec<&[u8]> = document.chunks(part_max_bytes).collect();
    if parts.len() > BASE_PARTS_MAX {
        let bytes = document.len();
        return BaseWriteOutcome::TooLarge { bytes };
    }
    let head = BaseHead {
        number: catalog.number,
        digest: document_digest(&document),
        parts: parts.len(),
    };
    for (part, bytes) in parts.iter().enumerate() {
        if store.write(&head.part_key(part), bytes, WriteCondition::Unconditional)
            != WriteOutcome::Applied
        {
            return BaseWriteOutcome::NotConfirmed;
        }
    }
    if store.write(BASE_KEY, &head.to_bytes(), guard) != WriteOutcome::Applied {
        return BaseWriteOutcome::NotConfirmed;
    }
    remove_old_parts(store, before);
    BaseWriteOutcome::Written {
        replaced_number: before,
    }
}

/// Removes the parts of documents older than `before`. The parts of `before` itself are kept for
/// readers that have just read its head, and are removed by the next successful write of a base
/// document. That write also removes parts that remain here because a call failed.
fn remove_old_parts<S>(store: &S, before: ConfigNumber)
where
    S: Store + ?Sized,
{
    let Ok(keys) = store.keys(BASE_PARTS_PREFIX) else {
        return;
    };
    let first_kept = format!("{BASE_PARTS_PREFIX}{:020}", before.0);
    let old_keys: BTreeSet<String> = keys.into_iter().filter(|key| *key < first_kept).collect();
    for key in old_keys {
        store.delete(&key);
    }
}

/// The result of reading the base document.
pub(super) enum BaseRead {
    /// The store holds no base document.
    Absent,
    /// The bytes of the complete document.
    Complete(Vec<u8>),
    /// Parts of the document are missing or do not match the head, as when the document was replaced
    /// during the read.
    Incomplete,
}

pub(super) fn read_base<S>(store: &S) -> Result<BaseRead, LoadError>
where
    S: Store + ?Sized,
{
    let Some(entry) = store.get(BASE_KEY)?.entry else {
        return Ok(BaseRead::Absent);
    };
    let head = BaseHead::from_bytes(&entry.value).ok_or(LoadError::InvalidHead)?;
    let Some(document) = read_parts(store, &head)? else {
        return Ok(BaseRead::Incomplete);
    };
    Ok(BaseRead::Complete(document))
}

/// Reads the parts of a document, or returns `None` if a part is missing or the digest does not match
/// the head.
fn read_parts<S>(store: &S, head: &BaseHead) -> Result<Option<Vec<u8>>, PlatformUnavailable>
where
    S: Store + ?Sized,
{
    let mut document = Vec::new();
    for part in 0..head.parts.min(BASE_PARTS_MAX) {
        match store.get(&head.part_key(part))?.entry {
            Some(entry) => document.extend_from_slice(&entry.value),
            None => return Ok(None),
        }
    }
    let is_complete = document_digest(&document) == head.digest;
    Ok(is_complete.then_some(document))
}
