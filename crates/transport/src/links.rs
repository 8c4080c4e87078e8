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
/// Questions that were not answered by then are forgotten.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

type OnAnswer = Box<dyn FnOnce(PeerMessage) + Send>;

#[derive(Default)]
struct PendingCall {
    waiting: Mutex<HashMap<u64, (Instant, OnAnswer)>>,
}

impl PendingCall {
    fn add(&self, number: u64, on_answer: OnAnswer) -> bool {
        let mut waiting = self.waiting.lock();
        if waiting.len() >= MAX_PENDING_CALLS {
            waiting.retain(|_, (asked, _)| asked.elapsed() < RESPONSE_TIMEOUT);
            if waiting.len() >= MAX_PENDING_CALLS {
                return false;
            }
        }
        waiting.insert(number, (Instant::now(), on_answer));
        true
    }

    fn answer(&self, number: u64, body: PeerMessage) {
        let found = self.waiting.lock().remove(&number);
        if let Some((_, on_answer)) = found {
            on_answer(body);
        }
    }
}

/// Links to the other daemons: one connection to each, kept up while there is something to say.
pub struct Links {
    me: (PeerRef, String, PeerRole),
    outgoing: Mutex<HashMap<String, Sender<Envelope>>>,
    pending: Arc<PendingCall>,
    numbers: AtomicU64,
    counts: Arc<WireCounts>,
}

impl Links {
    /// Links of a daemon that is reached at `address`.
    pub fn new(me: PeerRef, address: SocketAddr, role: PeerRole) -> Self {
        Self {
            me: (me, address.to_string(), role),
            outgoing: Mutex::default(),
            pending: Arc::default(),
            numbers: AtomicU64::new(1),
            counts: Arc::default(),
        }
    }

    /// This daemon in this incarnation.
    pub fn me(&self) -> &PeerRef {
        &self.me.0
    }

    /// Counts of what came and went.
    pub fn counts(&self) -> &WireCounts {
        &self.counts
    }

    /// Takes in messages from now on.
    pub fn listen(&self, listener: TcpListener, handler: Arc<dyn Handler>) -> io::Result<()> {
        listen(listener, self.me.clone(), handler, self.counts.clone())
    }

    /// Sends a message that wants no answer. It may be lost; it never waits.
    pub fn cast(&self, address: &str, body: PeerMessage) {
        self.send(address, 0, body);
    }

    /// Asks a question. The answer may never come; it is taken on the link's own thread.
    pub fn ask(&self, address: &str, body: PeerMessage, on_answer: OnAnswer) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        if self.pending.add(number, on_answer) {
            self.send(address, number, body);
        }
    }

    /// Asks a question and waits for the answer.
    pub fn ask_wait(
        &self,
        address: &str,
        body: PeerMessage,
        timeout: Duration,
    ) -> Option<PeerMessage> {
        let (sender, receiver) = bounded(1);
        let on_answer = Box::new(move |answer| {
            let _ = sender.try_send(answer);
        });
        self.ask(address, body, on_answer);
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
        let is_sent = self
            .link(address)
            .is_some_and(|link| link.try_send(envelope).is_ok());
        if !is_sent {
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

fn connect(socket: SocketAddr, pending: &Arc<PendingCall>) -> io::Result<PeerConnection> {
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
                pending.answer(envelope.number, envelope.body);
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
    pending: &Arc<PendingCall>,
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
