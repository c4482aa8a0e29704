//! A replica rejects a booking and sends that rejection a second time, late, on the connection on
//! which the booking is then tried again.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Outcome;
use crate::node;
use crate::node::Network;
use crate::node::Node;
use crate::random::Random;
use crate::replica::Kind;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::store::Store;
use crate::Case;
use crate::Verdict;

const NODES: usize = 9;
const CLIENTS: usize = 36;
const DEADLINE_MS: u64 = 2_500;

/// Longest pause of a client between two requests, in milliseconds.
const CLIENT_PAUSE_MAX_MS: u64 = 20;

/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(5);

/// Time that a request is on its way to a replica.
const TRANSIT: Duration = Duration::from_millis(1);

/// Every 26th answer is sent twice, which is under 0.04 of them.
const REPEAT_EVERY: u64 = 26;

/// Replicas that send answers twice: 2 of 4, which is a share of 0.5.
const REPEATING: usize = 2;

const ZONES: [(&str, &str); 3] = [
    ("daegu-a", "yeongnam"),
    ("seoul-b", "sudogwon"),
    ("gwangju-c", "honam"),
];

/// Length of one disruption, and the pause after it.
const DISRUPTION: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);
const ROUNDS: usize = 10;

pub fn run(case: &Case) -> Verdict {
    match try_run(case) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::from(err),
    }
}

fn try_run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let network = Network::new();
    let addresses: Vec<_> = (0..NODES).map(|node| network.store(node)).collect();
    let store = Store::start(&addresses)?;
    let runs = Runs::default();
    let mut replicas = Vec::new();
    for (number, zone) in [0, 0, 1, 2].into_iter().enumerate() {
        let kind = Kind {
            service: String::from("ledger"),
            zone: String::from(ZONES[zone].0),
            slots: 2,
            queue: 2,
            work: WORK,
            transit: TRANSIT,
        };
        let id = format!("i-ledger{number}");
        let address = network.replica(number);
        replicas.push(Replica::start(&id, address, kind, &store, &runs, record)?);
    }
    store.put("op/config", CONFIG);
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let zone = ZONES[index % ZONES.len()].0;
        let name = format!("frontend-{zone}-{index}");
        nodes.push(Node::new(
            &network,
            index,
            &name,
            zone,
            &ZONES,
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
        let mut client = Client::new(
            number as u64 * 7_919 + u64::from(std::process::id()),
            record,
        );
        clients.push(std::thread::spawn(move || {
            let mut random = Random::new(number as u64);
            while !stop.load(Ordering::Relaxed) {
                let outcome = client.call(front, "POST", "/book/2f", b"hall 7", DEADLINE_MS);
                let retry_after = outcome.answer.as_ref().and_then(|answer| {
                    answer
                        .header("retry-after")
                        .and_then(|value| value.parse::<f64>().ok())
                });
                outcomes.lock().unwrap().push(outcome);
                let pause_s = retry_after.unwrap_or(0.0).min(DEADLINE_MS as f64 / 3_000.0);
                let jitter = Duration::from_millis(random.next() % CLIENT_PAUSE_MAX_MS);
                std::thread::sleep(Duration::from_secs_f64(pause_s) + jitter);
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(6));
    for _ in 0..ROUNDS {
        if case.has_trouble {
            for replica in replicas.iter().take(REPEATING) {
                replica.repeat_answers(Some(REPEAT_EVERY));
            }
        }
        std::thread::sleep(DISRUPTION);
        for replica in &replicas {
            replica.repeat_answers(None);
        }
        std::thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // Requests that were refused must not run later either.
    std::thread::sleep(Duration::from_secs(2));
    let has_ended = nodes.iter_mut().any(|node| !node.is_running());
    let finished_at = Instant::now();
    drop(nodes);
    let outcomes = std::mem::take(&mut *outcomes.lock().unwrap());
    let by_attempt = runs.by_attempt();
    let (mut twice, mut refused) = (0, 0);
    for (attempt, attempt_runs) in &by_attempt {
        if attempt_runs.len() > 1 {
            twice += 1;
            let times: Vec<String> = attempt_runs
                .iter()
                .map(|run| {
                    format!(
                        "{} {:.3} s before the end",
                        run.replica,
                        (finished_at - run.at).as_secs_f64()
                    )
                })
                .collect();
            record.say(&format!("TWICE: {attempt} ran at {}", times.join(", ")));
        }
    }
    for outcome in &outcomes {
        let promises = matches!(outcome.status(), 408 | 421 | 429 | 503);
        if promises && by_attempt.contains_key(&outcome.attempt) {
            refused += 1;
            record.say(&format!(
                "REFUSED: {} was answered {} and has run",
                outcome.attempt,
                outcome.status()
            ));
        }
    }
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status() == 200)
        .count();
    let counts = replicas.iter().map(Replica::counts);
    let (answers, repeated, rejections) = counts.fold((0, 0, 0), |sum, counts| {
        (sum.0 + counts.0, sum.1 + counts.1, sum.2 + counts.2)
    });
    record.say(&format!(
        "{} requests, {served} served; {answers} answers of replicas, {repeated} sent twice, of them {rejections} rejections; {twice} requests ran twice, {refused} were refused and ran",
        outcomes.len()
    ));
    Ok(if has_ended {
        Verdict::CouldNotRun(String::from("a node has ended"))
    } else if served == 0 || (case.has_trouble && repeated == 0) {
        Verdict::CouldNotRun(String::from("nothing was served or repeated"))
    } else if twice + refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"halls.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"ledger","maxAttempts":2,"allowedRegions":[]}],"services":[{"name":"ledger","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
