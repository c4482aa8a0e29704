//! A daemon process of the cluster.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use hemlockrouter_lab::link::TcpRelay;
use hemlockrouter_lab::process::peak_memory_kb;
use serde_json::json;

use super::eventually;

/// The keys of operators and instances.
pub(crate) const OPERATORS_KEY: &str = "operators-key-for-tests-0123456789abcdef";
pub(crate) const INSTANCES_KEY: &str = "instances-key-for-tests-0123456789abcdef";

/// The addresses and settings of one daemon.
pub(crate) struct InstanceSpec {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) instances: SocketAddr,
    /// The link through which other instances reach the daemon.
    pub(crate) link: Option<TcpRelay>,
    pub(crate) store: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    /// The time that a graceful shutdown may take, in milliseconds.
    pub(crate) shutdown_ms: u64,
}

impl InstanceSpec {
    /// Returns the address at which other instances reach the daemon.
    pub(crate) fn advertised_address(&self) -> SocketAddr {
        self.link.as_ref().map_or(self.instances, TcpRelay::addr)
    }

    fn settings(&self) -> String {
        let settings = json!({
            "zone": self.zone,
            "callers_listen": self.callers,
            "operators_listen": self.operators,
            "instances_listen": self.instances,
            "instances_advertise": self.advertised_address(),
            "platform": {"store_address": self.store, "list_every_ms": 500},
            "keys": {
                "operators_key_env": "HEMLOCK_OPERATORS_KEY",
                "instances_key_env": "HEMLOCK_INSTANCES_KEY",
            },
            "seeds": self.seeds,
            "timing": {"shutdown_ms": self.shutdown_ms},
            "log": {"level": "info", "filter": "hemlockrouter=debug"},
        });
        settings.to_string()
    }
}

/// A daemon process, which is killed when the value is dropped.
pub(crate) struct Instance {
    pub(crate) instance_spec: InstanceSpec,
    dir: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Starts a daemon whose settings and log are in the directory `dir`.
    pub(crate) fn start(instance_spec: InstanceSpec, dir: &Path) -> Instance {
        let mut instance = Instance {
            instance_spec,
            dir: dir.to_owned(),
            child: None,
        };
        instance.start_again();
        instance
    }

    /// Starts the daemon again, with the same settings, after the process has ended.
    pub(crate) fn start_again(&mut self) {
        let settings = self.dir.join(format!("{}.jsonc", self.instance_spec.name));
        fs::write(&settings, self.instance_spec.settings()).expect("the directory is writable");
        let log = File::options().create(true).append(true).open(self.log());
        let log = log.expect("the directory is writable");
        let child = Command::new(env!("CARGO_BIN_EXE_hemlockd"))
            .arg("--settings")
            .arg(&settings)
            .env("HEMLOCK_OPERATORS_KEY", OPERATORS_KEY)
            .env("HEMLOCK_INSTANCES_KEY", INSTANCES_KEY)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    /// Returns the path of the daemon's log file.
    pub(crate) fn log(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.instance_spec.name))
    }

    fn child(&mut self) -> &mut Child {
        self.child.as_mut().expect("the daemon was started")
    }

    /// Returns the peak memory of the daemon, in kB.
    pub(crate) fn peak_memory_kb(&mut self) -> u64 {
        peak_memory_kb(self.child().id())
    }

    /// Returns whether the daemon is running.
    pub(crate) fn is_running(&mut self) -> bool {
        let status = self.child().try_wait();
        status
            .expect("the daemon is a child of this process")
            .is_none()
    }

    /// Kills the daemon with SIGKILL.
    pub(crate) fn kill(&mut self) {
        let child = self.child();
        // The daemon may have ended already.
        let _ = child.kill();
        child.wait().expect("the daemon is a child of this process");
    }

    /// Pauses the daemon with SIGSTOP.
    pub(crate) fn pause(&mut self) {
        self.signal("STOP");
    }

    /// Resumes a paused daemon with SIGCONT.
    pub(crate) fn resume(&mut self) {
        self.signal("CONT");
    }

    /// Sends SIGTERM to the daemon, and waits until the daemon has ended.
    pub(crate) fn shut_down(&mut self) -> ExitStatus {
        self.signal("TERM");
        let mut status = None;
        let child = self.child();
        eventually("the daemon shuts down", || {
            status = child
                .try_wait()
                .expect("the daemon is a child of this process");
            status.is_some()
        });
        status.expect("the daemon has ended")
    }

    fn signal(&mut self, signal: &str) {
        let id = self.child().id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(sent.expect("kill runs").success(), "no {signal} to {id}");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
