//! Stateful fuzz test that compares the limiter with an oracle.
//!
//! Two instances take turns as the owner of two upstreams. `PROPTEST_CASES` sets the number of
//! cases.

use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::RngSeed;
use proptest_state_machine::prop_state_machine;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::common::work;
use crate::oracle::Oracle;
use crate::oracle::CUSTOMERS;
use crate::oracle::OWNERS;
use crate::oracle::UPSTREAMS;

/// One step of the fuzz test. Indices are taken modulo the number of existing items.
#[derive(Clone, Debug)]
enum Step {
    /// Lets time pass, in milliseconds.
    Advance(u64),
    /// Renews the lease of an upstream at its holder, or grants it to an instance if nobody holds
    /// it.
    Hold(usize, usize),
    /// Ends the lease of an upstream.
    Release(usize),
    /// Offers copies of a sub-request to an instance. The instance may be frozen after it has
    /// decided and before its commands are carried out.
    Offer(usize, SubRequest, u8, bool),
    /// Offers sub-requests to the holder of an upstream at an interval for some time, and renews
    /// its lease.
    Load(usize, u64, u64),
    /// Moves the lease of an upstream to the other instance, which is offered sub-requests
    /// immediately.
    HandOver(usize, u8),
    /// Repeats an offer with another deadline.
    RepeatOffer(usize, u64),
    /// Cancels a sub-request.
    Cancel(usize),
    /// Reports the end of a sub-request a second time.
    RepeatEnd(usize),
    /// Freezes an instance, which then receives and sends nothing.
    Freeze(usize),
    /// Resumes a frozen instance.
    Resume(usize),
    /// Restarts an upstream that stays down for a time, or begins a cold start that the upstream
    /// does not announce.
    ColdStart(usize, Option<u64>),
    /// Puts an upstream in or out of service on behalf of operators.
    SetInService(usize, bool),
    /// Reports an upstream as leaving or staying on behalf of the platform's list.
    SetLeaving(usize, bool),
}

/// Generator of steps. It needs no state of its own, because the oracle keeps the state.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let upstream_index = || 0..UPSTREAMS;
        let owner = || 0..OWNERS;
        let nth = any::<usize>;
        let work = (
            upstream_index(),
            0..CUSTOMERS,
            1_u32..3,
            20_u64..500,
            any::<bool>(),
        );
        let work = work.prop_map(
            |(upstream_index, customer, weight, deadline_in_ms, non_repeatable)| SubRequest {
                upstream: UpstreamKey::from_raw(upstream_index as u32),
                weight,
                non_repeatable,
                ..work_due_in(customer, deadline_in_ms)
            },
        );
        let offer = (owner(), work, 1_u8..12, proptest::bool::weighted(0.1));
        prop_oneof![
            10 => (1_u64..40).prop_map(Step::Advance),
            2 => (200_u64..1_500).prop_map(Step::Advance),
            8 => (upstream_index(), owner())
                .prop_map(|(upstream_index, owner)| Step::Hold(upstream_index, owner)),
            1 => upstream_index().prop_map(Step::Release),
            12 => offer.prop_map(|(owner, work, count, freeze)| {
                Step::Offer(owner, work, count, freeze)
            }),
            12 => (upstream_index(), 50_u64..1_500, 1_u64..20)
                .prop_map(|(upstream_index, ms, interval_ms)| {
                    Step::Load(upstream_index, ms, interval_ms)
                }),
            3 => (upstream_index(), 1_u8..12)
                .prop_map(|(upstream_index, count)| Step::HandOver(upstream_index, count)),
            2 => (nth(), 20_u64..900)
                .prop_map(|(nth, deadline_in_ms)| Step::RepeatOffer(nth, deadline_in_ms)),
            2 => nth().prop_map(Step::Cancel),
            2 => nth().prop_map(Step::RepeatEnd),
            1 => owner().prop_map(Step::Freeze),
            4 => owner().prop_map(Step::Resume),
            2 => (upstream_index(), 0_u64..300)
                .prop_map(|(upstream_index, down_ms)| {
                    Step::ColdStart(upstream_index, Some(down_ms))
                }),
            2 => upstream_index().prop_map(|upstream_index| Step::ColdStart(upstream_index, None)),
            1 => (upstream_index(), any::<bool>())
                .prop_map(|(upstream_index, on)| Step::SetInService(upstream_index, on)),
            1 => (upstream_index(), any::<bool>())
                .prop_map(|(upstream_index, leaving)| Step::SetLeaving(upstream_index, leaving)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Builds a sub-request whose deadline is relative to the time at which it is offered.
fn work_due_in(customer: u32, deadline_in_ms: u64) -> SubRequest {
    work(0, customer, Time::from_ms(deadline_in_ms))
}

struct LimiterTest;

impl StateMachineTest for LimiterTest {
    type SystemUnderTest = Oracle;
    type Reference = StepGenerator;

    fn init_test((): &()) -> Oracle {
        Oracle::new()
    }

    fn apply(mut oracle: Oracle, (): &(), step: Step) -> Oracle {
        match step {
            Step::Advance(ms) => oracle.advance(ms),
            Step::Hold(upstream_index, owner) => oracle.hold_lease(upstream_index, owner),
            Step::Release(upstream_index) => oracle.release_lease(upstream_index),
            Step::Offer(owner, work, count, freeze) => {
                oracle.offer_many(owner, work, count, freeze)
            }
            Step::Load(upstream_index, ms, interval_ms) => {
                oracle.apply_load(upstream_index, ms, interval_ms)
            }
            Step::HandOver(upstream_index, count) => oracle.hand_over(upstream_index, count),
            Step::RepeatOffer(nth, deadline_in_ms) => oracle.repeat_offer(nth, deadline_in_ms),
            Step::Cancel(nth) => oracle.cancel(nth),
            Step::RepeatEnd(nth) => oracle.repeat_end(nth),
            Step::Freeze(owner) => oracle.freeze(owner),
            Step::Resume(owner) => oracle.resume(owner),
            Step::ColdStart(upstream_index, down_ms) => {
                oracle.begin_cold_start(upstream_index, down_ms)
            }
            Step::SetInService(upstream_index, in_service) => {
                oracle.set_in_service(upstream_index, in_service)
            }
            Step::SetLeaving(upstream_index, leaving) => {
                oracle.mark_leaving(upstream_index, leaving)
            }
        }
        oracle.check_invariants();
        oracle
    }

    fn teardown(mut oracle: Oracle, (): ()) {
        oracle.check_recovery();
    }
}

/// Configures 256 cases with a fixed seed, so that every run has the same result. `PROPTEST_CASES`
/// and `PROPTEST_RNG_SEED` override both.
fn runner_config() -> RunnerConfig {
    let env_config = RunnerConfig::default();
    let cases = match std::env::var_os("PROPTEST_CASES") {
        Some(_) => env_config.cases,
        None => 256,
    };
    let rng_seed = match env_config.rng_seed {
        RngSeed::Random => RngSeed::Fixed(1),
        fixed => fixed,
    };
    RunnerConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..env_config
    }
}

prop_state_machine! {
    #![proptest_config(runner_config())]

    #[test]
    fn limiter_matches_oracle_in_random_sequences(sequential 20..120 => LimiterTest);
}

/// Runs sequences for which the fuzz test once failed, each with the fault that it showed, and two
/// sequences that the fuzz test rarely generates.
#[test]
fn limiter_matches_oracle_in_sequences_that_once_failed() {
    let sequences = [
        // The settling time elapsed while there was no work.
        vec![
            Step::Hold(0, 0),
            Step::Load(1, 1_200, 6),
            Step::ColdStart(0, Some(0)),
            Step::Advance(32),
            Step::Load(0, 885, 17),
        ],
        // Slow answers after an unannounced cold start were learned as the baseline latency.
        vec![
            Step::ColdStart(1, Some(180)),
            Step::Load(1, 865, 9),
            Step::Load(1, 334, 3),
            Step::Load(0, 484, 7),
            Step::ColdStart(1, None),
            Step::Load(1, 573, 11),
            Step::Load(1, 873, 8),
        ],
        // Slow answers after an unannounced cold start replaced a known baseline latency.
        vec![
            Step::Load(1, 7_000, 5),
            Step::ColdStart(1, None),
            Step::Load(1, 900, 11),
            Step::Load(1, 873, 8),
        ],
        // Restart of an upstream whose baseline latency is known.
        vec![
            Step::Load(1, 7_000, 5),
            Step::ColdStart(1, Some(0)),
            Step::Load(1, 900, 5),
        ],
        // A baseline latency that was learned during a cold start ended each later cold start too
        // early.
        vec![
            Step::Advance(8),
            Step::Load(1, 1_051, 15),
            Step::ColdStart(1, None),
            Step::Load(1, 498, 1),
        ],
    ];
    for steps in sequences {
        let mut oracle = Oracle::new();
        for step in steps {
            oracle = LimiterTest::apply(oracle, &(), step);
        }
        oracle.check_recovery();
    }
}
