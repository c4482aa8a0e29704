//! The base document in the store.
//!
//! At the size to design for the document is larger than one value of the store, so it stands in
//! parts, whose keys name its number and digest, and a small *head* names the document in force.
//! Parts never change, since equal catalogues give equal documents: any instance may write them,
//! and write them again. The head is moved by compare-and-swap, and only to a higher number. A
//! reader whose parts were removed meanwhile reads the head again.

use std::collections::BTreeSet;

use hemlockrouter_config::digest;
use hemlockrouter_config::Base;
use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::load::LoadError;
use super::BASE_KEY;
use super::BASE_PARTS_PREFIX;
use crate::store::Down;
use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// The largest part, in bytes: what one value of the store holds.
pub const PART_MAX_BYTES: usize = 1_048_576;

/// The most parts of a document.
const PARTS_MAX: usize = 64;

/// Names the base document in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BaseHead {
    /// The number of the last note in it.
    pub number: ConfigNumber,
    digest: u64,
    parts: usize,
}

impl BaseHead {
    /// Reads a head from the bytes that stand under [`BASE_KEY`].
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

/// How writing the base document ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaseWritten {
    /// It was written.
    Yes {
        /// The number of the one that it replaced.
        before: ConfigNumber,
    },
    /// One with this number, not lower, stands already.
    Newer(ConfigNumber),
    /// Another writer came between, or the store did not answer.
    No,
    /// The document would have too many parts.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
    },
}

/// Writes the catalogue as the base document, unless one that is not older stands already. It costs
/// one read if there is nothing to do, and else a write for each part, one for the head, and the
/// removal of the parts of earlier documents.
pub fn write_base<S>(store: &S, catalog: &Catalog) -> BaseWritten
where
    S: Store + ?Sized,
{
    write_base_in_parts(store, catalog, PART_MAX_BYTES)
}

/// Writes the base document as [`write_base`] does, in parts of at most `part_max_bytes`.
pub fn write_base_in_parts<S>(store: &S, catalog: &Catalog, part_max_bytes: usize) -> BaseWritten
where
    S: Store + ?Sized,
{
    let Ok(read) = store.get(BASE_KEY) else {
        return BaseWritten::No;
    };
    let (before, guard) = match &read.entry {
        None => (ConfigNumber(0), Guard::Absent),
        Some(entry) => match BaseHead::from_bytes(&entry.value) {
            Some(head) => (head.number, Guard::Version(entry.version)),
            // One that can't be read may be of a later release: leave it.
            None => return BaseWritten::No,
        },
    };
    if before >= catalog.number {
        return BaseWritten::Newer(before);
    }
    let document = Base::encode(catalog);
    let parts: Vec<&[u8]> = document.chunks(part_max_bytes).collect();
    if parts.len() > PARTS_MAX {
        let bytes = document.len();
        return BaseWritten::TooLarge { bytes };
    }
    let head = BaseHead {
        number: catalog.number,
        digest: digest(&document),
        parts: parts.len(),
    };
    for (part, bytes) in parts.iter().enumerate() {
        if store.write(&head.part_key(part), bytes, Guard::Any) != Written::Yes {
            return BaseWritten::No;
        }
    }
    if store.write(BASE_KEY, &head.to_bytes(), guard) != Written::Yes {
        return BaseWritten::No;
    }
    remove_parts(store, before);
    BaseWritten::Yes { before }
}

/// Removes the parts of documents older than `before`. Those of `before` stay for readers that have
/// just read its head, and go the next time; so do those that a lost call leaves here.
fn remove_parts<S>(store: &S, before: ConfigNumber)
where
    S: Store + ?Sized,
{
    let Ok(keys) = store.keys(BASE_PARTS_PREFIX) else {
        return;
    };
    let first_kept = format!("{BASE_PARTS_PREFIX}{:020}", before.0);
    let old: BTreeSet<String> = keys.into_iter().filter(|key| *key < first_kept).collect();
    for key in old {
        store.delete(&key);
    }
}

/// What reading the base document gave.
pub(super) enum BaseRead {
    /// There is none.
    Absent,
    /// The document.
    Whole(Vec<u8>),
    /// Its parts were removed meanwhile.
    Removed,
}

pub(super) fn read_base<S>(store: &S) -> Result<BaseRead, LoadError>
where
    S: Store + ?Sized,
{
    let Some(entry) = store.get(BASE_KEY)?.entry else {
        return Ok(BaseRead::Absent);
    };
    let head = BaseHead::from_bytes(&entry.value).ok_or(LoadError::Head)?;
    let Some(document) = read_parts(store, &head)? else {
        return Ok(BaseRead::Removed);
    };
    Ok(BaseRead::Whole(document))
}

/// Reads the parts, or returns nothing if they are not all there as the head names them.
fn read_parts<S>(store: &S, head: &BaseHead) -> Result<Option<Vec<u8>>, Down>
where
    S: Store + ?Sized,
{
    let mut document = Vec::new();
    for part in 0..head.parts.min(PARTS_MAX) {
        match store.get(&head.part_key(part))?.entry {
            Some(entry) => document.extend_from_slice(&entry.value),
            None => return Ok(None),
        }
    }
    let whole = digest(&document) == head.digest;
    Ok(whole.then_some(document))
}
