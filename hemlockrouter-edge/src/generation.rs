//! How far the history of the registry is known.
//!
//! A registry may be restored from a copy some seconds old. What was written since is gone, and the same
//! revisions are given out once more, so a revision alone does not say what is newer.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Grows each time that the registry is restored from a copy; 0 if the registry does not say it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Generation(pub u64);

/// A point in the history of the registry. The later one is the greater one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// How often the registry has been restored.
    pub generation: Generation,
    /// The number of the last change. It is counted anew from that of the copy.
    pub revision: u64,
}
