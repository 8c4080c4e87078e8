//! HTTP/1.1 client: requests and connections.

use super::runner::response_body;
use http1::{write_request, MessageLimits, Response, ResponseReader};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 64 << 20,
};

/// Header with the milliseconds for which the client waits.
const TIME_LEFT: &str = "Time-Left";

/// Receive buffer of connections with a small window.
const SMALL_WINDOW_BYTES: usize = 4 << 10;

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    pub method: &'static str,
    pub host: String,
    pub target: String,
    pub id: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl ClientRequest {
    pub fn get(target: &str, id: &str) -> Self {
        Self {
            method: "GET",
            host: "one.example".into(),
            target: target.into(),
            id: id.into(),
            headers: vec![(TIME_LEFT, "4000".into())],
            body: Vec::new(),
        }
    }

    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Replaces the time for which the client waits.
    pub fn time_left(mut self, milliseconds: u64) -> Self {
        self.headers.retain(|(name, _)| *name != TIME_LEFT);
        self.with(TIME_LEFT, milliseconds)
    }

    pub fn post(mut self, body: &[u8]) -> Self {
        self.method = "POST";
        self.body = body.to_vec();
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let standard_headers = [
            ("Host", self.host.as_bytes()),
            ("Request-Id", self.id.as_bytes()),
        ];
        let standard_headers = standard_headers
            .into_iter()
            .filter(|(_, value)| !value.is_empty());
        let others = self.headers.iter();
        let headers = standard_headers.chain(others.map(|(name, value)| (*name, value.as_bytes())));
        write_request(&mut out, self.method, &self.target, headers, &self.body);
        out
    }

    /// The response body that a runner returns for this request.
    pub fn expected(&self, size: usize) -> Vec<u8> {
        response_body(&self.id, self.method, &self.target, &self.body, size)
    }
}

/// A client's connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Opens a connection with a small receive buffer, so that unread responses block the sender early.
    pub fn open_with_small_window(address: SocketAddr) -> Option<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
        socket.set_recv_buffer_size(SMALL_WINDOW_BYTES).ok()?;
        socket.connect(&address.into()).ok()?;
        Some(Self {
            stream: socket.into(),
            buffer: Vec::new(),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one complete response. Returns `None` if the connection closes, fails or times out first.
    pub fn receive(&mut self, within: Duration) -> Option<Response> {
        self.receive_as(false, within)
    }

    fn receive_as(&mut self, is_head: bool, within: Duration) -> Option<Response> {
        let deadline = Instant::now() + within;
        let mut reader = ResponseReader::new(is_head);
        let mut scratch = vec![0; 64 << 10];
        loop {
            if let Some(response) = reader.read(&mut self.buffer, &LIMITS).ok()? {
                return Some(response);
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            self.stream
                .set_read_timeout(Some(remaining.max(Duration::from_millis(1))))
                .ok()?;
            match self.stream.read(&mut scratch) {
                Ok(0) => return reader.end_of_stream(&mut self.buffer).ok()?,
                Ok(count) => self.buffer.extend_from_slice(&scratch[..count]),
                Err(_) => return None,
            }
        }
    }

    /// Reads one complete response slowly, in small parts, until `reads_fast` is set.
    pub fn receive_slowly(&mut self, reads_fast: &AtomicBool) -> Option<Response> {
        let mut scratch = vec![0; 64 << 10];
        while !reads_fast.load(Ordering::SeqCst) {
            let count = self
                .stream
                .read(&mut scratch)
                .ok()
                .filter(|count| *count > 0)?;
            self.buffer.extend_from_slice(&scratch[..count]);
            std::thread::sleep(Duration::from_millis(150));
        }
        self.receive(Duration::from_secs(3))
    }

    pub fn request(&mut self, request: &ClientRequest) -> Option<Response> {
        if !self.send(&request.bytes()) {
            return None;
        }
        self.receive_as(request.method == "HEAD", Duration::from_secs(8))
    }

    /// Whether the connection is closed with no unread data.
    pub fn is_at_end(&mut self, within: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(within));
        let mut byte = [0; 1];
        self.buffer.is_empty() && matches!(self.stream.read(&mut byte), Ok(0))
    }
}

/// Sends a request on a new connection.
pub fn send_request(address: SocketAddr, request: &ClientRequest) -> Option<Response> {
    Connection::open(address)?.request(request)
}

/// Sends raw bytes on a new connection. Returns the statuses of all responses until it closes or times out.
pub fn statuses(address: SocketAddr, bytes: &[u8], within: Duration) -> Vec<u16> {
    let mut connection = Connection::open(address).expect("the connection is refused");
    connection.send(bytes);
    std::iter::from_fn(|| connection.receive(within).map(|response| response.status)).collect()
}
