//! Tests of two instances that acquire and release the tie-break record of their pair, over a store
//! that loses responses, delays writes and returns stale values. The tests check that the two
//! instances never rely on the record at the same time.
//!
//! Command for a longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release -p
//! hemlockrouter-platform --test store_fuzz ties_fuzz`.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hemlockrouter_platform::ties;
use hemlockrouter_platform::ties::Pair;
use hemlockrouter_platform::ties::Tie;
use hemlockrouter_types::prelude::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::config;
use crate::schedule;
use crate::schedule::Port;
use crate::store::State;

#[derive(Clone, Copy, Debug)]
enum Step {
    Take,
    GiveBack,
}

/// A record of which instances rely on the tie-break record.
#[derive(Debug, Default)]
struct Oracle {
    relies: [AtomicBool; 2],
}

impl Oracle {
    fn set(&self, instance: usize, relies: bool) {
        self.relies[instance].store(relies, Ordering::SeqCst);
    }

    fn check(&self) {
        let both = self.relies.iter().all(|one| one.load(Ordering::SeqCst));
        assert!(!both, "both rely on the record");
    }
}

fn pair(instance: usize) -> Pair {
    let ids = [InstanceId(7), InstanceId(8)];
    Pair::new(ids[instance], ids[1 - instance])
}

/// Runs the steps of one instance in sequence.
fn run(store: &Port<()>, instance: usize, steps: &[Step], oracle: &Oracle) {
    for step in steps {
        match step {
            Step::Take => {
                if ties::take(store, pair(instance)) == Tie::Mine {
                    oracle.set(instance, true);
                    oracle.check();
                }
            }
            Step::GiveBack => {
                oracle.set(instance, false);
                ties::give_back(store, pair(instance));
            }
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![2 => Just(Step::Take), 1 => Just(Step::GiveBack)];
    prop::collection::vec(step, 1..12)
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn a_record_is_never_relied_on_by_both(
        seed in any::<u64>(),
        scripts in [steps(), steps()],
    ) {
        let mut state = State::new(StdRng::seed_from_u64(seed));
        let mut rng = StdRng::seed_from_u64(seed ^ 1);
        let oracle = Oracle::default();
        let oracle = &oracle;
        let jobs = scripts.iter().enumerate().map(|(instance, steps)| {
            move |store: &Port<()>| run(store, instance, steps, oracle)
        });
        schedule::run(&mut state, &mut rng, jobs.collect(), |_, _| {});
    }
}

#[test]
fn a_record_that_is_given_back_can_be_taken_by_the_other() {
    let mut state = State::new(StdRng::seed_from_u64(1));
    state.calm = true;
    let mut rng = StdRng::seed_from_u64(1);
    let job = |store: &Port<()>| {
        assert_eq!(ties::take(store, pair(0)), Tie::Mine);
        assert_eq!(ties::take(store, pair(1)), Tie::Theirs);
        assert_eq!(ties::give_back(store, pair(1)), Tie::NotMine);
        assert_eq!(ties::take(store, pair(0)), Tie::Mine);
        assert_eq!(ties::give_back(store, pair(0)), Tie::NotMine);
        assert_eq!(ties::take(store, pair(1)), Tie::Mine);
        assert_eq!(ties::take(store, pair(0)), Tie::Theirs);
    };
    schedule::run(&mut state, &mut rng, vec![job], |_, _| {});
}
