//! Stand-in for a client that keeps its connection open for many requests.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::record::Record;

pub const HOST: &str = "halls.example";

/// What became of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Message),
    /// The connection ended without an answer.
    Cut,
    /// The client's deadline passed.
    TimedOut,
    /// No connection could be opened, so that nothing was sent.
    NotSent,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt_id: String,
    /// Time at which it was sent, since the start of the record.
    pub at: Duration,
    /// Whether the connection was used before.
    pub on_kept_connection: bool,
    pub outcome: Outcome,
}

pub struct Client {
    record: Arc<Record>,
    front: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(record: &Arc<Record>, front: SocketAddr) -> Client {
        Client {
            record: Arc::clone(record),
            front,
            connection: None,
        }
    }

    /// Sends a request with an id of its own, and waits for the answer.
    pub fn call(&mut self, path: &str, deadline: Duration) -> Sent {
        static LAST_ID: AtomicU64 = AtomicU64::new(0);
        let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
        let attempt_id = format!("{:08x}{number:08x}", std::process::id());
        let on_kept_connection = self.connection.is_some();
        let at = self.record.elapsed();
        let outcome = self.exchange(path, deadline, &attempt_id);
        let text = match &outcome {
            Outcome::Answered(answer) => format!("{}", answer.status()),
            other => format!("{other:?}"),
        };
        let front = self.front;
        self.record.write(&format!(
            "request {attempt_id} for {path} to {front}, sent at {:.3}: {text}",
            at.as_secs_f64()
        ));
        let closes = match &outcome {
            Outcome::Answered(answer) => answer.header("connection") == Some("close"),
            _ => true,
        };
        if closes {
            self.connection = None;
        }
        Sent {
            attempt_id,
            at,
            on_kept_connection,
            outcome,
        }
    }

    fn exchange(&mut self, path: &str, deadline: Duration, attempt_id: &str) -> Outcome {
        if self.connection.is_none() {
            self.connection = Connection::open(self.front, Duration::from_secs(1)).ok();
        }
        let Some(connection) = self.connection.as_mut() else {
            return Outcome::NotSent;
        };
        connection.set_timeout(deadline);
        let deadline_ms = deadline.as_millis();
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nhemlockrouter-attempt-id: {attempt_id}\r\nhemlockrouter-deadline-ms: {deadline_ms}\r\n\r\n"
        );
        let result = connection.write(request.as_bytes());
        match result.and_then(|()| connection.read(true)) {
            Ok(answer) => Outcome::Answered(answer),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Outcome::TimedOut,
            Err(err) if err.kind() == io::ErrorKind::TimedOut => Outcome::TimedOut,
            Err(_) => Outcome::Cut,
        }
    }
}
