//! Configurations come in quick succession, at machines with the slowest links of a site.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::client::{Client, Sent};
use crate::config::Config;
use crate::daemon::VENTS_GROWN;
use crate::world::World;
use crate::Verdict;

/// The storm: a change each 0.06 s for 1.5 s, as in the smaller site file of the same customer.
const STORM_CHANGES: u64 = 25;
const STORM_GAP: Duration = Duration::from_millis(60);

/// Routes by which the configuration has grown: fewer than the largest `big_config` of a site file.
const SEARCHES: usize = 370;

/// How long requests are sent after the last version is due everywhere.
const OBSERVED: Duration = Duration::from_millis(10_000);

const DEADLINE: Duration = Duration::from_millis(2_500);

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::at(folder, 2, &VENTS_GROWN);
    let mut config = Config {
        version: 3,
        booking_service: "reserve-ledger",
        searches: SEARCHES,
        idle_timeout_ms: 15_000,
        warmup_per_s: 0,
    };
    let _shards = world.shard_replicas();
    let work = Duration::from_millis(30);
    let _replicas = [
        world.registered_replica("i-old-0", "reserve-ledger", 0, work),
        world.registered_replica("i-old-1", "reserve-ledger", 1, work),
        world.registered_replica("i-new-0", "notice-board", 0, work),
        world.registered_replica("i-new-1", "notice-board", 1, work),
    ];
    world.write_config(&config);
    let size = config.to_json().len();
    world
        .record
        .say(&format!("the configuration has {size} bytes"));
    if !world.start_machines() {
        world.record.say("the machines aren't ready in time");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(VENTS_GROWN.contact_ms + 1_000));
    let fronts = world.machines.iter().map(|machine| machine.front);
    let mut clients: Vec<Client> = fronts
        .map(|front| Client::new(&world.record, front))
        .collect();
    let is_served = |client: &mut Client| {
        let request = client.call("/book/1", DEADLINE);
        !world.runs_of(&request.attempt_id).is_empty()
    };
    if !clients.iter_mut().all(is_served) {
        world
            .record
            .say("a machine serves no request before the storm");
        return Verdict::NotRun;
    }
    if has_trouble {
        for change in 1..=STORM_CHANGES {
            config.version += 1 + change % 3;
            config.idle_timeout_ms = 15_000 + change;
            world.write_config(&config);
            thread::sleep(STORM_GAP);
        }
    }
    config.version += 2;
    config.booking_service = "notice-board";
    let acknowledged_at = world.write_config(&config);
    let due_at = acknowledged_at + Duration::from_millis(VENTS_GROWN.config_apply_ms);
    world.wait_until(due_at + Duration::from_millis(100));
    let observed_until = world.now() + OBSERVED;
    let mut sent: Vec<Sent> = Vec::new();
    while world.now() < observed_until {
        sent.extend(
            clients
                .iter_mut()
                .map(|client| client.call("/book/2", DEADLINE)),
        );
        thread::sleep(Duration::from_millis(100));
    }
    let is_stale = |sent: &&Sent| {
        let runs = world.runs_of(&sent.attempt_id);
        runs.iter().any(|run| run.replica.starts_with("i-old"))
    };
    let stale: Vec<&Sent> = sent.iter().filter(is_stale).collect();
    let last = stale
        .last()
        .map_or(0.0, |sent| (sent.at - acknowledged_at).as_secs_f64());
    world.record.say(&format!(
        "{} requests sent later than {} ms after the acknowledgement to both machines; {} run by the old service (the last one sent {last:.1} s after it)",
        sent.len(),
        VENTS_GROWN.config_apply_ms,
        stale.len()
    ));
    if stale.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
