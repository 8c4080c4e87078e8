//! HTTP/1.1 messages for the stand-ins: one request or response at a time on a blocking stream.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Name and value of a header.
pub type Header = (String, String);

/// A message head with its body. `first` is the request line or the status line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Reads one message. Returns `None` if the peer closed before its first byte. `rest` holds bytes that were read after
/// the end of the previous message.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut scratch = [0; 16 << 10];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut scratch)? {
            0 if rest.is_empty() => return Ok(None),
            0 => return Err(invalid("closed within a head")),
            count => rest.extend_from_slice(&scratch[..count]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_string(), value.trim().to_string()));
    let mut message = Message {
        first,
        headers: headers.collect(),
        body: Vec::new(),
    };
    let length = message.header("Content-Length").unwrap_or("0").parse();
    let length: usize = length.map_err(|_| invalid("no length"))?;
    while rest.len() < length {
        match stream.read(&mut scratch)? {
            0 => return Err(invalid("closed within a body")),
            count => rest.extend_from_slice(&scratch[..count]),
        }
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

/// Bytes of a message with a length.
pub fn message_bytes(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends a response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let first = format!("HTTP/1.1 {status} -");
    stream.write_all(&message_bytes(&first, headers, body))
}

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    /// Connects within a second.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self {
            stream,
            rest: Vec::new(),
        })
    }

    /// Sends a request and reads its response; `None` if the connection ended without one.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Option<Message>> {
        let first = format!("{method} {target} HTTP/1.1");
        self.stream
            .write_all(&message_bytes(&first, headers, body))?;
        read_message(&mut self.stream, &mut self.rest)
    }
}

/// One request on a connection of its own.
pub fn call_once(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Option<Message>> {
    let mut connection = Connection::open(address, Duration::from_secs(5))?;
    connection.call(method, target, headers, body)
}

/// Repeats an attempt until it succeeds or the time is over.
pub fn wait_for(limit: Duration, mut attempt: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if attempt() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
