//! Settings and release notes: parse, check and apply.
