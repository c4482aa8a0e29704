//! A replica leaves, and the process that reads the store for its zone is killed and started again right
//! after. Seconds later the store executes a heartbeat of the replica that had got no answer.

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
use util::{ms_since, seed_random, Json};
use world::{config, get, Instance, Ledger, Replica, RouteRow};

/// Mean time that a replica works on a request.
const WORK_MS: u64 = 30;

const ZONES: [(&str, &str); 3] = [("daegu-a", "yeongnam"), ("seoul-b", "sudogwon"), ("gwangju-c", "honam")];
/// Zones of the machines.
const MACHINES: [&str; 5] = ["daegu-a", "daegu-a", "daegu-a", "seoul-b", "gwangju-c"];
/// Time after which the machines of a zone have chosen the one that reads the store for the others.
const SETTLING_MS: u64 = 8_000;
const DRAIN_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 1_200;
/// Time between the call of the heartbeat and its execution.
const LATE_MS: u64 = 6_000;

/// Returns the machine whose copy of the store others of its zone follow, as their status pages say.
fn reader(instances: &[Instance]) -> Option<usize> {
    let mut paths = instances.iter().filter_map(|instance| {
        let status = get(instance.ready, "/status")?;
        let status = Json::parse(&String::from_utf8_lossy(&status.body))?;
        let path = status.get("registry_path").list().first()?.text().to_string();
        Some((instance.zone.clone(), path))
    });
    paths.find_map(|(zone, name)| instances.iter().position(|instance| instance.name == name && instance.zone == zone))
}

fn sleep_until(start: Instant, ms: u64) {
    thread::sleep(Duration::from_millis(ms.saturating_sub(ms_since(start))));
}

fn main() {
    seed_random(0);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record_path = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let ledger = Ledger::new();
    let store = Store::start();
    let services = [String::from("reserve-ledger")];
    let zones = ["daegu-a", "daegu-a", "seoul-b", "gwangju-c"];
    let replicas: Vec<Replica> = zones.iter().map(|zone| Replica::start(&services[0], zone, WORK_MS, &ledger)).collect();
    replicas.iter().for_each(|replica| replica.register(&store));
    let route = RouteRow { name: "r-confirm", prefix: "/confirm/", kind: "idempotent", timeout_ms: 2_500, target_ms: 400, target: String::from("\"service\":\"reserve-ledger\""), attempts: 2, regions: "" };
    store.put("op/config", &config(7, &[route], &services, 0.0));
    let mut instances: Vec<Instance> = MACHINES.iter().enumerate().map(|(index, zone)| Instance::new(index, &ZONES, zone, store.address, &dir)).collect();
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
    let clients = traffic::run(&rotation, &ledger, &["/confirm/x"], 60, 2_500, &stop);
    thread::sleep(Duration::from_millis(SETTLING_MS));
    let Some(killed) = reader(&instances) else {
        println!("no machine follows another one of its zone");
        instances.iter_mut().for_each(Instance::kill);
        std::process::exit(2);
    };

    let leaving = &replicas[0];
    let heartbeat = leaving.next_entry();
    let called = Instant::now();
    ledger.note(&format!("replica {} calls the store for its heartbeat and gets no answer", leaving.id));
    thread::sleep(Duration::from_millis(100));
    leaving.is_leaving.store(true, Ordering::Relaxed);
    store.remove(&leaving.key());
    let left = Instant::now();
    ledger.note(&format!("replica {} leaves: the store acknowledges the removal of its entry; it serves on for a while", leaving.id));
    thread::sleep(Duration::from_millis(50));
    if has_trouble {
        instances[killed].kill();
        ledger.note(&format!("platform: SIGKILL to {}", instances[killed].name));
        thread::sleep(Duration::from_millis(200));
        instances[killed].start();
        ledger.note(&format!("platform: starts {}", instances[killed].name));
    }
    sleep_until(called, LATE_MS);
    store.put(&leaving.key(), &heartbeat);
    ledger.note(&format!("store: executes the heartbeat of {} that was called {} ms ago", leaving.id, ms_since(called)));
    sleep_until(called, LATE_MS + 3 * HEARTBEAT_MS);
    store.remove(&leaving.key());
    ledger.note("store: the entry is removed after three heartbeat intervals of silence");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let seen = clients.join().expect("the clients end");
    instances.iter_mut().for_each(Instance::kill);

    let names: Vec<&str> = instances.iter().map(|instance| instance.name.as_str()).collect();
    let mut late = 0;
    for exchange in &seen {
        let is_in_touch = exchange.instance != killed;
        for run in ledger.runs_of(&exchange.id) {
            if run.replica == leaving.id && run.at > left + Duration::from_millis(DRAIN_MS) && is_in_touch {
                late += 1;
                ledger.note(&format!("DRAIN: {} reached {} by {}, {} ms after the acknowledgement", exchange.id, run.replica, names[exchange.instance], (run.at - left).as_millis()));
            }
        }
    }
    let served = seen.iter().filter(|exchange| exchange.status == Some(200)).count();
    let summary = format!("{} requests, {served} served; {late} reached the replica that had left later than drainMs, from machines that were never killed", seen.len());
    ledger.note(&summary);
    println!("{summary}");
    ledger.record.write(&record_path);
    std::process::exit(i32::from(late > 0));
}
