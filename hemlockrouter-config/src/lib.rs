//! Settings and release notes: parse, check and apply.
//!
//! Two documents steer an instance. Its *settings* ([`Settings`]) belong to one process: addresses,
//! its availability zone, where the platform is, limits and timings. *Release notes* ([`Note`])
//! belong to all instances: each lists what is added, changed and withdrawn among zones, upstreams,
//! customers, searches and operations. Applying the accepted notes in their order gives the
//! [`Catalog`](hemlockrouter_types::catalog::Catalog) that the decision packages read. Both are
//! JSON with comments, and every error names file, line, field and what was expected.
//!
//! This package does no I/O, except that [`Settings::load_keys`] reads the keys that the settings
//! point to.
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
//! - [`direct`]: the settings of an instance that dispatches directly.
//! - [`secret`]: keys of operators and instances.
//! - [`note`]: release notes, and how one changes the catalogue.
//! - [`base`]: the catalogue as one document, from which a new instance starts.
//! - [`identity`]: which customer a bearer key belongs to.
//! - [`error`]: what is wrong, and where.

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

pub use crate::base::Base;
pub use crate::direct::ChangedFields;
pub use crate::direct::DirectSettings;
pub use crate::direct::Dispatch;
pub use crate::direct::ProtocolName;
pub use crate::error::Error;
pub use crate::error::ErrorKind;
pub use crate::identity::find_customer_by_key;
pub use crate::identity::KeyIndex;
pub use crate::note::accept;
pub use crate::note::Accepted;
pub use crate::note::Note;
pub use crate::secret::SecretKey;
pub use crate::settings::Settings;

/// Returns the first eight bytes of the SHA-256 hash of a document, which tell it from any other
/// one.
pub fn digest(document: &[u8]) -> u64 {
    let hash = Sha256::digest(document);
    let bytes = hash[..8].try_into().expect("a hash has 32 bytes");
    u64::from_be_bytes(bytes)
}
