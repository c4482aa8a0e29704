//! HTTP/1.1 messages over blocking sockets.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(other, _)| other == name)?;
        Some(value)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns a field of a request's query.
    pub fn query(&self, name: &str) -> &str {
        let (_, query) = self.target().split_once('?').unwrap_or_default();
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(other, _)| *other == name)
            .map_or("", |(_, value)| value)
    }
}

/// Reads one message. Returns `None` at the end of the connection, or if the message is incomplete.
pub fn read_message<R>(reader: &mut BufReader<R>) -> Option<Message>
where
    R: Read,
{
    let mut message = Message {
        first_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let value = String::from(value.trim());
        message.headers.push((name.to_ascii_lowercase(), value));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"));
    if is_chunked {
        message.body = read_chunks(reader)?;
    } else {
        let length = message.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn read_line<R>(reader: &mut BufReader<R>) -> Option<String>
where
    R: Read,
{
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).ok()
}

fn read_chunks<R>(reader: &mut BufReader<R>) -> Option<Vec<u8>>
where
    R: Read,
{
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let digits = line.split(';').next()?.trim();
        let length = usize::from_str_radix(digits, 16).ok()?;
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk).ok()?;
        body.append(&mut chunk);
        // The line end after a chunk, or the empty line after the last one.
        read_line(reader)?;
        if length == 0 {
            return Some(body);
        }
    }
}

/// Builds a response with a body of a stated length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// Accepts connections on `listener` and runs `serve` for each in its own thread.
pub fn serve<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Sends one request on a new connection and returns the response; `None` if there is no complete
/// response within `timeout`.
pub fn call(to: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    (&stream).write_all(request).ok()?;
    read_message(&mut BufReader::new(&stream))
}
