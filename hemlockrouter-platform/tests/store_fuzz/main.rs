//! The protocols over a store whose faults come from a seed, and a scheduler that interleaves its users
//! by the seed.

mod notes_fuzz;
mod schedule;
mod store;
mod ties_fuzz;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Runs `cases` from a fixed seed, for the same verdict every time. `PROPTEST_CASES` and
/// `PROPTEST_RNG_SEED` override for a longer run.
fn config(cases: u32) -> ProptestConfig {
    let mut config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = cases;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config
}
