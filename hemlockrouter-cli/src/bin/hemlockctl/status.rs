//! The `status` and `drain` commands of `hemlockctl`.

use serde_json::Value;

use crate::client::Client;
use crate::outcome::Outcome;
use crate::response::InstanceRow;
use crate::response::Status;
use crate::response::UpstreamRow;

/// The placeholder for a value that the instance does not know.
const UNKNOWN_VALUE: &str = "-";

pub(crate) fn show(client: &Client) -> Outcome {
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
        print_instance(row, config_in_force(&status, row));
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
fn config_in_force(status: &Status, row: &InstanceRow) -> Option<u64> {
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
        text_or_unknown(config),
        text_or_unknown(row.heard_ms_ago),
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
        row.owner.as_deref().unwrap_or(UNKNOWN_VALUE),
        text_or_unknown(row.limit),
        text_or_unknown(row.in_flight),
        text_or_unknown(row.queued),
    );
}

fn text_or_unknown<T>(value: Option<T>) -> String
where
    T: ToString,
{
    value.map_or_else(|| String::from(UNKNOWN_VALUE), |value| value.to_string())
}

pub(crate) fn drain(client: &Client, instance: &str) -> Outcome {
    let response = client.post(&format!("/v1/drain/{instance}"), b"");
    client.show(response, |_: Value| {
        println!("{instance} shuts down; what it accepted is finished first");
    })
}
