//! HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line, without its end.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if the first line holds none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the path with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a field of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(other, _)| *other == name)?;
        Some(decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let digits = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (byte, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection on which messages are read and written.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            reader: BufReader::new(stream),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, timeout).map(Connection::new)
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.stream().set_read_timeout(Some(timeout));
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a message with a body of stated length or in chunks. An answer without either ends
    /// with its connection if `until_end` is set.
    pub fn read(&mut self, until_end: bool) -> io::Result<Message> {
        let mut message = Message::default();
        while message.start.is_empty() {
            message.start = self.line()?;
        }
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, String::from(value.trim())));
        }
        let length = message.header("content-length").map(str::parse::<usize>);
        if let Some(length) = length {
            message.body = vec![0; length.map_err(|_| io::ErrorKind::InvalidData)?];
            self.reader.read_exact(&mut message.body)?;
        } else if message.header("transfer-encoding").is_some() {
            message.body = self.chunks()?;
        } else if until_end {
            self.reader.read_to_end(&mut message.body)?;
        }
        Ok(message)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        self.reader.read_until(b'\n', &mut line)?;
        if line.pop() != Some(b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        String::from_utf8(line).map_err(|_| io::ErrorKind::InvalidData.into())
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = self.line()?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            self.reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Builds an answer with a body of stated length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
