//! Stand-ins for clients.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::random::Random;
use crate::record::Record;

pub const HOST: &str = "halls.example";

/// A client with one connection, which it keeps open.
pub struct Client {
    random: Random,
    record: Record,
    connection: Option<(SocketAddr, TcpStream)>,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub attempt: String,
    /// The answer; `None` if the connection ended or the deadline passed without a complete one.
    pub answer: Option<Message>,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

impl Client {
    pub fn new(seed: u64, record: &Record) -> Client {
        Client {
            random: Random::new(seed),
            record: record.clone(),
            connection: None,
        }
    }

    /// Sends one attempt with an id of its own.
    pub fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        deadline_ms: u64,
    ) -> Outcome {
        let attempt = format!("{:016x}", self.random.next());
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nHemlockrouter-Attempt-Id: {attempt}\r\n\
             Hemlockrouter-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.record
            .write(&format!("client sends {attempt} {method} {path} to {to}"));
        let request = [head.as_bytes(), body].concat();
        let answer = self.exchange(to, &request, Duration::from_millis(deadline_ms));
        let status = answer.as_ref().map_or(0, Message::status);
        self.record
            .write(&format!("client gets {attempt} {status}"));
        Outcome { attempt, answer }
    }

    fn exchange(&mut self, to: SocketAddr, request: &[u8], wait: Duration) -> Option<Message> {
        let kept = self.connection.take().filter(|(address, _)| *address == to);
        let stream = match kept {
            Some((_, stream)) => stream,
            None => TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?,
        };
        stream.set_nodelay(true).ok()?;
        // The answer may be on its way at the deadline.
        let wait = wait + Duration::from_millis(500);
        stream.set_read_timeout(Some(wait)).ok()?;
        (&stream).write_all(request).ok()?;
        let answer = http::read_message(&mut BufReader::new(&stream))?;
        let closes = answer
            .header("connection")
            .is_some_and(|value| value.contains("close"));
        if !closes {
            self.connection = Some((to, stream));
        }
        Some(answer)
    }
}
