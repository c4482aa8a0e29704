//! The configuration changes hundreds of times, and the platform ends processes that need more
//! memory than their machines have.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Client, Outcome, Sent};
use crate::config::Config;
use crate::daemon::{Machine, HALLS};
use crate::record::Record;
use crate::world::World;
use crate::Verdict;

/// A storm: a change each 0.06 s for 1.5 s, as on the day `scale-1` of the site file.
const STORM_CHANGES: u64 = 25;
const STORM_GAP: Duration = Duration::from_millis(60);

/// Pause between two storms.
const STORM_PAUSE: Duration = Duration::from_millis(1_500);

/// Time after which no storm begins.
const STORMS_UNTIL: Duration = Duration::from_secs(95);

/// Without storms, the time for which requests are sent.
const CALM: Duration = Duration::from_secs(40);

/// Routes by which the configuration has grown: the largest `big_config` of the site file.
const SEARCHES: usize = 486;

/// Clients of each machine.
const CLIENTS: usize = 8;

/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(100);

const WORK: Duration = Duration::from_millis(90);
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Interval at which the platform looks at the memory of its processes.
const MEMORY_CHECK: Duration = Duration::from_millis(50);

/// Ends of processes by themselves, on each of two machines, that make a day count 0.
const ENDS_MAX: usize = 3;

/// Requests of kept connections that may be lost.
const LOST_MAX: usize = 3;

/// The platform's watch over one process: a process that exceeds its memory is killed, and started
/// again after a short delay.
struct Watch {
    machine: Arc<Machine>,
    ends: Mutex<usize>,
    peak_kb: Mutex<u64>,
}

impl Watch {
    fn run(&self, record: &Record, stopped: &AtomicBool) {
        while !stopped.load(Ordering::Relaxed) {
            thread::sleep(MEMORY_CHECK);
            let memory_mb = HALLS.memory_mb;
            let memory_kb = self.machine.memory_kb().unwrap_or(0);
            let mut peak_kb = self.peak_kb.lock().expect("no thread panics with the lock");
            *peak_kb = memory_kb.max(*peak_kb);
            drop(peak_kb);
            if memory_kb <= memory_mb << 10 {
                continue;
            }
            let name = &self.machine.name;
            record.say(&format!(
                "{:.1} s: {name} holds {memory_kb} kB, over {memory_mb} MB, and is killed",
                record.elapsed().as_secs_f64()
            ));
            self.machine.kill();
            *self.ends.lock().expect("no thread panics with the lock") += 1;
            self.machine.restart();
            self.machine.wait_ready();
        }
    }

    fn ends(&self) -> usize {
        *self.ends.lock().expect("no thread panics with the lock")
    }
}

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
    let _replicas: Vec<_> = (0..4)
        .map(|index| {
            world.registered_replica(
                &format!("i-ledger-{index}"),
                "reserve-ledger",
                index % 2,
                WORK,
            )
        })
        .collect();
    world.write_config(&config);
    let size = config.to_json().len();
    world
        .record
        .say(&format!("the configuration has {size} bytes"));
    if !world.start_machines() {
        world.record.say("the machines aren't ready in time");
        return Verdict::NotRun;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let watches: Vec<Arc<Watch>> = world
        .machines
        .iter()
        .map(|machine| {
            Arc::new(Watch {
                machine: Arc::clone(machine),
                ends: Mutex::default(),
                peak_kb: Mutex::default(),
            })
        })
        .collect();
    let mut threads = Vec::new();
    for watch in &watches {
        let (watch, record, stopped) = (
            Arc::clone(watch),
            Arc::clone(&world.record),
            Arc::clone(&stopped),
        );
        threads.push(thread::spawn(move || watch.run(&record, &stopped)));
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    for machine in &world.machines {
        for _ in 0..CLIENTS {
            let mut client = Client::new(&world.record, machine.front);
            let (sent, stopped) = (Arc::clone(&sent), Arc::clone(&stopped));
            threads.push(thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let request = client.call("/book/1", DEADLINE);
                    sent.lock()
                        .expect("no thread panics with the lock")
                        .push(request);
                    thread::sleep(CLIENT_PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let mut versions = 0;
    if has_trouble {
        let is_over = || watches.iter().all(|watch| watch.ends() >= ENDS_MAX);
        while world.now() < STORMS_UNTIL && !is_over() {
            for change in 1..=STORM_CHANGES {
                versions += 1;
                config.version += 1 + change % 3;
                config.idle_timeout_ms = 15_000 + change;
                world.write_config(&config);
                thread::sleep(STORM_GAP);
            }
            thread::sleep(STORM_PAUSE);
        }
    } else {
        thread::sleep(CALM);
    }
    stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().expect("no thread panics with the lock");
    let is_lost = |sent: &&Sent| {
        let is_cut = matches!(sent.outcome, Outcome::Cut);
        is_cut && sent.on_kept_connection && !world.runs_of(&sent.attempt_id).is_empty()
    };
    let lost = sent.iter().filter(is_lost).count();
    let answered = sent
        .iter()
        .filter(|sent| matches!(&sent.outcome, Outcome::Answered(answer) if answer.status() == 200))
        .count();
    for watch in &watches {
        let peak_kb = watch
            .peak_kb
            .lock()
            .expect("no thread panics with the lock");
        world.record.say(&format!(
            "{}: {} ends, at most {peak_kb} kB",
            watch.machine.name,
            watch.ends()
        ));
    }
    world.record.say(&format!("{versions} versions; {} requests sent, {answered} served, {lost} passed on from a kept connection and lost", sent.len()));
    let ends_each = watches.iter().all(|watch| watch.ends() >= ENDS_MAX);
    if lost > LOST_MAX || ends_each {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
