//! What an instance speaks to callers, upstreams and the registry.
//!
//! An instance that dispatches directly may stand in front of systems with different headers, paths
//! and documents. A [`Protocol`] translates between their messages and the types of this project. It
//! is pure: it does no I/O, decides nothing and keeps nothing, so that each protocol can be tested
//! with plain values and exchanged without touching a decision.
//!
//! # Modules
//!
//! - [`batch`]: what instances say to each other to share a search.
//! - [`caller`]: requests of callers, and answers to them.
//! - [`registry`]: the store in which routes, upstreams and instances are registered.
//! - [`generation`]: how far the history of that store is known.
//! - [`reconcile`](mod@reconcile): what to believe after it was restored from a copy.
//! - [`protocol`]: the trait itself.

pub mod batch;
pub mod caller;
pub mod generation;
pub mod protocol;
pub mod reconcile;
pub mod registry;

pub use crate::batch::BadBatch;
pub use crate::batch::BatchCall;
pub use crate::batch::CollectedFrame;
pub use crate::caller::BadRequest;
pub use crate::caller::CallerRequest;
pub use crate::generation::Generation;
pub use crate::generation::Position;
pub use crate::protocol::Protocol;
pub use crate::reconcile::reconcile;
pub use crate::reconcile::Held;
pub use crate::reconcile::LastWrite;
pub use crate::reconcile::Reconciled;
pub use crate::reconcile::Subject;
pub use crate::registry::Change;
pub use crate::registry::EncodedEntries;
pub use crate::registry::Entry;
pub use crate::registry::Lease;
pub use crate::registry::Page;
pub use crate::registry::RegistryError;
pub use crate::registry::RelayPage;
