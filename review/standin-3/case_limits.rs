//! A version of the configuration raises `maxHeaderBytes`. Clients that keep their connections use the new
//! limit once the version is due.

#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod store;
#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod util;
#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod world;

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use store::Store;
use util::{random, seed_random, Message, Wire};
use world::{config_with_limit, new_id, Instance, Ledger, Replica, RouteRow, HOST};

/// Mean time that a replica works on a request.
const WORK_MS: u64 = 30;

const ZONES: [(&str, &str); 3] = [("daegu-a", "yeongnam"), ("seoul-b", "sudogwon"), ("gwangju-c", "honam")];
const CLIENTS: usize = 45;
const OLD_LIMIT_BYTES: u64 = 16_384;
const NEW_LIMIT_BYTES: u64 = 32_768;
/// Size of the header that clients send once the new limit is due.
const LONG_HEADER_BYTES: usize = 20_000;
const CONTACT_MS: u64 = 5_000;
const CONFIG_APPLY_MS: u64 = 3_000;

struct Shared {
    ledger: Ledger,
    uses_new_limit: AtomicBool,
    stop: AtomicBool,
    requests: AtomicUsize,
    served: AtomicUsize,
    denied: AtomicUsize,
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
    for (zone, _) in ZONES {
        let replica = Replica::start(&services[0], zone, WORK_MS, &ledger);
        replica.register(&store);
        replicas.push(replica);
    }
    let write_version = |version: u64, limit: u64| {
        let route = RouteRow { name: "r-confirm", prefix: "/confirm/", kind: "idempotent", timeout_ms: 2_500, target_ms: 400, target: String::from("\"service\":\"reserve-ledger\""), attempts: 2, regions: "" };
        store.put("op/config", &config_with_limit(version, &[route], &services, 0.0, limit));
        ledger.note(&format!("operator: version {version} with maxHeaderBytes {limit} is acknowledged"));
    };
    write_version(7, if has_trouble { OLD_LIMIT_BYTES } else { NEW_LIMIT_BYTES });
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
    thread::sleep(Duration::from_secs(1));
    let shared = Arc::new(Shared {
        ledger: ledger.clone(),
        uses_new_limit: AtomicBool::new(false),
        stop: AtomicBool::new(false),
        requests: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        denied: AtomicUsize::new(0),
    });
    let clients: Vec<_> = (0..CLIENTS).map(|index| {
        let (shared, front) = (Arc::clone(&shared), instances[index % instances.len()].front);
        thread::spawn(move || run_client(&shared, front, index % ZONES.len()))
    }).collect();
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    if has_trouble {
        write_version(9, NEW_LIMIT_BYTES);
    }
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS + 3_000));
    ledger.note(&format!("clients: from now on their requests have a header of {LONG_HEADER_BYTES} bytes"));
    shared.uses_new_limit.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(6));
    shared.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    instances.iter_mut().for_each(Instance::kill);
    let count = |number: &AtomicUsize| number.load(Ordering::Relaxed);
    let (requests, served, denied) = (count(&shared.requests), count(&shared.served), count(&shared.denied));
    let allowed = 5 + requests / 500;
    let summary = format!("{requests} requests, {served} served; {denied} proper requests denied with a 4xx, {allowed} would be allowed");
    ledger.note(&summary);
    println!("{summary}");
    ledger.record.write(&record_path);
    std::process::exit(i32::from(denied > allowed));
}

/// Sends requests on one connection as long as it is kept.
fn run_client(shared: &Shared, front: SocketAddr, instance: usize) {
    let mut wire: Option<Wire> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(200 + random() % 300));
        if wire.is_none() {
            wire = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok().map(Wire::new);
        }
        let Some(connection) = wire.as_mut() else { continue };
        let id = new_id();
        let is_long = shared.uses_new_limit.load(Ordering::Relaxed);
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let Some(answer) = exchange(connection, &id, is_long) else {
            shared.ledger.note(&format!("client: {id} to instance {instance}: no answer"));
            wire = None;
            continue;
        };
        let status = answer.status();
        shared.ledger.note(&format!("client: {id} to instance {instance}{}: {status}", if is_long { " with the long header" } else { "" }));
        let is_denied = (400..500).contains(&status) && ![408, 421, 429].contains(&status);
        shared.served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
        shared.denied.fetch_add(usize::from(is_denied), Ordering::Relaxed);
        if status != 200 || answer.header("connection").is_some_and(|value| value.contains("close")) {
            wire = None;
        }
    }
}

fn exchange(wire: &mut Wire, id: &str, is_long: bool) -> Option<Message> {
    let context = if is_long { format!("x-context: {}\r\n", "c".repeat(LONG_HEADER_BYTES)) } else { String::new() };
    let request = format!("GET /confirm/x HTTP/1.1\r\nhost: {HOST}\r\nhemlockrouter-attempt-id: {id}\r\nhemlockrouter-deadline-ms: 2500\r\n{context}\r\n");
    wire.stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    wire.write(request.as_bytes()).ok()?;
    wire.read_response().ok()
}
