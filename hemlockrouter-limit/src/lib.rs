//! Decisions per upstream at its owner, and limits per customer at the entry.
//!
//! Each upstream has one owner at a time, the instance that holds its ownership lease. The owner's
//! [`Limiter`] alone decides when a sub-request goes to the upstream: it holds the limit on what is
//! in flight, raises it slowly through a cold start, and shares the upstream fairly between
//! customers. At the entry, [`Admission`] holds each customer to its own limits.
//!
//! The package does no I/O. Events go in with the current time, and commands come out; the caller
//! calls [`Limiter::tick`] at [`Limiter::next_wake`].
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_limit::Command;
//! use hemlockrouter_limit::Config;
//! use hemlockrouter_limit::Limiter;
//! use hemlockrouter_limit::Work;
//! use hemlockrouter_types::prelude::*;
//!
//! let mut limiter = Limiter::new(Config::new());
//! let mut out = Vec::new();
//! let work = Work {
//!     id: SubId { origin: InstanceId(1), seq: 1 },
//!     customer: CustomerKey::from_raw(0),
//!     upstream: UpstreamKey::from_raw(0),
//!     weight: 1,
//!     deadline: Time::from_ms(200),
//!     once: false,
//! };
//! limiter.offer(Time::ZERO, work, &mut out);
//! let Command::Refuse { refusal, .. } = &out[0] else { panic!("the catalogue is empty") };
//! assert_eq!(refusal.reason, Reason::NotConfigured);
//! ```
//!
//! # Modules
//!
//! - `limiter`: the [`Limiter`], which finds the upstream of each event.
//! - `items`: the sub-requests that have not ended, by id.
//! - `table`: the upstreams, by key.
//! - `pump`: what follows from the state of an upstream after an event.
//! - `upstream`: the state of one upstream: lease, ramp, queue, pauses.
//! - `ramp`: the cold-start ramp.
//! - `history`: how long the work of each customer takes at an upstream.
//! - `window`: the answers since a limit changed.
//! - `queue`: the weighted fair queue over customers.
//! - `mean`: means of durations.
//! - `timers`: when upstreams need attention.
//! - `admission`: the limits of customers at the entry.
//! - `work`: events and commands.
//! - `config`: settings.

mod admission;
mod config;
mod history;
mod items;
mod limiter;
mod mean;
mod pump;
mod queue;
mod ramp;
mod table;
mod timers;
mod upstream;
mod window;
mod work;

pub use crate::admission::Admission;
pub use crate::config::Config;
pub use crate::config::Growth;
pub use crate::config::Order;
pub use crate::limiter::Limiter;
pub use crate::work::Command;
pub use crate::work::Ended;
pub use crate::work::Status;
pub use crate::work::Work;
