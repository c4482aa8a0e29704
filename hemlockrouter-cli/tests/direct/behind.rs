//! Tests of instances that are behind by many large versions.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_lab::link::LinkCondition;
use serde_json::json;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::memory::add_searches;

/// The bound within which a version is in force.
const IN_FORCE_MS: u64 = 5_000;

/// The longest time after an instance has been frozen until it is in touch again.
const IN_TOUCH_WITHIN: Duration = Duration::from_millis(5_000);

/// The bandwidth of a link of 20 Mbit/s, in bytes per second.
const SLOW_LINK_BYTES_PER_S: u64 = 2_500_000;

/// The number of versions in a series, and the pause between two of them.
const SERIES_VERSIONS: usize = 25;
const VERSION_PAUSE: Duration = Duration::from_millis(60);

/// The number of versions that are written while an instance stands still: together more than an
/// instance reads in one answer.
const MISSED_VERSIONS: usize = 40;

fn start_instance() -> Deployment {
    let mut deployment = Deployment::start(0);
    let daemon = deployment.new_daemon(|settings| {
        settings["bounds"] = json!({
            "drain_ms": IN_FORCE_MS,
            "in_force_ms": IN_FORCE_MS,
            "evacuate_ms": IN_FORCE_MS,
            "shutdown_s": 3,
            "catch_up_ms": 5_000,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "repeat_allowance": 50.0,
        });
    });
    deployment.daemons.push(daemon);
    deployment.write_config(add_searches);
    deployment.start_daemon(0);
    deployment.wait_ready(0);
    deployment
}

/// Waits until the newest version is in force, and returns how long that took.
fn wait_until_newest(deployment: &Deployment) -> Duration {
    let from = Instant::now();
    eventually("the newest version is in force", || {
        deployment.version_in_force(0) == Some(deployment.version)
    });
    from.elapsed()
}

/// Guards against an instance that asks for the same changes again and again, since its link needs
/// longer for them than the call may take.
#[test]
fn newest_of_a_series_of_large_versions_is_in_force_in_time_behind_a_slow_link() {
    let mut deployment = start_instance();
    deployment.daemons[0].link.set_condition(LinkCondition {
        bytes_per_s: SLOW_LINK_BYTES_PER_S,
        ..LinkCondition::default()
    });
    for _ in 0..SERIES_VERSIONS {
        deployment.write_config(add_searches);
        std::thread::sleep(VERSION_PAUSE);
    }
    let took = wait_until_newest(&deployment);
    assert!(took < Duration::from_millis(IN_FORCE_MS), "{took:?}");
}

/// Guards against an instance that asks for the same changes again and again, since they are larger
/// than an answer may be.
#[test]
fn instance_that_stood_still_during_many_large_versions_has_the_newest_in_time() {
    let mut deployment = start_instance();
    deployment.daemons[0].signal("STOP");
    for _ in 0..MISSED_VERSIONS {
        deployment.write_config(add_searches);
    }
    deployment.daemons[0].signal("CONT");
    let took = wait_until_newest(&deployment);
    assert!(took < IN_TOUCH_WITHIN, "{took:?}");
}
