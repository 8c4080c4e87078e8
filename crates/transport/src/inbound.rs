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

/// Counts of what came over the wire.
#[derive(Debug, Default)]
pub struct WireCounts {
    /// Messages taken in.
    pub taken: AtomicU64,
    /// Connections closed for a frame that was no good.
    pub refused: AtomicU64,
    /// Messages not sent for a full queue or a broken link.
    pub dropped: AtomicU64,
}

/// Takes the messages that come in.
pub trait Handler: Send + Sync {
    /// Called on the connection's thread; it must not wait. `responder` is there for questions.
    fn on_message(&self, envelope: Envelope, responder: Option<Responder>);
}

/// Answers one question, at once or later, from any thread.
pub struct Responder {
    number: u64,
    me: (PeerRef, String, PeerRole),
    answers: Sender<Envelope>,
}

impl Responder {
    /// Sends the answer.
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
        let _ = self.answers.try_send(envelope);
    }
}

pub(crate) fn listen(
    listener: TcpListener,
    me: (PeerRef, String, PeerRole),
    handler: Arc<dyn Handler>,
    counts: Arc<WireCounts>,
) -> io::Result<()> {
    let open = Arc::new(AtomicUsize::new(0));
    let accept = move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                continue;
            };
            if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                counts.refused.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let (me, handler) = (me.clone(), handler.clone());
            let (counts, open_here) = (counts.clone(), open.clone());
            open.fetch_add(1, Ordering::Relaxed);
            let serve = move || {
                serve_connection(stream, me, handler.as_ref(), &counts);
                open_here.fetch_sub(1, Ordering::Relaxed);
            };
            let spawned = thread::Builder::new().name("wire-in".into()).spawn(serve);
            if spawned.is_err() {
                open.fetch_sub(1, Ordering::Relaxed);
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
    let (answers, outgoing) = bounded::<Envelope>(MAX_QUEUED_RESPONSES);
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
                    answers: answers.clone(),
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
