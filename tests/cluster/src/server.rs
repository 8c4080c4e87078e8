//! A minimal HTTP/1.1 server for the simulated platform and its runners.

use http1::{MessageLimits, Request, RequestReader};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 8 << 20,
};

/// Open connections by number. An entry must be removed when its connection ends: the duplicate descriptor would prevent a reset.
type Streams = Arc<Mutex<HashMap<usize, TcpStream>>>;

/// A server with one thread per connection.
pub struct Server {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Streams,
}

impl Server {
    /// Starts listening. The handler writes the response to each request and returns whether the connection stays open.
    pub fn open<H>(address: SocketAddr, handler: H) -> Self
    where
        H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"));
        let is_closed = Arc::new(AtomicBool::new(false));
        let streams = Streams::default();
        let server = Self {
            address,
            is_closed: Arc::clone(&is_closed),
            streams: Arc::clone(&streams),
        };
        let handler = Arc::new(handler);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(duplicate) = stream.try_clone() {
                    streams.lock().unwrap().insert(number, duplicate);
                }
                let handler = Arc::clone(&handler);
                let streams = Arc::clone(&streams);
                std::thread::spawn(move || {
                    let mut stream = stream;
                    serve_connection(&mut stream, &*handler);
                    streams.lock().unwrap().remove(&number);
                });
            }
        });
        server
    }

    /// Stops accepting connections; open ones stay open.
    pub fn stop_listening(&self) {
        if !self.is_closed.swap(true, Ordering::SeqCst) {
            // Wakes the listening thread, which then ends.
            let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        }
    }

    /// Stops accepting connections and shuts down the open ones.
    pub fn close(&self) {
        self.stop_listening();
        self.close_connections();
    }

    /// Closes the open connections but keeps accepting new ones.
    pub fn close_connections(&self) {
        for (_, stream) in self.streams.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

/// Ends a connection. With a linger time of zero, dropping it sends RST; otherwise it is shut down gracefully.
fn end(stream: &TcpStream) {
    let linger = SockRef::from(stream).linger();
    let is_reset = matches!(linger, Ok(Some(wait)) if wait.is_zero());
    if !is_reset {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn serve_connection<H>(stream: &mut TcpStream, handler: &H)
where
    H: Fn(&Request, &mut TcpStream) -> bool,
{
    let _ = stream.set_nodelay(true);
    let mut reader = RequestReader::new();
    let mut buffer = Vec::new();
    let mut scratch = vec![0; 16 << 10];
    loop {
        match reader.read(&mut buffer, &LIMITS) {
            Ok(Some(request)) if handler(&request, stream) => continue,
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => return end(stream),
        }
        match stream.read(&mut scratch) {
            Ok(0) | Err(_) => return,
            Ok(count) => buffer.extend_from_slice(&scratch[..count]),
        }
    }
}
