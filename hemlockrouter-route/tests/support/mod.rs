//! Shared support code of the tests and benches.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses some of this"
)]

mod catalog;
pub(crate) mod sim;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

pub(crate) use self::catalog::catalog;
pub(crate) use self::catalog::shards_of;
pub(crate) use self::catalog::Layout;

/// Returns the configuration of a fuzz test, with a fixed seed and the given number of cases. For a
/// longer run `PROPTEST_CASES` and `PROPTEST_RNG_SEED` override them.
pub(crate) fn fuzz_config(cases: u32) -> Config {
    let mut config = Config {
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = cases;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(20_261_204);
    }
    config
}
