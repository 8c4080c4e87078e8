//! A client over HTTP/1.1: its requests and its connections.

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

/// Bytes that the system takes for a client that wants few.
const SMALL_WINDOW_BYTES: usize = 4 << 10;

/// A request as a client sends it.
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
            headers: vec![("Time-Left", "4000".into())],
            body: Vec::new(),
        }
    }

    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    pub fn post(mut self, body: &[u8]) -> Self {
        self.method = "POST";
        self.body = body.to_vec();
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let own = [
            ("Host", self.host.as_bytes()),
            ("Request-Id", self.id.as_bytes()),
        ];
        let own = own.into_iter().filter(|(_, value)| !value.is_empty());
        let others = self.headers.iter();
        let headers = own.chain(others.map(|(name, value)| (*name, value.as_bytes())));
        write_request(&mut out, self.method, &self.target, headers, &self.body);
        out
    }

    /// The body that a runner answers this with.
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

    /// Opens a connection on which the system takes few bytes that the client has not read.
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

    /// One complete response; none where the connection ends, breaks or is silent before that.
    pub fn receive(&mut self, within: Duration) -> Option<Response> {
        self.receive_as(false, within)
    }

    fn receive_as(&mut self, is_head: bool, within: Duration) -> Option<Response> {
        let ends_at = Instant::now() + within;
        let mut reader = ResponseReader::new(is_head);
        let mut scratch = vec![0; 64 << 10];
        loop {
            if let Some(response) = reader.read(&mut self.buffer, &LIMITS).ok()? {
                return Some(response);
            }
            let left = ends_at.checked_duration_since(Instant::now())?;
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
            match self.stream.read(&mut scratch) {
                Ok(0) => return reader.end_of_stream(&mut self.buffer).ok()?,
                Ok(count) => self.buffer.extend_from_slice(&scratch[..count]),
                Err(_) => return None,
            }
        }
    }

    /// One complete response, of which a slow client reads little at a time until it has to read fast.
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

    /// The connection gives nothing more: it ended without another byte.
    pub fn is_at_end(&mut self, within: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(within));
        let mut byte = [0; 1];
        self.buffer.is_empty() && matches!(self.stream.read(&mut byte), Ok(0))
    }
}

/// Asks on a connection of its own.
pub fn send_request(address: SocketAddr, request: &ClientRequest) -> Option<Response> {
    Connection::open(address)?.request(request)
}

/// Sends bytes on a connection of their own: the statuses of all responses until it ends or is silent.
pub fn statuses(address: SocketAddr, bytes: &[u8], within: Duration) -> Vec<u16> {
    let mut connection = Connection::open(address).expect("nobody takes connections");
    connection.send(bytes);
    std::iter::from_fn(|| connection.receive(within).map(|response| response.status)).collect()
}
