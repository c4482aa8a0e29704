//! Another writer overwrites the entry of a live replica with one that lacks fields and names another
//! service.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::client::Client;
use crate::client::Outcome;
use crate::json::quote;
use crate::node;
use crate::node::Network;
use crate::node::Node;
use crate::replica::Kind;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::store::Store;
use crate::Case;
use crate::Verdict;

const NODES: usize = 3;
const CLIENTS: usize = 9;
const ZONE: (&str, &str) = ("daegu-a", "yeongnam");

/// The service of the route, and another one to which no configuration sends anything.
const SERVICES: [&str; 2] = ["ledger", "board"];
const REPLICAS: usize = 3;

/// Entries that the other writer writes, and the pause between them.
const ENTRIES: usize = 6;
const PAUSE: Duration = Duration::from_secs(4);

pub fn run(case: &Case) -> Verdict {
    match try_run(case) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::from(err),
    }
}

fn try_run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let network = Network::new();
    let addresses: Vec<_> = (0..NODES).map(|machine| network.store(machine)).collect();
    let store = Store::start(&addresses)?;
    let runs = Runs::default();
    let mut replicas = Vec::new();
    for service in SERVICES {
        for number in 0..REPLICAS {
            let kind = Kind {
                service: String::from(service),
                zone: String::from(ZONE.0),
                slots: 3,
                queue: 12,
                work: Duration::from_millis(90),
                transit: Duration::ZERO,
            };
            let id = format!("i-{service}{number}");
            let address = network.replica(replicas.len());
            replicas.push(Replica::start(&id, address, kind, &store, &runs, record)?);
        }
    }
    store.put("op/config", CONFIG);
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let name = format!("frontend-{}-{index}", ZONE.0);
        nodes.push(Node::new(
            &network,
            index,
            &name,
            ZONE.0,
            &[ZONE],
            &[0, 1, 2],
            &case.dir,
        )?);
    }
    for node in &mut nodes {
        node.start()?;
    }
    if !node::wait_ready(&nodes, Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun(String::from("a node is not ready")));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let front = nodes[number % NODES].front;
        let (stop, outcomes) = (Arc::clone(&stop), Arc::clone(&outcomes));
        let seed = number as u64 * 7_919 + u64::from(std::process::id());
        let mut client = Client::new(seed, record);
        clients.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let outcome = client.call(front, "POST", "/book/2f", b"hall 7", 2_500);
                outcomes.lock().unwrap().push(outcome);
                std::thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(8));
    for number in 0..ENTRIES {
        let replica = &replicas[REPLICAS + number % REPLICAS];
        if case.has_trouble {
            // No version, no warmupLeftMs, no sequence, no born.
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":{},\"capacity\":3,\"state\":\"ready\"}}",
                SERVICES[0],
                replica.address(),
                quote(ZONE.0)
            );
            store.put(&format!("servers/{}", replica.id()), &entry);
            record.say(&format!(
                "another writer writes servers/{}: {entry}",
                replica.id()
            ));
        }
        std::thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if nodes.iter_mut().any(|node| !node.is_running()) {
        return Ok(Verdict::CouldNotRun(String::from("a node has ended")));
    }
    let outcomes = outcomes.lock().unwrap();
    let mut foreign = 0;
    for run in runs.all().iter().filter(|run| run.service == SERVICES[1]) {
        foreign += 1;
        let outcome = outcomes
            .iter()
            .find(|outcome| outcome.attempt == run.attempt);
        let answer = outcome.and_then(|outcome| outcome.answer.as_ref());
        record.say(&format!(
            "ROUTE: {} of service {} runs {}; its client gets {} \"{}\"",
            run.replica,
            run.service,
            run.attempt,
            outcome.map_or(0, Outcome::status),
            answer.map_or("", |answer| std::str::from_utf8(&answer.body).unwrap_or(""))
        ));
    }
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status() == 200)
        .count();
    record.say(&format!(
        "{} requests, {served} served; {foreign} were run by a service to which no configuration sends them",
        outcomes.len()
    ));
    Ok(match (served, foreign) {
        (0, _) => Verdict::CouldNotRun(String::from("nothing was served")),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"halls.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"ledger","maxAttempts":2,"allowedRegions":[]}],"services":[{"name":"board","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0},{"name":"ledger","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
