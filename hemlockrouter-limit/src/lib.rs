//! Decisions per upstream at its owner.
