//! Tests that a confirmed version is in force on all instances in time, while the store refuses
//! some instances or is restored from copies.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_lab::link::LinkCondition;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use serde_json::Value;

use crate::deployment::eventually;
use crate::deployment::Deployment;

/// The number of instances, five in each of two availability zones. One instance of a zone reads
/// the store for the others.
const INSTANCE_COUNT: usize = 10;

/// The longest time until a version is in force on every instance, including instances that the
/// store refuses.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(3_000);

/// The interval between two writes of a version.
const VERSION_INTERVAL: Duration = Duration::from_millis(300);

/// The number of rounds, each of which cuts off other instances, and the bounds on a round's
/// duration.
const ROUND_COUNT: u64 = 8;
const ROUND_MIN_MS: u64 = 1_500;
const ROUND_MAX_MS: u64 = 5_000;

/// The largest age of a copy from which the store is restored.
const COPY_AGE_MAX: Duration = Duration::from_secs(3);

/// A deployment, with the versions written to its store and their confirmation times.
struct VersionWriter {
    deployment: Deployment,
    versions: Vec<(u64, Instant)>,
    last_version: u64,
    /// The version that each instance had in force at the last check.
    last_versions: Vec<u64>,
}

impl VersionWriter {
    fn write_version_if_due(&mut self) {
        let last = self.versions.last();
        if last.is_some_and(|(_, confirmed_at)| confirmed_at.elapsed() < VERSION_INTERVAL) {
            return;
        }
        self.deployment.write_config(|_| {});
        self.last_version += 1;
        self.versions.push((self.last_version, Instant::now()));
    }

    /// Checks that each instance has every version in force that was confirmed longer ago than
    /// [`IN_FORCE_WITHIN`].
    fn check(&mut self) {
        for (index, daemon) in self.deployment.daemons.iter().enumerate() {
            let asked_at = Instant::now();
            let url = format!("http://{}/status", daemon.ready);
            let status: Value = ureq::get(url)
                .call()
                .and_then(|mut answer| answer.body_mut().read_json())
                .expect("the daemon tells its status");
            let in_force = status["version"].as_u64().expect("a number");
            let before = std::mem::replace(&mut self.last_versions[index], in_force);
            assert!(in_force >= before, "{} went back: {status:#}", daemon.name);
            let due_version = self.versions.iter().rev().find(|(_, confirmed_at)| {
                let confirmed_for = asked_at.saturating_duration_since(*confirmed_at);
                confirmed_for > IN_FORCE_WITHIN
            });
            if let Some((due_version, confirmed_at)) = due_version {
                let name = &daemon.name;
                let ms = confirmed_at.elapsed().as_millis();
                assert!(
                    in_force >= *due_version,
                    "{name} has version {in_force}; {due_version} was confirmed {ms} ms ago: {status:#}"
                );
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            self.write_version_if_due();
            self.check();
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Restores the store from a copy that is at most [`COPY_AGE_MAX`] old. Operators then write
    /// newer versions, and the bound applies from the time of these writes.
    fn restore_from_copy(&mut self, rng: &mut StdRng) {
        let copy = self.deployment.store.copy();
        self.run_for(rng.random_range(Duration::ZERO..COPY_AGE_MAX));
        self.deployment.store.restore(&copy);
        let is_older_than_bound =
            |(_, confirmed_at): &(u64, Instant)| confirmed_at.elapsed() > IN_FORCE_WITHIN;
        self.versions.retain(is_older_than_bound);
        for upstream in &self.deployment.upstreams {
            upstream.register(&self.deployment.store, false);
        }
    }

    /// Cuts some instances off from the store, by connection resets or by dropped packets, and
    /// reconnects the others.
    fn cut_off_some_instances(&self, rng: &mut StdRng) {
        let connected = rng.random_range(0..INSTANCE_COUNT);
        let cut_off_probability = rng.random_range(0.2..1.0);
        let silent = rng.random_bool(0.5);
        for (index, daemon) in self.deployment.daemons.iter().enumerate() {
            let is_cut_off = index != connected && rng.random_bool(cut_off_probability);
            daemon.link.set_condition(LinkCondition {
                cut: is_cut_off && !silent,
                half_open: is_cut_off && silent,
                ..LinkCondition::default()
            });
        }
    }
}

/// The behaviour of the store while some instances are cut off.
#[derive(Clone, Copy, Eq, PartialEq)]
enum StoreBehaviour {
    KeepsState,
    RestoredFromCopies,
}

fn run_seed(seed: u64, store_behaviour: StoreBehaviour) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let deployment = Deployment::start(INSTANCE_COUNT);
    deployment.wait_until_instance_list_settles();
    let mut writer = VersionWriter {
        deployment,
        versions: Vec::new(),
        last_version: 1,
        last_versions: vec![0; INSTANCE_COUNT],
    };
    for _ in 0..ROUND_COUNT {
        writer.cut_off_some_instances(&mut rng);
        if store_behaviour == StoreBehaviour::RestoredFromCopies {
            writer.restore_from_copy(&mut rng);
        }
        let ms = rng.random_range(ROUND_MIN_MS..ROUND_MAX_MS);
        writer.run_for(Duration::from_millis(ms));
    }
}

/// Returns the range of seeds in the environment variable `variable`, or a default range.
fn seeds(variable: &str) -> std::ops::Range<u64> {
    let seeds = std::env::var(variable).ok();
    let seeds = seeds.unwrap_or_else(|| String::from("1..3"));
    let (from, to) = seeds.split_once("..").expect("seeds are written A..B");
    let number = |text: &str| text.parse::<u64>().expect("seeds are numbers");
    number(from)..number(to)
}

/// Guards against a repetition of the incident that docs/incidents/halls-config.md describes.
#[test]
fn confirmed_version_is_in_force_in_time_while_instances_are_cut_off() {
    for seed in seeds("HEMLOCK_IN_FORCE_SEEDS") {
        run_seed(seed, StoreBehaviour::KeepsState);
    }
}

#[test]
fn confirmed_version_is_in_force_in_time_while_the_store_is_restored() {
    for seed in seeds("HEMLOCK_COPIES_SEEDS") {
        run_seed(seed, StoreBehaviour::RestoredFromCopies);
    }
}

/// Starts an instance whose first read has a first page that is newer than the revision from which it
/// watches, since `write` comes between. Waits until a follower at the revision before `write` gets a
/// page with `text`.
fn check_change_newer_than_the_first_read<F>(write: F, text: &str)
where
    F: FnOnce(&mut Deployment),
{
    let mut deployment = Deployment::start(1);
    // With 60 entries behind them, the configuration and the upstreams are on the first page.
    for number in 0..60 {
        deployment.store.put(&format!("zz/{number:02}"), b"filler");
    }
    deployment.store.freeze_stale_pages();
    let follower_revision = deployment.store.revision();
    write(&mut deployment);
    deployment.daemons[0].kill();
    deployment.start_daemon(0);
    deployment.wait_ready(0);
    let ready = Instant::now();
    let relay = deployment.daemons[0].relay;
    let url = format!("http://{relay}/changes/1/{follower_revision}?age_ms=0&wait_ms=100");
    eventually("a follower gets the change", || {
        let answer = ureq::get(&url).call();
        let page = answer.and_then(|mut answer| answer.body_mut().read_to_vec());
        let page = page.expect("the relay answers");
        let mut parts = page.windows(text.len());
        parts.any(|part| part == text.as_bytes())
    });
    let elapsed = ready.elapsed();
    assert!(elapsed < IN_FORCE_WITHIN, "{elapsed:?}");
}

/// Guards against followers that never learn of a version which their relay found in its first
/// read.
#[test]
fn version_newer_than_the_first_read_is_passed_on_to_followers() {
    let write = |deployment: &mut Deployment| {
        deployment.write_config(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    };
    check_change_newer_than_the_first_read(write, "/moved/");
}

/// Guards against followers that learn of an upstream's removal, but not of its registration after
/// that, since their relay found both in its first read and takes the registration for a late write
/// when the store repeats it.
#[test]
fn registration_newer_than_the_first_read_is_passed_on_to_followers() {
    let write = |deployment: &mut Deployment| {
        let mut upstreams = deployment.upstreams.iter();
        let upstream = upstreams.find(|upstream| upstream.service() == "ledger");
        let upstream = upstream.expect("the service has upstreams");
        upstream.unregister(&deployment.store);
        upstream.register(&deployment.store, false);
    };
    check_change_newer_than_the_first_read(write, "ledger");
}

/// Guards against the loss of a change during the first read of the store. The pages of this read
/// are not a snapshot: the first page can be newer than the others.
#[test]
fn version_missing_from_the_first_read_is_in_force_in_time() {
    let mut deployment = Deployment::start(1);
    // With 60 instance entries, the configuration is on the second page.
    for number in 0..60 {
        let key = format!("hemlock/instances/{number:02}");
        deployment.store.put(&key, b"unreadable");
    }
    deployment.store.freeze_stale_pages();
    deployment.write_config(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    deployment.daemons[0].kill();
    deployment.start_daemon(0);
    deployment.wait_ready(0);
    let ready = Instant::now();
    eventually("the version is in force", || {
        deployment.call(0, "/moved/x", 500).status == Some(StatusCode::OK)
    });
    let elapsed = ready.elapsed();
    assert!(elapsed < IN_FORCE_WITHIN, "{elapsed:?}");
}
