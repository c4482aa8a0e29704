//! Access to the platform's key-value store and instance list.
//!
//! All durable state lives in the platform's key-value store. This package holds everything that
//! the product knows about the store: the HTTP client ([`ConsulClient`]), the rule that a write without a
//! response may still have taken effect ([`WriteOutcome::Unknown`]), and the three protocols built on
//! conditional writes:
//!
//! - *Release notes* ([`notes`]): a note is accepted by the create-only write of the next numbered
//!   key.
//! - *Claims* ([`claims`]): the create-only write of an idempotency key decides which request may
//!   run.
//! - *Ties* ([`ties`]): a compare-and-swap on the last version read decides which of the last two
//!   instances of an availability zone continues alone.
//!
//! Calls block. The client never retries: each call of [`Store`] is exactly one call of the
//! platform, because the platform limits and counts the call rate. The protocols retry only where
//! their documentation says so.
//!
//! # Examples
//!
//! ```no_run
//! use hemlockrouter_platform::notes;
//! use hemlockrouter_platform::ConsulClient;
//!
//! let store = ConsulClient::new("127.0.0.1:8500".parse().unwrap(), 1_000);
//! match notes::load(&store) {
//!     Ok(loaded) => println!("configuration {} is in force", loaded.catalog.number),
//!     Err(err) => println!("{err}"),
//! }
//! ```
//!
//! # Modules
//!
//! - [`store`]: the trait of the key-value store, and the typed outcomes of its calls.
//! - [`consul`]: the HTTP client for a store with Consul's API.
//! - [`list`]: the instance list.
//! - [`calls`]: counters of the calls to the platform.
//! - [`notes`]: submitting, loading and following release notes; the base document.
//! - [`claims`]: claims that keep a request from running twice.
//! - [`ties`]: records that decide which of two instances continues alone.

pub mod calls;
pub mod claims;
pub mod consul;
pub mod list;
pub mod notes;
pub mod store;
pub mod ties;

pub use crate::calls::CallCounts;
pub use crate::consul::ConsulClient;
pub use crate::list::InstanceList;
pub use crate::list::ListedProcess;
pub use crate::store::Entry;
pub use crate::store::PlatformUnavailable;
pub use crate::store::ReadResult;
pub use crate::store::Store;
pub use crate::store::WriteCondition;
pub use crate::store::WriteOutcome;
