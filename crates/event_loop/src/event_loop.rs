use crate::connection::{CloseReason, Connection, ConnectionId, ReadOutcome, WriteOutcome};
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

/// Something that happened on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer opened a connection at a listener.
    Accepted(ListenerId, ConnectionId),
    /// A connection that this daemon opened came to be.
    Connected(ConnectionId),
    /// Bytes lie in the connection's inbox.
    Readable(ConnectionId),
    /// The connection ended; what had arrived still lies in its inbox until it is closed here.
    Closed(ConnectionId, CloseReason),
}

/// A place at which peers open connections (a listening socket).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ListenerId(usize);

/// All connections of a daemon.
pub struct EventLoop {
    poll: Poll,
    ready: Events,
    connections: Slab<Connection>,
    uses: u32,
    listeners: Vec<Option<(TcpListener, usize)>>,
    paused: Vec<ConnectionId>,
    broken: Vec<ConnectionId>,
    scratch: Vec<u8>,
    max_connections: usize,
    silence_ms: u32,
}

impl EventLoop {
    /// An event loop with at most so many connections. A connection whose peer does not confirm what was sent for
    /// `silence_ms` breaks.
    pub fn new(max_connections: usize, silence_ms: u32) -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            ready: Events::with_capacity(EVENTS_MAX),
            connections: Slab::new(),
            uses: 0,
            listeners: Vec::new(),
            paused: Vec::new(),
            broken: Vec::new(),
            scratch: vec![0; SCRATCH],
            max_connections,
            silence_ms,
        })
    }

    /// Something by which another thread ends a wait.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Waker::new(self.poll.registry(), WAKER).map(Arc::new)
    }

    /// Lets peers open connections at an address; each may hold `inbox_max` unread bytes.
    pub fn listen(&mut self, address: SocketAddr, inbox_max: usize) -> io::Result<ListenerId> {
        let mut listener = TcpListener::bind(address)?;
        let token = Token(HATCHES + self.listeners.len());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        self.listeners.push(Some((listener, inbox_max)));
        Ok(ListenerId(self.listeners.len() - 1))
    }

    /// Lets nobody open connections at a listener any more.
    pub fn stop_listening(&mut self, listener: ListenerId) {
        if let Some(place) = self.listeners.get_mut(listener.0) {
            if let Some((mut listener, _)) = place.take() {
                let _ = self.poll.registry().deregister(&mut listener);
            }
        }
    }

    /// Begins to open a connection.
    pub fn connect(&mut self, address: SocketAddr, inbox_max: usize) -> io::Result<ConnectionId> {
        if self.connections.len() >= self.max_connections {
            return Err(io::Error::other("too many connections"));
        }
        let stream = TcpStream::connect(address)?;
        self.add(stream, false, inbox_max)
    }

    fn add(
        &mut self,
        stream: TcpStream,
        is_up: bool,
        inbox_max: usize,
    ) -> io::Result<ConnectionId> {
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let silence = Duration::from_millis(u64::from(self.silence_ms));
        let _ = socket.set_tcp_user_timeout(Some(silence));
        self.uses = self.uses.wrapping_add(1);
        let entry = self.connections.vacant_entry();
        let place = entry.key();
        let connection = entry.insert(Connection::new(stream, self.uses, is_up, inbox_max));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered =
            self.poll
                .registry()
                .register(&mut connection.stream, Token(place), interest);
        if let Err(error) = registered {
            self.connections.remove(place);
            return Err(error);
        }
        Ok(ConnectionId {
            place: place as u32,
            use_no: self.uses,
        })
    }

    /// Lets a connection's peer be silent for longer or shorter than others before the connection breaks.
    pub fn set_user_timeout(&mut self, id: ConnectionId, silence_ms: u64) {
        if let Some(connection) = self.connection(id) {
            let silence = Duration::from_millis(silence_ms);
            let _ = SockRef::from(&connection.stream).set_tcp_user_timeout(Some(silence));
        }
    }

    fn connection(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let connection = self.connections.get_mut(id.place as usize)?;
        (connection.use_no == id.use_no).then_some(connection)
    }

    /// Bytes that arrived and were not taken yet; none where the connection is gone.
    pub fn read_buffer(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        self.connection(id).map(|connection| &mut connection.inbox)
    }

    /// Whether the connection is there and its peer has not ended it.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(id.place as usize);
        connection.is_some_and(|connection| {
            connection.use_no == id.use_no && !connection.has_ended && !connection.has_failed
        })
    }

    /// Bytes that wait to be sent.
    pub fn unsent_bytes(&self, id: ConnectionId) -> usize {
        let connection = self.connections.get(id.place as usize);
        let connection = connection.filter(|connection| connection.use_no == id.use_no);
        connection.map_or(0, Connection::waits_to_send)
    }

    /// Lines that are open.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether the system knows of nothing to read on an open connection, and of no end of it, at this moment. Events tell the
    /// same, but only at the next wait.
    pub fn has_nothing_to_read(&mut self, id: ConnectionId) -> bool {
        self.connection(id)
            .is_some_and(|connection| !connection.has_ended && connection.has_nothing_to_read())
    }

    /// Sends bytes, now or as soon as the connection takes them. A connection that holds too much breaks. False where none of them
    /// has left or ever will.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connection(id) else {
            return false;
        };
        if connection.has_ended || connection.has_failed || connection.closes_after_flush {
            return false;
        }
        if connection.waits_to_send() + bytes.len() > OUTBOX_MAX {
            connection.has_failed = true;
            self.broken.push(id);
            return false;
        }
        let written = connection.write(bytes);
        if written != WriteOutcome::Accepted {
            self.broken.push(id);
        }
        written != WriteOutcome::Nothing
    }

    /// Closes a connection once all that was sent has left.
    pub fn close_after_flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connection(id) else {
            return;
        };
        if connection.waits_to_send() == 0 || connection.has_ended {
            self.close(id);
            return;
        }
        connection.closes_after_flush = true;
    }

    /// Whether a connection that is to be closed still has bytes to send.
    pub fn is_flushing(&self) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|(_, connection)| connection.closes_after_flush && !connection.has_ended)
    }

    /// Closes a connection at once.
    pub fn close(&mut self, id: ConnectionId) {
        if self.connection(id).is_none() {
            return;
        }
        let mut connection = self.connections.remove(id.place as usize);
        let _ = self.poll.registry().deregister(&mut connection.stream);
    }

    /// Waits until something happens, or for so long, and tells what did.
    pub fn poll(&mut self, patience: Duration, events: &mut Vec<Event>) {
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
            let Some(connection) = self.connection(id) else {
                continue;
            };
            if !connection.has_ended {
                connection.has_ended = true;
                events.push(Event::Closed(id, CloseReason::Broken));
            }
        }
    }

    fn read_paused(&mut self, events: &mut Vec<Event>) {
        for id in std::mem::take(&mut self.paused) {
            let Some(connection) = self.connection(id) else {
                continue;
            };
            if connection.inbox.len() >= connection.inbox_max {
                self.paused.push(id);
                continue;
            }
            connection.is_paused = false;
            self.read(id, true, events);
        }
    }

    fn read(&mut self, id: ConnectionId, is_at_end: bool, events: &mut Vec<Event>) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(connection) = self.connection(id) {
            connection.spare();
            let taken = if connection.is_paused {
                ReadOutcome::Nothing
            } else {
                connection.read(&mut scratch, is_at_end)
            };
            let is_paused = connection.is_paused;
            let end = match taken {
                ReadOutcome::Nothing => None,
                ReadOutcome::Bytes => {
                    events.push(Event::Readable(id));
                    None
                }
                ReadOutcome::Ended(end) => Some(end),
                ReadOutcome::BytesAndEnded(end) => {
                    events.push(Event::Readable(id));
                    Some(end)
                }
            };
            if let Some(end) = end {
                connection.has_ended = true;
                events.push(Event::Closed(id, end));
            }
            if is_paused && !self.paused.contains(&id) {
                self.paused.push(id);
            }
        }
        self.scratch = scratch;
    }

    fn accept(&mut self, place: usize, events: &mut Vec<Event>) {
        for _ in 0..ACCEPTS_MAX {
            let Some(Some((listener, inbox_max))) = self.listeners.get(place) else {
                return;
            };
            let inbox_max = *inbox_max;
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            if self.connections.len() >= self.max_connections {
                continue;
            }
            if let Ok(id) = self.add(stream, true, inbox_max) {
                events.push(Event::Accepted(ListenerId(place), id));
            }
        }
        // More may wait; an edge is told once only, so the listener is asked for another.
        if let Some(Some((listener, _))) = self.listeners.get_mut(place) {
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
        let Some(connection) = self.connections.get_mut(place) else {
            return;
        };
        let id = ConnectionId {
            place: place as u32,
            use_no: connection.use_no,
        };
        if connection.has_ended || connection.has_failed {
            return;
        }
        if !connection.is_connected {
            let failed = connection.stream.take_error().ok().flatten().is_some();
            if failed || ready.is_error() {
                connection.has_ended = true;
                events.push(Event::Closed(id, CloseReason::ConnectFailed));
                return;
            }
            if !ready.is_writable() || connection.stream.peer_addr().is_err() {
                return;
            }
            connection.is_connected = true;
            events.push(Event::Connected(id));
        }
        if ready.is_writable() {
            connection.is_writable = true;
            if !connection.flush() {
                connection.has_ended = true;
                events.push(Event::Closed(id, CloseReason::Broken));
                return;
            }
            if connection.closes_after_flush && connection.waits_to_send() == 0 {
                self.close(id);
                return;
            }
        }
        if is_readable {
            self.read(id, ready.is_read_closed() || ready.is_error(), events);
        }
    }
}
