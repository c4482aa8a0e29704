//! Tests of the tasks whose failure an instance must notice.

use std::time::Duration;

use hemlockrouter::tasks::TaskMonitor;
use tokio::task::LocalSet;

/// Returns the task that is reported as failed after `start` has started tasks.
fn failed_task<F>(start: F) -> Option<&'static str>
where
    F: FnOnce(&TaskMonitor),
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime can be made");
    LocalSet::new().block_on(&runtime, async {
        let monitor = TaskMonitor::default();
        start(&monitor);
        let failed = monitor.failed();
        tokio::time::timeout(Duration::from_millis(100), failed)
            .await
            .ok()
    })
}

/// Guards against a process that runs on without the task that follows the registry.
#[test]
fn permanent_task_that_panics_or_returns_is_reported() {
    let panicked = failed_task(|tasks| tasks.spawn_permanent("follower", async { panic!("key") }));
    assert_eq!(panicked, Some("follower"));
    let returned = failed_task(|tasks| tasks.spawn_permanent("timer", async {}));
    assert_eq!(returned, Some("timer"));
    let running = failed_task(|tasks| tasks.spawn_permanent("relay", std::future::pending::<()>()));
    assert_eq!(running, None);
}

#[test]
fn call_is_reported_only_if_it_panics() {
    let panicked = failed_task(|tasks| tasks.spawn_call("watch", async { panic!("key") }));
    assert_eq!(panicked, Some("watch"));
    let returned = failed_task(|tasks| tasks.spawn_call("watch", async {}));
    assert_eq!(returned, None);
}
