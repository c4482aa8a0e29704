//! Tests of settings that the platform changes while a daemon runs.

use std::fs;
use std::process::Command;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;

use crate::deployment::eventually;
use crate::deployment::Deployment;
use crate::deployment::LOOK_UP_PATH;

/// The time in which a process starts and opens its settings.
const START_TIME: Duration = Duration::from_millis(300);

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
