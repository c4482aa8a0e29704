//! Ids, the clock, the catalogue and the outcomes that every other package shares.
//!
//! The decision packages (`hemlockrouter-route`, `hemlockrouter-limit`, `hemlockrouter-member`)
//! are driven with typed events and the current [`Time`], and answer with typed commands. What
//! those events and commands are made of lives here, so that no decision package depends on
//! another.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_types::prelude::*;
//!
//! let start = Time::from_ms(1_000);
//! let deadline = start + 200;
//! assert_eq!(deadline.since(start), 200);
//! ```
//!
//! # Modules
//!
//! - [`clock`]: [`Time`] in milliseconds and the [`Clock`] that reads it.
//! - [`id`]: newtype ids and arena keys.
//! - [`arena`]: a map from small `Copy` keys to values.
//! - [`catalog`]: what the release notes say: zones, upstreams, customers, searches.
//! - [`outcome`]: refusals and how a request ended.
//! - [`routing`]: routes, services and registered upstreams, for instances that dispatch directly.
//! - [`decision`]: the record of one routing or placement decision, for the log.

pub mod arena;
pub mod catalog;
pub mod clock;
pub mod decision;
pub mod id;
pub mod outcome;
pub mod prelude;
pub mod routing;

pub use crate::clock::Clock;
pub use crate::clock::Time;
pub use crate::id::InstanceId;
