//! A new configuration is acknowledged shortly before killed processes start again. The stale reads
//! with which they begin are not equally old.

use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::node;
use crate::node::Network;
use crate::node::Node;
use crate::node::HALLS;
use crate::replica::Kind;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::store::Store;
use crate::Case;
use crate::Verdict;

/// The largest zone of `sites/dmlfc-halls.toml`, with its machines.
const ZONE: (&str, &str) = ("daegu-a", "yeongnam");
const NODES: usize = 4;

/// Services beside the two that the route names, so that the store's content fills several pages.
const OTHER_SERVICES: usize = 40;

/// How far one of the two copies behind stale reads is behind.
const LAG: Duration = Duration::from_secs(3);

/// Time from the acknowledgement of a version until the killed processes start again.
const DOWN: Duration = Duration::from_secs(1);

/// Time from the start of the first machine to those of the others. All machines start within 0.3 s.
const START_SPREAD: Duration = Duration::from_millis(200);

/// Each machine is the first one to start in two of the rounds.
const ROUNDS: usize = 2 * NODES;

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
    let mut services = vec![String::from("hall-0"), String::from("hall-1")];
    services.extend((0..OTHER_SERVICES).map(|number| format!("other-{number}")));
    let mut replicas = Vec::new();
    for service in &services {
        for copy in 0..2 {
            let kind = Kind {
                service: service.clone(),
                zone: String::from(ZONE.0),
                slots: 2,
                queue: 12,
                work: Duration::from_millis(5),
                transit: Duration::ZERO,
            };
            let number = replicas.len();
            let address = network.replica(number);
            let id = format!("i-{service}-{copy}");
            replicas.push(Replica::start(&id, address, kind, &store, &runs, record)?);
            std::thread::sleep(Duration::from_millis(9));
        }
    }
    store.put("op/config", &config(1, &services));
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
    std::thread::sleep(Duration::from_secs(4));
    let mut client = Client::new(u64::from(std::process::id()), record);
    let mut old = 0;
    for round in 0..ROUNDS {
        let version = 2 + round as u64;
        let first = round % NODES;
        store.set_lag(LAG, first);
        if case.has_trouble {
            nodes.iter_mut().for_each(Node::kill);
            record.write("all processes are killed");
        }
        store.put("op/config", &config(version, &services));
        let acknowledged_at = Instant::now();
        let service = service_of(version);
        record.say(&format!(
            "version {version} is acknowledged: /hall/ goes to {service}"
        ));
        std::thread::sleep(DOWN);
        if case.has_trouble {
            nodes[first].start()?;
            std::thread::sleep(START_SPREAD);
            for (index, node) in nodes.iter_mut().enumerate() {
                if index != first {
                    node.start()?;
                }
            }
            record.write("all processes are started again");
        }
        // A machine is in touch `contactMs` after its start. The version was due long before.
        std::thread::sleep(Duration::from_millis(HALLS.contact_ms + 1_500));
        assert!(acknowledged_at.elapsed() > Duration::from_millis(HALLS.config_apply_ms));
        for node in &nodes {
            let outcome = client.call(node.front, "GET", "/hall/2f", b"", 800);
            let since_s = acknowledged_at.elapsed().as_secs_f64();
            let by_attempt = runs.by_attempt();
            let ran = by_attempt.get(&outcome.attempt);
            let ran_by = ran.map_or("none", |runs| runs[0].service.as_str());
            if outcome.status() == 200 && ran_by != service {
                old += 1;
                record.say(&format!(
                    "CONFIG: {} sends to {ran_by}, {since_s:.1} s after the acknowledgement",
                    node.name
                ));
            }
        }
    }
    if nodes.iter_mut().any(|node| !node.is_running()) {
        return Ok(Verdict::CouldNotRun(String::from("a node has ended")));
    }
    if runs.all().is_empty() {
        return Ok(Verdict::CouldNotRun(String::from("nothing was served")));
    }
    let checked = ROUNDS * nodes.len();
    record.say(&format!(
        "{old} of {checked} requests ran at the service of the older version"
    ));
    Ok(match old {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Returns the service to which a version sends the requests.
fn service_of(version: u64) -> String {
    format!("hall-{}", version % 2)
}

fn config(version: u64, services: &[String]) -> String {
    let service = service_of(version);
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":26,\"protocol\":\"h1\",\
             \"tls\":false,\"warmupS\":3.0,\"warmupPerS\":0.0}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-hall\",\"host\":\"halls.example\",\
         \"pathPrefix\":\"/hall/\",\"routeKind\":\"idempotent\",\"timeoutMs\":800,\
         \"targetLatencyMs\":150,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
         \"allowedRegions\":[]}}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        services.join(",")
    )
}
