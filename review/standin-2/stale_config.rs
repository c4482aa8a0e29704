//! A machine stands still while configurations come in quick succession, and wakes again.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::client::{Client, Outcome, Sent};
use crate::config::Config;
use crate::world::World;
use crate::Verdict;

/// `configApplyMs` and `contactMs` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(5_000);

/// How long the machine stands still: the length of `node_freeze` in the site file.
const FREEZE: Duration = Duration::from_millis(4_000);

/// The storm: a change each 0.06 s for 1.5 s, as on the day `scale-1` of the site file.
const STORM_CHANGES: u64 = 25;
const STORM_GAP: Duration = Duration::from_millis(60);

/// Routes by which the configuration has grown: twice the largest `big_config` of the site file.
const SEARCHES: usize = 2 * 486;

/// How long requests are sent after the machine is in touch again.
const OBSERVED: Duration = Duration::from_millis(8_000);

const DEADLINE: Duration = Duration::from_millis(2_500);

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder, 2);
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
    thread::sleep(Duration::from_secs(6));
    let machine = &world.machines[0];
    let mut client = Client::new(&world.record, machine.front);
    if !matches!(client.call("/book/1", DEADLINE).outcome, Outcome::Answered(answer) if answer.status() == 200)
    {
        world
            .record
            .say("the machine serves no request before the disruption");
        return Verdict::NotRun;
    }
    if has_trouble {
        machine.signal("STOP");
    }
    let frozen_at = world.now();
    thread::sleep(Duration::from_millis(20));
    for change in 1..=STORM_CHANGES {
        config.version += 1 + change % 3;
        config.idle_timeout_ms = 15_000 + change;
        world.write_config(&config);
        thread::sleep(STORM_GAP);
    }
    config.version += 2;
    config.booking_service = "notice-board";
    let acknowledged_at = world.write_config(&config);
    world.wait_until(frozen_at + FREEZE);
    if has_trouble {
        machine.signal("CONT");
    }
    let in_touch_at = world.now() + CONTACT;
    world.wait_until(in_touch_at.max(acknowledged_at + CONFIG_APPLY) + Duration::from_millis(100));
    let observed_until = world.now() + OBSERVED;
    let mut sent: Vec<Sent> = Vec::new();
    while world.now() < observed_until {
        sent.push(client.call("/book/2", DEADLINE));
        thread::sleep(Duration::from_millis(100));
    }
    let runs = sent.iter().flat_map(|sent| world.runs_of(&sent.attempt_id));
    let stale = runs.filter(|run| run.replica.starts_with("i-old")).count();
    world.record.say(&format!(
        "{} requests sent later than {} ms after the acknowledgement to a machine in touch; {stale} run by the old service",
        sent.len(),
        CONFIG_APPLY.as_millis()
    ));
    if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
