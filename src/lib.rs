//! Root.
