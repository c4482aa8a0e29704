//! The `status` and `drain` commands of `hemlockctl`.

use serde_json::Value;

use crate::answer::InstanceRow;
use crate::answer::Status;
use crate::answer::UpstreamRow;
use crate::client::Client;
use crate::end::End;

/// The placeholder for a value that the instance does not know.
const UNKNOWN: &str = "-";

pub(crate) fn show(client: &Client) -> End {
    client.show(client.get("/v1/status"), print)
}

fn print(status: Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    println!(
        "instance {} in {}: {ready}, configuration {}, store {}",
        status.instance, status.zone, status.config, status.store
    );
    println!("\ninstances:");
    println!(
        "  {:16}  {:12}  {:21}  {:9}  {:>6}  {:>8}",
        "instance", "zone", "address", "condition", "config", "heard ms"
    );
    for row in &status.instances {
        print_instance(row, config_of(&status, row));
    }
    println!("\nupstreams:");
    println!(
        "  {:24}  {:12}  {:16}  {:>5}  {:>9}  {:>6}  state",
        "upstream", "zone", "owner", "limit", "in flight", "queued"
    );
    for row in &status.upstreams {
        print_upstream(row);
    }
}

/// Returns the number of the configuration that the instance in `row` has in force. For the
/// answering instance, the number is in the status itself and not in the row.
fn config_of(status: &Status, row: &InstanceRow) -> Option<u64> {
    if row.instance == status.instance {
        return Some(status.config);
    }
    row.config
}

fn print_instance(row: &InstanceRow, config: Option<u64>) {
    println!(
        "  {:16}  {:12}  {:21}  {:9}  {:>6}  {:>8}",
        row.instance,
        row.zone,
        row.address,
        row.condition,
        shown(config),
        shown(row.heard_ms_ago),
    );
}

fn print_upstream(row: &UpstreamRow) {
    let state = match row.cold {
        Some(true) => "cold",
        Some(false) => "warm",
        None if row.owned_here => "owned here",
        None => "owned elsewhere",
    };
    println!(
        "  {:24}  {:12}  {:16}  {:>5}  {:>9}  {:>6}  {state}",
        row.name,
        row.zone,
        row.owner.as_deref().unwrap_or(UNKNOWN),
        shown(row.limit),
        shown(row.in_flight),
        shown(row.queued),
    );
}

fn shown<T>(value: Option<T>) -> String
where
    T: ToString,
{
    value.map_or_else(|| String::from(UNKNOWN), |value| value.to_string())
}

pub(crate) fn drain(client: &Client, instance: &str) -> End {
    let answer = client.post(&format!("/v1/drain/{instance}"), b"");
    client.show(answer, |_: Value| {
        println!("{instance} shuts down; what it accepted is finished first");
    })
}
