//! A client: requests with an id of their own, over connections of its own.

use http1::{write_request, MessageLimits, Response, ResponseReader};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 64 << 20,
};

/// A connection to a daemon.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one whole answer; `None` if the connection ends or the time is over before.
    pub fn receive(&mut self, within: Duration) -> Option<Response> {
        let deadline = Instant::now() + within;
        let mut reader = ResponseReader::new(false);
        let mut scratch = vec![0; 64 << 10];
        loop {
            if let Some(response) = reader.read(&mut self.buffer, &LIMITS).ok()? {
                return Some(response);
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            let left = left.max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left)).ok()?;
            match self.stream.read(&mut scratch) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.buffer.extend_from_slice(&scratch[..count]),
            }
        }
    }
}

/// The bytes of a request.
pub fn request_bytes(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| (*name, value.as_bytes()));
    write_request(&mut out, method, target, headers, body);
    out
}

/// Sends a request on a new connection and reads its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Option<Response> {
    let mut connection = Connection::open(address)?;
    connection.send(&request_bytes(method, target, headers, body));
    connection.receive(within)
}
