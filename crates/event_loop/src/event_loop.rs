use crate::line::{End, Line, LineId, Taken, Written};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const WAKER: Token = Token(usize::MAX);
const HATCHES: usize = usize::MAX / 2;
const EVENTS_MAX: usize = 256;
const SCRATCH: usize = 64 << 10;
const ACCEPTS_MAX: usize = 64;
const OUTBOX_MAX: usize = 24 << 20;

/// Something that happened on a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer opened a line at a hatch.
    Opened(Hatch, LineId),
    /// A line that this daemon opened came to be.
    Connected(LineId),
    /// Bytes lie in the line's inbox.
    Arrived(LineId),
    /// The line ended; what had arrived still lies in its inbox until it is closed here.
    Ended(LineId, End),
}

/// A place at which peers open lines (a listening socket).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Hatch(usize);

/// All lines of a daemon.
pub struct EventLoop {
    poll: Poll,
    ready: Events,
    lines: Slab<Line>,
    uses: u32,
    hatches: Vec<Option<(TcpListener, usize)>>,
    paused: Vec<LineId>,
    broken: Vec<LineId>,
    scratch: Vec<u8>,
    lines_max: usize,
    silence_ms: u32,
}

impl EventLoop {
    /// An event loop with at most so many lines. A line whose peer does not confirm what was sent for
    /// `silence_ms` breaks.
    pub fn new(lines_max: usize, silence_ms: u32) -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            ready: Events::with_capacity(EVENTS_MAX),
            lines: Slab::new(),
            uses: 0,
            hatches: Vec::new(),
            paused: Vec::new(),
            broken: Vec::new(),
            scratch: vec![0; SCRATCH],
            lines_max,
            silence_ms,
        })
    }

    /// Something by which another thread ends a wait.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Waker::new(self.poll.registry(), WAKER).map(Arc::new)
    }

    /// Lets peers open lines at an address; each may hold `inbox_max` unread bytes.
    pub fn listen(&mut self, address: SocketAddr, inbox_max: usize) -> io::Result<Hatch> {
        let mut listener = TcpListener::bind(address)?;
        let token = Token(HATCHES + self.hatches.len());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        self.hatches.push(Some((listener, inbox_max)));
        Ok(Hatch(self.hatches.len() - 1))
    }

    /// Lets nobody open lines at a hatch any more.
    pub fn shut(&mut self, hatch: Hatch) {
        if let Some(place) = self.hatches.get_mut(hatch.0) {
            if let Some((mut listener, _)) = place.take() {
                let _ = self.poll.registry().deregister(&mut listener);
            }
        }
    }

    /// Begins to open a line.
    pub fn connect(&mut self, address: SocketAddr, inbox_max: usize) -> io::Result<LineId> {
        if self.lines.len() >= self.lines_max {
            return Err(io::Error::other("too many lines"));
        }
        let stream = TcpStream::connect(address)?;
        self.add(stream, false, inbox_max)
    }

    fn add(&mut self, stream: TcpStream, is_up: bool, inbox_max: usize) -> io::Result<LineId> {
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let silence = Duration::from_millis(u64::from(self.silence_ms));
        let _ = socket.set_tcp_user_timeout(Some(silence));
        self.uses = self.uses.wrapping_add(1);
        let entry = self.lines.vacant_entry();
        let place = entry.key();
        let line = entry.insert(Line::new(stream, self.uses, is_up, inbox_max));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self
            .poll
            .registry()
            .register(&mut line.stream, Token(place), interest);
        if let Err(error) = registered {
            self.lines.remove(place);
            return Err(error);
        }
        Ok(LineId {
            place: place as u32,
            use_no: self.uses,
        })
    }

    /// Lets a line's peer be silent for longer or shorter than others before the line breaks.
    pub fn allow_silence(&mut self, id: LineId, silence_ms: u64) {
        if let Some(line) = self.line(id) {
            let silence = Duration::from_millis(silence_ms);
            let _ = SockRef::from(&line.stream).set_tcp_user_timeout(Some(silence));
        }
    }

    fn line(&mut self, id: LineId) -> Option<&mut Line> {
        let line = self.lines.get_mut(id.place as usize)?;
        (line.use_no == id.use_no).then_some(line)
    }

    /// Bytes that arrived and were not taken yet; none where the line is gone.
    pub fn inbox(&mut self, id: LineId) -> Option<&mut Vec<u8>> {
        self.line(id).map(|line| &mut line.inbox)
    }

    /// Whether the line is there and its peer has not ended it.
    pub fn is_open(&self, id: LineId) -> bool {
        let line = self.lines.get(id.place as usize);
        line.is_some_and(|line| line.use_no == id.use_no && !line.has_ended && !line.has_failed)
    }

    /// Bytes that wait to be sent.
    pub fn backlog(&self, id: LineId) -> usize {
        let line = self.lines.get(id.place as usize);
        let line = line.filter(|line| line.use_no == id.use_no);
        line.map_or(0, Line::waits_to_send)
    }

    /// Lines that are open.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no line is open.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Whether the system knows of nothing to read on an open line, and of no end of it, at this moment. Events tell the
    /// same, but only at the next wait.
    pub fn is_quiet(&mut self, id: LineId) -> bool {
        self.line(id)
            .is_some_and(|line| !line.has_ended && line.is_quiet())
    }

    /// Sends bytes, now or as soon as the line takes them. A line that holds too much breaks. False where none of them
    /// has left or ever will.
    pub fn send(&mut self, id: LineId, bytes: &[u8]) -> bool {
        let Some(line) = self.line(id) else {
            return false;
        };
        if line.has_ended || line.has_failed || line.closes_after_flush {
            return false;
        }
        if line.waits_to_send() + bytes.len() > OUTBOX_MAX {
            line.has_failed = true;
            self.broken.push(id);
            return false;
        }
        let written = line.write(bytes);
        if written != Written::Accepted {
            self.broken.push(id);
        }
        written != Written::Nothing
    }

    /// Closes a line once all that was sent has left.
    pub fn finish(&mut self, id: LineId) {
        let Some(line) = self.line(id) else {
            return;
        };
        if line.waits_to_send() == 0 || line.has_ended {
            self.close(id);
            return;
        }
        line.closes_after_flush = true;
    }

    /// Whether a line that is to be closed still has bytes to send.
    pub fn is_flushing(&self) -> bool {
        let mut lines = self.lines.iter();
        lines.any(|(_, line)| line.closes_after_flush && !line.has_ended)
    }

    /// Closes a line at once.
    pub fn close(&mut self, id: LineId) {
        if self.line(id).is_none() {
            return;
        }
        let mut line = self.lines.remove(id.place as usize);
        let _ = self.poll.registry().deregister(&mut line.stream);
    }

    /// Waits until something happens, or for so long, and tells what did.
    pub fn wait(&mut self, patience: Duration, events: &mut Vec<Event>) {
        events.clear();
        self.tell_broken(events);
        self.read_paused(events);
        let patience = if events.is_empty() {
            patience
        } else {
            Duration::ZERO
        };
        if self.poll.poll(&mut self.ready, Some(patience)).is_err() {
            return;
        }
        let ready = std::mem::replace(&mut self.ready, Events::with_capacity(0));
        for one in &ready {
            let token = one.token();
            if token == WAKER {
                continue;
            }
            if token.0 >= HATCHES {
                self.accept(token.0 - HATCHES, events);
                continue;
            }
            self.attend(token.0, one.is_readable() || one.is_error(), one, events);
        }
        self.ready = ready;
        self.tell_broken(events);
    }

    fn tell_broken(&mut self, events: &mut Vec<Event>) {
        for id in std::mem::take(&mut self.broken) {
            let Some(line) = self.line(id) else {
                continue;
            };
            if !line.has_ended {
                line.has_ended = true;
                events.push(Event::Ended(id, End::Broken));
            }
        }
    }

    fn read_paused(&mut self, events: &mut Vec<Event>) {
        for id in std::mem::take(&mut self.paused) {
            let Some(line) = self.line(id) else {
                continue;
            };
            if line.inbox.len() >= line.inbox_max {
                self.paused.push(id);
                continue;
            }
            line.is_paused = false;
            self.read(id, true, events);
        }
    }

    fn read(&mut self, id: LineId, is_at_end: bool, events: &mut Vec<Event>) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(line) = self.line(id) {
            line.spare();
            let taken = if line.is_paused {
                Taken::Nothing
            } else {
                line.read(&mut scratch, is_at_end)
            };
            let is_paused = line.is_paused;
            let end = match taken {
                Taken::Nothing => None,
                Taken::Bytes => {
                    events.push(Event::Arrived(id));
                    None
                }
                Taken::Ended(end) => Some(end),
                Taken::BytesAndEnded(end) => {
                    events.push(Event::Arrived(id));
                    Some(end)
                }
            };
            if let Some(end) = end {
                line.has_ended = true;
                events.push(Event::Ended(id, end));
            }
            if is_paused && !self.paused.contains(&id) {
                self.paused.push(id);
            }
        }
        self.scratch = scratch;
    }

    fn accept(&mut self, place: usize, events: &mut Vec<Event>) {
        for _ in 0..ACCEPTS_MAX {
            let Some(Some((listener, inbox_max))) = self.hatches.get(place) else {
                return;
            };
            let inbox_max = *inbox_max;
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            if self.lines.len() >= self.lines_max {
                continue;
            }
            if let Ok(id) = self.add(stream, true, inbox_max) {
                events.push(Event::Opened(Hatch(place), id));
            }
        }
        // More may wait; an edge is told once only, so the listener is asked for another.
        if let Some(Some((listener, _))) = self.hatches.get_mut(place) {
            let token = Token(HATCHES + place);
            let registry = self.poll.registry();
            let _ = registry.reregister(listener, token, Interest::READABLE);
        }
    }

    fn attend(
        &mut self,
        place: usize,
        is_readable: bool,
        ready: &mio::event::Event,
        events: &mut Vec<Event>,
    ) {
        let Some(line) = self.lines.get_mut(place) else {
            return;
        };
        let id = LineId {
            place: place as u32,
            use_no: line.use_no,
        };
        if line.has_ended || line.has_failed {
            return;
        }
        if !line.is_connected {
            let failed = line.stream.take_error().ok().flatten().is_some();
            if failed || ready.is_error() {
                line.has_ended = true;
                events.push(Event::Ended(id, End::Unreached));
                return;
            }
            if !ready.is_writable() || line.stream.peer_addr().is_err() {
                return;
            }
            line.is_connected = true;
            events.push(Event::Connected(id));
        }
        if ready.is_writable() {
            line.is_writable = true;
            if !line.flush() {
                line.has_ended = true;
                events.push(Event::Ended(id, End::Broken));
                return;
            }
            if line.closes_after_flush && line.waits_to_send() == 0 {
                self.close(id);
                return;
            }
        }
        if is_readable {
            self.read(id, ready.is_read_closed() || ready.is_error(), events);
        }
    }
}
