//! Tasks of an event loop whose failure must be noticed.
//!
//! The event loop confines a panic to the task in which it occurs. If that task follows the
//! registry or accepts connections, the process runs on without it and can't recover. The monitor
//! reports such a task, so that the instance shuts down and is started again.

use std::future::Future;
use std::rc::Rc;

use log::error;
use tokio::sync::watch;

/// Starts tasks on the current thread and reports the first one that fails.
#[derive(Clone, Debug)]
pub struct TaskMonitor {
    failed_task: Rc<watch::Sender<Option<&'static str>>>,
}

impl Default for TaskMonitor {
    fn default() -> TaskMonitor {
        let (failed_task, _) = watch::channel(None);
        TaskMonitor {
            failed_task: Rc::new(failed_task),
        }
    }
}

impl TaskMonitor {
    /// Starts a task that runs as long as the process. Its end is a failure.
    ///
    /// # Panics
    ///
    /// Panics outside of a `LocalSet`.
    pub fn spawn_permanent<F>(&self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let monitor = self.clone();
        let handle = tokio::task::spawn_local(task);
        tokio::task::spawn_local(async move {
            let why = match handle.await {
                Ok(()) => String::from("returned"),
                Err(err) => err.to_string(),
            };
            monitor.report(name, &why);
        });
    }

    /// Starts a task that ends by itself and whose result another task waits for. A panic is a
    /// failure.
    ///
    /// # Panics
    ///
    /// Panics outside of a `LocalSet`.
    pub fn spawn_call<F>(&self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let monitor = self.clone();
        let handle = tokio::task::spawn_local(task);
        tokio::task::spawn_local(async move {
            if let Err(err) = handle.await {
                monitor.report(name, &err.to_string());
            }
        });
    }

    /// Waits for the first failure and returns the name of the task.
    pub async fn failed(&self) -> &'static str {
        let mut failed_task = self.failed_task.subscribe();
        let name = failed_task
            .wait_for(Option::is_some)
            .await
            .expect("the monitor holds the sender");
        name.expect("a failed task has a name")
    }

    fn report(&self, name: &'static str, why: &str) {
        error!(target: "process", task = name, why = why; "a task has failed");
        self.failed_task.send_if_modified(|failed_task| {
            let is_first = failed_task.is_none();
            failed_task.get_or_insert(name);
            is_first
        });
    }
}
