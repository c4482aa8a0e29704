//! The store is restored from a copy that lacks an evacuation that it had acknowledged. The operator
//! writes it again some seconds later.

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

use store::{Mode, Store};
use traffic::Rotation;
use util::seed_random;
use world::{config, Instance, Ledger, Replica, RouteRow};

/// Mean time that a replica works on a request.
const WORK_MS: u64 = 30;

const ZONES: [(&str, &str); 3] = [("daegu-a", "yeongnam"), ("seoul-b", "sudogwon"), ("gwangju-c", "honam")];
const EVACUATE_MS: u64 = 5_000;
const CONTACT_MS: u64 = 5_000;
/// Age of the copy from which the store is restored.
const COPY_AGE_MS: u64 = 5_000;
/// Time for which the store is away.
const AWAY_MS: u64 = 500;
/// Time after the restore at which the operator has written again what it had written.
const REWRITE_MS: u64 = 7_000;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn main() {
    seed_random(0);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record_path = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let ledger = Ledger::new();
    let store = Store::start();
    let services = [String::from("reserve-ledger")];
    let mut replicas = Vec::new();
    for zone in ["daegu-a", "daegu-a", "seoul-b", "seoul-b", "gwangju-c"] {
        replicas.push(Replica::start(&services[0], zone, WORK_MS, &ledger));
    }
    replicas.iter().for_each(|replica| replica.register(&store));
    let route = RouteRow { name: "r-confirm", prefix: "/confirm/", kind: "idempotent", timeout_ms: 2_500, target_ms: 400, target: String::from("\"service\":\"reserve-ledger\""), attempts: 2, regions: "" };
    let configuration = config(7, &[route], &services, 0.0);
    store.put("op/config", &configuration);
    let mut instances: Vec<Instance> = ZONES.iter().enumerate().map(|(index, (zone, _))| Instance::new(index, &ZONES, zone, store.address, &dir)).collect();
    let seeds: Vec<_> = instances.iter().map(|instance| instance.relay).collect();
    for instance in &mut instances {
        instance.set_seeds(&seeds);
        instance.start();
    }
    if !instances.iter().all(|instance| instance.wait_ready(Duration::from_secs(10))) {
        println!("the instances are not ready");
        std::process::exit(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let rotation = Rotation::start(instances.iter().map(|instance| (instance.front, instance.ready)).collect(), &stop);
    let clients = traffic::run(&rotation, &ledger, &["/confirm/x"], 40, 2_500, &stop);
    sleep_ms(CONTACT_MS + 1_000);

    let copy = store.copy();
    ledger.note("store: this moment is the copy's");
    sleep_ms(1_000);
    store.put("op/evacuate/daegu-a", "{}");
    let acknowledged = Instant::now();
    ledger.note("operator: op/evacuate/daegu-a is acknowledged");
    sleep_ms(COPY_AGE_MS - 1_000 - AWAY_MS);
    if has_trouble {
        ledger.note("store: away");
        store.set_mode(Mode::Busy);
    }
    sleep_ms(AWAY_MS);
    if has_trouble {
        store.restore(&copy);
        store.set_mode(Mode::Serving);
        ledger.note("store: back from the copy, with the next Store-Era");
    }
    let restored = Instant::now();
    // The replicas write their entries again with their next heartbeats.
    for replica in &replicas {
        sleep_ms(1_200 / replicas.len() as u64);
        if has_trouble {
            replica.register(&store);
        }
    }
    while util::ms_since(restored) < REWRITE_MS {
        sleep_ms(20);
    }
    let rewritten = Instant::now();
    if has_trouble {
        store.put("op/config", &configuration);
        store.put("op/evacuate/daegu-a", "{}");
        ledger.note("operator: op/config and op/evacuate/daegu-a are written again");
    }
    sleep_ms(2_000);
    stop.store(true, Ordering::Relaxed);
    let seen = clients.join().expect("the clients end");
    instances.iter_mut().for_each(Instance::kill);

    let due = acknowledged + Duration::from_millis(EVACUATE_MS);
    let in_touch = restored + Duration::from_millis(CONTACT_MS);
    let from = due.max(in_touch);
    let mut late = 0;
    for exchange in &seen {
        for run in ledger.runs_of(&exchange.id) {
            if run.zone == "daegu-a" && run.at > from && run.at < rewritten {
                late += 1;
                ledger.note(&format!("EVAC: {} reached {} in daegu-a {} ms after the acknowledgement", exchange.id, run.replica, (run.at - acknowledged).as_millis()));
            }
        }
    }
    let answered = seen.iter().filter(|exchange| exchange.status == Some(200)).count();
    let summary = format!("{} requests, {answered} served; {late} reached the evacuated zone later than evacuateMs, from machines in touch", seen.len());
    ledger.note(&summary);
    println!("{summary}");
    ledger.record.write(&record_path);
    std::process::exit(i32::from(late > 0));
}
