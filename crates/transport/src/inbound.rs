use crate::frame::{decode, encode, FrameError};
use crate::message::{Envelope, PeerMessage, PeerRole};
use configuration::PeerRef;
use crossbeam::channel::{bounded, Sender};
use std::io::{self, BufReader, BufWriter, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const MAX_CONNECTIONS: usize = 512;
const MAX_QUEUED_RESPONSES: usize = 4_096;
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Counters of messages between daemons.
#[derive(Debug, Default)]
pub struct WireCounts {
    /// Messages received.
    pub taken: AtomicU64,
    /// Connections closed because of an invalid frame, or rejected at the connection limit.
    pub refused: AtomicU64,
    /// Messages not sent because of a full queue or a failed link.
    pub dropped: AtomicU64,
}

/// Handles received messages.
pub trait Handler: Send + Sync {
    /// Called on the connection's thread; it must not block. `responder` is set if the sender expects a response.
    fn on_message(&self, envelope: Envelope, responder: Option<Responder>);
}

/// Responds to one request, at once or later, from any thread.
pub struct Responder {
    number: u64,
    me: (PeerRef, String, PeerRole),
    responses: Sender<Envelope>,
}

impl Responder {
    /// Sends the response; it is dropped if the connection's queue is full or the connection was closed.
    pub fn answer(self, body: PeerMessage) {
        let (from, address, role) = self.me;
        let envelope = Envelope {
            from,
            address,
            role,
            number: self.number,
            is_answer: true,
            body,
        };
        let _ = self.responses.try_send(envelope);
    }
}

pub(crate) fn listen(
    listener: TcpListener,
    me: (PeerRef, String, PeerRole),
    handler: Arc<dyn Handler>,
    counts: Arc<WireCounts>,
) -> io::Result<()> {
    let open_count = Arc::new(AtomicUsize::new(0));
    let accept = move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                continue;
            };
            if open_count.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                counts.refused.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let (me, handler) = (me.clone(), handler.clone());
            let (counts, open_connections) = (counts.clone(), open_count.clone());
            open_count.fetch_add(1, Ordering::Relaxed);
            let serve = move || {
                serve_connection(stream, me, handler.as_ref(), &counts);
                open_connections.fetch_sub(1, Ordering::Relaxed);
            };
            let spawned = thread::Builder::new().name("wire-in".into()).spawn(serve);
            if spawned.is_err() {
                open_count.fetch_sub(1, Ordering::Relaxed);
            }
        }
    };
    thread::Builder::new()
        .name("wire-accept".into())
        .spawn(accept)
        .map(|_| ())
}

fn serve_connection(
    stream: TcpStream,
    me: (PeerRef, String, PeerRole),
    handler: &dyn Handler,
    counts: &WireCounts,
) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let (responses, outgoing) = bounded::<Envelope>(MAX_QUEUED_RESPONSES);
    let write = move || {
        let mut buffer = BufWriter::new(&writer);
        while let Ok(first) = outgoing.recv() {
            let batch = std::iter::once(first).chain(outgoing.try_iter().take(64));
            for envelope in batch {
                let written = encode(&envelope).map(|frame| buffer.write_all(&frame));
                if !matches!(written, Some(Ok(()))) {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
            }
            if buffer.flush().is_err() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    };
    let spawned = thread::Builder::new().name("wire-out".into()).spawn(write);
    if spawned.is_err() {
        return;
    }
    let mut reader = BufReader::new(&stream);
    loop {
        match decode(&mut reader) {
            Ok(envelope) => {
                counts.taken.fetch_add(1, Ordering::Relaxed);
                let responder = (envelope.number != 0).then(|| Responder {
                    number: envelope.number,
                    me: me.clone(),
                    responses: responses.clone(),
                });
                handler.on_message(envelope, responder);
            }
            Err(FrameError::Io(_)) => break,
            Err(error) => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
                log::warn!("wire: connection closed: {error}");
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
