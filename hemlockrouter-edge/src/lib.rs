//! Messages that an instance exchanges with callers, upstreams and the registry.
//!
//! An instance that dispatches directly may be deployed with systems that use different headers,
//! paths and documents. A [`Protocol`] translates between the messages of such a system and the
//! types of this project. A protocol does no I/O, makes no decisions and keeps no state, so it can
//! be tested with plain values and replaced without a change to any decision.
//!
//! # Modules
//!
//! - [`batch`]: messages between instances that share a search.
//! - [`caller`]: requests of callers.
//! - [`registry`]: the store in which routes, upstreams and instances are registered.
//! - [`generation`]: positions in the history of the registry.
//! - [`reconcile`](mod@reconcile): merges known entries with a registry that was restored from a
//!   backup.
//! - [`protocol`]: the trait that protocols implement.

pub mod batch;
pub mod caller;
pub mod generation;
pub mod protocol;
pub mod reconcile;
pub mod registry;

pub use crate::batch::BatchCall;
pub use crate::batch::BatchFrame;
pub use crate::batch::InvalidBatchCall;
pub use crate::caller::CallerRequest;
pub use crate::caller::InvalidRequest;
pub use crate::generation::HistoryPosition;
pub use crate::generation::RestoreGeneration;
pub use crate::protocol::Protocol;
pub use crate::protocol::UpstreamAnswer;
pub use crate::reconcile::keep_newer;
pub use crate::reconcile::reconcile;
pub use crate::reconcile::EntrySubject;
pub use crate::reconcile::HeldEntry;
pub use crate::reconcile::ReconciledEntries;
pub use crate::reconcile::UpstreamWrite;
pub use crate::registry::EncodedEntries;
pub use crate::registry::Entry;
pub use crate::registry::EntryChange;
pub use crate::registry::Page;
pub use crate::registry::RegistrationLease;
pub use crate::registry::RegistryError;
pub use crate::registry::RelayPage;
