//! The settings files of some machines change, and a bound has a fraction from then on. The machines are
//! then stopped and started in turn.

#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod store;
#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod traffic;
#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod util;
#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod world;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use store::Store;
use traffic::Rotation;
use util::{ms_since, seed_random};
use world::{config, Instance, Ledger, Replica, RouteRow};

/// Mean time that a replica works on a request.
const WORK_MS: u64 = 30;

const ZONES: [(&str, &str); 3] = [("daegu-a", "yeongnam"), ("seoul-b", "sudogwon"), ("gwangju-c", "honam")];
/// Machines whose settings change: a share of 0.6 of three.
const CHANGED: usize = 2;
/// Pause of the platform before it starts a process that has ended.
const RESTART_PAUSE_MS: u64 = 1_000;
/// Ends of its own after which a machine counts for the rule.
const ENDS: usize = 3;

fn main() {
    seed_random(0);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record_path = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let ledger = Ledger::new();
    let store = Store::start();
    let services = [String::from("reserve-ledger")];
    let replicas: Vec<Replica> = ["daegu-a", "seoul-b", "gwangju-c"].iter().map(|zone| Replica::start(&services[0], zone, WORK_MS, &ledger)).collect();
    replicas.iter().for_each(|replica| replica.register(&store));
    let route = RouteRow { name: "r-confirm", prefix: "/confirm/", kind: "idempotent", timeout_ms: 2_500, target_ms: 400, target: String::from("\"service\":\"reserve-ledger\""), attempts: 2, regions: "" };
    store.put("op/config", &config(7, &[route], &services, 0.0));
    let mut instances: Vec<Instance> = ZONES.iter().enumerate().map(|(index, (zone, _))| Instance::new(index, &ZONES, zone, store.address, &dir)).collect();
    let seeds: Vec<_> = instances.iter().map(|instance| instance.relay).collect();
    for instance in &mut instances {
        instance.set_seeds(&seeds);
        instance.start();
    }
    if !instances.iter().all(|instance| instance.wait_ready(Duration::from_secs(10))) {
        println!("the instances are not ready");
        instances.iter_mut().for_each(Instance::kill);
        std::process::exit(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let rotation = Rotation::start(instances.iter().map(|instance| (instance.front, instance.ready)).collect(), &stop);
    let clients = traffic::run(&rotation, &ledger, &["/confirm/x"], 40, 2_500, &stop);
    thread::sleep(Duration::from_secs(2));

    let grace = if has_trouble { "6.5" } else { "7" };
    for instance in &mut instances[..CHANGED] {
        instance.set_bound("graceS", grace);
        instance.write_settings();
        instance.signal("HUP");
        ledger.note(&format!("platform: the settings file of {} has graceS {grace}; SIGHUP", instance.name));
    }
    thread::sleep(Duration::from_secs(2));
    let mut own_ends = [0usize; CHANGED];
    for index in 0..CHANGED {
        ledger.note(&format!("platform: SIGTERM to {}", instances[index].name));
        instances[index].signal("TERM");
        let stopped = Instant::now();
        let mut is_planned = true;
        let mut started = None;
        while ms_since(stopped) < 20_000 && own_ends[index] < ENDS {
            if let Some(status) = instances[index].ended() {
                ledger.note(&format!("{} has ended: {status}", instances[index].name));
                own_ends[index] += usize::from(!is_planned);
                thread::sleep(Duration::from_millis(RESTART_PAUSE_MS));
                instances[index].start();
                ledger.note(&format!("platform: starts {}", instances[index].name));
                is_planned = false;
                started = Some(Instant::now());
            }
            if started.is_some_and(|started| ms_since(started) > 3_000) && instances[index].is_ready() {
                ledger.note(&format!("{} is ready again", instances[index].name));
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let in_rotation: Vec<bool> = (0..instances.len()).map(|index| rotation.is_in(index)).collect();
    stop.store(true, Ordering::Relaxed);
    let seen = clients.join().expect("the clients end");
    instances.iter_mut().for_each(Instance::kill);
    for index in 0..CHANGED {
        let log = std::fs::read_to_string(instances[index].log_path()).unwrap_or_default();
        if let Some(line) = log.lines().rev().find(|line| line.starts_with("hemlockd:")) {
            ledger.note(&format!("{} says: bounds{}", instances[index].name, line.rsplit("bounds").next().unwrap_or("")));
        }
    }
    let served = seen.iter().filter(|exchange| exchange.status == Some(200)).count();
    let machines = own_ends.iter().filter(|ends| **ends >= ENDS).count();
    let summary = format!("{} requests, {served} served; {machines} of 3 machines whose process ended by itself {ENDS} times; in rotation at the end: {in_rotation:?}", seen.len());
    ledger.note(&summary);
    println!("{summary}");
    ledger.record.write(&record_path);
    std::process::exit(i32::from(machines >= 2));
}
