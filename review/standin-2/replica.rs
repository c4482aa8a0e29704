//! Stand-in for a replica of a service.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{answer, Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// Interval between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a replica has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt_id: String,
    pub replica: String,
    /// Time at which it arrived, since the start of the record.
    pub at: Duration,
}

/// What a replica says of itself in the store.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub draining: bool,
    /// How much longer the replica is cold.
    pub warmup_left_ms: u64,
    pub born_ms: u64,
    pub sequence: u64,
}

impl Entry {
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn value(&self) -> String {
        self.value_with_sequence(self.sequence)
    }

    pub fn value_with_sequence(&self, sequence: u64) -> String {
        let Entry {
            service,
            zone,
            address,
            warmup_left_ms,
            born_ms,
            ..
        } = self;
        let state = if self.draining { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","capacity":8,"state":"{state}","warmupLeftMs":{warmup_left_ms},"sequence":{sequence},"born":{born_ms}}}"#
        )
    }
}

/// A replica. It writes to the store only when the case says so, or with [`Replica::heartbeat`].
pub struct Replica {
    pub entry: Mutex<Entry>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    is_up: AtomicBool,
    is_leaving: AtomicBool,
    /// Open connections.
    streams: Mutex<Vec<TcpStream>>,
    work: Duration,
    record: Arc<Record>,
    seals: AtomicU64,
}

impl Replica {
    /// Starts a replica on a free port of `ip`. All replicas share `runs`.
    pub fn start(
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
        ip: &str,
        (id, service, zone): (&str, &str, &str),
        work: Duration,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let entry = Entry {
            id: String::from(id),
            service: String::from(service),
            zone: String::from(zone),
            address: listener.local_addr().expect("the port is bound"),
            draining: false,
            warmup_left_ms: 0,
            born_ms: unix_ms(),
            sequence: 0,
        };
        let replica = Arc::new(Replica {
            entry: Mutex::new(entry),
            runs: Arc::clone(runs),
            is_up: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            streams: Mutex::default(),
            work,
            record: Arc::clone(record),
            seals: AtomicU64::new(0),
        });
        let served = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&served);
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    pub fn id(&self) -> String {
        self.entry
            .lock()
            .expect("no thread panics with the lock")
            .id
            .clone()
    }

    /// Says how much longer the replica is cold.
    pub fn set_warmup_left_ms(&self, warmup_left_ms: u64) {
        let mut entry = self.entry.lock().expect("no thread panics with the lock");
        entry.warmup_left_ms = warmup_left_ms;
    }

    /// Counts the next write of this replica, and returns it.
    pub fn next_write(&self) -> Entry {
        let mut entry = self.entry.lock().expect("no thread panics with the lock");
        entry.sequence += 1;
        entry.clone()
    }

    /// Makes the next write of this replica.
    pub fn write(&self, store: &Store) {
        store.write_entry(&self.next_write());
    }

    /// Crashes: all connections break, and new ones are closed at once.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::Relaxed);
        let mut streams = self.streams.lock().expect("no thread panics with the lock");
        for stream in streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under the same id: the replica knows nothing of before, and its counts start
    /// anew.
    pub fn start_again(&self) {
        let mut entry = self.entry.lock().expect("no thread panics with the lock");
        entry.born_ms = unix_ms();
        entry.sequence = 0;
        entry.draining = false;
        self.is_up.store(true, Ordering::Relaxed);
    }

    /// Begins to leave: all answers and the next write say so.
    pub fn leave(&self) {
        let mut entry = self.entry.lock().expect("no thread panics with the lock");
        entry.draining = true;
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    fn serve(&self, stream: TcpStream) {
        if !self.is_up.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(stream) = stream.try_clone() {
            self.streams
                .lock()
                .expect("no thread panics with the lock")
                .push(stream);
        }
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read(false) {
            let answer = self.handle(&request);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let id = self.id();
        let attempt_id = request.header("hemlockrouter-attempt-id").unwrap_or("");
        let mut headers = vec![("hemlockrouter-attempt-id", attempt_id)];
        let target = request.header("hemlockrouter-target-instance");
        if target.is_some_and(|target| target != id) {
            headers.push(("hemlockrouter-not-executed", "1"));
            return answer(421, &headers, b"");
        }
        if attempt_id.is_empty() {
            headers.push(("hemlockrouter-not-executed", "1"));
            return answer(400, &headers, b"");
        }
        self.record.write(&format!("run {attempt_id} by {id}"));
        self.runs
            .lock()
            .expect("no thread panics with the lock")
            .push(Run {
                attempt_id: String::from(attempt_id),
                replica: id.clone(),
                at: self.record.elapsed(),
            });
        thread::sleep(self.work);
        let seal = format!(
            "{id}.{}.{attempt_id}",
            self.seals.fetch_add(1, Ordering::Relaxed)
        );
        headers.push(("hemlockrouter-response-seal", &seal));
        if self.is_leaving.load(Ordering::Relaxed) {
            headers.push(("server-leaving", "1"));
        }
        answer(
            200,
            &headers,
            format!("done by {id} for {attempt_id}").as_bytes(),
        )
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
