use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Number of callers for each front.
const CALLERS_EACH: usize = 2;

#[derive(Default)]
struct Counts {
    requests: AtomicUsize,
    reused: AtomicUsize,
    aborted: AtomicUsize,
}

/// Callers that send one request after another over a connection for as long as the front keeps it open.
pub struct KeepAliveCallers {
    stop_requested: Arc<AtomicBool>,
    counts: Arc<Counts>,
    callers: Vec<JoinHandle<()>>,
}

impl KeepAliveCallers {
    /// Starts threads that call a function at each front.
    pub fn start(fronts: Vec<SocketAddr>, function: &str, kind: &str) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(Counts::default());
        let indexes = (0..fronts.len()).flat_map(|index| [index; CALLERS_EACH]);
        let callers = indexes.map(|index| {
            let (stop_requested, counts, fronts) =
                (stop_requested.clone(), counts.clone(), fronts.clone());
            let request = format!(
                "POST /call/{function} HTTP/1.1\r\nhost: x\r\nhallkeel-kind: {kind}\r\n\
                 content-type: application/json\r\ncontent-length: 2\r\n\r\n{{}}"
            );
            thread::spawn(move || {
                let mut index = index;
                while !stop_requested.load(Ordering::SeqCst) {
                    call_repeatedly(
                        fronts[index % fronts.len()],
                        &request,
                        &stop_requested,
                        &counts,
                    );
                    index += 1;
                    thread::sleep(Duration::from_millis(20));
                }
            })
        });
        let callers = callers.collect();
        Self {
            stop_requested,
            counts,
            callers,
        }
    }

    /// Stops the callers. Returns the number of requests, of requests on a reused connection, and of
    /// requests that failed on an open connection.
    pub fn stop(self) -> (usize, usize, usize) {
        self.stop_requested.store(true, Ordering::SeqCst);
        for caller in self.callers {
            let _ = caller.join();
        }
        let load = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        let counts = &self.counts;
        (
            load(&counts.requests),
            load(&counts.reused),
            load(&counts.aborted),
        )
    }
}

fn call_repeatedly(front: SocketAddr, request: &str, stop_requested: &AtomicBool, counts: &Counts) {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(2)) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(TIMEOUT));
    let mut is_reused = false;
    while !stop_requested.load(Ordering::SeqCst) {
        counts.requests.fetch_add(1, Ordering::SeqCst);
        counts
            .reused
            .fetch_add(usize::from(is_reused), Ordering::SeqCst);
        let result = stream
            .write_all(request.as_bytes())
            .and_then(|()| read_response(&mut stream));
        match result {
            Err(_) => {
                counts.aborted.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Ok(()) => is_reused = true,
        }
        thread::sleep(Duration::from_millis(50));
        if is_closed(&stream) {
            return;
        }
    }
}

/// Whether the front has closed the connection since its last response. Callers check this before they
/// reuse a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0)) || peeked.is_err_and(|error| error.kind() != io::ErrorKind::WouldBlock)
}

/// Reads one complete response.
fn read_response(stream: &mut TcpStream) -> io::Result<()> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..count]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&bytes).map_err(io::Error::other)?;
        let httparse::Status::Complete(head) = parsed else {
            continue;
        };
        let value = |name: &str| {
            let mut headers = response.headers.iter();
            let found = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(found.value).ok()
        };
        let length = value("content-length").and_then(|text| text.parse::<usize>().ok());
        if bytes.len() - head >= length.unwrap_or(0) {
            return Ok(());
        }
    }
}
