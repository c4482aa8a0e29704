//! Tests of membership, ownership and configuration relay in virtual time.

mod fuzz;
mod measure;
mod net;
mod scenario;
