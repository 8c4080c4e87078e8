//! A runner: listens once it has booted, runs requests that name it, and turns away what exceeds its concurrency.

use http1::{write_response, MessageLimits, Request, RequestReader};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 8 << 20,
};

/// What a runner does with a request that names it and has an id. Returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Arc<Runner>, &Request, &mut TcpStream) -> bool + Send + Sync>;

/// One life of a runner.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub worker: String,
    pub zone: String,
    pub address: SocketAddr,
    pub concurrency: usize,
    pub in_flight: AtomicUsize,
    pub is_ended: AtomicBool,
    behaviour: Behaviour,
    streams: Mutex<HashMap<usize, TcpStream>>,
}

impl Runner {
    pub fn new(
        id: String,
        service: &str,
        (worker, zone): (&str, &str),
        address: SocketAddr,
        concurrency: usize,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        Arc::new(Self {
            id,
            service: service.into(),
            worker: worker.into(),
            zone: zone.into(),
            address,
            concurrency,
            in_flight: AtomicUsize::new(0),
            is_ended: AtomicBool::new(false),
            behaviour,
            streams: Mutex::default(),
        })
    }

    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }

    /// Starts to listen.
    pub fn boot(self: &Arc<Self>) {
        let Ok(listener) = TcpListener::bind(self.address) else {
            return;
        };
        let runner = Arc::clone(self);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if runner.is_ended() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    runner.streams.lock().unwrap().insert(number, copy);
                }
                let runner = Arc::clone(&runner);
                std::thread::spawn(move || {
                    runner.serve(stream);
                    runner.streams.lock().unwrap().remove(&number);
                });
            }
        });
    }

    /// Stops listening; requests that are being run go on.
    pub fn stop(&self) {
        if !self.is_ended.swap(true, Ordering::SeqCst) {
            let _ = TcpStream::connect(self.address);
        }
    }

    /// Ends at once.
    pub fn crash(&self) {
        self.stop();
        for (_, stream) in self.streams.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = RequestReader::new();
        let mut buffer = Vec::new();
        let mut scratch = vec![0; 16 << 10];
        loop {
            match reader.read(&mut buffer, &LIMITS) {
                Ok(Some(request)) => {
                    if !self.handle(&request, &mut stream) {
                        break;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => break,
            }
            match stream.read(&mut scratch) {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&scratch[..count]),
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn handle(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.headers.get_text("Request-Id").unwrap_or("");
        if request.headers.get_text("Target-Instance") != Some(&self.id) {
            return answer(
                stream,
                421,
                &[("Request-Id", id), ("Instance-Id", &self.id)],
                b"",
            );
        }
        if id.is_empty() {
            return answer(stream, 400, &[("Not-Run", "1")], b"");
        }
        let behaviour = Arc::clone(&self.behaviour);
        behaviour(self, request, stream)
    }
}

/// Writes an answer. Returns whether it was written.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    stream
        .write_all(&answer_bytes(status, headers, body))
        .is_ok()
}

/// The bytes of an answer.
pub fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| (*name, value.as_bytes()));
    write_response(&mut out, status, headers, body, true, false);
    out
}
