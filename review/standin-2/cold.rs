//! The leases of all machines run out while the store is down, and all processes are killed. Then a
//! replica starts, which is cold.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::config::Config;
use crate::replica::HEARTBEAT;
use crate::world::World;
use crate::Verdict;

const MACHINES: usize = 9;

/// Requests per second that a cold replica tolerates, and the bound that follows from it with
/// `warmupOverage` and `warmupSlack` of the settings.
const WARMUP_PER_S: u32 = 4;
const BOUND_PER_S: usize = 11;

/// How long a replica is cold after its start: `warmupS` of the services.
const WARMUP_MS: u64 = 3_000;

/// How long the store is down, and when all processes are killed meanwhile.
const DOWN: Duration = Duration::from_millis(4_500);
const KILLED_AFTER: Duration = Duration::from_millis(1_700);

/// Time from the return of the store until the replica has started.
const STARTS_AFTER: Duration = Duration::from_millis(100);

/// Time for which requests are sent after the replica has started.
const OBSERVED: Duration = Duration::from_millis(6_000);

const CLIENTS: usize = 3;
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(2_500);

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder, MACHINES);
    let _shards = world.shard_replicas();
    let _warm: Vec<_> = (0..4)
        .map(|index| {
            let id = format!("i-warm-{index}");
            world.registered_replica(&id, "reserve-ledger", index % 2, WORK)
        })
        .collect();
    world.write_config(&Config {
        version: 3,
        booking_service: "reserve-ledger",
        searches: 2,
        idle_timeout_ms: 15_000,
        warmup_per_s: WARMUP_PER_S,
    });
    if !world.start_machines() {
        world.record.say("the machines aren't ready in time");
        return Verdict::NotRun;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for machine in &world.machines {
        for _ in 0..CLIENTS {
            let mut client = Client::new(&world.record, machine.front);
            let stopped = Arc::clone(&stopped);
            threads.push(thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    client.call("/book/1", DEADLINE);
                    thread::sleep(CLIENT_PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        world.record.write("the store is down");
        world.store.go_down();
        let down_at = world.now();
        world.wait_until(down_at + KILLED_AFTER);
        world.machines.iter().for_each(|machine| machine.kill());
        world.record.write("all processes are killed");
        let restarts = world.machines.iter().map(Arc::clone);
        let restarts: Vec<_> = restarts
            .map(|machine| thread::spawn(move || machine.restart()))
            .collect();
        restarts
            .into_iter()
            .for_each(|restart| restart.join().expect("a machine starts"));
        world.wait_until(down_at + DOWN);
        world.store.come_back();
        world.record.write("the store is back");
    }
    thread::sleep(STARTS_AFTER);
    let cold = world.replica("i-cold", "reserve-ledger", 0, WORK);
    let started_at = world.now();
    let mut beat_at = started_at;
    while world.now() < started_at + OBSERVED {
        if world.now() >= beat_at {
            beat_at += HEARTBEAT;
            let age_ms = (world.now() - started_at).as_millis() as u64;
            cold.set_warmup_left_ms(WARMUP_MS.saturating_sub(age_ms));
            cold.write(&world.store);
            world.record.write("i-cold writes its entry");
        }
        thread::sleep(Duration::from_millis(5));
    }
    stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let runs = world.runs.lock().expect("no thread panics with the lock");
    let cold_until = started_at + Duration::from_millis(WARMUP_MS);
    let at_cold = runs
        .iter()
        .filter(|run| run.replica == "i-cold" && run.at < cold_until);
    let at_cold: Vec<Duration> = at_cold.map(|run| run.at).collect();
    let in_second = at_cold.iter().map(|from| {
        let until = *from + Duration::from_secs(1);
        at_cold
            .iter()
            .filter(|at| **at >= *from && **at < until)
            .count()
    });
    let most = in_second.max().unwrap_or(0);
    let ready = world
        .machines
        .iter()
        .filter(|machine| machine.is_ready())
        .count();
    world.record.say(&format!(
        "{} requests reached the cold replica, {most} of them within one second (bound {BOUND_PER_S}); {ready} of {MACHINES} machines ready",
        at_cold.len()
    ));
    if ready < MACHINES {
        return Verdict::NotRun;
    }
    if most > BOUND_PER_S {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
