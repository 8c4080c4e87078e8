//! Open connections of a daemon and what each of them is for.

use crate::error::ControllerError;
use event_loop::{ConnectionId, Event, EventLoop, ListenerId};
use mio::Waker;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Part of the process's memory that operators together may take.
const OPERATOR_MEMORY_DIVISOR: u64 = 4;

/// What a connection is for.
pub(crate) trait ConnectionKind: Copy {
    /// Most bytes that may have arrived on such a connection without being read.
    fn inbox_max(self) -> usize;
}

/// The event loop, and the kind of each connection whose events are handled. A connection without a kind is on its way
/// out: it is only flushed, and what still arrives on it is ignored.
pub(crate) struct Connections<Kind> {
    event_loop: EventLoop,
    listeners: HashMap<ListenerId, Kind>,
    kinds: HashMap<ConnectionId, Kind>,
}

impl<Kind: ConnectionKind> Connections<Kind> {
    /// None are open yet. A connection breaks whose peer acknowledges no bytes for `silence_ms`.
    pub fn new(connections_max: usize, silence_ms: u64) -> Result<Self, ControllerError> {
        let event_loop = EventLoop::new(connections_max, silence_ms as u32);
        Ok(Self {
            event_loop: event_loop.map_err(ControllerError::System)?,
            listeners: HashMap::new(),
            kinds: HashMap::new(),
        })
    }

    /// Listens at an address; connections that are accepted there are of this kind.
    pub fn listen(&mut self, address: SocketAddr, kind: Kind) -> Result<(), ControllerError> {
        let listener = self
            .event_loop
            .listen(address, kind.inbox_max())
            .map_err(|error| ControllerError::Listen(address, error))?;
        self.listeners.insert(listener, kind);
        Ok(())
    }

    /// Listens for requests for figures. They are no reason to refuse service, so an address that cannot be bound is only
    /// logged.
    pub fn listen_for_metrics(&mut self, address: Option<SocketAddr>, kind: Kind) {
        let Some(address) = address else {
            return;
        };
        if let Err(error) = self.listen(address, kind) {
            log::warn!("controller: metrics not listened for error={error}");
        }
    }

    /// Wakes the event loop from another thread.
    pub fn waker(&self) -> Result<Arc<Waker>, ControllerError> {
        self.event_loop.waker().map_err(ControllerError::System)
    }

    /// Waits for events for at most that long.
    pub fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) {
        self.event_loop.poll(timeout, events);
    }

    /// A peer opened a connection at a listener. Returns what it is for.
    pub fn accept(&mut self, listener: ListenerId, connection: ConnectionId) -> Option<Kind> {
        let kind = self.listeners.get(&listener).copied()?;
        self.kinds.insert(connection, kind);
        Some(kind)
    }

    /// Begins to open a connection; none where the system refuses or too many are open.
    pub fn connect(&mut self, address: SocketAddr, kind: Kind) -> Option<ConnectionId> {
        let connection = self.event_loop.connect(address, kind.inbox_max()).ok()?;
        self.kinds.insert(connection, kind);
        Some(connection)
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.event_loop.len()
    }

    /// What a connection is for; none where its events are no longer handled.
    pub fn kind(&self, connection: ConnectionId) -> Option<Kind> {
        self.kinds.get(&connection).copied()
    }

    /// Stops handling a connection's events. Returns what it was for.
    pub fn forget(&mut self, connection: ConnectionId) -> Option<Kind> {
        self.kinds.remove(&connection)
    }

    /// Closes a connection at once.
    pub fn close(&mut self, connection: ConnectionId) {
        self.kinds.remove(&connection);
        self.event_loop.close(connection);
    }

    /// Closes a connection at once; what its peer has not received reaches it no more.
    pub fn reset(&mut self, connection: ConnectionId) {
        self.kinds.remove(&connection);
        self.event_loop.reset(connection);
    }

    /// Closes a connection once all that was sent has left.
    pub fn close_after_flush(&mut self, connection: ConnectionId) {
        self.event_loop.close_after_flush(connection);
        self.kinds.remove(&connection);
    }

    /// Whether a connection is there and its peer has not ended it.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.event_loop.is_open(connection)
    }

    /// Bytes that arrived and were not taken yet; none where the connection is gone.
    pub fn read_buffer(&mut self, connection: ConnectionId) -> Option<&mut Vec<u8>> {
        self.event_loop.read_buffer(connection)
    }

    /// Closes the operators' connections that hold most bytes, until all hold no more than their part of the process's memory.
    /// Returns those that were closed.
    pub fn bound_operator_memory(&mut self, kind: Kind, process_memory: u64) -> Vec<ConnectionId>
    where
        Kind: PartialEq,
    {
        let max_bytes = process_memory / OPERATOR_MEMORY_DIVISOR;
        let listeners = self.listeners.iter();
        let of_kind = listeners.filter(|(_, one)| **one == kind);
        let mut held: Vec<(usize, ConnectionId)> = of_kind
            .flat_map(|(listener, _)| self.event_loop.held_bytes(*listener))
            .map(|(connection, bytes)| (bytes, connection))
            .collect();
        let mut total: u64 = held.iter().map(|(bytes, _)| *bytes as u64).sum();
        let mut closed = Vec::new();
        if total <= max_bytes {
            return closed;
        }
        held.sort_unstable();
        while let Some((bytes, connection)) = held.pop().filter(|_| total > max_bytes) {
            log::warn!("controller: operator closed, memory exceeded max={max_bytes}");
            total -= bytes as u64;
            self.close(connection);
            closed.push(connection);
        }
        closed
    }

    /// Sends bytes, now or as soon as the connection takes them.
    pub fn send(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.event_loop.send(connection, bytes);
    }
}
