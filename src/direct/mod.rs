//! An instance that dispatches directly: callers, upstreams and the registry on one event loop.
//!
//! Everything runs on one thread, in a current-thread `tokio` runtime. The decisions stand in one
//! `stakker` actor that the tasks of the loop call; it never waits, and what it decides is carried
//! out by new tasks. A call to an upstream costs no thread, and ends at once when it is cancelled.
//!
//! # Modules
//!
//! - `instance`: starts and stops everything.
//! - `node`: the actor and what connects it to the loop.
//! - `listener`: accepts connections on all ports.
//! - `callers`: the port for callers.
//! - `calls`: calls to upstreams.
//! - `answer_memory`: how much memory answers may take.
//! - `pool`: connections that wait for their next call.
//! - `connection`: one client connection, used for upstreams and the registry.
//! - `follower`: keeps up with the registry.
//! - `first_read`: reads the registry for the first time.
//! - `reads`: calls that read the registry, from itself or from another instance.
//! - `registry`: calls to the registry.
//! - `knowledge`: takes over what was read.
//! - `mirror`: what was read, for those that follow this instance.
//! - `restored`: what stands against a registry that was restored from a copy.
//! - `relay`: the port for other instances: passes it on, and takes batches.
//! - `batches`: calls to other instances that collect a part of a search.
//! - `collector`: collects parts for other instances.
//! - `member`: keeps this instance registered.
//! - `operators`: readiness and metrics.
//! - `requests_log`: the log line of each request.

mod answer_memory;
mod batches;
mod callers;
mod calls;
mod collector;
mod connection;
mod first_read;
mod follower;
mod instance;
mod knowledge;
mod listener;
mod member;
mod mirror;
mod node;
mod operators;
mod pool;
mod reads;
mod registry;
mod relay;
mod requests_log;
mod restored;

pub use self::instance::run;
