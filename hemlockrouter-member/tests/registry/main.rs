//! From whom instances that dispatch directly learn what the registry holds, and who registers them.

mod registrar;
mod sources;
