use crate::frame::{decode, encode};
use crate::inbound::{listen, Handler, WireCounts};
use crate::message::{Envelope, PeerMessage, PeerRole};
use configuration::PeerRef;
use crossbeam::channel::{bounded, Receiver, Sender};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MAX_LINKS: usize = 256;
const MAX_QUEUED_MESSAGES: usize = 4_096;
const MAX_PENDING_CALLS: usize = 8_192;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Requests without a response after this time may be dropped, once [`MAX_PENDING_CALLS`] are pending.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

type ResponseCallback = Box<dyn FnOnce(PeerMessage) + Send>;

#[derive(Default)]
struct PendingCalls {
    waiting: Mutex<HashMap<u64, (Instant, ResponseCallback)>>,
}

impl PendingCalls {
    fn add(&self, number: u64, on_response: ResponseCallback) -> bool {
        let mut waiting = self.waiting.lock();
        if waiting.len() >= MAX_PENDING_CALLS {
            waiting.retain(|_, (sent_at, _)| sent_at.elapsed() < RESPONSE_TIMEOUT);
            if waiting.len() >= MAX_PENDING_CALLS {
                return false;
            }
        }
        waiting.insert(number, (Instant::now(), on_response));
        true
    }

    fn complete(&self, number: u64, body: PeerMessage) {
        let found = self.waiting.lock().remove(&number);
        if let Some((_, on_response)) = found {
            on_response(body);
        }
    }
}

/// Links to the other daemons: one outgoing queue and connection for each, connected when there is a message to
/// send.
pub struct Links {
    me: (PeerRef, String, PeerRole),
    outgoing: Mutex<HashMap<String, Sender<Envelope>>>,
    pending: Arc<PendingCalls>,
    next_number: AtomicU64,
    counts: Arc<WireCounts>,
}

impl Links {
    /// Creates the links of a daemon that others reach at `address`.
    pub fn new(me: PeerRef, address: SocketAddr, role: PeerRole) -> Self {
        Self {
            me: (me, address.to_string(), role),
            outgoing: Mutex::default(),
            pending: Arc::default(),
            next_number: AtomicU64::new(1),
            counts: Arc::default(),
        }
    }

    /// Name and incarnation of this daemon.
    pub fn me(&self) -> &PeerRef {
        &self.me.0
    }

    /// Counters of sent and received messages.
    pub fn counts(&self) -> &WireCounts {
        &self.counts
    }

    /// Starts to accept connections and passes the received messages to the handler.
    pub fn listen(&self, listener: TcpListener, handler: Arc<dyn Handler>) -> io::Result<()> {
        listen(listener, self.me.clone(), handler, self.counts.clone())
    }

    /// Sends a message without a response. It may be lost; the call never blocks.
    pub fn cast(&self, address: &str, body: PeerMessage) {
        self.send(address, 0, body);
    }

    /// Sends a request. The response may never arrive; `on_response` runs on the link's reader thread.
    pub fn ask(&self, address: &str, body: PeerMessage, on_response: ResponseCallback) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        if self.pending.add(number, on_response) {
            self.send(address, number, body);
        }
    }

    /// Sends a request and waits for the response; none after `timeout`.
    pub fn ask_wait(
        &self,
        address: &str,
        body: PeerMessage,
        timeout: Duration,
    ) -> Option<PeerMessage> {
        let (sender, receiver) = bounded(1);
        let on_response = Box::new(move |response| {
            let _ = sender.try_send(response);
        });
        self.ask(address, body, on_response);
        receiver.recv_timeout(timeout).ok()
    }

    fn send(&self, address: &str, number: u64, body: PeerMessage) {
        let (from, own_address, role) = self.me.clone();
        let envelope = Envelope {
            from,
            address: own_address,
            role,
            number,
            is_answer: false,
            body,
        };
        let is_queued = self
            .link(address)
            .is_some_and(|link| link.try_send(envelope).is_ok());
        if !is_queued {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn link(&self, address: &str) -> Option<Sender<Envelope>> {
        let mut outgoing = self.outgoing.lock();
        if let Some(link) = outgoing.get(address) {
            return Some(link.clone());
        }
        let socket: SocketAddr = address.parse().ok()?;
        if outgoing.len() >= MAX_LINKS {
            return None;
        }
        let (sender, receiver) = bounded(MAX_QUEUED_MESSAGES);
        let (pending, counts) = (self.pending.clone(), self.counts.clone());
        thread::Builder::new()
            .name("wire-link".into())
            .spawn(move || run_link(socket, &receiver, &pending, &counts))
            .ok()?;
        outgoing.insert(address.to_string(), sender.clone());
        Some(sender)
    }
}

struct PeerConnection {
    writer: BufWriter<TcpStream>,
    is_broken: Arc<AtomicBool>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        let _ = self.writer.get_ref().shutdown(Shutdown::Both);
    }
}

fn connect(socket: SocketAddr, pending: &Arc<PendingCalls>) -> io::Result<PeerConnection> {
    let stream = TcpStream::connect_timeout(&socket, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let reader = stream.try_clone()?;
    let is_broken = Arc::new(AtomicBool::new(false));
    let (pending, flag) = (pending.clone(), is_broken.clone());
    let read = move || {
        let mut buffer = BufReader::new(reader);
        while let Ok(envelope) = decode(&mut buffer) {
            if envelope.is_answer {
                pending.complete(envelope.number, envelope.body);
            }
        }
        flag.store(true, Ordering::SeqCst);
    };
    thread::Builder::new()
        .name("wire-answers".into())
        .spawn(read)?;
    Ok(PeerConnection {
        writer: BufWriter::new(stream),
        is_broken,
    })
}

fn run_link(
    socket: SocketAddr,
    outgoing: &Receiver<Envelope>,
    pending: &Arc<PendingCalls>,
    counts: &WireCounts,
) {
    let mut connection: Option<PeerConnection> = None;
    let mut failed_at: Option<Instant> = None;
    while let Ok(first) = outgoing.recv() {
        if connection
            .as_ref()
            .is_some_and(|open| open.is_broken.load(Ordering::SeqCst))
        {
            connection = None;
        }
        let may_connect = failed_at.is_none_or(|time| time.elapsed() >= RECONNECT_PAUSE);
        if connection.is_none() && may_connect {
            connection = connect(socket, pending).ok();
            failed_at = connection.is_none().then(Instant::now);
        }
        let Some(open) = connection.as_mut() else {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        if write_batch(open, first, outgoing).is_err() {
            connection = None;
        }
    }
}

fn write_batch(
    open: &mut PeerConnection,
    first: Envelope,
    outgoing: &Receiver<Envelope>,
) -> io::Result<()> {
    let batch = std::iter::once(first).chain(outgoing.try_iter().take(64));
    for envelope in batch {
        let Some(frame) = encode(&envelope) else {
            log::warn!("wire: a message over the bound was not sent");
            continue;
        };
        open.writer.write_all(&frame)?;
    }
    open.writer.flush()
}
