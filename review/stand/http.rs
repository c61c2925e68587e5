//! Small HTTP/1.1 pieces for the stand-ins: blocking sockets, one exchange or one connection at a time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Returns the platform's name of something, from the table beside this file.
pub fn wire(name: &str) -> &'static str {
    let lines = include_str!("wire.txt").lines();
    let found = lines.filter_map(|line| line.split_once('=')).find(|(key, _)| *key == name);
    found.map(|(_, text)| text).unwrap_or_else(|| panic!("no wire name {name}"))
}

/// A message: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why a message could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFault {
    /// The connection was closed before the first byte.
    Closed,
    /// It was closed or reset within the message.
    Cut,
    /// The time was over.
    Late,
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    /// Reads more bytes; returns false at the end.
    pub fn fill(&mut self, until: Instant) -> Result<bool, ReadFault> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadFault::Late);
        }
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk) {
            Ok(0) => Ok(false),
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(true)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(ReadFault::Late)
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(true),
            Err(_) => Err(ReadFault::Cut),
        }
    }

    /// Reads a head: the first line and the headers.
    pub fn read_head(&mut self, until: Instant) -> Result<Message, ReadFault> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(parse_head(&String::from_utf8_lossy(&head)));
            }
            let empty = self.buffer.is_empty();
            match self.fill(until) {
                Ok(true) => {}
                Ok(false) | Err(ReadFault::Cut) if empty => return Err(ReadFault::Closed),
                Ok(false) => return Err(ReadFault::Cut),
                Err(fault) => return Err(fault),
            }
        }
    }

    fn read_line(&mut self, until: Instant) -> Result<String, ReadFault> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill(until)? {
                return Err(ReadFault::Cut);
            }
        }
    }

    fn read_bytes(&mut self, count: usize, until: Instant) -> Result<Vec<u8>, ReadFault> {
        while self.buffer.len() < count {
            if !self.fill(until)? {
                return Err(ReadFault::Cut);
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads one chunk of a chunked body; none after the last one.
    pub fn read_chunk(&mut self, until: Instant) -> Result<Option<Vec<u8>>, ReadFault> {
        let line = self.read_line(until)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ReadFault::Cut)?;
        if size == 0 {
            while !self.read_line(until)?.is_empty() {}
            return Ok(None);
        }
        let chunk = self.read_bytes(size, until)?;
        self.read_line(until)?;
        Ok(Some(chunk))
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, head: &Message, until: Instant) -> Result<Vec<u8>, ReadFault> {
        let chunked = head.header("transfer-encoding").is_some_and(|text| text.contains("chunked"));
        if chunked {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk(until)? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head.header("content-length").and_then(|text| text.trim().parse().ok());
        self.read_bytes(length.unwrap_or(0), until)
    }

    pub fn read_message(&mut self, until: Instant) -> Result<Message, ReadFault> {
        let mut message = self.read_head(until)?;
        message.body = self.read_body(&message, until)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn parse_head(text: &str) -> Message {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
    Message { first, headers: headers.collect(), body: Vec::new() }
}

/// Writes a message with a length.
pub fn compose(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call on a new connection; none if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let until = Instant::now() + limit;
    let mut connection = Connection::open(address, limit).ok()?;
    let host = address.to_string();
    let mut all = vec![("Connection", "close")];
    if headers.iter().all(|(key, _)| *key != "Host") {
        all.push(("Host", host.as_str()));
    }
    all.extend_from_slice(headers);
    if !connection.write(&compose(&format!("{method} {path} HTTP/1.1"), &all, body)) {
        return None;
    }
    connection.read_message(until).ok()
}
