//! The edge to the platform's store and instance list.
//!
//! What must last lives in the platform's key-value store. This package holds everything that is
//! known about it: how it is called ([`Consul`]), that a write whose answer got lost may have taken
//! effect ([`Written::Unknown`]), and the three protocols built on its conditional writes:
//!
//! - *Release notes* ([`notes`]): the create-only write of the next numbered key is the acceptance
//!   of a note.
//! - *Claims* ([`claims`]): the create-only write of an idempotency key decides which request may
//!   run.
//! - *Ties* ([`ties`]): a write that depends on the version before it decides which of a zone's last
//!   two instances goes on alone.
//!
//! Calls block, and nothing is retried behind the caller's back: each call of [`Store`] is one call
//! of the platform, since the platform's rates are limited and counted. The protocols retry where
//! they say so.
//!
//! # Examples
//!
//! ```no_run
//! use hemlockrouter_platform::notes;
//! use hemlockrouter_platform::Consul;
//!
//! let store = Consul::new("127.0.0.1:8500".parse().unwrap(), 1_000);
//! match notes::load(&store) {
//!     Ok(loaded) => println!("configuration {} is in force", loaded.catalog.number),
//!     Err(err) => println!("{err}"),
//! }
//! ```
//!
//! # Modules
//!
//! - [`store`]: the trait, and the typed outcomes of its calls.
//! - [`consul`]: the HTTP client for a store in the shape of Consul's API.
//! - [`list`]: the instance list.
//! - [`calls`]: how often the platform was called.
//! - [`notes`]: submit, load and follow release notes; the base document.
//! - [`claims`]: claims of requests that must not be repeated.
//! - [`ties`]: records that decide which of two instances goes on alone.

pub mod calls;
pub mod claims;
pub mod consul;
pub mod list;
pub mod notes;
pub mod store;
pub mod ties;

pub use crate::calls::Calls;
pub use crate::consul::Consul;
pub use crate::list::List;
pub use crate::list::Listed;
pub use crate::store::Down;
pub use crate::store::Entry;
pub use crate::store::Guard;
pub use crate::store::Read;
pub use crate::store::Store;
pub use crate::store::Written;
