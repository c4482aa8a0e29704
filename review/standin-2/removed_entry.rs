//! A replica leaves without reporting it: its entry is removed. Then the store executes one of its
//! earlier heartbeats, which got no answer.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::client::{Client, Sent};
use crate::config::Config;
use crate::replica::HEARTBEAT;
use crate::world::World;
use crate::Verdict;

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time from sending the heartbeat until the store executes it.
const LATE: Duration = Duration::from_millis(6_000);

/// Time from sending that heartbeat until the entry is removed: longer than `contactMs`.
const LEAVES_AFTER: Duration = Duration::from_millis(5_100);

/// Time from the removal until clients send requests again.
const QUIET: Duration = Duration::from_millis(3_200);

/// Heartbeats of silence after which the store removes an entry.
const SILENCE: u32 = 3;

/// Requests before the replica leaves, and those at the same time after it has left.
const EARLY_REQUESTS: usize = 60;
const LATE_REQUESTS: usize = 6;

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
    let front = world.machines[0].front;
    let mut client = Client::new(&world.record, front);
    let mut early = 0;
    for _ in 0..EARLY_REQUESTS {
        let request = client.call("/book/1", DEADLINE);
        early += usize::from(reached(&world, &request));
    }
    for _ in 0..3 {
        thread::sleep(HEARTBEAT);
        leaving.write(&world.store);
    }
    thread::sleep(HEARTBEAT);
    let late_heartbeat = leaving.next_write();
    let sent_at = world.now();
    let number = late_heartbeat.sequence;
    world.record.write(&format!(
        "i-leaving sends heartbeat {number}, which gets no answer"
    ));
    let mut beat_at = sent_at + HEARTBEAT;
    while beat_at < sent_at + LEAVES_AFTER {
        world.wait_until(beat_at);
        leaving.write(&world.store);
        beat_at += HEARTBEAT;
    }
    world.wait_until(sent_at + LEAVES_AFTER);
    leaving.leave();
    world.store.remove(&late_heartbeat.key());
    let left_at = world.now();
    world
        .record
        .write("i-leaving leaves: its entry is removed, acknowledged");
    let (store, record) = (world.store.clone(), world.record.clone());
    let late_store = thread::spawn(move || {
        if !has_trouble {
            return;
        }
        thread::sleep((sent_at + LATE).saturating_sub(record.elapsed()));
        store.write_entry(&late_heartbeat);
        record.write(&format!("the store executes heartbeat {number}"));
        thread::sleep(HEARTBEAT * SILENCE);
        store.remove(&late_heartbeat.key());
        record.write("the entry of i-leaving is removed after the silence");
    });
    world.wait_until(left_at + QUIET);
    let requests = (0..LATE_REQUESTS).map(|_| {
        let mut client = Client::new(&world.record, front);
        thread::spawn(move || client.call("/book/1", DEADLINE))
    });
    let requests: Vec<_> = requests.collect();
    let requests: Vec<Sent> = requests
        .into_iter()
        .map(|request| request.join().expect("a client does not panic"))
        .collect();
    let _ = late_store.join();
    let late = requests
        .iter()
        .filter(|request| request.at > left_at + DRAIN && reached(&world, request))
        .count();
    world.record.say(&format!(
        "{early} of {EARLY_REQUESTS} requests reached the replica before it left, and {late} of {LATE_REQUESTS} that were sent {} ms after its removal was acknowledged",
        QUIET.as_millis()
    ));
    match (early, late) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Returns whether a request has reached the replica that leaves.
fn reached(world: &World, request: &Sent) -> bool {
    let runs = world.runs_of(&request.attempt_id);
    runs.iter().any(|run| run.replica == "i-leaving")
}
