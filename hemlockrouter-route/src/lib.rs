//! Decisions per query at an entry instance.
