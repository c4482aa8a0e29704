//! A deployment on the loopback interface: a simulated store, simulated upstreams, and daemons as
//! processes.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::Behaviour;
use hemlockrouter_corporation_lab::CallResult;
use hemlockrouter_corporation_lab::Caller;
use hemlockrouter_corporation_lab::Ledger;
use hemlockrouter_corporation_lab::Store;
use hemlockrouter_corporation_lab::Upstream;
use hemlockrouter_corporation_lab::HEALTH_PATH;
use hemlockrouter_lab::link::LinkCondition;
use hemlockrouter_lab::link::TcpRelay;
use hemlockrouter_lab::ports::PortBlock;
use hemlockrouter_lab::process::peak_memory_kb;
use serde_json::json;
use serde_json::Value;

pub(crate) const HOST: &str = "halls.example";
pub(crate) const SEARCH_PATH: &str = "/search/x";
pub(crate) const BOOK_PATH: &str = "/book/x";
pub(crate) const LOOK_UP_PATH: &str = "/look-up/x";
pub(crate) const ZONES: [&str; 2] = ["north-a", "south-b"];
pub(crate) const SHARD_COUNT: usize = 6;
pub(crate) const MAX_RECORDS: usize = 20;

/// The bound on repeats in the daemons' settings, which tests compare with the requests that
/// upstreams recorded.
pub(crate) const REPEAT_RATIO: f64 = 0.2;
pub(crate) const REPEAT_ALLOWANCE: f64 = 50.0;

/// The longest time after an outage of the store until an instance has the store's current content,
/// in milliseconds.
pub(crate) const CATCH_UP_MS: u64 = 5_000;

/// The time after which an instance treats an unchanged list of instances as complete, plus a
/// margin.
const INSTANCE_LIST_SETTLING_TIME: Duration = Duration::from_millis(4_500);

/// The longest time that a test waits for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// The number of deployments that this process has started, for unique directory names.
static DEPLOYMENT_COUNT: AtomicU32 = AtomicU32::new(0);

/// A daemon process, with its addresses and settings.
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) relay: SocketAddr,
    zone: &'static str,
    /// The link between the daemon and the store, on which tests inject faults.
    pub(crate) link: TcpRelay,
    /// The limit on the daemon's open file descriptors, or `None` for the limit of this process.
    pub(crate) open_files_max: Option<u32>,
    /// Fields that replace or extend the daemon's default settings.
    extra_settings: Value,
    child: Option<Child>,
}

/// A deployment, whose processes are killed when the value is dropped.
pub(crate) struct Deployment {
    pub(crate) runtime: tokio::runtime::Runtime,
    pub(crate) store: Store,
    pub(crate) ledger: Ledger,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) daemons: Vec<Daemon>,
    /// The version of the newest configuration in the store.
    pub(crate) version: u64,
    /// Whether the directory with the logs is kept, so that a failed test can be investigated.
    pub(crate) keep_logs: bool,
    pub(crate) dir: PathBuf,
    ports: PortBlock,
}

impl Deployment {
    /// Starts a store, two upstreams of each service and `daemons` daemons, and waits until all
    /// daemons are ready.
    pub(crate) fn start(daemons: usize) -> Deployment {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime can be made");
        let store = Store::start(runtime.handle()).expect("a port is free");
        let ledger = Ledger::default();
        let number = DEPLOYMENT_COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = format!("hemlock-direct-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        fs::create_dir_all(&dir).expect("the temporary directory is writable");
        let mut ports = PortBlock::reserve().expect("ports are free");
        let daemons = (0..daemons).map(|index| Daemon::new(index, &store, &mut ports));
        let mut daemons: Vec<Daemon> = daemons.collect();
        // The seeds are the first instances of each availability zone.
        let seeds = daemons.iter().take(ZONES.len());
        let seeds: Vec<SocketAddr> = seeds.map(|daemon| daemon.relay).collect();
        for daemon in &mut daemons {
            daemon.extra_settings = json!({"seeds": seeds});
        }
        let mut deployment = Deployment {
            daemons,
            runtime,
            store,
            ledger,
            upstreams: Vec::new(),
            version: 0,
            keep_logs: false,
            dir,
            ports,
        };
        for service in services() {
            for zone in ZONES {
                deployment.add_upstream(&service, zone);
            }
        }
        deployment.write_config(|_| {});
        for index in 0..deployment.daemons.len() {
            deployment.start_daemon(index);
        }
        for index in 0..deployment.daemons.len() {
            deployment.wait_ready(index);
        }
        deployment
    }

    pub(crate) fn add_upstream(&mut self, service: &str, zone: &str) -> usize {
        let handle = self.runtime.handle();
        let upstream = Upstream::start(handle, service, zone, &self.ledger);
        let upstream = upstream.expect("a port is free");
        upstream.register(&self.store, false);
        self.upstreams.push(upstream);
        self.upstreams.len() - 1
    }

    /// Applies `change` to the default configuration, and writes the result to the store as the
    /// next version.
    pub(crate) fn write_config<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Value),
    {
        self.version += 1;
        let mut config = config(self.version);
        change(&mut config);
        self.store.write_config(&config);
    }

    /// Creates another daemon, with changed settings, but does not start it.
    pub(crate) fn new_daemon<F>(&mut self, change: F) -> Daemon
    where
        F: FnOnce(&mut Value),
    {
        let mut daemon = Daemon::new(self.daemons.len(), &self.store, &mut self.ports);
        change(&mut daemon.extra_settings);
        daemon
    }

    pub(crate) fn start_daemon(&mut self, index: usize) {
        let dir = self.dir.clone();
        self.daemons[index].start(&dir);
    }

    pub(crate) fn wait_ready(&self, index: usize) {
        let address = self.daemons[index].ready;
        eventually("the daemon is ready", || {
            let answer = ureq::get(format!("http://{address}/ready")).call();
            answer.is_ok_and(|answer| answer.status() == 200)
        });
    }

    /// Waits until the daemons treat the list of instances as complete, and divide the allowance
    /// for repeats among all instances.
    pub(crate) fn wait_until_instance_list_settles(&self) {
        std::thread::sleep(INSTANCE_LIST_SETTLING_TIME);
    }

    /// Sends one request to a daemon, on a new connection.
    pub(crate) fn call(&self, index: usize, path: &str, deadline_ms: u64) -> CallResult {
        let mut caller = Caller::new(HOST, &self.ledger);
        let callers_address = self.daemons[index].callers;
        let shards = shards();
        let search = (path == SEARCH_PATH).then_some((shards.as_slice(), MAX_RECORDS));
        let call_future = caller.call(callers_address, path, deadline_ms, search);
        self.runtime.block_on(call_future)
    }

    /// Returns the version that a daemon has in force; `None` if the daemon does not answer.
    pub(crate) fn version_in_force(&self, index: usize) -> Option<u64> {
        let url = format!("http://{}/status", self.daemons[index].ready);
        let mut answer = ureq::get(url).call().ok()?;
        let status: Value = answer.body_mut().read_json().ok()?;
        status["version"].as_u64()
    }

    /// Returns whether a daemon reads the store itself; `false` if the daemon does not answer.
    pub(crate) fn reads_store(&self, index: usize) -> bool {
        let url = format!("http://{}/status", self.daemons[index].ready);
        let answer = ureq::get(url).call().ok();
        let status: Option<Value> =
            answer.and_then(|mut answer| answer.body_mut().read_json().ok());
        status.is_some_and(|status| status["registry_path"] == json!([]))
    }

    /// Replaces the behaviour of all upstreams.
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        for upstream in &self.upstreams {
            upstream.set_behaviour(behaviour);
        }
    }

    /// Returns the log of a daemon.
    pub(crate) fn log(&self, index: usize) -> String {
        fs::read_to_string(self.daemons[index].log(&self.dir)).unwrap_or_default()
    }

    /// Returns the metrics of a daemon, in text form.
    pub(crate) fn metrics(&self, index: usize) -> String {
        let url = format!("http://{}/metrics", self.daemons[index].metrics);
        let mut answer = ureq::get(url).call().expect("metrics are served");
        answer
            .body_mut()
            .read_to_string()
            .expect("metrics are text")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if !self.keep_logs && !std::thread::panicking() {
            // A directory that can't be removed stays in the temporary directory.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Daemon {
    fn new(index: usize, store: &Store, ports: &mut PortBlock) -> Daemon {
        let link_address = ports.next_free_addr();
        let link = TcpRelay::start(link_address, store.address(), LinkCondition::default());
        Daemon {
            name: format!("instance-{index}"),
            callers: ports.next_free_addr(),
            ready: ports.next_free_addr(),
            metrics: ports.next_free_addr(),
            relay: ports.next_free_addr(),
            zone: ZONES[index % ZONES.len()],
            link: link.expect("the port was free"),
            open_files_max: None,
            extra_settings: json!({}),
            child: None,
        }
    }

    fn settings(&self) -> Value {
        let mut settings = json!({
            "dispatch": "direct",
            "protocol": "corporation",
            "name": self.name,
            "zone": self.zone,
            "zones": {"north-a": "north", "south-b": "south"},
            "callers_listen": self.callers,
            "ready_listen": self.ready,
            "metrics_listen": self.metrics,
            "relay_listen": self.relay,
            "registry_address": self.link.addr(),
            "bounds": {
                "drain_ms": 3000,
                "shutdown_s": 3,
                "catch_up_ms": CATCH_UP_MS,
                "repeat_ratio": REPEAT_RATIO,
                "repeat_window_s": 10,
                "repeat_allowance": REPEAT_ALLOWANCE,
            },
            "sharing": {"parts_min": SHARD_COUNT, "parts_each": SHARD_COUNT / 2},
            "log": {"level": "info"},
        });
        let extra = self.extra_settings.as_object();
        for (name, value) in extra.into_iter().flatten() {
            settings[name] = value.clone();
        }
        settings
    }

    /// Replaces the bounds of the daemon's next settings file.
    pub(crate) fn set_bound(&mut self, name: &str, value: Value) {
        let mut bounds = self.settings()["bounds"].clone();
        bounds[name] = value;
        self.extra_settings["bounds"] = bounds;
    }

    /// Writes changed settings for the daemon, and sends SIGHUP so that the daemon reads them.
    pub(crate) fn change_settings<F>(&mut self, dir: &Path, change: F)
    where
        F: FnOnce(&mut String),
    {
        let mut text = self.settings().to_string();
        change(&mut text);
        self.write_settings_text(dir, &text);
        self.signal("HUP");
    }

    /// Writes the daemon's settings, and returns the path of the file.
    pub(crate) fn write_settings(&self, dir: &Path) -> PathBuf {
        self.write_settings_text(dir, &self.settings().to_string())
    }

    fn write_settings_text(&self, dir: &Path, text: &str) -> PathBuf {
        let path = dir.join(format!("{}.jsonc", self.name));
        fs::write(&path, text).expect("the directory is writable");
        path
    }

    fn log(&self, dir: &Path) -> PathBuf {
        dir.join(format!("{}.log", self.name))
    }

    /// Starts the daemon, unless the daemon is running.
    fn start(&mut self, dir: &Path) {
        if self.is_running() {
            return;
        }
        let settings = self.write_settings(dir);
        self.start_with(dir, &settings);
    }

    /// Starts the daemon with the settings in a file.
    pub(crate) fn start_with(&mut self, dir: &Path, settings: &Path) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(dir));
        let stderr_file = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{}.stderr", self.name)));
        let child = self
            .program()
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the directory is writable"))
            .stderr(stderr_file.expect("the directory is writable"))
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    fn program(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_hemlockd");
        let Some(open_files_max) = self.open_files_max else {
            return Command::new(program);
        };
        let script = format!(r#"ulimit -n {open_files_max} && exec "$0" "$@""#);
        let mut shell = Command::new("sh");
        shell.args(["-c", &script, program]);
        shell
    }

    /// Returns the CPU time that the daemon has used, in clock ticks of 10 ms.
    pub(crate) fn cpu_ticks(&self) -> u64 {
        let child = self.child.as_ref().expect("the daemon runs");
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id()));
        let stat = stat.expect("the daemon runs");
        // The 2nd field is the name in parentheses. The 14th and 15th fields are the user and
        // system time.
        let (_, fields) = stat.rsplit_once(") ").expect("the name is there");
        let times = fields.split(' ').skip(11).take(2);
        times
            .map(|ticks| ticks.parse::<u64>().expect("a count"))
            .sum()
    }

    /// Returns the peak memory of the daemon, in kB.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let child = self.child.as_ref().expect("the daemon runs");
        peak_memory_kb(child.id())
    }

    /// Returns the address at which other instances follow this daemon, as written in logs.
    pub(crate) fn relay_address(&self) -> String {
        self.relay.to_string()
    }

    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the daemon with SIGKILL.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The daemon may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(crate) fn signal(&mut self, signal: &str) {
        let Some(child) = &self.child else {
            return;
        };
        let id = child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(sent.is_ok(), "kill runs");
    }

    /// Sends SIGTERM to the daemon, and waits until the daemon has ended.
    pub(crate) fn shut_down(&mut self) -> ExitStatus {
        self.signal("TERM");
        let mut child = self.child.take().expect("the daemon runs");
        child.wait().expect("the daemon is a child of this process")
    }
}

pub(crate) fn shards() -> Vec<String> {
    (0..SHARD_COUNT)
        .map(|number| format!("shard-{number}"))
        .collect()
}

fn services() -> Vec<String> {
    let mut services = shards();
    services.push(String::from("ledger"));
    services
}

fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeKind": kind,
            "timeoutMs": 1500,
            "targetLatencyMs": 150,
            "priority": 1,
            "service": "ledger",
            "maxAttempts": 2,
            "allowedRegions": [],
        })
    };
    let mut search = route("search", "/search/", "idempotent");
    search["gather"] = json!(shards());
    search["topK"] = json!(MAX_RECORDS);
    search["minCoverage"] = json!(0.6);
    let services = services().into_iter().map(|name| {
        json!({
            "name": name,
            "healthPath": HEALTH_PATH,
            "maxConns": 50,
            "warmupS": 3.0,
            "warmupPerS": 0.0,
        })
    });
    json!({
        "version": version,
        "routes": [
            search,
            route("book", "/book/", "non_idempotent"),
            route("look-up", "/look-up/", "idempotent"),
        ],
        "services": services.collect::<Vec<Value>>(),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}

/// Waits until the condition `condition` is true, and panics after 20 s.
pub(crate) fn eventually<F>(description: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "not in time: {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
