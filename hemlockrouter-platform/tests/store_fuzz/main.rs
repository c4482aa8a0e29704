//! The protocols over a store whose faults come from a seed, and a scheduler that interleaves its users
//! by the seed.

mod notes_fuzz;
mod schedule;
mod store;
mod ties_fuzz;
