//! Tests of concurrent submissions through lagging instances, over a store that loses responses,
//! delays writes, returns stale values and has outages. The tests check that a note is accepted
//! exactly once or not at all, that every final outcome that an operator gets is true, and that all
//! instances derive the same catalogue.
//!
//! Command for a longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release -p
//! hemlockrouter-platform --test store_fuzz notes_fuzz`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_config::apply_accepted_note;
use hemlockrouter_config::Note;
use hemlockrouter_platform::notes;
use hemlockrouter_platform::notes::BaseHead;
use hemlockrouter_platform::notes::BaseWriteOutcome;
use hemlockrouter_platform::notes::FollowResult;
use hemlockrouter_platform::notes::Follower;
use hemlockrouter_platform::notes::PruneMargins;
use hemlockrouter_platform::notes::Submission;
use hemlockrouter_platform::notes::BASE_KEY;
use hemlockrouter_platform::notes::NOTES_PREFIX;
use hemlockrouter_types::prelude::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::config_with_fixed_seed;
use crate::schedule;
use crate::schedule::SchedulerEvent;
use crate::schedule::StorePort;
use crate::store::AppliedWrite;
use crate::store::FaultyStore;

const INSTANCE_COUNT: usize = 3;

/// Small margins, so that a few notes are enough to create tombstones.
const PRUNE_MARGINS: PruneMargins = PruneMargins {
    notes: 2,
    tombstones: 10_000,
};

/// Small part size in bytes, so that base documents have several parts.
const PART_MAX_BYTES: usize = 200;

/// An action of an instance. The jobs of one round run concurrently.
#[derive(Clone, Debug)]
enum Job {
    Submit { instance: usize, note: usize },
    Follow { instance: usize, calls: usize },
    Restart { instance: usize },
    WriteBase { instance: usize },
}

#[derive(Clone, Debug)]
struct JobRound {
    outage: bool,
    jobs: Vec<Job>,
}

/// The result of a job.
#[derive(Debug)]
enum JobResult {
    Submitted(Submission),
    /// The instance has reached this catalogue.
    Reached(Box<Catalog>),
    NoResult,
}

fn job_strategy() -> impl Strategy<Value = Job> {
    let instance = 0..INSTANCE_COUNT;
    prop_oneof![
        6 => (instance.clone(), 0..NOTE_COUNT).prop_map(|(instance, note)| Job::Submit { instance, note }),
        3 => (instance.clone(), 1usize..8)
            .prop_map(|(instance, calls)| Job::Follow { instance, calls }),
        1 => instance.clone().prop_map(|instance| Job::Restart { instance }),
        2 => instance.prop_map(|instance| Job::WriteBase { instance }),
    ]
}

fn round_strategy() -> impl Strategy<Value = JobRound> {
    let jobs = prop::collection::vec(job_strategy(), 1..5);
    (prop::bool::weighted(0.1), jobs).prop_map(|(outage, jobs)| JobRound { outage, jobs })
}

const NOTE_COUNT: usize = 18;

/// Returns the note with index `note_index`. All notes change the same three availability zones, so
/// that many of them overlap, and the last few notes reuse ids.
fn note_at(note_index: usize) -> Note {
    let zone = note_index % 3;
    let id = note_index % 16;
    let section = match note_index % 4 {
        0 | 1 => format!(r#""added": {{"zones": {{"z{zone}": {{"region": "r{note_index}"}}}}}}"#),
        2 => format!(r#""changed": {{"zones": {{"z{zone}": {{"region": "r{note_index}"}}}}}}"#),
        _ => format!(r#""withdrawn": {{"zones": ["z{zone}"]}}"#),
    };
    let text = format!(r#"{{"id": "n{id}", "author": "a{note_index}", {section}}}"#);
    Note::parse(&text, "note").expect("the note is well formed")
}

/// A reference model of the accepted notes, derived from the writes that took effect in the store.
#[derive(Default)]
struct AcceptanceOracle {
    accepted: Vec<Vec<u8>>,
    /// Notes whose rejection is final and for which no submission is running.
    rejected: BTreeSet<Vec<u8>>,
    /// Notes for which a submission has reported that they are or may be accepted.
    possibly_accepted: BTreeSet<Vec<u8>>,
    running_submissions: BTreeMap<Vec<u8>, usize>,
    base: ConfigNumber,
}

impl AcceptanceOracle {
    fn observe_applied_write(&mut self, applied_write: &AppliedWrite) {
        if applied_write.key == BASE_KEY {
            let base = applied_write
                .value
                .as_deref()
                .expect("the base is not deleted");
            let base = BaseHead::from_bytes(base).expect("the base is well formed");
            assert!(base.number > self.base, "the number of the base decreased");
            self.base = base.number;
        }
        let Some(number) = applied_write.key.strip_prefix(NOTES_PREFIX) else {
            return;
        };
        let number: usize = number.parse().expect("a number");
        match (&applied_write.value_before, &applied_write.value) {
            (None, Some(bytes)) => self.record_acceptance(number, bytes),
            (Some(_), Some(_)) => {
                assert!(
                    number as u64 <= self.base.0,
                    "a note beyond the base was replaced"
                );
            }
            (_, None) => panic!("number {number} became free again"),
        }
    }

    fn record_acceptance(&mut self, number: usize, bytes: &[u8]) {
        assert_eq!(
            number,
            self.accepted.len() + 1,
            "numbers are taken in order"
        );
        assert!(
            !self.accepted.iter().any(|other| other == bytes),
            "accepted twice"
        );
        assert!(
            !self.rejected.contains(bytes),
            "a note was accepted after its final rejection"
        );
        let acceptance = apply_accepted_note(&self.catalog(), ConfigNumber(number as u64), bytes);
        assert_eq!(
            acceptance.skip_error, None,
            "an accepted note does not check"
        );
        self.accepted.push(bytes.to_vec());
    }

    fn catalog(&self) -> Catalog {
        self.catalog_after_notes(self.accepted.len())
    }

    fn catalog_after_notes(&self, number: usize) -> Catalog {
        let notes = self.accepted[..number].iter().zip(1..);
        notes.fold(Catalog::default(), |catalog, (bytes, number)| {
            apply_accepted_note(&catalog, ConfigNumber(number), bytes).catalog
        })
    }

    fn start_submission(&mut self, note: &Note) {
        self.rejected.remove(note.bytes());
        *self
            .running_submissions
            .entry(note.bytes().to_vec())
            .or_default() += 1;
    }

    fn end_submission(&mut self, note: &Note, submission: &Submission) {
        let bytes = note.bytes().to_vec();
        let running = self
            .running_submissions
            .get_mut(&bytes)
            .expect("the submission was started");
        *running -= 1;
        let is_last_running = *running == 0;
        let is_accepted = self.accepted.contains(&bytes);
        match submission {
            Submission::Accepted { number } => {
                let accepted_bytes = self.accepted.get(number.0 as usize - 1);
                assert_eq!(
                    accepted_bytes,
                    Some(&bytes),
                    "an operator got a wrong number"
                );
                self.possibly_accepted.insert(bytes);
            }
            Submission::Refused(_) => {
                assert!(
                    !is_accepted,
                    "an accepted note was reported as refused: {submission:?}"
                );
                self.mark_rejected(bytes, is_last_running);
            }
            Submission::Conflict { number, id, .. } => {
                assert!(
                    !is_accepted,
                    "an accepted note was reported as a conflict: {submission:?}"
                );
                let conflicting_note = &self.accepted[number.0 as usize - 1];
                let conflicting_note =
                    Note::from_bytes(conflicting_note, "").expect("an accepted note parses");
                assert_eq!(conflicting_note.id(), id);
                self.mark_rejected(bytes, is_last_running);
            }
            Submission::Unavailable {
                may_have_taken_effect: true,
            } => {
                self.possibly_accepted.insert(bytes);
            }
            Submission::Unavailable {
                may_have_taken_effect: false,
            } => {
                // This outcome concerns only this submission; the outcomes of earlier ones stay
                // unknown.
                if is_last_running && !self.possibly_accepted.contains(&bytes) {
                    assert!(
                        !is_accepted,
                        "an accepted note was reported as not accepted"
                    );
                    self.mark_rejected(bytes, is_last_running);
                }
            }
        }
    }

    fn mark_rejected(&mut self, bytes: Vec<u8>, is_last_running: bool) {
        if is_last_running {
            self.rejected.insert(bytes);
        }
    }
}

fn run_job(store: &StorePort<JobResult>, job: &Job, catalogs: &[Catalog]) -> JobResult {
    match *job {
        Job::Submit {
            instance,
            note: note_index,
        } => JobResult::Submitted(notes::submit(
            store,
            &note_at(note_index),
            &catalogs[instance],
        )),
        Job::Follow { instance, calls } => follow_notes(store, catalogs[instance].clone(), calls),
        Job::Restart { .. } => match notes::load(store) {
            Ok(loaded) => JobResult::Reached(Box::new(loaded.catalog)),
            Err(_) => JobResult::NoResult,
        },
        Job::WriteBase { instance } => {
            let catalog = &catalogs[instance];
            if let BaseWriteOutcome::Written {
                replaced_number: before,
            } = notes::write_base_in_parts(store, catalog, PART_MAX_BYTES)
            {
                notes::prune(store, before, catalog.number, PRUNE_MARGINS);
            }
            JobResult::NoResult
        }
    }
}

fn follow_notes(store: &StorePort<JobResult>, mut catalog: Catalog, calls: usize) -> JobResult {
    let mut follower = Follower::new(catalog.number);
    for _ in 0..calls {
        match follower.follow(store, 0) {
            FollowResult::Note(note) => {
                catalog = apply_accepted_note(&catalog, note.number, &note.bytes).catalog
            }
            FollowResult::NotePruned => {
                if let Ok(loaded) = notes::load(store) {
                    follower.skip_to(loaded.catalog.number);
                    if loaded.catalog.number > catalog.number {
                        catalog = loaded.catalog;
                    }
                }
            }
            FollowResult::NoNewNote | FollowResult::PlatformUnavailable(_) => {}
        }
    }
    JobResult::Reached(Box::new(catalog))
}

fn run_round(
    round: &JobRound,
    state: &mut FaultyStore,
    rng: &mut StdRng,
    oracle: &mut AcceptanceOracle,
    catalogs: &mut [Catalog],
) {
    state.outage = round.outage;
    for job in &round.jobs {
        if let Job::Submit {
            note: note_index, ..
        } = job
        {
            oracle.start_submission(&note_at(*note_index));
        }
    }
    let catalogs_before = catalogs.to_vec();
    let catalogs_before = &catalogs_before;
    let jobs = round
        .jobs
        .iter()
        .map(|job| move |store: &StorePort<JobResult>| run_job(store, job, catalogs_before));
    schedule::run(state, rng, jobs.collect(), |state, progress| {
        for applied_write in state.take_applied_writes() {
            oracle.observe_applied_write(&applied_write);
        }
        let SchedulerEvent::Ended(job_index, result) = progress else {
            return;
        };
        match (&round.jobs[job_index], result) {
            (
                Job::Submit {
                    note: note_index, ..
                },
                JobResult::Submitted(submission),
            ) => {
                oracle.end_submission(&note_at(*note_index), &submission);
            }
            (Job::Follow { instance, .. }, JobResult::Reached(catalog)) => {
                let expected = oracle.catalog_after_notes(catalog.number.0 as usize);
                assert_eq!(*catalog, expected, "instances differ");
                if catalog.number > catalogs[*instance].number {
                    catalogs[*instance] = *catalog;
                }
            }
            (Job::Restart { instance }, JobResult::Reached(catalog)) => {
                let expected = oracle.catalog_after_notes(catalog.number.0 as usize);
                assert_eq!(*catalog, expected, "a restarted instance differs");
                catalogs[*instance] = *catalog;
            }
            _ => {}
        }
    });
}

/// Delivers all delayed writes, disables the faults, and checks that every instance receives all notes.
fn check_convergence(
    state: &mut FaultyStore,
    rng: &mut StdRng,
    oracle: &mut AcceptanceOracle,
    catalogs: &[Catalog],
) {
    state.outage = false;
    state.faults_disabled = true;
    while state.deliver_one_delayed_write() {}
    for applied_write in state.take_applied_writes() {
        oracle.observe_applied_write(&applied_write);
    }
    let expected = oracle.catalog();
    let calls = oracle.accepted.len() + 2;
    let jobs = catalogs.iter().map(|catalog| {
        let catalog = catalog.clone();
        move |store: &StorePort<JobResult>| follow_notes(store, catalog, calls)
    });
    schedule::run(state, rng, jobs.collect(), |_, progress| {
        if let SchedulerEvent::Ended(_, JobResult::Reached(catalog)) = progress {
            assert_eq!(*catalog, expected, "an instance does not get all notes");
        }
    });
    let load = |store: &StorePort<JobResult>| {
        JobResult::Reached(Box::new(
            notes::load(store).expect("the store is up").catalog,
        ))
    };
    schedule::run(state, rng, vec![load], |_, progress| {
        if let SchedulerEvent::Ended(_, JobResult::Reached(catalog)) = progress {
            assert_eq!(*catalog, expected, "a new instance does not get all notes");
        }
    });
}

proptest! {
    #![proptest_config(config_with_fixed_seed(256))]

    #[test]
    fn each_note_is_accepted_at_most_once(
        seed in any::<u64>(),
        rounds in prop::collection::vec(round_strategy(), 1..12),
    ) {
        let mut state = FaultyStore::new(StdRng::seed_from_u64(seed));
        let mut rng = StdRng::seed_from_u64(seed ^ 1);
        let mut oracle = AcceptanceOracle::default();
        let mut catalogs = vec![Catalog::default(); INSTANCE_COUNT];
        for round in &rounds {
            run_round(round, &mut state, &mut rng, &mut oracle, &mut catalogs);
        }
        check_convergence(&mut state, &mut rng, &mut oracle, &catalogs);
    }
}
