//! Query tier over many shards.
//!
//! Callers send a search or a request that must not be repeated to any instance. The instance fans
//! a search out over the customer's shards, gathers one consistent answer and states its coverage.
//! Upstreams are never overloaded: each has one owner at a time, an instance of its own
//! availability zone that alone dispatches to it. Operators steer all instances by release notes.
//!
//! This package builds an instance out of the decision packages, which do no I/O themselves.
//!
//! # Examples
//!
//! ```no_run
//! use hemlockrouter::Instance;
//! use hemlockrouter_config::Settings;
//!
//! let text = std::fs::read_to_string("settings.jsonc").unwrap();
//! let settings = Settings::parse(&text, "settings.jsonc").unwrap();
//! let keys = settings.load_keys().unwrap();
//! let instance = Instance::start(settings, keys).unwrap();
//! println!("serving callers at {}", instance.callers_address());
//! instance.run();
//! ```
//!
//! # Modules
//!
//! - `instance`: starts all parts, runs the node, and shuts down gracefully.
//! - [`direct`]: an instance that dispatches to upstreams itself, on one event loop.
//! - `node`: the actors that drive the decision packages.
//! - `edge`: serves callers, operators and other instances.
//! - `outbound`: calls other instances, upstreams and the platform.
//! - [`tasks`]: notices tasks that fail.
//! - `tuning`: derives the configuration of each decision package from the settings.
//! - `metrics` and `log_line`: metrics and decision log lines for operators.

pub mod direct;
mod edge;
mod instance;
mod log_line;
mod metrics;
mod node;
mod outbound;
pub mod tasks;
mod tuning;

pub use crate::instance::Instance;
pub use crate::instance::ShutdownHandle;
pub use crate::instance::ShutdownOutcome;
