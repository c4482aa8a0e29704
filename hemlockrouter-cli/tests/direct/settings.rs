//! Tests of settings that the platform changes while a daemon runs.

use std::fs;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::LOOK_UP_PATH;

/// The time in which a process starts and opens its settings.
const START_TIME: Duration = Duration::from_millis(300);

/// The time that the store takes for an answer on a busy machine.
const STORE_DELAY: Duration = Duration::from_millis(150);

/// The longest duration of a planned stop that may take 1 s, with a tolerance for a busy machine.
const SHORT_STOP_MAX: Duration = Duration::from_millis(1_500);

/// Guards against a process that ends at each start because of one figure, although it ran with the
/// same file after a SIGHUP (review 12).
#[test]
fn daemon_starts_with_figures_that_it_accepts_on_sighup() {
    let mut deployment = Deployment::start(1);
    let figures = [
        ("shutdown_s", json!(2.5)),
        ("drain_ms", json!(3000.0)),
        ("in_force_ms", json!(false)),
        ("evacuate_ms", json!(0)),
        ("catch_up_ms", json!(1e12)),
        ("repeat_window_s", json!(null)),
    ];
    for (name, value) in figures {
        deployment.daemons[0].set_bound(name, value);
    }
    let dir = deployment.dir.clone();
    deployment.daemons[0].change_settings(&dir, |_| {});
    eventually("the new bound is in force", || {
        deployment.log(0).contains("bounds.shutdown_s")
    });
    let status = deployment.daemons[0].shut_down();
    assert!(status.success(), "{status}");
    deployment.start_daemon(0);
    deployment.wait_ready(0);
    let answer = deployment.call(0, LOOK_UP_PATH, 1_000);
    assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
    assert!(deployment.log(0).contains("setting replaced"));
}

/// Guards against a SIGHUP that ends a process which has just started: here the process still reads
/// its settings, from a pipe that has no writer yet.
#[test]
fn sighup_during_a_start_does_not_end_the_daemon() {
    let mut deployment = Deployment::start(1);
    deployment.daemons[0].kill();
    let path = deployment.daemons[0].write_settings(&deployment.dir);
    let text = fs::read(&path).expect("the settings were written");
    fs::remove_file(&path).expect("the directory is writable");
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.is_ok_and(|made| made.success()), "mkfifo runs");
    deployment.daemons[0].start_with(&deployment.dir, &path);
    std::thread::sleep(START_TIME);
    deployment.daemons[0].signal("HUP");
    std::thread::sleep(START_TIME);
    assert!(deployment.daemons[0].is_running());
    fs::write(&path, text).expect("the daemon reads the pipe");
    deployment.wait_ready(0);
}

/// Guards against bounds that are as old as the process, since the settings changed without a signal
/// (review 11).
#[test]
fn settings_that_change_without_a_signal_are_in_force() {
    let mut deployment = Deployment::start(1);
    deployment.daemons[0].set_bound("drain_ms", json!(2000));
    deployment.daemons[0].write_settings(&deployment.dir);
    eventually("the new bound is in force", || {
        deployment.log(0).contains(r#""changed":"bounds.drain_ms""#)
    });
    std::thread::sleep(Duration::from_secs(2));
    let reloads = deployment.log(0).matches("settings reloaded").count();
    assert_eq!(
        reloads, 1,
        "a file that does not change is not loaded again"
    );
}

/// Guards against requests that are cut at a planned stop, because the time for it was shortened without
/// a signal just before (review 11).
#[test]
fn planned_stop_takes_no_longer_than_the_settings_of_that_moment_allow() {
    let mut deployment = Deployment::start(1);
    deployment.daemons[0].set_bound("shutdown_s", json!(6));
    let dir = deployment.dir.clone();
    deployment.daemons[0].change_settings(&dir, |_| {});
    eventually("the first bound is in force", || {
        deployment.log(0).contains("bounds.shutdown_s")
    });
    deployment.daemons[0].set_bound("shutdown_s", json!(1));
    deployment.daemons[0].write_settings(&deployment.dir);
    let stopped_at = Instant::now();
    let status = deployment.daemons[0].shut_down();
    let took = stopped_at.elapsed();
    assert!(status.success(), "{status}");
    assert!(took < SHORT_STOP_MAX, "{took:?}");
}

/// Guards against an instance that learns of no changes any more, since a bound is shorter than any
/// instance can keep (soak seed 9000).
#[test]
fn instance_with_a_bound_too_short_to_keep_still_learns_of_changes() {
    let mut deployment = Deployment::start(1);
    deployment.daemons[0].set_bound("drain_ms", json!(100));
    let dir = deployment.dir.clone();
    deployment.daemons[0].change_settings(&dir, |_| {});
    eventually("the bound is in force", || {
        deployment.log(0).contains("bounds.drain_ms")
    });
    deployment.store.set_delay(STORE_DELAY);
    deployment.write_config(|_| {});
    let version = deployment.version;
    eventually("the new version is in force", || {
        deployment.version_in_force(0) == Some(version)
    });
}
