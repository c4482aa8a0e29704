//! How soon a confirmed version is in force everywhere while the store turns some instances away,
//! or comes back from copies.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_lab::link::Condition;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use serde_json::Value;

use crate::world::eventually;
use crate::world::World;

/// Five instances for each of two availability zones: one reads for the others.
const DAEMONS: usize = 10;

/// How soon a version is in force at each instance, turned away or not.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(3_000);

/// How often a version is written.
const VERSION_EVERY: Duration = Duration::from_millis(300);

/// How often other instances are turned away, and for how long.
const ROUNDS: u64 = 8;
const ROUND_MIN_MS: u64 = 1_500;
const ROUND_MAX_MS: u64 = 5_000;

/// How old a copy is at most from which the store comes back.
const COPY_MAX: Duration = Duration::from_secs(3);

/// Versions, and when they were confirmed.
struct Written {
    world: World,
    versions: Vec<(u64, Instant)>,
    last: u64,
    /// The version that each instance had when it was asked last.
    seen: Vec<u64>,
}

impl Written {
    fn write_if_due(&mut self) {
        let last = self.versions.last();
        if last.is_some_and(|(_, at)| at.elapsed() < VERSION_EVERY) {
            return;
        }
        self.world.configure(|_| {});
        self.last += 1;
        self.versions.push((self.last, Instant::now()));
    }

    /// Checks that no instance is behind by more than the bound.
    fn check(&mut self) {
        for (at, daemon) in self.world.daemons.iter().enumerate() {
            let asked_at = Instant::now();
            let url = format!("http://{}/status", daemon.ready);
            let status: Value = ureq::get(url)
                .call()
                .and_then(|mut answer| answer.body_mut().read_json())
                .expect("the daemon tells its status");
            let in_force = status["version"].as_u64().expect("a number");
            let before = std::mem::replace(&mut self.seen[at], in_force);
            assert!(in_force >= before, "{} went back: {status:#}", daemon.name);
            let due = self.versions.iter().rev().find(|(_, at)| {
                let confirmed_for = asked_at.saturating_duration_since(*at);
                confirmed_for > IN_FORCE_WITHIN
            });
            if let Some((due, at)) = due {
                let name = &daemon.name;
                let ms = at.elapsed().as_millis();
                assert!(
                    in_force >= *due,
                    "{name} has version {in_force}; {due} was confirmed {ms} ms ago: {status:#}"
                );
            }
        }
    }

    fn play(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            self.write_if_due();
            self.check();
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Has the store come back from a copy of a moment before. Operators write again after a while;
    /// how soon it is in force counts from then.
    fn come_back(&mut self, rng: &mut StdRng) {
        let copy = self.world.store.copy();
        self.play(rng.random_range(Duration::ZERO..COPY_MAX));
        self.world.store.restore(&copy);
        let is_known = |(_, at): &(u64, Instant)| at.elapsed() > IN_FORCE_WITHIN;
        self.versions.retain(is_known);
        for upstream in &self.world.upstreams {
            upstream.register(&self.world.store, false);
        }
    }

    /// Turns some instances away, by resets or by silence, and serves the others.
    fn turn_away(&self, rng: &mut StdRng) {
        let served = rng.random_range(0..DAEMONS);
        let share = rng.random_range(0.2..1.0);
        let silent = rng.random_bool(0.5);
        for (at, daemon) in self.world.daemons.iter().enumerate() {
            let is_turned_away = at != served && rng.random_bool(share);
            daemon.link.set(Condition {
                cut: is_turned_away && !silent,
                half_open: is_turned_away && silent,
                ..Condition::default()
            });
        }
    }
}

/// What happens beside instances being turned away.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Store {
    Lasts,
    ComesBackFromCopies,
}

fn play(seed: u64, store: Store) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(DAEMONS);
    world.wait_settled();
    let mut written = Written {
        world,
        versions: Vec::new(),
        last: 1,
        seen: vec![0; DAEMONS],
    };
    for _ in 0..ROUNDS {
        written.turn_away(&mut rng);
        if store == Store::ComesBackFromCopies {
            written.come_back(&mut rng);
        }
        let ms = rng.random_range(ROUND_MIN_MS..ROUND_MAX_MS);
        written.play(Duration::from_millis(ms));
    }
}

/// Returns the seeds to play: those that the variable names, or a few.
fn seeds(variable: &str) -> std::ops::Range<u64> {
    let seeds = std::env::var(variable).ok();
    let seeds = seeds.unwrap_or_else(|| String::from("1..3"));
    let (from, to) = seeds.split_once("..").expect("seeds are written A..B");
    let number = |text: &str| text.parse::<u64>().expect("seeds are numbers");
    number(from)..number(to)
}

/// Guards against the incident docs/incidents/halls-config.md.
#[test]
fn a_confirmed_version_is_in_force_in_time_while_the_store_turns_instances_away() {
    for seed in seeds("HEMLOCK_IN_FORCE_SEEDS") {
        play(seed, Store::Lasts);
    }
}

#[test]
fn a_confirmed_version_is_in_force_in_time_while_the_store_comes_back_from_copies() {
    for seed in seeds("HEMLOCK_COPIES_SEEDS") {
        play(seed, Store::ComesBackFromCopies);
    }
}

/// Guards against a change that is lost between the pages of a first read, which are no snapshot:
/// the first one is newer than the others.
#[test]
fn a_version_that_the_last_page_of_a_first_read_lacks_is_in_force_in_time() {
    let mut world = World::start(1);
    // The configuration stands on the second page.
    for number in 0..60 {
        let key = format!("hemlock/instances/{number:02}");
        world.store.put(&key, b"unreadable");
    }
    world.store.lag_behind_first_page();
    world.configure(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    world.daemons[0].kill();
    world.start_daemon(0);
    world.wait_ready(0);
    let ready = Instant::now();
    eventually("the version is in force", || {
        world.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
    let took = ready.elapsed();
    assert!(took < IN_FORCE_WITHIN, "{took:?}");
}
