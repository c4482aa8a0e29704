//! Decisions per request at an entry instance.
//!
//! An entry instance takes a caller's request and decides which upstreams work on it. Two machines
//! stand here. A [`Searcher`] fans a search out over its shards, chooses replicas, hedges
//! stragglers and answers from exactly one snapshot. A [`Runner`] runs a request that must not be
//! repeated at most once, whatever is lost on the way.
//!
//! Both are sans-IO: they are driven with typed events and the current [`Time`], and push typed
//! commands to a `Vec`. The driver keeps the bodies of requests, knows the owner of each upstream,
//! and carries the commands out.
//!
//! # Examples
//!
//! ```
//! use std::sync::Arc;
//!
//! use hemlockrouter_route::Config;
//! use hemlockrouter_route::Query;
//! use hemlockrouter_route::SearchCommand;
//! use hemlockrouter_route::Searcher;
//! use hemlockrouter_types::prelude::*;
//!
//! let origin = InstanceId(1);
//! let mut searcher = Searcher::new(Config::new().zone("north"), origin, 42);
//! let mut out = Vec::new();
//! searcher.configure(Time::ZERO, Arc::new(Catalog::default()), &mut out);
//!
//! // This catalogue has no search, so the query is refused at once.
//! let query = Query {
//!     id: QueryId { origin, seq: 1 },
//!     customer: CustomerKey::from_raw(0),
//!     search: SearchKey::from_raw(0),
//!     deadline: Time::from_ms(200),
//!     min_coverage: None,
//! };
//! searcher.start(Time::ZERO, query, &mut out);
//! assert!(matches!(out[0], SearchCommand::Refuse { .. }));
//! ```
//!
//! # Modules
//!
//! - [`search`]: searches: [`Searcher`], its configuration, events and commands.
//! - [`run`]: requests that must not be repeated: [`Runner`], its events and commands.
//! - [`direct`]: requests that an instance dispatches itself, without owners.
//! - `choose`: which replica, shared by both.
//! - `latency`: what an upstream's recent latencies were.
//! - `round_trip`: how long the way to an owner and back takes.
//! - `timer`: when something is due.
//! - `budget`: how much extra load may be placed on upstreams.
//!
//! [`Time`]: hemlockrouter_types::Time

mod budget;
mod choose;
pub mod direct;
mod latency;
mod round_trip;
pub mod run;
pub mod search;
mod timer;

pub use crate::run::Claim;
pub use crate::run::ClaimResult;
pub use crate::run::Run;
pub use crate::run::RunCommand;
pub use crate::run::RunConfig;
pub use crate::run::Runner;
pub use crate::run::Via;
pub use crate::search::Answer;
pub use crate::search::Config;
pub use crate::search::Query;
pub use crate::search::SearchCommand;
pub use crate::search::Searcher;
pub use crate::search::ShardAnswer;
pub use crate::search::ShardChoice;
