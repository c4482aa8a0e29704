//! An instance that dispatches directly: callers, upstreams and the registry share one event loop.
//!
//! All code runs on one thread, in a current-thread `tokio` runtime. One `stakker` actor makes the
//! decisions. The tasks of the event loop call it; the actor never blocks, and new tasks execute
//! its decisions. A call to an upstream needs no thread and ends at once when it is cancelled.
//!
//! # Modules
//!
//! - `instance`: starts and stops the instance.
//! - `node`: the deciding actor and its connection to the event loop.
//! - `listener`: accepts connections on all ports.
//! - `callers`: the server for callers.
//! - `caller_limits`: applies the limits in force on callers' connections of any age.
//! - `calls`: the client for upstreams.
//! - `answer_memory`: limits the memory for answers.
//! - `pool`: idle connections for reuse.
//! - `connection`: an HTTP client connection to an upstream, an instance or the registry.
//! - `interim_limit`: limits the interim answers that such a connection receives.
//! - `follower`: keeps the local copy of the registry up to date.
//! - `first_read`: reads the registry when the instance starts.
//! - `registry_reads`: reads the registry, directly or from another instance.
//! - `registry`: the client for the registry.
//! - `read_applier`: applies what was read.
//! - `mirror`: the local copy of the registry, also for followers.
//! - `departed`: remembers upstreams that have left.
//! - `late_writes`: recognizes writes of upstreams that the registry executed late.
//! - `confirmation`: asks whether upstreams that had left are back.
//! - `restore_overrides`: handles a registry that was restored from a backup copy.
//! - `relay`: the server for other instances: relays the registry and accepts batches.
//! - `batches`: the client for instances that collect a part of a search.
//! - `collector`: collects parts of searches for other instances.
//! - `member`: keeps this instance registered.
//! - `operators`: readiness, metrics and status.
//! - `request_log`: the log line of each request.

mod answer_memory;
mod batches;
mod caller_limits;
mod callers;
mod calls;
mod collector;
mod confirmation;
mod connection;
mod departed;
mod first_read;
mod follower;
mod instance;
mod interim_limit;
mod late_writes;
mod listener;
mod member;
mod mirror;
mod node;
mod operators;
mod pool;
mod read_applier;
mod registry;
mod registry_reads;
mod relay;
mod request_log;
mod restore_overrides;

pub use self::instance::run;
pub use self::instance::Reload;
