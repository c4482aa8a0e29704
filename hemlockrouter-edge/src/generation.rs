//! Positions in the history of the registry.
//!
//! A registry may be restored from a backup that is some seconds old. The writes since the backup
//! are then lost, and their revisions are assigned again, so a revision alone does not tell which
//! of two states is newer.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Number of times that the registry was restored from a backup, or 0 if the registry does not
/// report it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RestoreGeneration(pub u64);

/// A point in the history of the registry. Later positions compare greater.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HistoryPosition {
    /// Number of times that the registry was restored.
    pub generation: RestoreGeneration,
    /// Revision of the last change. After a restore, revisions continue from that of the backup.
    pub revision: u64,
}
