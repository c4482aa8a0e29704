//! Routing decisions for each request at an entry instance.
//!
//! An entry instance accepts a caller's request and decides which upstreams work on it. The crate
//! has two state machines for requests that are sent to the owners of upstreams. A [`Searcher`]
//! fans a search out over its shards, selects replicas, hedges stragglers and answers from exactly
//! one snapshot. A [`Runner`] runs a request at most once if the request must not be repeated, even
//! if messages or instances are lost. The module [`direct`] has a third one, for requests that an
//! instance sends to upstreams itself.
//!
//! All are sans-IO: they receive typed events with the current [`Time`] and push typed commands to
//! a `Vec`. The driver keeps the bodies of requests, knows the owner of each upstream, and executes
//! the commands.
//!
//! # Examples
//!
//! ```
//! use std::sync::Arc;
//!
//! use hemlockrouter_route::SearcherConfig;
//! use hemlockrouter_route::Query;
//! use hemlockrouter_route::SearchCommand;
//! use hemlockrouter_route::Searcher;
//! use hemlockrouter_types::prelude::*;
//!
//! let origin = InstanceId(1);
//! let mut searcher = Searcher::new(SearcherConfig::new().zone("north"), origin, 42);
//! let mut out = Vec::new();
//! searcher.configure(Time::ZERO, Arc::new(Catalog::default()), &mut out);
//!
//! // The default catalogue has no search, so the query is refused at once.
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
//! - `choose`: selection of a replica, shared by both.
//! - `latency`: quantiles of recent latencies.
//! - `round_trip`: the network round trip to an upstream's owner.
//! - `timer`: a queue of timers.
//! - `budget`: token buckets that bound the extra load on upstreams.
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
pub use crate::run::RunCommand;
pub use crate::run::RunConfig;
pub use crate::run::RunIdentifier;
pub use crate::run::RunRequest;
pub use crate::run::Runner;
pub use crate::search::Answer;
pub use crate::search::Query;
pub use crate::search::SearchCommand;
pub use crate::search::Searcher;
pub use crate::search::SearcherConfig;
pub use crate::search::ShardAnswer;
pub use crate::search::ShardChoice;
