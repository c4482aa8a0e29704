//! Ids, the clock, the catalogue and the outcomes that all other packages share.
//!
//! The decision packages (`hemlockrouter-route`, `hemlockrouter-limit`, `hemlockrouter-member`)
//! receive typed events with the current [`Time`], and return typed commands. The types from which
//! events and commands are built are defined in this package, so that no decision package depends
//! on another.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_types::prelude::*;
//!
//! let start = Time::from_ms(1_000);
//! let deadline = start + 200;
//! assert_eq!(deadline.ms_since(start), 200);
//! ```
//!
//! # Modules
//!
//! - [`clock`]: [`Time`] in milliseconds and the [`Clock`] that reads it.
//! - [`id`]: newtype ids and arena keys.
//! - [`arena`]: map from small `Copy` keys to values.
//! - [`catalog`]: the configuration from the release notes: zones, upstreams, customers, searches.
//! - [`outcome`]: refusals and their reasons.
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
