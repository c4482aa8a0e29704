//! Tests of the memory that an instance takes.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use serde_json::Value;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::HOST;
use crate::deployment::SEARCH_PATH;

/// The memory of the smallest machines of a site with large configurations, in MiB.
pub(crate) const MACHINE_MEMORY_MB: u64 = 260;

/// The number of routes that the large configuration adds. Each one is a search.
const ADDED_ROUTES: usize = 400;

/// The number of shards of each added search.
const ADDED_ROUTE_SHARDS: usize = 50;

/// The number of versions in a series, and the pause between two of them.
const SERIES_VERSIONS: usize = 10;
const VERSION_PAUSE: Duration = Duration::from_millis(60);

/// The number of series.
const SERIES_COUNT: usize = 25;

/// Adds searches over many shards to a configuration.
pub(crate) fn add_searches(config: &mut Value) {
    let shards: Vec<String> = (0..ADDED_ROUTE_SHARDS)
        .map(|number| format!("added-shard-{number}"))
        .collect();
    let services = config["services"].as_array_mut().expect("a list");
    services.extend(
        shards
            .iter()
            .map(|name| json!({"name": name, "maxConns": 50})),
    );
    let routes = config["routes"].as_array_mut().expect("a list");
    routes.extend((0..ADDED_ROUTES).map(|number| {
        json!({
            "name": format!("added-{number}"),
            "host": HOST,
            "pathPrefix": format!("/added-{number}/"),
            "routeKind": "idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 150,
            "gather": shards,
            "maxAttempts": 2,
            "topK": 20,
            "minCoverage": 0.6,
        })
    }));
}

/// Guards against instances that keep each version of a large configuration for followers, exceed
/// their memory, and lose requests when they are killed.
#[test]
fn quick_versions_of_a_large_configuration_take_bounded_memory() {
    let mut deployment = Deployment::start(1);
    for _ in 0..SERIES_COUNT {
        for _ in 0..SERIES_VERSIONS {
            deployment.write_config(add_searches);
            std::thread::sleep(VERSION_PAUSE);
        }
        eventually("the newest version is in force", || {
            deployment.version_in_force(0) == Some(deployment.version)
        });
    }
    let peak_kb = deployment.daemons[0].peak_memory_kb();
    assert!(peak_kb < MACHINE_MEMORY_MB << 10, "{peak_kb} kB");
    let answer = deployment.call(0, SEARCH_PATH, 1_000);
    assert_eq!(
        (answer.status, answer.shards_missing),
        (Some(StatusCode::OK), 0)
    );
}
