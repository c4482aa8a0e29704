//! Tests of how instances that dispatch directly learn the contents of the registry, and of how
//! they are registered in it.

mod registrar;
mod sources;
