//! Tests of concurrent submissions through lagging instances, over a store that loses responses,
//! delays writes, returns stale values and has outages. The tests check that a note is accepted
//! exactly once or not at all, that every final outcome that an operator gets is true, and that all
//! instances derive the same catalogue.
//!
//! Command for a longer run: `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=1 cargo test --release -p
//! hemlockrouter-platform --test store_fuzz notes_fuzz`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_config::accept;
use hemlockrouter_config::Note;
use hemlockrouter_platform::notes;
use hemlockrouter_platform::notes::BaseHead;
use hemlockrouter_platform::notes::BaseWritten;
use hemlockrouter_platform::notes::Followed;
use hemlockrouter_platform::notes::Follower;
use hemlockrouter_platform::notes::Margins;
use hemlockrouter_platform::notes::Submission;
use hemlockrouter_platform::notes::BASE_KEY;
use hemlockrouter_platform::notes::NOTES_PREFIX;
use hemlockrouter_types::prelude::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::config;
use crate::schedule;
use crate::schedule::Port;
use crate::schedule::Progress;
use crate::store::Effect;
use crate::store::State;

const INSTANCES: usize = 3;

/// Small margins, so that a few notes are enough to create tombstones.
const MARGINS: Margins = Margins {
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
struct Round {
    outage: bool,
    jobs: Vec<Job>,
}

/// The result of a job.
#[derive(Debug)]
enum End {
    Submitted(Submission),
    /// The instance has reached this catalogue.
    Reached(Box<Catalog>),
    Nothing,
}

fn job() -> impl Strategy<Value = Job> {
    let instance = 0..INSTANCES;
    prop_oneof![
        6 => (instance.clone(), 0..NOTES).prop_map(|(instance, note)| Job::Submit { instance, note }),
        3 => (instance.clone(), 1usize..8)
            .prop_map(|(instance, calls)| Job::Follow { instance, calls }),
        1 => instance.clone().prop_map(|instance| Job::Restart { instance }),
        2 => instance.prop_map(|instance| Job::WriteBase { instance }),
    ]
}

fn round() -> impl Strategy<Value = Round> {
    let jobs = prop::collection::vec(job(), 1..5);
    (prop::bool::weighted(0.1), jobs).prop_map(|(outage, jobs)| Round { outage, jobs })
}

const NOTES: usize = 18;

/// Returns the note with index `which`. All notes change the same three availability zones, so that
/// many of them overlap, and the last few notes reuse ids.
fn note(which: usize) -> Note {
    let zone = which % 3;
    let id = which % 16;
    let section = match which % 4 {
        0 | 1 => format!(r#""added": {{"zones": {{"z{zone}": {{"region": "r{which}"}}}}}}"#),
        2 => format!(r#""changed": {{"zones": {{"z{zone}": {{"region": "r{which}"}}}}}}"#),
        _ => format!(r#""withdrawn": {{"zones": ["z{zone}"]}}"#),
    };
    let text = format!(r#"{{"id": "n{id}", "author": "a{which}", {section}}}"#);
    Note::parse(&text, "note").expect("the note is well formed")
}

/// A reference model of the accepted notes, derived from the writes that took effect in the store.
#[derive(Default)]
struct Oracle {
    accepted: Vec<Vec<u8>>,
    /// Notes whose rejection is final and for which no submission is running.
    closed: BTreeSet<Vec<u8>>,
    /// Notes for which a submission has reported that they are or may be accepted.
    open: BTreeSet<Vec<u8>>,
    running: BTreeMap<Vec<u8>, usize>,
    base: ConfigNumber,
}

impl Oracle {
    fn see(&mut self, effect: &Effect) {
        if effect.key == BASE_KEY {
            let base = effect.value.as_deref().expect("the base is not deleted");
            let base = BaseHead::from_bytes(base).expect("the base is well formed");
            assert!(base.number > self.base, "the base went back");
            self.base = base.number;
        }
        let Some(number) = effect.key.strip_prefix(NOTES_PREFIX) else {
            return;
        };
        let number: usize = number.parse().expect("a number");
        match (&effect.before, &effect.value) {
            (None, Some(bytes)) => self.accept(number, bytes),
            (Some(_), Some(_)) => {
                assert!(
                    number as u64 <= self.base.0,
                    "a note beyond the base was replaced"
                );
            }
            (_, None) => panic!("number {number} became free again"),
        }
    }

    fn accept(&mut self, number: usize, bytes: &[u8]) {
        assert_eq!(
            number,
            self.accepted.len() + 1,
            "numbers are taken in order"
        );
        assert!(
            !self.accepted.iter().any(|other| other == bytes),
            "accepted twice"
        );
        assert!(!self.closed.contains(bytes), "accepted after a final no");
        let after = accept(&self.catalog(), ConfigNumber(number as u64), bytes);
        assert_eq!(after.skipped, None, "an accepted note does not check");
        self.accepted.push(bytes.to_vec());
    }

    fn catalog(&self) -> Catalog {
        self.catalog_at(self.accepted.len())
    }

    fn catalog_at(&self, number: usize) -> Catalog {
        let notes = self.accepted[..number].iter().zip(1..);
        notes.fold(Catalog::default(), |catalog, (bytes, number)| {
            accept(&catalog, ConfigNumber(number), bytes).catalog
        })
    }

    fn start(&mut self, note: &Note) {
        self.closed.remove(note.bytes());
        *self.running.entry(note.bytes().to_vec()).or_default() += 1;
    }

    fn end(&mut self, note: &Note, submission: &Submission) {
        let bytes = note.bytes().to_vec();
        let running = self.running.get_mut(&bytes).expect("it was started");
        *running -= 1;
        let alone = *running == 0;
        let is_accepted = self.accepted.contains(&bytes);
        match submission {
            Submission::Accepted { number } => {
                let found = self.accepted.get(number.0 as usize - 1);
                assert_eq!(found, Some(&bytes), "told a wrong number");
                self.open.insert(bytes);
            }
            Submission::Refused(_) => {
                assert!(!is_accepted, "told refused: {submission:?}");
                self.close(bytes, alone);
            }
            Submission::Conflict { number, id, .. } => {
                assert!(!is_accepted, "told conflict: {submission:?}");
                let first = &self.accepted[number.0 as usize - 1];
                let first = Note::from_bytes(first, "").expect("an accepted note parses");
                assert_eq!(first.id(), id);
                self.close(bytes, alone);
            }
            Submission::Unavailable { maybe: true } => {
                self.open.insert(bytes);
            }
            Submission::Unavailable { maybe: false } => {
                // This outcome concerns only this submission; the outcomes of earlier ones stay
                // unknown.
                if alone && !self.open.contains(&bytes) {
                    assert!(!is_accepted, "told not accepted");
                    self.close(bytes, alone);
                }
            }
        }
    }

    fn close(&mut self, bytes: Vec<u8>, alone: bool) {
        if alone {
            self.closed.insert(bytes);
        }
    }
}

fn run_job(store: &Port<End>, job: &Job, catalogs: &[Catalog]) -> End {
    match *job {
        Job::Submit {
            instance,
            note: which,
        } => End::Submitted(notes::submit(store, &note(which), &catalogs[instance])),
        Job::Follow { instance, calls } => follow(store, catalogs[instance].clone(), calls),
        Job::Restart { .. } => match notes::load(store) {
            Ok(loaded) => End::Reached(Box::new(loaded.catalog)),
            Err(_) => End::Nothing,
        },
        Job::WriteBase { instance } => {
            let catalog = &catalogs[instance];
            if let BaseWritten::Yes { before } =
                notes::write_base_in_parts(store, catalog, PART_MAX_BYTES)
            {
                notes::prune(store, before, catalog.number, MARGINS);
            }
            End::Nothing
        }
    }
}

fn follow(store: &Port<End>, mut catalog: Catalog, calls: usize) -> End {
    let mut follower = Follower::new(catalog.number);
    for _ in 0..calls {
        match follower.follow(store, 0) {
            Followed::Note(note) => catalog = accept(&catalog, note.number, &note.bytes).catalog,
            Followed::Behind => {
                if let Ok(loaded) = notes::load(store) {
                    follower.skip_to(loaded.catalog.number);
                    if loaded.catalog.number > catalog.number {
                        catalog = loaded.catalog;
                    }
                }
            }
            Followed::Nothing | Followed::Down(_) => {}
        }
    }
    End::Reached(Box::new(catalog))
}

fn run_round(
    round: &Round,
    state: &mut State,
    rng: &mut StdRng,
    oracle: &mut Oracle,
    catalogs: &mut [Catalog],
) {
    state.outage = round.outage;
    for job in &round.jobs {
        if let Job::Submit { note: which, .. } = job {
            oracle.start(&note(*which));
        }
    }
    let before = catalogs.to_vec();
    let before = &before;
    let jobs = round
        .jobs
        .iter()
        .map(|job| move |store: &Port<End>| run_job(store, job, before));
    schedule::run(state, rng, jobs.collect(), |state, progress| {
        for effect in state.take_effects() {
            oracle.see(&effect);
        }
        let Progress::Ended(at, end) = progress else {
            return;
        };
        match (&round.jobs[at], end) {
            (Job::Submit { note: which, .. }, End::Submitted(submission)) => {
                oracle.end(&note(*which), &submission);
            }
            (Job::Follow { instance, .. }, End::Reached(catalog)) => {
                let truth = oracle.catalog_at(catalog.number.0 as usize);
                assert_eq!(*catalog, truth, "instances differ");
                if catalog.number > catalogs[*instance].number {
                    catalogs[*instance] = *catalog;
                }
            }
            (Job::Restart { instance }, End::Reached(catalog)) => {
                let truth = oracle.catalog_at(catalog.number.0 as usize);
                assert_eq!(*catalog, truth, "a restarted instance differs");
                catalogs[*instance] = *catalog;
            }
            _ => {}
        }
    });
}

/// Delivers all delayed writes, disables the faults, and checks that every instance receives all notes.
fn settle(state: &mut State, rng: &mut StdRng, oracle: &mut Oracle, catalogs: &[Catalog]) {
    state.outage = false;
    state.calm = true;
    while state.deliver_one() {}
    for effect in state.take_effects() {
        oracle.see(&effect);
    }
    let truth = oracle.catalog();
    let calls = oracle.accepted.len() + 2;
    let jobs = catalogs.iter().map(|catalog| {
        let catalog = catalog.clone();
        move |store: &Port<End>| follow(store, catalog, calls)
    });
    schedule::run(state, rng, jobs.collect(), |_, progress| {
        if let Progress::Ended(_, End::Reached(catalog)) = progress {
            assert_eq!(*catalog, truth, "an instance does not get all notes");
        }
    });
    let load = |store: &Port<End>| {
        End::Reached(Box::new(
            notes::load(store).expect("the store is up").catalog,
        ))
    };
    schedule::run(state, rng, vec![load], |_, progress| {
        if let Progress::Ended(_, End::Reached(catalog)) = progress {
            assert_eq!(*catalog, truth, "a new instance does not get all notes");
        }
    });
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn notes_are_accepted_once_or_not_at_all(
        seed in any::<u64>(),
        rounds in prop::collection::vec(round(), 1..12),
    ) {
        let mut state = State::new(StdRng::seed_from_u64(seed));
        let mut rng = StdRng::seed_from_u64(seed ^ 1);
        let mut oracle = Oracle::default();
        let mut catalogs = vec![Catalog::default(); INSTANCES];
        for round in &rounds {
            run_round(round, &mut state, &mut rng, &mut oracle, &mut catalogs);
        }
        settle(&mut state, &mut rng, &mut oracle, &catalogs);
    }
}
