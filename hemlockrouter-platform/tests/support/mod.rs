//! A store whose faults come from a seed, and a scheduler that interleaves its users by the seed.

pub(crate) mod schedule;
pub(crate) mod store;
