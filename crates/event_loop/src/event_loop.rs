//! The event loop: owns the sockets, waits for readiness and turns it into events.

mod accepting;
mod buffers;

use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connection::{CloseReason, ConnectProgress, Connection, ConnectionId, WriteOutcome};
use crate::event::Event;
use crate::listeners::{ListenerId, Listeners};

/// Token of the waker, which is outside the ranges of connections and listeners.
const WAKER_TOKEN: Token = Token(usize::MAX);

/// Maximum number of readiness events that one poll takes from the system; the rest is reported by the next.
const MAX_EVENTS_PER_POLL: usize = 256;

/// Maximum number of bytes read from a socket at once. A read buffer exceeds its limit by less than this.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// All connections of a daemon, and the only place where it blocks.
pub struct EventLoop {
    poll: Poll,
    readiness: Events,
    connections: Slab<Connection>,
    last_generation: u32,
    listeners: Listeners,
    /// Listeners that temporarily don't accept, and since when.
    paused_listeners: Vec<(ListenerId, Instant)>,
    /// Connections that stopped reading because their read buffer was full.
    read_paused: Vec<ConnectionId>,
    /// Connections read in the last poll, whose owner may have emptied their read buffers since.
    recently_read: Vec<ConnectionId>,
    /// Connections that broke while sending and whose close is still to be reported.
    broken: Vec<ConnectionId>,
    scratch: Vec<u8>,
    max_connections: usize,
    user_timeout: Duration,
}

impl EventLoop {
    /// Creates an event loop with at most `max_connections` connections. A connection whose peer leaves sent bytes
    /// unacknowledged for `user_timeout_ms` milliseconds is aborted.
    ///
    /// # Errors
    /// If the system can't create a poll instance.
    pub fn new(max_connections: usize, user_timeout_ms: u32) -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            readiness: Events::with_capacity(MAX_EVENTS_PER_POLL),
            connections: Slab::new(),
            last_generation: 0,
            listeners: Listeners::default(),
            paused_listeners: Vec::new(),
            read_paused: Vec::new(),
            recently_read: Vec::new(),
            broken: Vec::new(),
            scratch: vec![0; READ_CHUNK_BYTES],
            max_connections,
            user_timeout: Duration::from_millis(u64::from(user_timeout_ms)),
        })
    }

    /// Creates a handle with which another thread can end a [`poll`](Self::poll) early. At most one may exist.
    ///
    /// # Errors
    /// If the system can't create an event descriptor.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Waker::new(self.poll.registry(), WAKER_TOKEN).map(Arc::new)
    }

    /// Listens on an address. Reading from an accepted connection pauses at `read_limit` bytes that the owner has not taken.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn listen(&mut self, address: SocketAddr, read_limit: usize) -> io::Result<ListenerId> {
        let registry = self.poll.registry();
        self.listeners.open(registry, address, read_limit)
    }

    /// Closes a listener; accepted connections stay open.
    pub fn stop_listening(&mut self, listener: ListenerId) {
        self.listeners.close(self.poll.registry(), listener);
    }

    /// Starts to open a connection. Bytes may be sent at once: they are queued until it is established.
    ///
    /// # Errors
    /// If the maximum number of connections is reached or the system can't create the socket. A refused connection is
    /// reported later, as [`Event::Closed`].
    pub fn connect(&mut self, address: SocketAddr, read_limit: usize) -> io::Result<ConnectionId> {
        if self.connections.len() >= self.max_connections {
            return Err(io::Error::other("too many connections"));
        }
        let stream = TcpStream::connect(address)?;
        self.add(stream, None, read_limit)
    }

    fn add(
        &mut self,
        stream: TcpStream,
        listener: Option<ListenerId>,
        read_limit: usize,
    ) -> io::Result<ConnectionId> {
        // Without this option small messages are only delayed, so a failure is no reason to drop the connection.
        let _ = SockRef::from(&stream).set_tcp_nodelay(true);
        self.last_generation = self.last_generation.wrapping_add(1);
        let generation = self.last_generation;
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let connection = entry.insert(Connection::new(stream, generation, listener, read_limit));
        connection.set_user_timeout(self.user_timeout);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if let Err(error) = registry.register(&mut connection.stream, Token(slot), interest) {
            self.connections.remove(slot);
            return Err(error);
        }
        Ok(id_of(slot, generation))
    }

    /// Overrides the event loop's user timeout for one connection, in milliseconds.
    pub fn set_user_timeout(&mut self, id: ConnectionId, timeout_ms: u64) {
        if let Some(connection) = self.connection(id) {
            connection.set_user_timeout(Duration::from_millis(timeout_ms));
        }
    }

    /// Whether the connection exists, established or connecting, and is not known to have ended.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connection(id).is_some_and(Connection::is_open)
    }

    /// Number of connections, including ended ones that the owner has not closed.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether the connection is open and the kernel currently has neither bytes nor an end of stream to read from it. Events
    /// report the same, but only at the next poll: too late for a request that must not be sent on a connection that its peer
    /// has closed.
    pub fn has_no_pending_input(&self, id: ConnectionId) -> bool {
        self.connection(id)
            .is_some_and(|connection| !connection.is_closed() && connection.has_no_pending_input())
    }

    /// Queues bytes and writes as many as the socket accepts now. A connection whose write queue would exceed the limit is
    /// closed as broken. Returns false if none of the bytes was or will be sent.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connection_mut(id).filter(|one| one.can_queue()) else {
            return false;
        };
        let outcome = connection.write(bytes);
        if outcome != WriteOutcome::Accepted {
            self.broken.push(id);
        }
        outcome != WriteOutcome::NothingWritten
    }

    /// Closes a connection once all queued bytes have been written.
    pub fn close_after_flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if connection.unsent_bytes() == 0 || connection.is_closed() {
            self.close(id);
            return;
        }
        connection.close_after_flush();
    }

    /// Whether any connection still has bytes to write before it is closed.
    pub fn is_flushing(&self) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|(_, connection)| connection.is_closing() && !connection.is_closed())
    }

    /// Closes a connection at once; queued bytes are lost. No further event is reported for it.
    pub fn close(&mut self, id: ConnectionId) {
        if self.connection(id).is_none() {
            return;
        }
        let mut connection = self.connections.remove(id.slot as usize);
        // Errors don't matter: dropping the socket here removes it from the poll in any case.
        let _ = self.poll.registry().deregister(&mut connection.stream);
    }

    /// Closes a connection at once with a reset, so that bytes which the peer has not received yet are never delivered. After a
    /// plain close the kernel keeps trying to deliver the bytes it has accepted, however long the network path to the peer is
    /// interrupted.
    pub fn reset(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connection(id) {
            // Closing a socket with a linger time of zero resets the connection.
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(id);
    }

    /// Waits at most `timeout` for readiness and replaces the content of `events` with what happened.
    pub fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) {
        events.clear();
        self.release_read_memory();
        self.resume_accepting();
        self.report_broken(events);
        self.resume_reading(events);
        let timeout = if events.is_empty() {
            timeout
        } else {
            Duration::ZERO
        };
        // An interrupted poll reports no events; the caller polls again.
        if self.poll.poll(&mut self.readiness, Some(timeout)).is_err() {
            return;
        }
        let readiness = std::mem::replace(&mut self.readiness, Events::with_capacity(0));
        for ready in &readiness {
            self.dispatch(ready, events);
        }
        self.readiness = readiness;
        self.report_broken(events);
    }

    fn dispatch(&mut self, ready: &mio::event::Event, events: &mut Vec<Event>) {
        let token = ready.token();
        if token == WAKER_TOKEN {
            return;
        }
        match ListenerId::from_token(token) {
            Some(listener) => self.accept(listener, events),
            None => self.handle_ready_connection(token.0, ready, events),
        }
    }

    fn report_broken(&mut self, events: &mut Vec<Event>) {
        for id in std::mem::take(&mut self.broken) {
            let Some(connection) = self.connection_mut(id) else {
                continue;
            };
            if !connection.is_closed() {
                connection.mark_closed();
                events.push(Event::Closed(id, CloseReason::Broken));
            }
        }
    }

    fn resume_reading(&mut self, events: &mut Vec<Event>) {
        for id in std::mem::take(&mut self.read_paused) {
            let Some(connection) = self.connection_mut(id) else {
                continue;
            };
            if connection.is_read_buffer_full() {
                self.read_paused.push(id);
                continue;
            }
            connection.is_read_paused = false;
            self.read(id, true, events);
        }
    }

    fn handle_ready_connection(
        &mut self,
        slot: usize,
        ready: &mio::event::Event,
        events: &mut Vec<Event>,
    ) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let id = id_of(slot, connection.generation);
        if !connection.is_open() {
            return;
        }
        if connection.is_connecting() {
            match connection.check_connect(ready) {
                ConnectProgress::Pending => return,
                ConnectProgress::Established => events.push(Event::Connected(id)),
                ConnectProgress::Failed => {
                    connection.mark_closed();
                    events.push(Event::Closed(id, CloseReason::ConnectFailed));
                    return;
                }
            }
        }
        if ready.is_writable() && !self.flush(id, events) {
            return;
        }
        if ready.is_readable() || ready.is_error() {
            self.read(id, ready.is_read_closed() || ready.is_error(), events);
        }
    }

    /// Writes queued bytes; false if the connection ended.
    fn flush(&mut self, id: ConnectionId, events: &mut Vec<Event>) -> bool {
        let Some(connection) = self.connection_mut(id) else {
            return false;
        };
        let had_unsent = connection.unsent_bytes() > 0;
        if !connection.flush_writable() {
            connection.mark_closed();
            events.push(Event::Closed(id, CloseReason::Broken));
            return false;
        }
        if connection.is_closing() && connection.unsent_bytes() == 0 {
            self.close(id);
            return false;
        }
        if had_unsent && connection.unsent_bytes() == 0 {
            events.push(Event::Drained(id));
        }
        true
    }

    fn read(&mut self, id: ConnectionId, reads_to_end: bool, events: &mut Vec<Event>) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let is_read_paused = self.read_into(id, &mut scratch, reads_to_end, events);
        self.scratch = scratch;
        self.recently_read.push(id);
        if is_read_paused && !self.read_paused.contains(&id) {
            self.read_paused.push(id);
        }
    }

    /// Reads into the connection's buffer up to its limit; true if reading is paused because the buffer is full.
    fn read_into(
        &mut self,
        id: ConnectionId,
        scratch: &mut [u8],
        reads_to_end: bool,
        events: &mut Vec<Event>,
    ) -> bool {
        let Some(connection) = self.connection_mut(id) else {
            return false;
        };
        connection.release_read_memory();
        if connection.is_read_paused {
            return true;
        }
        let outcome = connection.read(scratch, reads_to_end);
        if outcome.has_bytes {
            events.push(Event::Readable(id));
        }
        if let Some(reason) = outcome.closed {
            connection.mark_closed();
            events.push(Event::Closed(id, reason));
        }
        connection.is_read_paused
    }

    fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        let connection = self.connections.get(id.slot as usize)?;
        (connection.generation == id.generation).then_some(connection)
    }

    fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let connection = self.connections.get_mut(id.slot as usize)?;
        (connection.generation == id.generation).then_some(connection)
    }
}

fn id_of(slot: usize, generation: u32) -> ConnectionId {
    ConnectionId {
        slot: slot as u32,
        generation,
    }
}
