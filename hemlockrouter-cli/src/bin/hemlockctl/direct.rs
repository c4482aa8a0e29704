//! The commands for instances that dispatch directly.

use serde::Deserialize;

use crate::client::Client;
use crate::outcome::Outcome;

/// The placeholder for an absent value.
const ABSENT_VALUE: &str = "-";

#[derive(Debug, Deserialize)]
struct Status {
    instance: String,
    zone: String,
    ready: bool,
    version: u64,
    routes: usize,
    pending: usize,
    registry_age_ms: Option<u64>,
    /// The instances through which the registry's content came. Earlier versions leave out this
    /// field.
    #[serde(default)]
    registry_path: Vec<String>,
    /// The registry's generation. Earlier versions leave out this field.
    #[serde(default)]
    registry_generation: Option<u64>,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
}

#[derive(Debug, Deserialize)]
struct Instance {
    name: String,
    zone: String,
    relay: Option<String>,
    present: bool,
    collects: bool,
}

#[derive(Debug, Deserialize)]
struct Upstream {
    id: String,
    service: String,
    zone: String,
    address: String,
    state: String,
    in_flight: u32,
    cost_ms: f64,
}

#[derive(Debug, Deserialize)]
struct RequestExplanation {
    route: String,
    version: u64,
    needed: usize,
    parts: Vec<ServicePart>,
}

#[derive(Debug, Deserialize)]
struct ServicePart {
    service: String,
    collector: Option<String>,
    upstreams: Vec<Upstream>,
}

/// Prints an instance's status: its routes, the other instances and the upstreams.
pub(crate) fn status(client: &Client) -> Outcome {
    client.show(client.get("/status"), print_status)
}

/// Prints the upstreams to which an instance would send a request.
pub(crate) fn explain(client: &Client, host: &str, path: &str) -> Outcome {
    let url = format!("/explain?host={host}&path={path}");
    client.show(client.get(&url), print_explanation)
}

fn print_status(status: Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    let age = status.registry_age_ms;
    let age = age.map_or(String::from("never"), |ms| format!("{ms} ms ago"));
    let path = match status.registry_path.as_slice() {
        [] => String::new(),
        path => format!(" through {}", path.join(" ")),
    };
    let generation = status.registry_generation;
    let generation = generation.map_or(String::new(), |number| format!(" (generation {number})"));
    println!(
        "instance {} in {}: {ready}, version {}, {} routes, registry{generation} heard from {age}{path}, {} requests",
        status.instance, status.zone, status.version, status.routes, status.pending
    );
    println!("\ninstances:");
    for row in &status.instances {
        let state = match (row.present, row.collects) {
            (false, _) => "gone",
            (true, true) => "collects parts of searches",
            (true, false) => "present",
        };
        let relay = row.relay.as_deref().unwrap_or(ABSENT_VALUE);
        println!("  {:24}  {:16}  {relay:21}  {state}", row.name, row.zone);
    }
    println!("\nupstreams:");
    for row in &status.upstreams {
        print_upstream(row);
    }
}

fn print_upstream(row: &Upstream) {
    println!(
        "  {:16}  {:20}  {:16}  {:21}  {:11}  {:>3} in flight  cost {:.0} ms",
        row.service, row.id, row.zone, row.address, row.state, row.in_flight, row.cost_ms
    );
}

fn print_explanation(explanation: RequestExplanation) {
    println!(
        "route {} of version {}: {} of {} services must answer",
        explanation.route,
        explanation.version,
        explanation.needed,
        explanation.parts.len()
    );
    for part in &explanation.parts {
        let collector = part.collector.as_deref();
        let by = collector.map_or(String::from("by this instance"), |at| format!("by {at}"));
        println!("\n{} ({by}), the next one first:", part.service);
        if part.upstreams.is_empty() {
            println!("  no upstream is registered");
        }
        for row in &part.upstreams {
            print_upstream(row);
        }
    }
}
