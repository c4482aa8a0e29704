//! Replicas hand out answers in which one byte is wrong: a letter of the name of the header with the
//! signature.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::client::Client;
use crate::client::Outcome;
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

/// Replicas, of which some spoil answers: 2 of 4, which is a share of 0.5.
const REPLICAS: usize = 4;
const SPOILING: usize = 2;

/// Every 26th answer of a spoiling replica has a wrong byte, which is under 0.04 of them.
const SPOIL_EVERY: u64 = 26;

/// Length of one disruption, the pause after it, and how often this happens.
const DISRUPTION: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);
const ROUNDS: usize = 4;

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
    for number in 0..REPLICAS {
        let kind = Kind {
            service: String::from("ledger"),
            zone: String::from(ZONE.0),
            slots: 3,
            queue: 12,
            work: Duration::from_millis(90),
            transit: Duration::ZERO,
        };
        let id = format!("i-ledger{number}");
        let address = network.replica(number);
        replicas.push(Replica::start(&id, address, kind, &store, &runs, record)?);
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
    std::thread::sleep(Duration::from_secs(4));
    for _ in 0..ROUNDS {
        if case.has_trouble {
            for replica in replicas.iter().take(SPOILING) {
                replica.spoil_answers(Some(SPOIL_EVERY));
            }
        }
        std::thread::sleep(DISRUPTION);
        replicas
            .iter()
            .for_each(|replica| replica.spoil_answers(None));
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
    let by_attempt = runs.by_attempt();
    let mut unsealed = 0;
    for outcome in outcomes.iter() {
        let Some(answer) = &outcome.answer else {
            continue;
        };
        let is_success = (200..300).contains(&answer.status());
        if is_success && answer.header("hemlockrouter-response-seal").is_none() {
            unsealed += 1;
            let ran = by_attempt.get(&outcome.attempt).map_or(0, Vec::len);
            record.say(&format!(
                "MIXED: {} is answered {} without a seal, and has run {ran} times",
                outcome.attempt,
                answer.status()
            ));
        }
    }
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status() == 200)
        .count();
    let spoilt: u64 = replicas.iter().map(Replica::spoilt).sum();
    record.say(&format!(
        "{} requests, {served} answered 200; {spoilt} answers with a wrong byte; {unsealed} successes without a seal",
        outcomes.len()
    ));
    Ok(match (served, unsealed) {
        (0, _) => Verdict::CouldNotRun(String::from("nothing was served")),
        (_, 0) if case.has_trouble && spoilt == 0 => {
            Verdict::CouldNotRun(String::from("no answer was spoilt"))
        }
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"halls.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"ledger","maxAttempts":2,"allowedRegions":[]}],"services":[{"name":"board","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0},{"name":"ledger","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
