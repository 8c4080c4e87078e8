use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Callers for each front.
const CALLERS_EACH: usize = 2;

#[derive(Default)]
struct Counts {
    asked: AtomicUsize,
    kept: AtomicUsize,
    cut: AtomicUsize,
}

/// Callers that ask on and on over one connection, as long as the front keeps it.
pub struct KeepingOn {
    is_over: Arc<AtomicBool>,
    counts: Arc<Counts>,
    callers: Vec<JoinHandle<()>>,
}

impl KeepingOn {
    /// Begins to ask a function at each front.
    pub fn begin(fronts: Vec<SocketAddr>, function: &str, kind: &str) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(Counts::default());
        let places = (0..fronts.len()).flat_map(|place| [place; CALLERS_EACH]);
        let callers = places.map(|place| {
            let (is_over, counts, fronts) = (is_over.clone(), counts.clone(), fronts.clone());
            let ask = format!(
                "POST /call/{function} HTTP/1.1\r\nhost: x\r\nhallkeel-kind: {kind}\r\n\
                 content-type: application/json\r\ncontent-length: 2\r\n\r\n{{}}"
            );
            thread::spawn(move || {
                let mut place = place;
                while !is_over.load(Ordering::SeqCst) {
                    ask_on(fronts[place % fronts.len()], &ask, &is_over, &counts);
                    place += 1;
                    thread::sleep(Duration::from_millis(20));
                }
            })
        });
        let callers = callers.collect();
        Self {
            is_over,
            counts,
            callers,
        }
    }

    /// Ends the callers, and gives how often they asked, how often on a connection that was used
    /// before, and how often they were cut off after they had asked.
    pub fn end(self) -> (usize, usize, usize) {
        self.is_over.store(true, Ordering::SeqCst);
        for caller in self.callers {
            let _ = caller.join();
        }
        let reported = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        let counts = &self.counts;
        (
            reported(&counts.asked),
            reported(&counts.kept),
            reported(&counts.cut),
        )
    }
}

fn ask_on(front: SocketAddr, ask: &str, is_over: &AtomicBool, counts: &Counts) {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(2)) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(TIMEOUT));
    let mut is_kept = false;
    while !is_over.load(Ordering::SeqCst) {
        counts.asked.fetch_add(1, Ordering::SeqCst);
        counts
            .kept
            .fetch_add(usize::from(is_kept), Ordering::SeqCst);
        let answered = stream
            .write_all(ask.as_bytes())
            .and_then(|()| read(&mut stream));
        match answered {
            Err(_) => {
                counts.cut.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Ok(()) => is_kept = true,
        }
        thread::sleep(Duration::from_millis(50));
        if is_closed(&stream) {
            return;
        }
    }
}

/// Whether the front has closed the connection since its last answer, as callers look before they use
/// one again.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0)) || peeked.is_err_and(|error| error.kind() != io::ErrorKind::WouldBlock)
}

/// Reads one whole answer.
fn read(stream: &mut TcpStream) -> io::Result<()> {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let count = stream.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&part[..count]);
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
