//! Processes of the system under test, with settings made from the deploy file's template.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::quote;

const PROGRAM: &str = "target/release/hemlockd";
const SETTINGS_VARIABLE: &str = "HEMLOCKROUTER_NODE_FILE";
const TEMPLATE: &str = "deploy/settings.jsonc";

const SIGKILL: i32 = 9;

/// The `prctl` option for the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Loopback addresses of one run.
#[derive(Clone, Copy)]
pub struct Network {
    base: (u8, u8),
}

impl Network {
    /// Chooses addresses that no other run is likely to use.
    pub fn new() -> Network {
        let id = std::process::id();
        Network {
            base: (20 + (id / 240 % 200) as u8, (id % 240) as u8),
        }
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.base.0, self.base.1, last))
    }

    pub fn machine(&self, index: usize) -> IpAddr {
        self.ip(1 + index as u8)
    }

    /// Returns the store's address for a machine.
    pub fn store(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ip(200 + machine as u8), 8102)
    }

    pub fn replica(&self, number: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.base.0, self.base.1, 100 + (number / 100) as u8);
        SocketAddr::new(IpAddr::V4(ip), 9000 + (number % 100) as u16)
    }
}

/// The bounds in the settings, as a site names them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub contact_ms: u64,
    pub drain_ms: u64,
    pub grace_s: u64,
    pub config_apply_ms: u64,
    pub evacuate_ms: u64,
    pub retry_slack: u64,
}

/// The bounds of `sites/dmlfc-halls.toml`.
pub const HALLS: Bounds = Bounds {
    contact_ms: 5_000,
    drain_ms: 3_000,
    grace_s: 6,
    config_apply_ms: 3_000,
    evacuate_ms: 5_000,
    retry_slack: 58,
};

/// A machine with one process.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub started_at: Instant,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of the machine with the number `index`.
    pub fn new(
        network: &Network,
        index: usize,
        name: &str,
        zone: &str,
        zones: &[(&str, &str)],
        seeds: &[usize],
        dir: &std::path::Path,
    ) -> std::io::Result<Node> {
        let ip = network.machine(index);
        let front = SocketAddr::new(ip, 8104);
        let ready = SocketAddr::new(ip, 8108);
        let control = SocketAddr::new(ip, 8106);
        let seeds = seeds.iter().map(|seed| network.machine(*seed));
        let seeds: Vec<String> = seeds.map(|ip| format!("\"{ip}:8106\"")).collect();
        let zones = zones.iter();
        let zones: Vec<String> = zones
            .map(|(zone, region)| format!("{}: {}", quote(zone), quote(region)))
            .collect();
        let store = network.store(index);
        let bounds = HALLS;
        let text = fs::read_to_string(TEMPLATE)?;
        let text = text
            .replace("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", &seeds.join(", "))
            .replace("{{nodeName|json}}", &quote(name))
            .replace("{{zone|json}}", &quote(zone))
            .replace("{{zones|json}}", &format!("{{{}}}", zones.join(", ")))
            .replace("{{listen.front|json}}", &format!("\"{front}\""))
            .replace("{{listen.ready|json}}", &format!("\"{ready}\""))
            .replace("{{listen.control|json}}", &format!("\"{control}\""))
            .replace("{{ip}}", &ip.to_string())
            .replace("{{platform.address|json}}", &format!("\"{store}\""))
            .replace("{{limits.memoryMb|json}}", "260")
            .replace("{{limits.cpuShare|json}}", "0.25")
            .replace(
                "{{bounds.configApplyMs|json}}",
                &bounds.config_apply_ms.to_string(),
            )
            .replace(
                "{{bounds.evacuateMs|json}}",
                &bounds.evacuate_ms.to_string(),
            )
            .replace("{{bounds.drainMs|json}}", &bounds.drain_ms.to_string())
            .replace("{{bounds.graceS|json}}", &bounds.grace_s.to_string())
            .replace("{{bounds.contactMs|json}}", &bounds.contact_ms.to_string())
            .replace("{{bounds.retryBudgetRatio|json}}", "0.2")
            .replace("{{bounds.retryWindowS|json}}", "10")
            .replace(
                "{{bounds.retrySlack|json}}",
                &bounds.retry_slack.to_string(),
            )
            .replace("{{bounds.warmupOverage|json}}", "1.5")
            .replace("{{bounds.warmupSlack|json}}", "5");
        assert!(
            !text.contains("{{"),
            "the template has unknown fields:\n{text}"
        );
        let settings = dir.join(format!("{name}.settings"));
        fs::write(&settings, text)?;
        Ok(Node {
            name: String::from(name),
            front,
            ready,
            started_at: Instant::now(),
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .args(["--settings-env", SETTINGS_VARIABLE])
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        // No process outlives the case, however the case ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        self.started_at = Instant::now();
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.ready, request, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process is a child of this one that was not waited for, so its id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes are ready. Returns `false` if that takes over `limit`.
pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < limit {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
