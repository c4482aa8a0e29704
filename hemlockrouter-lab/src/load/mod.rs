//! An open-loop load generator that checks every answer.
//!
//! Each request has a due time drawn from a seed, which does not depend on earlier answers, and
//! latency is measured from the due time. So a stall shows in every request that it delayed: the
//! percentiles are free of coordinated omission. The number of threads limits the requests in
//! flight.
//!
//! A request whose exchange breaks off is retried at the next target, as a balancer or a caller
//! would do. The retry of a run carries the same idempotency key. A request is lost only if no
//! target gives a final answer.

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

pub use self::check::Violation;
pub use self::report::LatencyPercentiles;
pub use self::report::LoadReport;

use self::balancer::Balancer;
use self::plan::Arrival;
use self::plan::RequestKind;
use self::report::Recorder;

/// Time after the deadline for which an exchange still waits for its answer before the exchange
/// counts as broken.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Time after its due time at which a request without a final answer counts as lost.
const LOST_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause before a request whose exchange broke off is retried at the next target.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Options of the load generator.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Callers' addresses of the instances, used in round-robin order.
    pub targets: Vec<SocketAddr>,
    /// Operators' addresses of the instances in the same order, on which readiness is polled; if
    /// empty, all instances count as ready.
    pub operators: Vec<SocketAddr>,
    /// API key of the customer.
    pub key: String,
    /// Name of the search to send, if searches are sent.
    pub search: Option<String>,
    /// Name of the operation to run, if runs are sent.
    pub operation: Option<String>,
    /// Number of runs in a thousand requests, used if both a search and an operation are given.
    pub runs_per_mille: u32,
    /// Number of requests per second.
    pub rate: u32,
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// Seed of the due times and of the choice between searches and runs.
    pub seed: u64,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Number of worker threads, which is the maximum number of requests in flight.
    pub threads: usize,
    /// Whether connections are reused.
    pub keep_alive: bool,
}

impl LoadOptions {
    /// Creates options with the defaults: 50 requests/s for 5 s, a deadline of 200 ms, and at most
    /// 64 requests in flight.
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

/// A running load generator.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    balancer: Arc<Balancer>,
    workers: Vec<thread::JoinHandle<Recorder>>,
}

impl LoadGenerator {
    /// Starts the load generator.
    ///
    /// # Panics
    ///
    /// Panics if there is no target, or neither a search nor an operation.
    pub fn start(options: LoadOptions) -> LoadGenerator {
        let balancer = Balancer::start(options.targets.clone(), &options.operators);
        let arrivals = Arc::new(plan::draw_arrivals(&options));
        let next = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let start = Instant::now();
        let workers = (0..options.threads).map(|_| {
            let worker = Worker::new(options.clone(), Arc::clone(&balancer), start);
            let (arrivals, next) = (Arc::clone(&arrivals), Arc::clone(&next));
            let stop = Arc::clone(&stop);
            thread::spawn(move || worker.run(&arrivals, &next, &stop))
        });
        LoadGenerator {
            workers: workers.collect(),
            balancer,
            stop,
        }
    }

    /// Stops sending, and returns the report once every request in flight has ended.
    pub fn stop(self) -> LoadReport {
        self.stop.store(true, Ordering::Relaxed);
        self.wait_for_report()
    }

    /// Waits until every request has ended, and returns the report.
    pub fn wait_for_report(self) -> LoadReport {
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

/// The outcome of one HTTP exchange.
enum ExchangeOutcome {
    Answered(u16, Value),
    /// No connection was established, so nothing was sent.
    NotConnected,
    Broken,
}

impl Worker {
    fn new(options: LoadOptions, balancer: Arc<Balancer>, start: Instant) -> Worker {
        let timeout = Duration::from_millis(options.deadline_ms) + ANSWER_GRACE_PERIOD;
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

    fn run(
        mut self,
        arrivals: &[Arrival],
        next_index: &AtomicUsize,
        stop: &AtomicBool,
    ) -> Recorder {
        while let Some(arrival) = arrivals.get(next_index.fetch_add(1, Ordering::Relaxed)) {
            let due = self.start + Duration::from_millis(arrival.due_ms);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Relaxed) {
                break;
            }
            self.send_until_answered(arrival, due);
        }
        self.recorder
    }

    fn send_until_answered(&mut self, arrival: &Arrival, due: Instant) {
        let lost_at = due + LOST_REQUEST_TIMEOUT;
        self.recorder.sent += 1;
        let mut attempt = 0;
        loop {
            let target = self.balancer.pick_target(arrival.number as usize + attempt);
            match self.send_once(target, arrival) {
                ExchangeOutcome::Answered(status, body) => {
                    self.record_answer(arrival, due, status, &body);
                    return;
                }
                ExchangeOutcome::NotConnected => self.recorder.not_connected += 1,
                ExchangeOutcome::Broken => self.recorder.broken += 1,
            }
            attempt += 1;
            if Instant::now() >= lost_at {
                self.recorder.record_lost_request(arrival.id());
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn send_once(&self, target: SocketAddr, arrival: &Arrival) -> ExchangeOutcome {
        let id = arrival.id();
        let deadline_ms = self.options.deadline_ms;
        let (path, body) = match arrival.kind {
            RequestKind::Search => (
                "/v1/search",
                json!({
                    "search": self.options.search,
                    "query": {"id": id},
                    "deadline_ms": deadline_ms,
                }),
            ),
            RequestKind::Run => (
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
            Ok((status, body)) => ExchangeOutcome::Answered(status, body),
            Err(ureq::Error::ConnectionFailed) => ExchangeOutcome::NotConnected,
            Err(ureq::Error::Io(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                ExchangeOutcome::NotConnected
            }
            Err(err) => {
                log::debug!("exchange with {target} broke off: {err}");
                ExchangeOutcome::Broken
            }
        }
    }

    fn record_answer(&mut self, arrival: &Arrival, due: Instant, status: u16, body: &Value) {
        let answer_latency = due.elapsed();
        let in_time = answer_latency <= Duration::from_millis(self.options.deadline_ms);
        let id = arrival.id();
        match arrival.kind {
            RequestKind::Search if status == 200 => {
                let faults = check::check_search_answer(&id, body);
                self.recorder
                    .record_search(answer_latency, in_time, body, faults);
            }
            RequestKind::Run if body["outcome"].is_string() => {
                let faults = check::check_run_answer(&id, body);
                self.recorder
                    .record_run(&id, answer_latency, in_time, body, faults);
            }
            RequestKind::Search | RequestKind::Run => {
                let faults = check::check_refusal(body);
                self.recorder
                    .record_refusal(&id, arrival.kind, status, body, faults);
            }
        }
    }
}
