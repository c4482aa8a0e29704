//! Tests of two instances that acquire and release the tie-break record of their pair, over a store
//! that loses responses, delays writes and returns stale values. The tests check that the two
//! instances never rely on the record at the same time.
//!
//! Command for a longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release -p
//! hemlockrouter-platform --test store_fuzz ties_fuzz`.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hemlockrouter_platform::ties;
use hemlockrouter_platform::ties::InstancePair;
use hemlockrouter_platform::ties::TieBreakOutcome;
use hemlockrouter_types::prelude::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::config_with_fixed_seed;
use crate::schedule;
use crate::schedule::StorePort;
use crate::store::FaultyStore;

#[derive(Clone, Copy, Debug)]
enum TieStep {
    Take,
    GiveBack,
}

/// A record of which instances rely on the tie-break record.
#[derive(Debug, Default)]
struct HolderRecord {
    holds_record: [AtomicBool; 2],
}

impl HolderRecord {
    fn set_holds_record(&self, instance: usize, holds_record: bool) {
        self.holds_record[instance].store(holds_record, Ordering::SeqCst);
    }

    fn assert_at_most_one_holder(&self) {
        let both_hold = self
            .holds_record
            .iter()
            .all(|holds| holds.load(Ordering::SeqCst));
        assert!(!both_hold, "both rely on the record");
    }
}

fn pair(instance: usize) -> InstancePair {
    let ids = [InstanceId(7), InstanceId(8)];
    InstancePair::new(ids[instance], ids[1 - instance])
}

/// Runs the steps of one instance in sequence.
fn run_steps(store: &StorePort<()>, instance: usize, steps: &[TieStep], oracle: &HolderRecord) {
    for step in steps {
        match step {
            TieStep::Take => {
                if ties::take_record(store, pair(instance)) == TieBreakOutcome::Mine {
                    oracle.set_holds_record(instance, true);
                    oracle.assert_at_most_one_holder();
                }
            }
            TieStep::GiveBack => {
                oracle.set_holds_record(instance, false);
                ties::release_record(store, pair(instance));
            }
        }
    }
}

fn steps_strategy() -> impl Strategy<Value = Vec<TieStep>> {
    let step = prop_oneof![2 => Just(TieStep::Take), 1 => Just(TieStep::GiveBack)];
    prop::collection::vec(step, 1..12)
}

proptest! {
    #![proptest_config(config_with_fixed_seed(512))]

    #[test]
    fn tie_record_is_never_held_by_both_instances(
        seed in any::<u64>(),
        scripts in [steps_strategy(), steps_strategy()],
    ) {
        let mut state = FaultyStore::new(StdRng::seed_from_u64(seed));
        let mut rng = StdRng::seed_from_u64(seed ^ 1);
        let oracle = HolderRecord::default();
        let oracle = &oracle;
        let jobs = scripts.iter().enumerate().map(|(instance, steps)| {
            move |store: &StorePort<()>| run_steps(store, instance, steps, oracle)
        });
        schedule::run(&mut state, &mut rng, jobs.collect(), |_, _| {});
    }
}

#[test]
fn released_tie_record_can_be_taken_by_other_instance() {
    let mut state = FaultyStore::new(StdRng::seed_from_u64(1));
    state.faults_disabled = true;
    let mut rng = StdRng::seed_from_u64(1);
    let job = |store: &StorePort<()>| {
        assert_eq!(ties::take_record(store, pair(0)), TieBreakOutcome::Mine);
        assert_eq!(ties::take_record(store, pair(1)), TieBreakOutcome::Theirs);
        assert_eq!(
            ties::release_record(store, pair(1)),
            TieBreakOutcome::NotMine
        );
        assert_eq!(ties::take_record(store, pair(0)), TieBreakOutcome::Mine);
        assert_eq!(
            ties::release_record(store, pair(0)),
            TieBreakOutcome::NotMine
        );
        assert_eq!(ties::take_record(store, pair(1)), TieBreakOutcome::Mine);
        assert_eq!(ties::take_record(store, pair(0)), TieBreakOutcome::Theirs);
    };
    schedule::run(&mut state, &mut rng, vec![job], |_, _| {});
}
