//! Another writer has written entries whose keys contain spaces. Then all processes are killed and
//! start again.

use std::time::Duration;

use crate::client::Client;
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
const ZONE: (&str, &str) = ("daegu-a", "yeongnam");
const SERVICES: usize = 30;

/// Entries of the other writer: a little more than a page of the store.
const OTHER_ENTRIES: usize = 60;

/// `recoveryS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

/// Requests to each machine, before the kill and after the recovery.
const REQUESTS: usize = 20;

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
    for service in 0..SERVICES {
        for copy in 0..2 {
            let kind = Kind {
                service: format!("hall-{service}"),
                zone: String::from(ZONE.0),
                slots: 2,
                queue: 12,
                work: Duration::from_millis(5),
                transit: Duration::ZERO,
            };
            let id = format!("i-hall-{service}-{copy}");
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
    std::thread::sleep(Duration::from_secs(3));
    let mut client = Client::new(u64::from(std::process::id()), record);
    let served_before = served(&mut client, &nodes);
    record.say(&format!(
        "before: {served_before} of {} served",
        REQUESTS * NODES
    ));
    if case.has_trouble {
        for number in 0..OTHER_ENTRIES {
            store.put(&format!("servers/j test {number:02}"), "no entry");
        }
        record.say(&format!(
            "another writer has written {OTHER_ENTRIES} entries"
        ));
        std::thread::sleep(Duration::from_secs(6));
        let served = served(&mut client, &nodes);
        record.say(&format!(
            "with these: {served} of {} served",
            REQUESTS * NODES
        ));
        nodes.iter_mut().for_each(Node::kill);
        record.say("all processes are killed");
        std::thread::sleep(Duration::from_secs(1));
        for node in &mut nodes {
            node.start()?;
        }
        record.say("all processes are started again");
    }
    std::thread::sleep(RECOVERY + Duration::from_secs(1));
    let served_after = served(&mut client, &nodes);
    let all = REQUESTS * NODES;
    record.say(&format!(
        "after `recoveryS`: {served_after} of {all} served"
    ));
    for node in &mut nodes {
        let is_running = node.is_running();
        let is_ready = node.is_ready();
        record.say(&format!(
            "{}: running {is_running}, ready {is_ready}",
            node.name
        ));
        if !is_running {
            return Ok(Verdict::CouldNotRun(String::from("a node has ended")));
        }
    }
    Ok(if served_before * 4 < all {
        Verdict::CouldNotRun(String::from("too little was served before"))
    } else if served_after * 4 < all {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests to all machines, and returns how many are answered with a success.
fn served(client: &mut Client, nodes: &[Node]) -> usize {
    let mut served = 0;
    for _ in 0..REQUESTS {
        for node in nodes {
            let outcome = client.call(node.front, "GET", "/hall/2f", b"", 800);
            served += usize::from(outcome.status() == 200);
        }
    }
    served
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-hall","host":"halls.example","pathPrefix":"/hall/","routeKind":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":1,"service":"hall-0","maxAttempts":2,"allowedRegions":[]}],"services":[{"name":"hall-0","healthPath":"/health","maxConns":26,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
