//! Stand-ins for replicas, which register themselves in the store and record what they run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Message;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The properties of a replica.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    /// Number of requests that run at once.
    pub slots: usize,
    /// Number of requests that wait; further ones are rejected.
    pub queue: usize,
    pub work: Duration,
    /// Time that a request is on its way.
    pub transit: Duration,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub service: String,
    pub replica: String,
    pub at: Instant,
}

/// All runs at all replicas.
#[derive(Clone, Default)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns how often each request has run.
    pub fn by_attempt(&self) -> HashMap<String, Vec<Run>> {
        let mut by_attempt: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.all() {
            by_attempt.entry(run.attempt.clone()).or_default().push(run);
        }
        by_attempt
    }
}

/// A running replica.
#[derive(Clone)]
pub struct Replica {
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    address: SocketAddr,
    kind: Kind,
    born_ms: u64,
    sequence: AtomicU64,
    store: Store,
    runs: Runs,
    record: Record,
    /// Requests that run and requests that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    /// Whether every `repeat_every`th answer is sent a second time, late.
    repeats: AtomicBool,
    /// The name of the header with the signature has a wrong byte in every `spoil_every`th answer.
    spoil_every: AtomicU64,
    spoilt: AtomicU64,
    repeat_every: AtomicU64,
    answers: AtomicU64,
    repeated: AtomicU64,
    repeated_rejections: AtomicU64,
}

impl Replica {
    pub fn start(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Store,
        runs: &Runs,
        record: &Record,
    ) -> std::io::Result<Replica> {
        let listener = TcpListener::bind(address)?;
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let replica = Replica {
            shared: Arc::new(Shared {
                id: String::from(id),
                address,
                kind,
                born_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
                sequence: AtomicU64::new(0),
                store: store.clone(),
                runs: runs.clone(),
                record: record.clone(),
                load: Mutex::new((0, 0)),
                freed: Condvar::new(),
                repeats: AtomicBool::new(false),
                spoil_every: AtomicU64::new(u64::MAX),
                spoilt: AtomicU64::new(0),
                repeat_every: AtomicU64::new(u64::MAX),
                answers: AtomicU64::new(0),
                repeated: AtomicU64::new(0),
                repeated_rejections: AtomicU64::new(0),
            }),
        };
        let served = Arc::clone(&replica.shared);
        http::serve(listener, move |stream| served.serve(&stream));
        replica.shared.register();
        let beating = Arc::clone(&replica.shared);
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            beating.register();
        });
        Ok(replica)
    }

    /// Lets every `every`th answer be sent a second time, when the next request on the connection
    /// has arrived. `None` ends this.
    pub fn repeat_answers(&self, every: Option<u64>) {
        let shared = &self.shared;
        shared
            .repeat_every
            .store(every.unwrap_or(u64::MAX), Ordering::Relaxed);
        shared.repeats.store(every.is_some(), Ordering::Relaxed);
    }

    /// Lets one byte be wrong in every `every`th answer of a run: a letter in the name of the header
    /// with the signature. `None` ends this.
    pub fn spoil_answers(&self, every: Option<u64>) {
        let every = every.unwrap_or(u64::MAX);
        self.shared.spoil_every.store(every, Ordering::Relaxed);
    }

    /// Returns the number of answers with a wrong byte.
    pub fn spoilt(&self) -> u64 {
        self.shared.spoilt.load(Ordering::Relaxed)
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the number of answers, of answers sent twice, and of rejections among the latter.
    pub fn counts(&self) -> (u64, u64, u64) {
        let shared = &self.shared;
        (
            shared.answers.load(Ordering::Relaxed),
            shared.repeated.load(Ordering::Relaxed),
            shared.repeated_rejections.load(Ordering::Relaxed),
        )
    }
}

impl Shared {
    fn register(&self) {
        let (key, entry) = self.entry();
        self.store.put(&key, &entry);
    }

    /// Returns the key of the next entry, and the entry.
    fn entry(&self) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"capacity\":{},\
             \"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            quote(&self.kind.service),
            self.address,
            quote(&self.kind.zone),
            self.kind.slots,
            self.born_ms
        );
        (format!("servers/{}", self.id), entry)
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut owed_copy: Option<Vec<u8>> = None;
        while let Some(request) = http::read_message(&mut reader) {
            std::thread::sleep(self.kind.transit);
            let mut writer = stream;
            if let Some(copy) = owed_copy.take() {
                if writer.write_all(&copy).is_err() {
                    return;
                }
            }
            let (answer, is_rejection) = self.answer(&request);
            let number = self.answers.fetch_add(1, Ordering::Relaxed);
            let every = self.repeat_every.load(Ordering::Relaxed);
            if self.repeats.load(Ordering::Relaxed) && number % every == 0 {
                self.repeated.fetch_add(1, Ordering::Relaxed);
                if is_rejection {
                    self.repeated_rejections.fetch_add(1, Ordering::Relaxed);
                }
                let attempt = request.header("hemlockrouter-attempt-id").unwrap_or("-");
                let status = if is_rejection { 503 } else { 200 };
                self.record.write(&format!(
                    "{} answer {attempt} {status} is sent twice",
                    self.id
                ));
                owed_copy = Some(answer.clone());
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Handles a request, and returns the answer and whether it states that nothing ran.
    fn answer(&self, request: &Message) -> (Vec<u8>, bool) {
        let attempt = request.header("hemlockrouter-attempt-id").unwrap_or("");
        if request.target() == "/health" {
            let headers = [("Hemlockrouter-Instance-Id", self.id.as_str())];
            return (http::response(200, &headers, b""), true);
        }
        let target = request.header("hemlockrouter-target-instance");
        if target.is_some_and(|target| target != self.id) {
            let headers = [
                ("Hemlockrouter-Attempt-Id", attempt),
                ("Hemlockrouter-Instance-Id", self.id.as_str()),
            ];
            return (http::response(421, &headers, b""), true);
        }
        if !self.enter() {
            let headers = [
                ("Hemlockrouter-Attempt-Id", attempt),
                ("Hemlockrouter-Not-Executed", "1"),
            ];
            self.record.write(&format!("{} rejects {attempt}", self.id));
            return (http::response(503, &headers, b""), true);
        }
        self.record.write(&format!("{} runs {attempt}", self.id));
        self.runs.runs.lock().unwrap().push(Run {
            attempt: String::from(attempt),
            service: self.kind.service.clone(),
            replica: self.id.clone(),
            at: Instant::now(),
        });
        std::thread::sleep(self.kind.work);
        self.leave();
        let seal = format!("{}.{attempt}", self.id);
        let mut headers = BTreeMap::new();
        headers.insert("Hemlockrouter-Attempt-Id", attempt);
        let every = self.spoil_every.load(Ordering::Relaxed);
        let number = self.answers.load(Ordering::Relaxed);
        let seal_name = if every != u64::MAX && number % every == 0 {
            self.spoilt.fetch_add(1, Ordering::Relaxed);
            self.record
                .write(&format!("{} answer {attempt} has a wrong byte", self.id));
            "Hemlockrouter-Response-Sead"
        } else {
            "Hemlockrouter-Response-Seal"
        };
        headers.insert(seal_name, seal.as_str());
        let headers: Vec<(&str, &str)> = headers.into_iter().collect();
        let body = format!("{} {}", self.kind.service, attempt);
        (http::response(200, &headers, body.as_bytes()), false)
    }

    /// Waits for a slot. Returns `false` if the queue is full.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.kind.slots {
            if load.1 >= self.kind.queue {
                return false;
            }
            load.1 += 1;
            while load.0 >= self.kind.slots {
                load = self.freed.wait(load).unwrap();
            }
            load.1 -= 1;
        }
        load.0 += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}
