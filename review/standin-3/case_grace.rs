//! The settings file of a machine changes without a signal: `graceS` is shorter from then on. Later the
//! machine is stopped as planned: SIGTERM, and SIGKILL after `graceS`.

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

/// One machine in each zone: the platform uses all machines of a zone of which fewer than half are in
/// rotation, so new connections still go to the machine that stops.
const ZONES: [(&str, &str); 3] = [("daegu-a", "yeongnam"), ("seoul-b", "sudogwon"), ("gwangju-c", "honam")];
/// Mean time that a replica works on a request.
const WORK_MS: u64 = 180;
const STOPPED: usize = 0;
const CONTACT_MS: u64 = 5_000;
/// Requests that were sent earlier than this after the SIGTERM may be cut in the last sixth of `graceS`.
const EXCUSED_MS: u64 = 3_000;

fn main() {
    seed_random(0);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record_path = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let ledger = Ledger::new();
    let store = Store::start();
    let services = [String::from("reserve-ledger")];
    let mut replicas = Vec::new();
    for (zone, _) in ZONES {
        for _ in 0..4 {
            let replica = Replica::start(&services[0], zone, WORK_MS, &ledger);
            replica.register(&store);
            replicas.push(replica);
        }
    }
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
    // The clients of the zone of the machine that stops.
    let machine = &instances[STOPPED];
    let rotation = Rotation::start(vec![(machine.front, machine.ready)], &stop);
    let clients = traffic::run(&rotation, &ledger, &["/confirm/x"], 30, 2_500, &stop);
    thread::sleep(Duration::from_secs(2));

    let grace_s = if has_trouble { 4 } else { 6 };
    let machine = &mut instances[STOPPED];
    machine.set_bound("graceS", &grace_s.to_string());
    machine.write_settings();
    ledger.note(&format!("platform: the settings file of {} is written, with graceS {grace_s}, without a signal", machine.name));
    thread::sleep(Duration::from_millis(CONTACT_MS + 3_000));
    machine.signal("TERM");
    let stopped = Instant::now();
    ledger.note(&format!("platform: SIGTERM to {}", machine.name));
    let mut status = None;
    while ms_since(stopped) < 1_000 * grace_s && status.is_none() {
        status = machine.ended();
        thread::sleep(Duration::from_millis(5));
    }
    let killed = Instant::now();
    match &status {
        Some(status) => ledger.note(&format!("{} has ended: {status}", machine.name)),
        None => {
            machine.kill();
            ledger.note(&format!("platform: SIGKILL to {} after graceS", machine.name));
        }
    }
    thread::sleep(Duration::from_secs(1));
    machine.start();
    ledger.note(&format!("platform: starts {}", machine.name));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let seen = clients.join().expect("the clients end");
    instances.iter_mut().for_each(Instance::kill);

    let mut lost = 0;
    for exchange in &seen {
        let is_counted = exchange.sent > stopped + Duration::from_millis(EXCUSED_MS) && exchange.sent < killed;
        let runs = ledger.runs_of(&exchange.id);
        if is_counted && exchange.status.is_none() && !runs.is_empty() {
            lost += 1;
            ledger.note(&format!(
                "LOST: {} was sent {} ms after the SIGTERM and passed on to {}; its connection ended without an answer at {} ms",
                exchange.id, (exchange.sent - stopped).as_millis(), runs[0].replica, (exchange.ended - stopped).as_millis()
            ));
        }
    }
    let served = seen.iter().filter(|exchange| exchange.status == Some(200)).count();
    let summary = format!("{} requests, {served} served; {lost} requests that were sent over 3 s after the SIGTERM were passed on to a replica and cut", seen.len());
    ledger.note(&summary);
    println!("{summary}");
    ledger.record.write(&record_path);
    std::process::exit(i32::from(lost > 0));
}
