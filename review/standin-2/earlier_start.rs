//! A replica starts again under its id and leaves; then the store executes a write of its earlier
//! start, which got no answer.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Client, Outcome, Sent};
use crate::config::Config;
use crate::replica::HEARTBEAT;
use crate::world::World;
use crate::Verdict;

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(3_000);

/// How long the replica is down.
const DOWN: Duration = Duration::from_millis(500);

/// Time from the new start until the replica leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(500);

/// Time from the first answer that says so until the replica reports in the store that it leaves.
const REPORTS_AFTER: Duration = Duration::from_millis(100);

/// Time from sending the write until the store executes it.
const LATE: Duration = Duration::from_millis(4_850);

/// Time for which a leaving replica goes on serving.
const SERVES: Duration = Duration::from_millis(8_000);

const CLIENTS: usize = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(30);
const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(2_500);

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder, 1);
    let _shards = world.shard_replicas();
    let _other = world.registered_replica("i-other", "reserve-ledger", 0, WORK);
    let leaving = world.replica("i-leaving", "reserve-ledger", 0, WORK);
    leaving.write(&world.store);
    world.write_config(&Config {
        version: 3,
        booking_service: "reserve-ledger",
        searches: 2,
        idle_timeout_ms: 15_000,
        warmup_per_s: 0,
    });
    if !world.start_machines() {
        world.record.say("the machine isn't ready in time");
        return Verdict::NotRun;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(Sent, Duration)>>> = Arc::default();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let mut client = Client::new(&world.record, world.machines[0].front);
            let (record, sent, stopped) = (
                Arc::clone(&world.record),
                Arc::clone(&sent),
                Arc::clone(&stopped),
            );
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let request = client.call("/book/1", DEADLINE);
                    let answered_at = record.elapsed();
                    sent.lock()
                        .expect("no thread panics with the lock")
                        .push((request, answered_at));
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        })
        .collect();
    for _ in 0..4 {
        thread::sleep(HEARTBEAT);
        leaving.write(&world.store);
    }
    thread::sleep(HEARTBEAT);
    // This write gets no answer, and the replica crashes.
    let late_write = leaving.next_write();
    let late_write_at = world.now() + LATE;
    world
        .record
        .write("i-leaving sends a write that gets no answer, and crashes");
    leaving.crash();
    thread::sleep(DOWN);
    leaving.start_again();
    leaving.write(&world.store);
    world.record.write("i-leaving has started again");
    thread::sleep(LEAVES_AFTER);
    leaving.leave();
    thread::sleep(REPORTS_AFTER);
    leaving.write(&world.store);
    let left_at = world.now();
    world
        .record
        .write("i-leaving reports draining, acknowledged");
    let mut beat_at = left_at + HEARTBEAT;
    let mut is_executed = !has_trouble;
    while world.now() < left_at + SERVES {
        if !is_executed && world.now() >= late_write_at {
            is_executed = true;
            world.store.write_entry(&late_write);
            world
                .record
                .write("the store executes the write of the earlier start");
        }
        if world.now() >= beat_at {
            beat_at += HEARTBEAT;
            leaving.write(&world.store);
        }
        thread::sleep(Duration::from_millis(5));
    }
    stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().expect("no thread panics with the lock");
    let announced = sent.iter().filter(|(request, _)| match &request.outcome {
        Outcome::Answered(answer) => answer.header("server-leaving") == Some("1"),
        _ => false,
    });
    let Some(announced_at) = announced.map(|(_, answered_at)| *answered_at).min() else {
        world
            .record
            .say("the machine has passed on no answer with Server-Leaving");
        return Verdict::NotRun;
    };
    let runs_at_leaving = |request: &Sent| {
        let runs = world.runs_of(&request.attempt_id);
        runs.iter().any(|run| run.replica == "i-leaving")
    };
    let late = sent
        .iter()
        .filter(|(request, _)| request.at > announced_at + DRAIN && runs_at_leaving(request));
    let late: Vec<f64> = late
        .map(|(request, _)| (request.at - announced_at).as_secs_f64())
        .collect();
    let first = late.iter().copied().fold(f64::INFINITY, f64::min);
    let last = late.iter().copied().fold(0.0, f64::max);
    world.record.say(&format!(
        "{} of {} requests were sent later than {} ms after the first answer with Server-Leaving was passed on, and reached the replica ({first:.2} to {last:.2} s after it)",
        late.len(), sent.len(), DRAIN.as_millis()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
