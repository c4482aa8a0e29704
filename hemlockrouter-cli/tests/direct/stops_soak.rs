//! Randomized planned stops, with callers that use their connections until the process is gone, and
//! with settings that change the time for a stop, with and without a signal.
//!
//! `HEMLOCK_STOPS_SEEDS=100..150` selects other seeds than those that CI runs.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Behaviour;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::caller_connection::CallerConnection;
use crate::caller_connection::Exchange;
use crate::deployment::Deployment;
use crate::deployment::BOOK_PATH;
use crate::deployment::LOOK_UP_PATH;
use crate::deployment::SEARCH_PATH;
use crate::stops::new_attempt_id;
use crate::stops::silence_upstreams;
use crate::stops::use_long_timeouts;
use crate::stops::LONG_DEADLINE_MS;

const DAEMON_COUNT: usize = 3;
const CALLER_COUNT: usize = 24;
const ROUND_COUNT: usize = 3;

/// The time for a stop in the settings that instances start with, in seconds.
const SHUTDOWN_S: f64 = 3.0;

/// The time by which a stop may exceed the one that the settings name on a busy machine.
const STOP_TOLERANCE: Duration = Duration::from_millis(500);

/// The times for a stop in the instances' settings files, in seconds.
struct ShutdownTimes {
    rng: StdRng,
    by_instance_s: Vec<f64>,
}

impl ShutdownTimes {
    fn new(seed: u64) -> ShutdownTimes {
        ShutdownTimes {
            rng: StdRng::seed_from_u64(seed),
            by_instance_s: vec![SHUTDOWN_S; DAEMON_COUNT],
        }
    }

    /// At random, writes another time into the settings file of an instance, with or without a
    /// signal, and with or without a pause before what comes next.
    fn change(&mut self, deployment: &mut Deployment, index: usize) {
        if self.rng.random_bool(0.5) {
            return;
        }
        let shutdown_s = f64::from(self.rng.random_range(6..16)) / 4.0;
        self.by_instance_s[index] = shutdown_s;
        let dir = deployment.dir.clone();
        let daemon = &mut deployment.daemons[index];
        daemon.set_bound("shutdown_s", shutdown_s.into());
        daemon.write_settings(&dir);
        if self.rng.random_bool(0.3) {
            daemon.signal("HUP");
        }
        thread::sleep(Duration::from_millis(self.rng.random_range(0..50)));
    }

    /// Returns the time by which an instance that is stopped now has to be gone.
    fn stop_due_at(&self, index: usize) -> Instant {
        Instant::now() + Duration::from_secs_f64(self.by_instance_s[index]) + STOP_TOLERANCE
    }
}

/// Waits until stopped instances are gone, and checks that each one took no longer than its settings
/// allow.
fn wait_for_stops(deployment: &mut Deployment, stops: &[(usize, Instant)]) -> Result<(), String> {
    let mut result = Ok(());
    for (index, due_at) in stops {
        while deployment.daemons[*index].is_running() {
            if Instant::now() > *due_at {
                result = Err(format!(
                    "instance {index} took longer than its settings allow"
                ));
                deployment.daemons[*index].kill();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    result
}

/// What the callers of a run share.
struct CallerControl {
    is_stopped: AtomicBool,
    /// Whether a load balancer has noticed that an instance is not ready, by instance.
    is_leaving: Vec<AtomicBool>,
}

/// Sends requests on kept connections until the callers are stopped, and returns the cut ones. Half
/// of the callers open no connection to an instance that is known not to be ready.
fn start_caller(
    deployment: &Deployment,
    seed: u64,
    control: &Arc<CallerControl>,
) -> JoinHandle<Vec<String>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let control = Arc::clone(control);
    let heeds_readiness = rng.random_bool(0.5);
    let addresses = deployment.daemons.iter().map(|daemon| daemon.callers);
    let addresses: Vec<SocketAddr> = addresses.collect();
    thread::spawn(move || {
        let mut cuts = Vec::new();
        let mut connection: Option<CallerConnection> = None;
        while !control.is_stopped.load(Ordering::Relaxed) {
            let index = rng.random_range(0..addresses.len());
            let is_passed_over =
                heeds_readiness && control.is_leaving[index].load(Ordering::Relaxed);
            let new_connection = || match is_passed_over {
                true => None,
                false => CallerConnection::open(addresses[index]),
            };
            let Some(mut open) = connection.take().or_else(new_connection) else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let path = [LOOK_UP_PATH, BOOK_PATH, SEARCH_PATH][rng.random_range(0..3)];
            let deadline_ms = [400, 1_500, LONG_DEADLINE_MS][rng.random_range(0..3)];
            let attempt_id = new_attempt_id();
            match open.call(path, &attempt_id, deadline_ms) {
                Exchange::Answered { closes: false, .. } => connection = Some(open),
                Exchange::Answered { .. } | Exchange::NotSent => {}
                // A new connection of a caller that goes on connecting to an instance that is not
                // ready may be reset when the port is closed.
                Exchange::Cut if open.answers <= 1 && !heeds_readiness => {}
                Exchange::Cut => cuts.push(format!("{path} {attempt_id} {deadline_ms} ms")),
            }
            let pause_ms = match rng.random_bool(0.5) {
                true => rng.random_range(0..20),
                false => rng.random_range(0..1_200),
            };
            thread::sleep(Duration::from_millis(pause_ms));
        }
        cuts
    })
}

/// Stops and starts instances while upstreams are slow, settings are reloaded and versions written.
/// Returns the first violation as an error.
fn run(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(DAEMON_COUNT);
    deployment.write_config(use_long_timeouts);
    let control = Arc::new(CallerControl {
        is_stopped: AtomicBool::new(false),
        is_leaving: (0..DAEMON_COUNT).map(|_| AtomicBool::new(false)).collect(),
    });
    let callers = (0..CALLER_COUNT as u64)
        .map(|index| start_caller(&deployment, seed.rotate_left(32) ^ index, &control));
    let callers: Vec<JoinHandle<Vec<String>>> = callers.collect();
    // Later kinds of changes have their own generator, so that those of older seeds stay the same.
    let mut shutdown_times = ShutdownTimes::new(!seed);
    let mut result = Ok(());
    for _ in 0..ROUND_COUNT {
        for upstream in &deployment.upstreams {
            let is_slow = rng.random_bool(0.4);
            upstream.set_behaviour(Behaviour {
                work_duration: Duration::from_millis(if is_slow { 700 } else { 3 }),
                never_responds: rng.random_bool(0.1),
                ..Behaviour::default()
            });
        }
        if rng.random_bool(0.5) {
            silence_upstreams(&deployment, "ledger");
        }
        let first = rng.random_range(0..DAEMON_COUNT);
        let stopped: Vec<usize> = (0..rng.random_range(1..DAEMON_COUNT))
            .map(|offset| (first + offset) % DAEMON_COUNT)
            .collect();
        let mut stops = Vec::new();
        for index in &stopped {
            shutdown_times.change(&mut deployment, *index);
            deployment.daemons[*index].signal("TERM");
            stops.push((*index, shutdown_times.stop_due_at(*index)));
            thread::sleep(Duration::from_millis(rng.random_range(0..900)));
            control.is_leaving[*index].store(true, Ordering::Relaxed);
            if rng.random_bool(0.5) {
                deployment.daemons[*index].signal("HUP");
                deployment.write_config(use_long_timeouts);
            }
        }
        result = result.and(wait_for_stops(&mut deployment, &stops));
        stopped
            .iter()
            .for_each(|index| deployment.start_daemon(*index));
        for index in &stopped {
            deployment.wait_ready(*index);
            control.is_leaving[*index].store(false, Ordering::Relaxed);
        }
    }
    control.is_stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        let cuts = caller
            .join()
            .map_err(|_| String::from("a caller panicked"))?;
        if !cuts.is_empty() {
            result = result.and(Err(format!("cut: {cuts:?}")));
        }
    }
    deployment.keep_logs = result.is_err();
    result.map_err(|violation| format!("{violation}; logs in {}", deployment.dir.display()))
}

#[test]
fn planned_stops_cut_no_request() {
    let seeds = std::env::var("HEMLOCK_STOPS_SEEDS").unwrap_or_else(|_| String::from("1..3"));
    let (first, end) = seeds.split_once("..").expect("seeds are a range a..b");
    let number = |text: &str| text.parse::<u64>().expect("seeds are whole numbers");
    let mut broken = Vec::new();
    for seed in number(first)..number(end) {
        if let Err(violation) = run(seed) {
            eprintln!("seed {seed}: {violation}");
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "seeds that broke a promise: {broken:?}");
}
