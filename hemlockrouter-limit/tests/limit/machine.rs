//! Stateful fuzz test that compares the limiter with an oracle.
//!
//! Two instances take turns as the owner of two upstreams. `PROPTEST_CASES` sets the number of
//! cases.

use hemlockrouter_limit::Work;
use hemlockrouter_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::RngSeed;
use proptest_state_machine::prop_state_machine;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::common::work;
use crate::world::World;
use crate::world::CUSTOMERS;
use crate::world::OWNERS;
use crate::world::UPSTREAMS;

/// One step of the fuzz test. Indices are taken modulo the number of existing items.
#[derive(Clone, Debug)]
enum Step {
    /// Lets time pass, in milliseconds.
    Pass(u64),
    /// Renews the lease of an upstream at its holder, or grants it to an instance if nobody holds
    /// it.
    Hold(usize, usize),
    /// Ends the lease of an upstream.
    Release(usize),
    /// Offers copies of a sub-request to an instance. The instance may be frozen after it has
    /// decided and before its commands are carried out.
    Offer(usize, Work, u8, bool),
    /// Offers sub-requests to the holder of an upstream at an interval for some time, and renews
    /// its lease.
    Load(usize, u64, u64),
    /// Moves the lease of an upstream to the other instance, which is offered sub-requests
    /// immediately.
    HandOver(usize, u8),
    /// Repeats an offer with another deadline.
    Repeat(usize, u64),
    /// Cancels a sub-request.
    Cancel(usize),
    /// Reports the end of a sub-request a second time.
    EndAgain(usize),
    /// Freezes an instance, which then receives and sends nothing.
    Freeze(usize),
    /// Resumes a frozen instance.
    Thaw(usize),
    /// Restarts an upstream that stays down for a time, or begins a cold start that the upstream
    /// does not announce.
    Cool(usize, Option<u64>),
    /// Puts an upstream in or out of service on behalf of operators.
    Serve(usize, bool),
    /// Reports an upstream as leaving or staying on behalf of the platform's list.
    Leaving(usize, bool),
}

/// Generator of steps. It needs no state of its own, because the oracle keeps the state.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let up = || 0..UPSTREAMS;
        let owner = || 0..OWNERS;
        let nth = any::<usize>;
        let work = (up(), 0..CUSTOMERS, 1_u32..3, 20_u64..500, any::<bool>());
        let work = work.prop_map(|(up, customer, weight, in_ms, once)| Work {
            upstream: UpstreamKey::from_raw(up as u32),
            weight,
            once,
            ..work_in(customer, in_ms)
        });
        let offer = (owner(), work, 1_u8..12, proptest::bool::weighted(0.1));
        prop_oneof![
            10 => (1_u64..40).prop_map(Step::Pass),
            2 => (200_u64..1_500).prop_map(Step::Pass),
            8 => (up(), owner()).prop_map(|(up, owner)| Step::Hold(up, owner)),
            1 => up().prop_map(Step::Release),
            12 => offer.prop_map(|(owner, work, count, freeze)| {
                Step::Offer(owner, work, count, freeze)
            }),
            12 => (up(), 50_u64..1_500, 1_u64..20)
                .prop_map(|(up, ms, every_ms)| Step::Load(up, ms, every_ms)),
            3 => (up(), 1_u8..12).prop_map(|(up, count)| Step::HandOver(up, count)),
            2 => (nth(), 20_u64..900).prop_map(|(nth, in_ms)| Step::Repeat(nth, in_ms)),
            2 => nth().prop_map(Step::Cancel),
            2 => nth().prop_map(Step::EndAgain),
            1 => owner().prop_map(Step::Freeze),
            4 => owner().prop_map(Step::Thaw),
            2 => (up(), 0_u64..300).prop_map(|(up, down_ms)| Step::Cool(up, Some(down_ms))),
            2 => up().prop_map(|up| Step::Cool(up, None)),
            1 => (up(), any::<bool>()).prop_map(|(up, on)| Step::Serve(up, on)),
            1 => (up(), any::<bool>()).prop_map(|(up, leaving)| Step::Leaving(up, leaving)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Builds a sub-request whose deadline is relative to the time at which it is offered.
fn work_in(customer: u32, in_ms: u64) -> Work {
    work(0, customer, Time::from_ms(in_ms))
}

struct LimiterTest;

impl StateMachineTest for LimiterTest {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Pass(ms) => world.pass(ms),
            Step::Hold(up, owner) => world.hold(up, owner),
            Step::Release(up) => world.release(up),
            Step::Offer(owner, work, count, freeze) => world.burst(owner, work, count, freeze),
            Step::Load(up, ms, every_ms) => world.load(up, ms, every_ms),
            Step::HandOver(up, count) => world.hand_over(up, count),
            Step::Repeat(nth, in_ms) => world.repeat(nth, in_ms),
            Step::Cancel(nth) => world.cancel(nth),
            Step::EndAgain(nth) => world.end_again(nth),
            Step::Freeze(owner) => world.freeze(owner),
            Step::Thaw(owner) => world.thaw(owner),
            Step::Cool(up, down_ms) => world.cool(up, down_ms),
            Step::Serve(up, in_service) => world.serve(up, in_service),
            Step::Leaving(up, leaving) => world.mark_leaving(up, leaving),
        }
        world.check();
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
    }
}

/// Configures 256 cases with a fixed seed, so that every run has the same result. `PROPTEST_CASES`
/// and `PROPTEST_RNG_SEED` override both.
fn runner() -> RunnerConfig {
    let given = RunnerConfig::default();
    let cases = match std::env::var_os("PROPTEST_CASES") {
        Some(_) => given.cases,
        None => 256,
    };
    let rng_seed = match given.rng_seed {
        RngSeed::Random => RngSeed::Fixed(1),
        fixed => fixed,
    };
    RunnerConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..given
    }
}

prop_state_machine! {
    #![proptest_config(runner())]

    #[test]
    fn limiter_agrees_with_the_oracle(sequential 20..120 => LimiterTest);
}

/// Runs sequences for which the fuzz test once failed, each with the fault that it showed, and two
/// sequences that the fuzz test rarely generates.
#[test]
fn limiter_agrees_with_the_oracle_where_it_once_failed() {
    let sequences = [
        // The settling time elapsed while there was no work.
        vec![
            Step::Hold(0, 0),
            Step::Load(1, 1_200, 6),
            Step::Cool(0, Some(0)),
            Step::Pass(32),
            Step::Load(0, 885, 17),
        ],
        // Slow answers after an unannounced cold start were learned as the baseline latency.
        vec![
            Step::Cool(1, Some(180)),
            Step::Load(1, 865, 9),
            Step::Load(1, 334, 3),
            Step::Load(0, 484, 7),
            Step::Cool(1, None),
            Step::Load(1, 573, 11),
            Step::Load(1, 873, 8),
        ],
        // The same, with a baseline latency that was learned before.
        vec![
            Step::Load(1, 7_000, 5),
            Step::Cool(1, None),
            Step::Load(1, 900, 11),
            Step::Load(1, 873, 8),
        ],
        // A restart with a baseline latency that was learned before.
        vec![
            Step::Load(1, 7_000, 5),
            Step::Cool(1, Some(0)),
            Step::Load(1, 900, 5),
        ],
        // A baseline latency that was learned during a cold start ended each later cold start too
        // early.
        vec![
            Step::Pass(8),
            Step::Load(1, 1_051, 15),
            Step::Cool(1, None),
            Step::Load(1, 498, 1),
        ],
    ];
    for steps in sequences {
        let mut world = World::new();
        for step in steps {
            world = LimiterTest::apply(world, &(), step);
        }
        world.settle();
    }
}
