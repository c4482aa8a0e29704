//! Randomized departures of upstreams: some report that they drain, others just leave, the store
//! executes some of their heartbeats late, and some return.
//!
//! `HEMLOCK_DEPARTURES_SEEDS=100..150` selects other seeds than the one that CI runs.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;
use crate::deployment::ZONES;
use crate::soak::parse_seeds;

/// The seed that CI runs.
const CI_SEED: u64 = 1;

/// The number of instances, three in each of two availability zones: two of them follow the third.
const DAEMON_COUNT: usize = 6;

/// The time for which an upstream that has left may get requests, and a tolerance.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);
const TOLERANCE: Duration = Duration::from_millis(200);

/// The time after which an entry is removed if no heartbeat follows.
const SILENCE_MS: u64 = 3_600;

/// The longest delay of a late heartbeat after the removal, in milliseconds.
const HEARTBEAT_DELAY_MAX_MS: u64 = 6_000;

/// What happens to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    ReportDraining,
    Leave,
    LateHeartbeat,
    EntryExpires,
    Return,
}

/// A step of an upstream, by its index, and the time of the step since the start of the run.
struct Event {
    at: Duration,
    upstream: usize,
    step: Step,
}

/// Returns the departure of one upstream, with up to two heartbeats that are executed late.
fn departure(rng: &mut StdRng, upstream: usize) -> Vec<Event> {
    let event = |at_ms: u64, step: Step| Event {
        at: Duration::from_millis(at_ms),
        upstream,
        step,
    };
    let leaves_at_ms = rng.random_range(1_000..4_000);
    let mut events = Vec::new();
    if rng.random_bool(0.3) {
        events.push(event(leaves_at_ms - 900, Step::ReportDraining));
    }
    events.push(event(leaves_at_ms, Step::Leave));
    let returns_at_ms = leaves_at_ms + rng.random_range(4_000..12_000);
    for _ in 0..rng.random_range(0..3) {
        let at_ms = leaves_at_ms + rng.random_range(0..HEARTBEAT_DELAY_MAX_MS);
        if at_ms < returns_at_ms {
            events.push(event(at_ms, Step::LateHeartbeat));
        }
    }
    let heartbeats = events
        .iter()
        .filter(|event| event.step == Step::LateHeartbeat);
    let last_heartbeat_at = heartbeats.map(|event| event.at).max();
    let expires_at = last_heartbeat_at.map(|at| at + Duration::from_millis(SILENCE_MS));
    let returns = rng.random_bool(0.7);
    if let Some(expires_at) =
        expires_at.filter(|at| !returns || at.as_millis() < returns_at_ms.into())
    {
        events.push(event(expires_at.as_millis() as u64, Step::EntryExpires));
    }
    if returns {
        events.push(event(returns_at_ms, Step::Return));
    }
    events
}

fn take_step(deployment: &Deployment, event: &Event) {
    let upstream = &deployment.upstreams[event.upstream];
    match event.step {
        Step::ReportDraining => upstream.register(&deployment.store, true),
        Step::Leave | Step::EntryExpires => upstream.unregister(&deployment.store),
        Step::LateHeartbeat => upstream.heartbeat_late(&deployment.store),
        Step::Return => upstream.register(&deployment.store, false),
    }
}

/// Sends requests to an instance until `is_stopped` is set.
fn send_requests(deployment: &Deployment, index: usize, is_stopped: &AtomicBool) {
    let paths = [SEARCH_PATH, BOOK_PATH, LOOK_UP_PATH];
    for path in paths.iter().cycle() {
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        deployment.call(index, path, 800);
        thread::sleep(Duration::from_millis(10));
    }
}

/// Runs one seed, and returns the first violation as an error.
fn run(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(DAEMON_COUNT);
    // One upstream of each service, of either zone, so that each service has one left.
    let services = deployment.upstreams.len() / ZONES.len();
    let mut events: Vec<Event> = (0..services)
        .flat_map(|service| {
            let upstream = service * ZONES.len() + rng.random_range(0..ZONES.len());
            departure(&mut rng, upstream)
        })
        .collect();
    events.sort_by_key(|event| event.at);
    let started_at = Instant::now();
    let is_stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        for index in 0..DAEMON_COUNT {
            let (deployment, is_stopped) = (&deployment, &is_stopped);
            scope.spawn(move || send_requests(deployment, index, is_stopped));
        }
        for event in &events {
            thread::sleep(event.at.saturating_sub(started_at.elapsed()));
            take_step(&deployment, event);
        }
        thread::sleep(Duration::from_secs(1));
        is_stopped.store(true, Ordering::Relaxed);
    });
    let checked = check_departed(&deployment, &events, started_at);
    deployment.keep_logs = checked.is_err();
    checked.map_err(|violation| format!("{violation}; logs in {}", deployment.dir.display()))
}

/// Checks that upstreams that left got no requests after the time for draining, until they returned.
fn check_departed(
    deployment: &Deployment,
    events: &[Event],
    started_at: Instant,
) -> Result<(), String> {
    let runs = deployment.ledger.runs();
    for departure in events.iter().filter(|event| event.step == Step::Leave) {
        let mut later = events.iter();
        let returned =
            later.find(|event| event.upstream == departure.upstream && event.step == Step::Return);
        let from = started_at + departure.at + DRAIN_TIME + TOLERANCE;
        let until = returned.map(|event| started_at + event.at);
        let id = deployment.upstreams[departure.upstream].id();
        let late_run = runs.iter().find(|run| {
            let is_before_return = until.is_none_or(|until| run.started_at < until);
            run.upstream == id && run.started_at > from && is_before_return
        });
        if let Some(run) = late_run {
            let late_by = run.started_at - from;
            return Err(format!("{id} got a request {late_by:?} too late: {run:?}"));
        }
    }
    Ok(())
}

#[test]
fn upstreams_that_left_get_nothing_although_their_heartbeats_are_late() {
    let seeds = match std::env::var("HEMLOCK_DEPARTURES_SEEDS") {
        Ok(range) => parse_seeds(&range),
        Err(_) => vec![CI_SEED],
    };
    let mut broken = Vec::new();
    for seed in seeds {
        if let Err(violation) = run(seed) {
            eprintln!("seed {seed}: {violation}");
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "seeds that broke a promise: {broken:?}");
}
