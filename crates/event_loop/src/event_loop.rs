//! The loop that owns the sockets, waits for readiness and turns it into events.

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

/// The token of the waker; it names neither a connection nor a listener.
const WAKER_TOKEN: Token = Token(usize::MAX);

/// Most readiness events that one poll takes from the system; the rest comes with the next.
const MAX_EVENTS_PER_POLL: usize = 256;

/// Bytes that one read takes from a socket. A read buffer exceeds its limit by less than this.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// All connections of a daemon, and the one place at which it waits.
pub struct EventLoop {
    poll: Poll,
    readiness: Events,
    connections: Slab<Connection>,
    last_generation: u32,
    listeners: Listeners,
    /// Listeners that accept nobody for a while, and since when.
    paused_listeners: Vec<(ListenerId, Instant)>,
    /// Connections that stopped reading because their read buffer was full.
    read_paused: Vec<ConnectionId>,
    /// Connections that had bytes in the last poll, whose owner may have taken them since.
    read_lately: Vec<ConnectionId>,
    /// Connections that broke while bytes were sent, whose end is still to be reported.
    broken: Vec<ConnectionId>,
    scratch: Vec<u8>,
    max_connections: usize,
    user_timeout: Duration,
}

impl EventLoop {
    /// An event loop with at most so many connections. A connection whose peer leaves sent bytes unacknowledged for
    /// `user_timeout_ms` milliseconds breaks.
    ///
    /// # Errors
    /// The system gives no poll instance.
    pub fn new(max_connections: usize, user_timeout_ms: u32) -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            readiness: Events::with_capacity(MAX_EVENTS_PER_POLL),
            connections: Slab::new(),
            last_generation: 0,
            listeners: Listeners::default(),
            paused_listeners: Vec::new(),
            read_paused: Vec::new(),
            read_lately: Vec::new(),
            broken: Vec::new(),
            scratch: vec![0; READ_CHUNK_BYTES],
            max_connections,
            user_timeout: Duration::from_millis(u64::from(user_timeout_ms)),
        })
    }

    /// A handle by which another thread ends a [`poll`](Self::poll) early. At most one may exist.
    ///
    /// # Errors
    /// The system gives no event descriptor.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Waker::new(self.poll.registry(), WAKER_TOKEN).map(Arc::new)
    }

    /// Accepts connections at an address. Each stops reading at `read_limit` bytes that the owner has not taken.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn listen(&mut self, address: SocketAddr, read_limit: usize) -> io::Result<ListenerId> {
        let registry = self.poll.registry();
        self.listeners.open(registry, address, read_limit)
    }

    /// Closes a listener; connections that were accepted stay.
    pub fn stop_listening(&mut self, listener: ListenerId) {
        self.listeners.close(self.poll.registry(), listener);
    }

    /// Begins to open a connection. Bytes may be sent at once: they are queued until it is established.
    ///
    /// # Errors
    /// There are as many connections as there may be, or the system refuses the socket. That nobody listens at the address
    /// is an [`Event::Closed`] later.
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
        // Without the option small messages are merely delayed, so a failure is no reason to give the connection up.
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

    /// Gives one connection another user time-out (milliseconds) than the event loop's.
    pub fn set_user_timeout(&mut self, id: ConnectionId, timeout_ms: u64) {
        if let Some(connection) = self.connection(id) {
            connection.set_user_timeout(Duration::from_millis(timeout_ms));
        }
    }

    /// Whether the connection is there, established or not, and no end of it is known.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connection(id).is_some_and(Connection::is_open)
    }

    /// How many connections there are, ended ones that the owner has not closed included.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether the system holds neither bytes nor an end for an open connection at this moment. Events report the same,
    /// but only at the next poll: too late for a request that must not be sent on a connection that its peer has closed.
    pub fn has_no_pending_input(&self, id: ConnectionId) -> bool {
        self.connection(id)
            .is_some_and(|connection| !connection.is_closed() && connection.has_no_pending_input())
    }

    /// Queues bytes and writes what the socket takes now. A connection that would hold too many queued bytes breaks. The
    /// result is false where none of the bytes has left or ever will.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connection_mut(id).filter(|one| one.takes_bytes()) else {
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

    /// Whether a connection that is to be closed still has bytes to write.
    pub fn is_flushing(&self) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|(_, connection)| connection.is_closing() && !connection.is_closed())
    }

    /// Closes a connection at once; queued bytes are lost. No further event names it.
    pub fn close(&mut self, id: ConnectionId) {
        if self.connection(id).is_none() {
            return;
        }
        let mut connection = self.connections.remove(id.slot as usize);
        // The socket is dropped here, which takes it out of the poll in any case.
        let _ = self.poll.registry().deregister(&mut connection.stream);
    }

    /// Closes a connection at once and resets it, so that bytes which its peer has not received reach it no more. After a plain close the
    /// system goes on to deliver what it has taken, however long the way to the peer is cut.
    pub fn reset(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connection(id) {
            // A connection that may not linger is reset by its closing.
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(id);
    }

    /// Waits at most `timeout` for something to happen and puts what did in `events`, in place of what they held.
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
        // An interrupted poll is no event; the caller polls again.
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
        match ListenerId::of(token) {
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

    /// Writes queued bytes; false where the connection ended by it.
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
        self.read_lately.push(id);
        if is_read_paused && !self.read_paused.contains(&id) {
            self.read_paused.push(id);
        }
    }

    /// Reads what the connection's buffer takes; true where reading is paused because the buffer is full.
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
