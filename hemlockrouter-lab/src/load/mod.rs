//! An open-loop load tool that checks every answer.
//!
//! Requests fall due at times drawn from a seed, whether or not earlier ones have been answered,
//! and latency counts from the due time. So a stall shows in every request that it held up: the
//! percentiles are free of coordinated omission. The number of threads bounds how many requests
//! are under way.
//!
//! A request whose exchange breaks off is sent to the next target, as a balancer or a caller would:
//! a run goes with its same idempotency key. It is lost only if no target gives a final answer.

mod balancer;
mod check;
mod plan;
mod report;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;
use ureq::Agent;

pub use self::check::Fault;
pub use self::report::Latency;
pub use self::report::Report;

use self::balancer::Balancer;
use self::plan::Arrival;
use self::plan::Task;
use self::report::Recorder;

/// How long after its deadline an exchange still waits for its answer before it counts as broken.
const GRACE: Duration = Duration::from_secs(1);

/// How long after its due time a request that got no final answer is lost.
const GIVE_UP: Duration = Duration::from_secs(30);

/// Pause before a request whose exchange broke off goes to the next target.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The load to put on the tier.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The callers' addresses of the instances, taken in turn.
    pub targets: Vec<SocketAddr>,
    /// Their operators' addresses in the same order, where only ready instances are to be taken.
    pub operators: Vec<SocketAddr>,
    /// The customer's key.
    pub key: String,
    /// The search to ask for.
    pub search: Option<String>,
    /// The operation to run.
    pub operation: Option<String>,
    /// Runs among a thousand requests, where both a search and an operation are given.
    pub runs_per_mille: u32,
    /// Requests each second.
    pub rate: u32,
    /// How long the load lasts, in milliseconds.
    pub duration_ms: u64,
    /// Seed of the due times and of the requests.
    pub seed: u64,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Requests under way at once.
    pub threads: usize,
    /// Whether connections are used again.
    pub keep_alive: bool,
}

impl LoadOptions {
    /// Makes options with defaults: 50 requests/s for 5 s, deadline 200 ms, at most 64 under way.
    pub fn new(targets: Vec<SocketAddr>, key: &str) -> LoadOptions {
        LoadOptions {
            targets,
            operators: Vec::new(),
            key: key.to_owned(),
            search: None,
            operation: None,
            runs_per_mille: 100,
            rate: 50,
            duration_ms: 5_000,
            seed: 1,
            deadline_ms: 200,
            threads: 64,
            keep_alive: true,
        }
    }
}

/// Load that is being put on the tier.
pub struct Load {
    stop: Arc<AtomicBool>,
    balancer: Arc<Balancer>,
    workers: Vec<thread::JoinHandle<Recorder>>,
}

impl Load {
    /// Starts it.
    ///
    /// # Panics
    ///
    /// Panics if there is no target, or neither a search nor an operation.
    pub fn start(options: LoadOptions) -> Load {
        let balancer = Balancer::start(options.targets.clone(), &options.operators);
        let arrivals = Arc::new(plan::arrivals(&options));
        let next = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let start = Instant::now();
        let workers = (0..options.threads).map(|_| {
            let worker = Worker::new(options.clone(), Arc::clone(&balancer), start);
            let (arrivals, next) = (Arc::clone(&arrivals), Arc::clone(&next));
            let stop = Arc::clone(&stop);
            thread::spawn(move || worker.run(&arrivals, &next, &stop))
        });
        Load {
            workers: workers.collect(),
            balancer,
            stop,
        }
    }

    /// Sends no more, and returns the report once all that was sent is answered.
    pub fn stop(self) -> Report {
        self.stop.store(true, Ordering::Relaxed);
        self.finish()
    }

    /// Returns the report once all is answered.
    pub fn finish(self) -> Report {
        let mut all = Recorder::default();
        for worker in self.workers {
            all.merge(worker.join().expect("a worker doesn't panic"));
        }
        self.balancer.stop();
        all.report()
    }
}

struct Worker {
    options: LoadOptions,
    agent: Agent,
    balancer: Arc<Balancer>,
    start: Instant,
    recorder: Recorder,
}

/// How one exchange ended.
enum Exchanged {
    Answered(u16, Value),
    /// No connection was made, so nothing was sent.
    NotConnected,
    Broken,
}

impl Worker {
    fn new(options: LoadOptions, balancer: Arc<Balancer>, start: Instant) -> Worker {
        let timeout = Duration::from_millis(options.deadline_ms) + GRACE;
        let mut config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout));
        if !options.keep_alive {
            config = config.max_idle_connections(0);
        }
        Worker {
            agent: config.build().into(),
            options,
            balancer,
            start,
            recorder: Recorder::default(),
        }
    }

    fn run(mut self, arrivals: &[Arrival], next: &AtomicUsize, stop: &AtomicBool) -> Recorder {
        while let Some(arrival) = arrivals.get(next.fetch_add(1, Ordering::Relaxed)) {
            let due = self.start + Duration::from_millis(arrival.at_ms);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Relaxed) {
                break;
            }
            self.request(arrival, due);
        }
        self.recorder
    }

    fn request(&mut self, arrival: &Arrival, due: Instant) {
        let give_up = due + GIVE_UP;
        self.recorder.sent += 1;
        let mut attempt = 0;
        loop {
            let target = self.balancer.target(arrival.number as usize + attempt);
            match self.exchange(target, arrival) {
                Exchanged::Answered(status, body) => {
                    self.record(arrival, due, status, &body);
                    return;
                }
                Exchanged::NotConnected => self.recorder.not_connected += 1,
                Exchanged::Broken => self.recorder.broken += 1,
            }
            attempt += 1;
            if Instant::now() >= give_up {
                self.recorder.lose(arrival.id());
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn exchange(&self, target: SocketAddr, arrival: &Arrival) -> Exchanged {
        let id = arrival.id();
        let deadline_ms = self.options.deadline_ms;
        let (path, body) = match arrival.task {
            Task::Search => (
                "/v1/search",
                json!({
                    "search": self.options.search,
                    "query": {"id": id},
                    "deadline_ms": deadline_ms,
                }),
            ),
            Task::Run => (
                "/v1/run",
                json!({
                    "operation": self.options.operation,
                    "request": {"id": id},
                    "deadline_ms": deadline_ms,
                }),
            ),
        };
        let sent = self
            .agent
            .post(format!("http://{target}{path}"))
            .header("Authorization", format!("Bearer {}", self.options.key))
            .header("Idempotency-Key", &id)
            .send_json(body);
        let answered = sent.and_then(|mut response| {
            let status = response.status().as_u16();
            Ok((status, response.body_mut().read_json()?))
        });
        match answered {
            Ok((status, body)) => Exchanged::Answered(status, body),
            Err(ureq::Error::ConnectionFailed) => Exchanged::NotConnected,
            Err(ureq::Error::Io(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                Exchanged::NotConnected
            }
            Err(err) => {
                log::debug!("exchange with {target} broke off: {err}");
                Exchanged::Broken
            }
        }
    }

    fn record(&mut self, arrival: &Arrival, due: Instant, status: u16, body: &Value) {
        let took = due.elapsed();
        let in_time = took <= Duration::from_millis(self.options.deadline_ms);
        let id = arrival.id();
        match arrival.task {
            Task::Search if status == 200 => {
                let faults = check::search(&id, body);
                self.recorder.searched(took, in_time, body, faults);
            }
            Task::Run if body["outcome"].is_string() => {
                let faults = check::run(&id, body);
                self.recorder.ran(&id, took, in_time, body, faults);
            }
            Task::Search | Task::Run => {
                let faults = check::refusal(body);
                self.recorder
                    .refused(&id, arrival.task, status, body, faults);
            }
        }
    }
}
