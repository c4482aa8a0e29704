//! Randomized departures of upstreams: some report that they drain, others just leave, the store
//! executes some of their heartbeats late, and some return. Meanwhile instances freeze, or are killed
//! and start again.
//!
//! `HEMLOCK_DEPARTURES_SEEDS=100..150` selects other seeds than the one that CI runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Caller;
use hemlockrouter_corporation_lab::Ledger;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::deployment::shards;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::CATCH_UP_MS;
use crate::deployment::HOST;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::MAX_RECORDS;
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

/// The number of disruptions of instances in a run.
const DISRUPTION_COUNT: usize = 3;

/// The time after which the platform starts a killed instance again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// The time after a disruption within which the promise does not hold for the instance.
const CATCH_UP_TIME: Duration = Duration::from_millis(CATCH_UP_MS);

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

/// A time span in which an instance is frozen, or killed and not started yet.
struct Disruption {
    daemon: usize,
    from: Duration,
    until: Duration,
    is_kill: bool,
}

/// Returns disruptions of different instances.
fn disruptions(rng: &mut StdRng) -> Vec<Disruption> {
    let first = rng.random_range(0..DAEMON_COUNT);
    let daemons = (0..DISRUPTION_COUNT).map(|number| (first + number) % DAEMON_COUNT);
    let disruptions = daemons.map(|daemon| {
        let from = Duration::from_millis(rng.random_range(0..5_000));
        let is_kill = rng.random();
        let length = match is_kill {
            true => RESTART_PAUSE,
            false => Duration::from_millis(rng.random_range(1_000..5_000)),
        };
        Disruption {
            daemon,
            from,
            until: from + length,
            is_kill,
        }
    });
    disruptions.collect()
}

impl Disruption {
    fn begin(&self, deployment: &mut Deployment) {
        match self.is_kill {
            true => deployment.daemons[self.daemon].kill(),
            false => deployment.daemons[self.daemon].signal("STOP"),
        }
    }

    fn end(&self, deployment: &mut Deployment) {
        match self.is_kill {
            true => deployment.start_daemon(self.daemon),
            false => deployment.daemons[self.daemon].signal("CONT"),
        }
    }
}

/// What happens next in a run.
enum Action<'r> {
    Event(&'r Event),
    Begin(&'r Disruption),
    End(&'r Disruption),
}

/// Returns all actions of a run in order.
fn actions<'r>(events: &'r [Event], disruptions: &'r [Disruption]) -> Vec<(Duration, Action<'r>)> {
    let events = events.iter().map(|event| (event.at, Action::Event(event)));
    let begins = disruptions.iter().map(|one| (one.from, Action::Begin(one)));
    let ends = disruptions.iter().map(|one| (one.until, Action::End(one)));
    let mut actions: Vec<_> = events.chain(begins).chain(ends).collect();
    actions.sort_by_key(|(at, _)| *at);
    actions
}

/// Sends requests to an instance until `is_stopped` is set, and returns their ids.
fn send_requests(
    handle: &tokio::runtime::Handle,
    callers: SocketAddr,
    ledger: &Ledger,
    is_stopped: &AtomicBool,
) -> Vec<String> {
    let paths = [SEARCH_PATH, BOOK_PATH, LOOK_UP_PATH];
    let shards = shards();
    let mut attempt_ids = Vec::new();
    for path in paths.iter().cycle() {
        if is_stopped.load(Ordering::Relaxed) {
            break;
        }
        let search = (*path == SEARCH_PATH).then_some((shards.as_slice(), MAX_RECORDS));
        let mut caller = Caller::new(HOST, ledger);
        let answer = handle.block_on(caller.call(callers, path, 800, search));
        attempt_ids.push(answer.attempt_id);
        thread::sleep(Duration::from_millis(10));
    }
    attempt_ids
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
    // Disruptions have their own generator, so that the departures of older seeds stay the same.
    let disruptions = disruptions(&mut StdRng::seed_from_u64(!seed));
    let started_at = Instant::now();
    let is_stopped = AtomicBool::new(false);
    let handle = deployment.runtime.handle().clone();
    let ledger = deployment.ledger.clone();
    let callers: Vec<SocketAddr> = deployment.daemons.iter().map(|one| one.callers).collect();
    let daemon_by_attempt = thread::scope(|scope| {
        let senders = callers.iter().map(|callers| {
            let (handle, ledger, is_stopped) = (&handle, &ledger, &is_stopped);
            scope.spawn(move || send_requests(handle, *callers, ledger, is_stopped))
        });
        let senders: Vec<_> = senders.collect();
        for (at, action) in actions(&events, &disruptions) {
            thread::sleep(at.saturating_sub(started_at.elapsed()));
            match action {
                Action::Event(event) => take_step(&deployment, event),
                Action::Begin(disruption) => disruption.begin(&mut deployment),
                Action::End(disruption) => disruption.end(&mut deployment),
            }
        }
        thread::sleep(Duration::from_secs(1));
        is_stopped.store(true, Ordering::Relaxed);
        let mut daemon_by_attempt = HashMap::new();
        for (daemon, sender) in senders.into_iter().enumerate() {
            let attempt_ids = sender.join().expect("callers do not panic").into_iter();
            daemon_by_attempt.extend(attempt_ids.map(|id| (id, daemon)));
        }
        daemon_by_attempt
    });
    let is_excused = |attempt_id: &str, at: Instant| {
        let daemon = daemon_by_attempt.get(attempt_id);
        let mut own = disruptions.iter();
        own.any(|one| Some(&one.daemon) == daemon && at < started_at + one.until + CATCH_UP_TIME)
    };
    let checked = check_departed(&deployment, &events, started_at, is_excused);
    deployment.keep_logs = checked.is_err();
    checked.map_err(|violation| format!("{violation}; logs in {}", deployment.dir.display()))
}

/// Checks that upstreams that left got no requests after the time for draining, until they returned.
/// Requests of instances that had a disruption of their own shortly before are excused.
fn check_departed<F>(
    deployment: &Deployment,
    events: &[Event],
    started_at: Instant,
    is_excused: F,
) -> Result<(), String>
where
    F: Fn(&str, Instant) -> bool,
{
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
            let is_late = run.upstream == id && run.started_at > from && is_before_return;
            is_late && !is_excused(&run.attempt_id, run.started_at)
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
