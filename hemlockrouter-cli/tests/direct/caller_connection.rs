//! A caller's connection as a plain socket, for tests that look at single bytes and closes.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::deployment::HOST;

/// The time for which a caller waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// A caller's connection, on which requests are written and answers read as plain text.
pub(crate) struct CallerConnection {
    pub(crate) stream: TcpStream,
    /// Number of requests that were sent and answered or cut.
    pub(crate) answers: usize,
}

/// The end of one request.
#[derive(Debug)]
pub(crate) enum Exchange {
    /// The connection had been closed before the request was sent.
    NotSent,
    /// A complete answer, with its status, and whether the connection is closed after it.
    Answered { status: u16, closes: bool },
    /// The connection ended without a complete answer.
    Cut,
}

impl CallerConnection {
    pub(crate) fn open(address: SocketAddr) -> Option<CallerConnection> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(CallerConnection { stream, answers: 0 })
    }

    /// Returns whether the other end has closed the connection, as far as this end knows.
    fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let is_open = peeked.is_err_and(|err| err.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_err() || !is_open
    }

    pub(crate) fn call(&mut self, path: &str, attempt_id: &str, deadline_ms: u64) -> Exchange {
        self.call_with_headers(path, attempt_id, deadline_ms, "")
    }

    /// Sends a request with further header lines, each of which ends with a line break.
    pub(crate) fn call_with_headers(
        &mut self,
        path: &str,
        attempt_id: &str,
        deadline_ms: u64,
        lines: &str,
    ) -> Exchange {
        if self.is_closed() {
            return Exchange::NotSent;
        }
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nHemlockrouter-Attempt-Id: {attempt_id}\r\n\
             Hemlockrouter-Deadline-Ms: {deadline_ms}\r\n{lines}\r\n"
        );
        if self.stream.write_all(request.as_bytes()).is_err() {
            return Exchange::Cut;
        }
        let answered = self.read_answer();
        self.answers += 1;
        answered.unwrap_or(Exchange::Cut)
    }

    /// Reads one complete answer with a `Content-Length`.
    pub(crate) fn read_answer(&mut self) -> Option<Exchange> {
        let mut answer = Vec::new();
        let mut chunk = [0; 4_096];
        loop {
            if let Some(end) = answer.windows(4).position(|text| text == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
                let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
                let body_bytes: usize = field("content-length: ")?.trim().parse().ok()?;
                if answer.len() >= end + 4 + body_bytes {
                    let status = head.split(' ').nth(1)?.parse().ok()?;
                    let closes = field("connection: ").is_some_and(|value| value == "close");
                    return Some(Exchange::Answered { status, closes });
                }
            }
            let read = self.stream.read(&mut chunk).ok()?;
            if read == 0 {
                return None;
            }
            answer.extend_from_slice(&chunk[..read]);
        }
    }
}
