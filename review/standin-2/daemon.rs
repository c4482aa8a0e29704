//! A machine of the platform that runs the daemon with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// The command of `deploy/system.toml`, and the variable that names the settings file.
const PROGRAM: &str = "target/release/hemlockd";
const SETTINGS_VARIABLE: &str = "HEMLOCKROUTER_NODE_FILE";

/// What a site file says of its machines and bounds.
pub struct Site {
    /// Memory of a machine, in megabytes.
    pub memory_mb: u64,
    pub cpu_share: f64,
    /// Bandwidth of the link of a machine.
    pub link_mbps: u64,
    pub config_apply_ms: u64,
    pub contact_ms: u64,
    pub drain_ms: u64,
    pub retry_slack: u64,
}

/// The site `dmlfc-halls`.
pub const HALLS: Site = Site {
    memory_mb: 260,
    cpu_share: 0.25,
    link_mbps: 1_000,
    config_apply_ms: 3_000,
    contact_ms: 5_000,
    drain_ms: 3_000,
    retry_slack: 58,
};

/// The smallest machines of the site `vqa-hemlock-grown`.
pub const VENTS_GROWN: Site = Site {
    memory_mb: 160,
    cpu_share: 0.12,
    link_mbps: 20,
    config_apply_ms: 5_000,
    contact_ms: 6_000,
    drain_ms: 5_000,
    retry_slack: 206,
};

/// Pause before the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Longest time until a daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A machine with its addresses.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

/// Settings that machines share.
pub struct Deployment<'d> {
    pub store: SocketAddr,
    /// Each zone with its region.
    pub zones: &'d [(&'d str, &'d str)],
    pub site: &'d Site,
}

fn free_port(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("the port is bound")
}

impl Machine {
    /// Plans a machine in the zone `zone` with addresses of `ip`.
    pub fn new(record: &Arc<Record>, dir: &Path, ip: &str, name: &str) -> Machine {
        Machine {
            name: String::from(name),
            front: free_port(ip),
            ready: free_port(ip),
            control: free_port(ip),
            settings: dir.join(format!("{name}.jsonc")),
            log: dir.join(format!("{name}.log")),
            child: Mutex::new(None),
            record: Arc::clone(record),
        }
    }

    /// Writes the settings file, as the template `deploy/settings.jsonc` says.
    pub fn write_settings(&self, deployment: &Deployment, zone: &str, seeds: &[SocketAddr]) {
        let Machine {
            name,
            front,
            ready,
            control,
            ..
        } = self;
        let zones = deployment.zones.iter();
        let zones: Vec<String> = zones
            .map(|(zone, region)| format!(r#""{zone}":"{region}""#))
            .collect();
        let zones = zones.join(",");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!(r#""{seed}""#)).collect();
        let seeds = seeds.join(",");
        let metrics = free_port(&front.ip().to_string());
        let store = deployment.store;
        let Site {
            memory_mb,
            cpu_share,
            config_apply_ms,
            contact_ms,
            drain_ms,
            retry_slack,
            ..
        } = deployment.site;
        let settings = format!(
            r#"{{"dispatch":"direct","protocol":"corporation","name":"{name}","zone":"{zone}",
"zones":{{{zones}}},"callers_listen":"{front}","ready_listen":"{ready}","metrics_listen":"{metrics}",
"relay_listen":"{control}","seeds":[{seeds}],"registry_address":"{store}",
"memory_mb":{memory_mb},"cpu_share":{cpu_share},
"bounds":{{"in_force_ms":{config_apply_ms},"evacuate_ms":5000,"drain_ms":{drain_ms},"shutdown_s":6,"catch_up_ms":{contact_ms},
"repeat_ratio":0.2,"repeat_window_s":10,"repeat_allowance":{retry_slack},"cold_overage":1.5,"cold_slack":5}},
"log":{{"level":"info"}}}}"#
        );
        fs::write(&self.settings, settings).expect("the folder is writable");
    }

    /// Starts the daemon.
    pub fn start(&self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("the folder is writable");
        let errors = log.try_clone().expect("the file can be shared");
        let child = Command::new(PROGRAM)
            .args(["--settings-env", SETTINGS_VARIABLE])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        *self.lock() = Some(child.expect("the daemon starts"));
        self.record.write(&format!("platform starts {}", self.name));
    }

    /// Waits until the daemon is ready, and returns whether it was in time.
    pub fn wait_ready(&self) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        connection.set_timeout(Duration::from_secs(1));
        let request = b"GET /ready HTTP/1.1\r\nhost: ready\r\n\r\n";
        connection.write(request).is_ok()
            && connection
                .read(false)
                .is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the memory of the process, in kilobytes.
    pub fn memory_kb(&self) -> Option<u64> {
        let id = self.lock().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let child = self.lock();
        let Some(child) = child.as_ref() else {
            return;
        };
        let command = format!("kill -s {signal} {}", child.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        status.expect("kill runs");
        self.record.write(&format!("{signal} to {}", self.name));
    }

    /// Kills the process, if it runs.
    pub fn kill(&self) {
        if let Some(mut child) = self.lock().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again after the pause.
    pub fn restart(&self) {
        thread::sleep(RESTART_PAUSE);
        self.start();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("no thread panics with the lock")
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
