//! The commands for instances that dispatch directly.

use serde::Deserialize;

use crate::client::Client;
use crate::end::End;

/// The placeholder for an absent value.
const NONE: &str = "-";

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
struct Explained {
    route: String,
    version: u64,
    needed: usize,
    parts: Vec<Part>,
}

#[derive(Debug, Deserialize)]
struct Part {
    service: String,
    collector: Option<String>,
    upstreams: Vec<Upstream>,
}

/// Prints an instance's status: its routes, the other instances and the upstreams.
pub(crate) fn status(client: &Client) -> End {
    client.show(client.get("/status"), print_status)
}

/// Prints the upstreams to which an instance would send a request.
pub(crate) fn explain(client: &Client, host: &str, path: &str) -> End {
    let url = format!("/explain?host={host}&path={path}");
    client.show(client.get(&url), print_explained)
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
    for one in &status.instances {
        let state = match (one.present, one.collects) {
            (false, _) => "gone",
            (true, true) => "collects parts of searches",
            (true, false) => "present",
        };
        let relay = one.relay.as_deref().unwrap_or(NONE);
        println!("  {:24}  {:16}  {relay:21}  {state}", one.name, one.zone);
    }
    println!("\nupstreams:");
    for one in &status.upstreams {
        print_upstream(one);
    }
}

fn print_upstream(one: &Upstream) {
    println!(
        "  {:16}  {:20}  {:16}  {:21}  {:11}  {:>3} in flight  cost {:.0} ms",
        one.service, one.id, one.zone, one.address, one.state, one.in_flight, one.cost_ms
    );
}

fn print_explained(explained: Explained) {
    println!(
        "route {} of version {}: {} of {} services must answer",
        explained.route,
        explained.version,
        explained.needed,
        explained.parts.len()
    );
    for part in &explained.parts {
        let collector = part.collector.as_deref();
        let by = collector.map_or(String::from("by this instance"), |at| format!("by {at}"));
        println!("\n{} ({by}), the next one first:", part.service);
        if part.upstreams.is_empty() {
            println!("  no upstream is registered");
        }
        for one in &part.upstreams {
            print_upstream(one);
        }
    }
}
