//! Small helpers of the stand-ins: random numbers, base64, JSON and HTTP/1.1 messages.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static RANDOM_STATE: AtomicU64 = AtomicU64::new(0);

/// Seeds the random numbers; 0 takes the time of day.
pub fn seed_random(seed: u64) {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64);
    RANDOM_STATE.store(if seed == 0 { nanos } else { seed }, Ordering::Relaxed);
}

/// Returns a random number.
pub fn random() -> u64 {
    let mut z = RANDOM_STATE.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Mixes a text and a number into a hash.
pub fn hash(text: &[u8], number: u64) -> u64 {
    let mut value = 0xcbf2_9ce4_8422_2325 ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    for byte in text {
        value = (value ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
    }
    value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^ (value >> 33)
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(BASE64[(bits >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return Some(Json::Text(String::from_utf8(text).ok()?)),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        text.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            other => other,
                        });
                    }
                    byte => text.push(byte),
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

/// HTTP/1.1 message: the first line, the headers with lower-case names, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at `index`.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; fails at the end of the stream.
    pub fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    /// Reads the head of a message; the body is empty.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if self.buffer.len() > 65_536 {
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message { first_line: lines.next().unwrap_or("").to_string(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
            }
        }
        Ok(message)
    }

    /// Reads the body that belongs to `message`. `to_end` says that a body without a length ends with
    /// the connection.
    pub fn read_body(&mut self, message: &mut Message, to_end: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.read_line()?;
                let size = size.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(());
                }
                while self.buffer.len() < size + 2 {
                    self.fill()?;
                }
                message.body.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
            }
        }
        if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            while self.buffer.len() < length {
                self.fill()?;
            }
            message.body = self.buffer.drain(..length).collect();
        } else if to_end {
            loop {
                match self.fill() {
                    Ok(()) => {}
                    Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => break,
                    Err(err) => return Err(err),
                }
            }
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a whole request.
    pub fn read_request(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, false)?;
        Ok(message)
    }

    /// Reads a whole response, over interim ones.
    pub fn read_response(&mut self) -> io::Result<Message> {
        loop {
            let mut message = self.read_head()?;
            if (100..200).contains(&message.status()) {
                continue;
            }
            self.read_body(&mut message, true)?;
            return Ok(message);
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Writes a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the milliseconds since `start`.
pub fn ms_since(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
