//! Rate and concurrency limits for upstreams and customers.
//!
//! Each upstream has one owner at a time: the instance that holds its ownership lease. Only the
//! owner's [`Limiter`] decides when a sub-request is sent to the upstream. The limiter bounds the
//! requests in flight, raises this bound gradually during a cold start, and shares the upstream
//! fairly between customers. The instance that receives a request enforces the limits of its
//! customer with [`Admission`].
//!
//! The package does no I/O. The caller passes in events with the current time, carries out the
//! returned commands, and calls [`Limiter::tick`] at [`Limiter::next_wake`].
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_limit::Command;
//! use hemlockrouter_limit::Config;
//! use hemlockrouter_limit::Limiter;
//! use hemlockrouter_limit::SubRequest;
//! use hemlockrouter_types::prelude::*;
//!
//! let mut limiter = Limiter::new(Config::new());
//! let mut out = Vec::new();
//! let sub_request = SubRequest {
//!     id: SubRequestId { origin: InstanceId(1), seq: 1 },
//!     customer: CustomerKey::from_raw(0),
//!     upstream: UpstreamKey::from_raw(0),
//!     weight: 1,
//!     deadline: Time::from_ms(200),
//!     non_repeatable: false,
//! };
//! limiter.offer(Time::ZERO, sub_request, &mut out);
//! let Command::Refuse { refusal, .. } = &out[0] else { panic!("the catalogue is empty") };
//! assert_eq!(refusal.reason, RefusalReason::NotConfigured);
//! ```
//!
//! # Modules
//!
//! - `limiter`: the [`Limiter`], which applies each event to its upstream.
//! - `active_requests`: the sub-requests that have not ended, by id.
//! - `upstream_table`: the upstreams, by key.
//! - `dispatcher`: refusals and dispatches after each event.
//! - `upstream`: the state of one upstream: lease, ramp, queue, pauses.
//! - `ramp`: the concurrency limit during and after a cold start.
//! - `history`: the latency of each customer's sub-requests at an upstream.
//! - `window`: counts of timely and late answers since the limit changed.
//! - `queue`: the weighted fair queue over customers.
//! - `mean`: moving and arithmetic means.
//! - `timers`: the times at which upstreams are examined again.
//! - `admission`: the limits of customers.
//! - `work`: events and commands.
//! - `config`: settings.

mod active_requests;
mod admission;
mod config;
mod dispatcher;
mod history;
mod limiter;
mod mean;
mod queue;
mod ramp;
mod timers;
mod upstream;
mod upstream_table;
mod window;
mod work;

pub use crate::admission::Admission;
pub use crate::config::Config;
pub use crate::config::LimitGrowth;
pub use crate::config::QueueOrder;
pub use crate::limiter::Limiter;
pub use crate::work::Command;
pub use crate::work::DispatchOutcome;
pub use crate::work::LimiterStatus;
pub use crate::work::SubRequest;
