//! As much of HTTP/1.1 as the stand-ins need, over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer, read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(one, _)| one.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Some(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one message; `None` at the end of the connection or after the time.
    pub fn read(&mut self, within: Duration) -> Option<Message> {
        let until = Instant::now() + within;
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            self.fill(until)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_string(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let pair = (name.to_string(), value.trim().to_string());
                message.headers.push(pair);
            }
        }
        let is_chunked = message.header("Transfer-Encoding").is_some();
        if is_chunked {
            loop {
                let line_end = loop {
                    if let Some(at) = find(&self.buffer, b"\r\n") {
                        break at;
                    }
                    self.fill(until)?;
                };
                let line = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
                self.buffer.drain(..line_end + 2);
                let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
                let chunk = self.take(size + 2, until)?;
                message.body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message
                .header("Content-Length")
                .map_or(Some(0), |text| text.parse().ok())?;
            message.body = self.take(length, until)?;
        }
        Some(message)
    }

    fn take(&mut self, length: usize, until: Instant) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill(until)?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self, until: Instant) -> Option<()> {
        let left = until.checked_duration_since(Instant::now())?;
        let left = left.max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left)).ok()?;
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => None,
            Ok(length) => {
                self.buffer.extend_from_slice(&bytes[..length]);
                Some(())
            }
        }
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// An answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if method != "GET" || !body.is_empty() {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// One call on a new connection.
pub fn call(address: SocketAddr, bytes: &[u8], within: Duration) -> Option<Message> {
    let mut connection = Connection::open(address)?;
    connection.send(bytes);
    connection.read(within)
}
