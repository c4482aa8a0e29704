//! Settings and release notes: parse, check and apply.
//!
//! Two kinds of document configure an instance. Its *settings* ([`Settings`]) apply to one process:
//! addresses, its availability zone, the addresses of the platform, limits and timings. *Release
//! notes* ([`Note`]) apply to all instances: each note lists the zones, upstreams, customers,
//! searches and operations that it adds, changes and withdraws. Applying the accepted notes in
//! order gives the [`Catalog`](hemlockrouter_types::catalog::Catalog) that the decision packages
//! read. Settings and notes are JSON with comments, and every error names the file, the line, the
//! field and the expected value.
//!
//! This package does no I/O, except that [`Settings::load_keys`] reads the key files and
//! environment variables that the settings name.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_config::Note;
//! use hemlockrouter_types::prelude::*;
//!
//! let text = r#"{
//!     "id": "2026-12-04-first-zone",
//!     "author": "kim",
//!     "added": { "zones": { "daegu-1": { "region": "daegu" } } },
//! }"#;
//! let note = Note::parse(text, "note.jsonc").unwrap();
//! let catalog = note.apply(&Catalog::default(), ConfigNumber(1)).unwrap();
//! assert!(catalog.find_zone("daegu-1").is_some());
//!
//! let again = Note::parse(&text.replace("first", "second"), "note.jsonc").unwrap();
//! let err = again.apply(&catalog, ConfigNumber(2)).unwrap_err();
//! assert_eq!(
//!     err.to_string(),
//!     "note.jsonc:4: added.zones.daegu-1: the zone exists already; change it under \"changed\"",
//! );
//! ```
//!
//! # Modules
//!
//! - [`settings`]: the settings of one instance.
//! - [`direct`]: the settings of an instance that dispatches to upstreams directly.
//! - [`secret`]: keys of operators and instances.
//! - [`note`]: release notes, and how a note changes the catalogue.
//! - [`base`]: a snapshot of the catalogue, from which a new instance starts.
//! - [`identity`]: lookup of a customer by its bearer key.
//! - [`error`]: the error type, with the place of the error in the file.

pub mod base;
pub mod direct;
mod document;
pub mod error;
pub mod identity;
pub mod note;
pub mod secret;
pub mod settings;
mod suggest;

use sha2::Digest;
use sha2::Sha256;

pub use crate::base::BaseDocument;
pub use crate::direct::ChangedFields;
pub use crate::direct::DirectSettings;
pub use crate::direct::DispatchMode;
pub use crate::direct::LoadedSettings;
pub use crate::direct::ProtocolName;
pub use crate::direct::ReplacedValue;
pub use crate::error::Error;
pub use crate::error::ErrorKind;
pub use crate::identity::find_customer_by_key;
pub use crate::identity::KeyIndex;
pub use crate::note::apply_accepted_note;
pub use crate::note::AppliedNote;
pub use crate::note::Note;
pub use crate::secret::SecretKey;
pub use crate::settings::Settings;

/// Returns the first eight bytes of the SHA-256 hash of a document, as an identifier of its
/// content.
pub fn document_digest(document: &[u8]) -> u64 {
    let hash = Sha256::digest(document);
    let bytes = hash[..8].try_into().expect("a hash has 32 bytes");
    u64::from_be_bytes(bytes)
}
