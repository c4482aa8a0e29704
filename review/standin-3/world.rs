//! A small deployment on loopback addresses: the store, replicas, and instances as processes.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::util::{hash, ms_since, random, response, Message, Wire};

pub const HOST: &str = "halls.example";

/// One line of the record.
#[derive(Clone, Default)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn add(&self, start: Instant, line: &str) {
        let line = format!("{:>7} ms {line}", ms_since(start));
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text).expect("the folder is writable");
    }
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub replica: String,
    pub zone: String,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Ledger {
    pub start: Instant,
    pub runs: Arc<Mutex<HashMap<String, Vec<Run>>>>,
    pub record: Record,
}

impl Ledger {
    pub fn new() -> Ledger {
        Ledger { start: Instant::now(), runs: Arc::default(), record: Record::default() }
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    pub fn note(&self, line: &str) {
        self.record.add(self.start, line);
    }
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub born: u64,
    pub address: SocketAddr,
    work_ms: u64,
    /// Whether the replica leaves, so that its health check fails.
    pub is_leaving: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    ledger: Ledger,
}

/// Returns the body of a replica's answer to a single request.
pub fn single_body(id: &str, seal: &str) -> Vec<u8> {
    let length = 200 + hash(seal.as_bytes(), 3) % 6_000;
    let mut body = format!("{id} {seal} ").into_bytes();
    let mut number = 0;
    while (body.len() as u64) < length {
        body.extend_from_slice(format!("{:016x}", hash(seal.as_bytes(), number)).as_bytes());
        number += 1;
    }
    body
}

impl Replica {
    /// Starts a replica that works for 0.5 to 1.5 times `work_ms` on a request.
    pub fn start(service: &str, zone: &str, work_ms: u64, ledger: &Ledger) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let replica = Replica {
            id: format!("i-{:08x}", random() as u32),
            service: service.to_string(),
            zone: zone.to_string(),
            born: 1_700_000_000_000 + random() % 1_000_000,
            address: listener.local_addr().expect("the socket is bound"),
            work_ms,
            is_leaving: Arc::default(),
            sequence: Arc::new(AtomicU64::new(1)),
            ledger: ledger.clone(),
        };
        let served = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = served.clone();
                thread::spawn(move || {
                    let _ = replica.serve(stream);
                });
            }
        });
        replica
    }

    /// Writes the replica's entry into the store.
    pub fn register(&self, store: &Store) {
        store.put(&self.key(), &self.next_entry());
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the entry that the replica writes with its next heartbeat.
    pub fn next_entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        loop {
            let request = wire.read_request()?;
            let answer = match request.word(1) {
                "/health" => {
                    let is_leaving = self.is_leaving.load(Ordering::Relaxed);
                    let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
                    response(status, &[("hemlockrouter-instance-id", &self.id)], b"")
                }
                _ => self.answer(&request),
            };
            wire.write(&answer)?;
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("hemlockrouter-attempt-id").unwrap_or("").to_string();
        let target = request.header("hemlockrouter-target-instance");
        if target.is_some_and(|target| target != self.id) {
            let headers = [("hemlockrouter-instance-id", self.id.as_str())];
            return response("421 Misdirected Request", &headers, b"");
        }
        if id.is_empty() {
            return response("400 Bad Request", &[("hemlockrouter-not-executed", "1")], b"");
        }
        let run = Run { replica: self.id.clone(), zone: self.zone.clone(), at: Instant::now() };
        self.ledger.note(&format!("replica {} of {} in {} runs {id}", self.id, self.service, self.zone));
        self.ledger.runs.lock().unwrap().entry(id.clone()).or_default().push(run);
        thread::sleep(Duration::from_millis(self.work_ms / 2 + random() % (self.work_ms + 1)));
        let seal = format!("{}.{:016x}", self.id, random());
        let headers = [("hemlockrouter-response-seal", seal.as_str()), ("hemlockrouter-attempt-id", id.as_str())];
        response("200 OK", &headers, &single_body(&id, &seal))
    }
}

/// An instance as a process.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub relay: SocketAddr,
    ip: String,
    pub store: SocketAddr,
    pub child: Option<Child>,
    dir: PathBuf,
    seeds: Vec<SocketAddr>,
    zones: String,
    pub bounds: Vec<(String, String)>,
}

/// Returns the bounds of the site dmlfc-halls.
fn site_bounds() -> Vec<(String, String)> {
    let bounds = [
        ("contactMs", "5000"), ("drainMs", "3000"), ("graceS", "6"), ("configApplyMs", "3000"),
        ("retryBudgetRatio", "0.2"), ("retryWindowS", "10"), ("retrySlack", "58"),
        ("warmupOverage", "1.5"), ("warmupSlack", "5"), ("evacuateMs", "5000"),
    ];
    bounds.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// Returns an address with a free port below the range that the system gives to clients.
fn free_address(ip: &str) -> SocketAddr {
    loop {
        let port = 12_000 + (random() % 20_000) as u16;
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            return listener.local_addr().expect("the socket is bound");
        }
    }
}

impl Instance {
    pub fn new(index: usize, zones: &[(&str, &str)], zone: &str, store: SocketAddr, dir: &Path) -> Instance {
        let zones: Vec<String> = zones.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        // Each machine has a loopback address of its own, since the metrics port is the same on all.
        let ip = format!("127.{}.{}.{}", 20 + random() % 200, random() % 250, 1 + index);
        Instance {
            name: format!("frontend-{zone}-{index}"),
            zone: zone.to_string(),
            front: free_address(&ip),
            ready: free_address(&ip),
            relay: free_address(&ip),
            ip,
            store,
            child: None,
            dir: dir.to_path_buf(),
            seeds: Vec::new(),
            zones: format!("{{{}}}", zones.join(",")),
            bounds: site_bounds(),
        }
    }

    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Changes a bound of the settings; the file changes with [`Instance::write_settings`].
    pub fn set_bound(&mut self, name: &str, value: &str) {
        let mut bounds = self.bounds.iter_mut();
        let bound = bounds.find(|(bound, _)| bound == name).expect("the bound is known");
        bound.1 = value.to_string();
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.jsonc", self.name))
    }

    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.name))
    }

    /// Returns the fields of the settings as the platform has them, by their paths.
    fn fields(&self) -> Vec<(String, String)> {
        let text = |value: &str| format!("\"{value}\"");
        let mut fields = vec![
            (String::from("ip"), self.ip.clone()),
            (String::from("nodeName"), text(&self.name)),
            (String::from("zone"), text(&self.zone)),
            (String::from("zones"), self.zones.clone()),
            (String::from("listen.front"), text(&self.front.to_string())),
            (String::from("listen.ready"), text(&self.ready.to_string())),
            (String::from("listen.control"), text(&self.relay.to_string())),
            (String::from("platform.address"), text(&self.store.to_string())),
            (String::from("limits.memoryMb"), String::from("260")),
            (String::from("limits.cpuShare"), String::from("0.25")),
        ];
        fields.extend(self.bounds.iter().map(|(name, value)| (format!("bounds.{name}"), value.clone())));
        fields
    }

    /// Fills in deploy/settings.jsonc and writes the result, as the platform does at every start and
    /// whenever the settings change.
    pub fn write_settings(&self) {
        let template = fs::read_to_string("deploy/settings.jsonc").expect("the template is in the repository");
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let mut settings = String::new();
        let mut rest = template.as_str();
        while let Some(start) = rest.find("{{") {
            settings.push_str(&rest[..start]);
            let end = start + rest[start..].find("}}").expect("a placeholder ends");
            let name = &rest[start + 2..end];
            rest = &rest[end + 2..];
            if name == "#seeds" {
                let end = rest.find("{{/seeds}}").expect("the section ends");
                settings.push_str(&seeds.join(","));
                rest = &rest[end + 10..];
                continue;
            }
            let path = name.trim_end_matches("|json");
            let fields = self.fields();
            let field = fields.iter().find(|(field, _)| field == path);
            settings.push_str(&field.unwrap_or_else(|| panic!("no field {path}")).1);
        }
        settings.push_str(rest);
        fs::write(self.settings_path(), settings).expect("the folder is writable");
    }

    pub fn start(&mut self) {
        self.write_settings();
        let log = File::options().create(true).append(true).open(self.log_path()).expect("the folder is writable");
        let errors = log.try_clone().expect("a file can be shared");
        let child = Command::new("target/release/hemlockd")
            .args(["--settings-env", "HEMLOCKROUTER_NODE_FILE"])
            .env("HEMLOCKROUTER_NODE_FILE", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("hemlockd is built"));
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
        }
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(Some(status)) => {
                self.child = None;
                Some(status.to_string())
            }
            _ => None,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/ready").is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes a GET request on a new connection.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(1_500))).ok()?;
    let mut wire = Wire::new(stream);
    wire.write(format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n").as_bytes()).ok()?;
    wire.read_response().ok()
}

/// A route of the configuration.
pub struct RouteRow<'r> {
    pub name: &'r str,
    pub prefix: &'r str,
    pub kind: &'r str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    /// `"service":"x"`, or `"gather":[..],"topK":..,"minCoverage":..`.
    pub target: String,
    pub attempts: u64,
    pub regions: &'r str,
}

/// Writes a configuration.
pub fn config(version: u64, routes: &[RouteRow<'_>], services: &[String], warmup_per_s: f64) -> String {
    config_with_limit(version, routes, services, warmup_per_s, 16_384)
}

/// Writes a configuration with another limit on the head of a request.
pub fn config_with_limit(version: u64, routes: &[RouteRow<'_>], services: &[String], warmup_per_s: f64, header_max_bytes: u64) -> String {
    let routes: Vec<String> = routes.iter().map(|route| format!(
        "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"routeKind\":\"{}\",\"timeoutMs\":{},\"targetLatencyMs\":{},\"priority\":1,{},\"maxAttempts\":{},\"allowedRegions\":[{}]}}",
        route.name, route.prefix, route.kind, route.timeout_ms, route.target_ms, route.target, route.attempts, route.regions
    )).collect();
    let services: Vec<String> = services.iter().map(|name| format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":{warmup_per_s:.1}}}"
    )).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":{header_max_bytes},\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","), services.join(",")
    )
}

/// A GET request as a client sends it.
pub struct Request {
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let head = format!(
            "GET {} HTTP/1.1\r\nhost: {HOST}\r\nhemlockrouter-attempt-id: {}\r\nhemlockrouter-deadline-ms: {}\r\n\r\n",
            self.path, self.id, self.deadline_ms
        );
        head.into_bytes()
    }
}

pub fn new_id() -> String {
    format!("{:016x}", random())
}
