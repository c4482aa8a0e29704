//! Property tests of the store's protocols. A seed determines both the faults of the store and the
//! order in which a scheduler interleaves concurrent calls.

mod notes_fuzz;
mod schedule;
mod store;
mod ties_fuzz;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a configuration with `cases` cases and a fixed seed, so that every run gives the same
/// result. `PROPTEST_CASES` and `PROPTEST_RNG_SEED` override these values for longer runs.
fn config_with_fixed_seed(cases: u32) -> ProptestConfig {
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
