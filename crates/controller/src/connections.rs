//! Open connections of a daemon, and the purpose of each.

use crate::error::ControllerError;
use event_loop::{ConnectionId, Event, EventLoop, ListenerId};
use mio::Waker;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The memory limit of all operators' connections together is the process's memory divided by this.
const OPERATOR_MEMORY_DIVISOR: u64 = 4;

/// The purpose of a connection.
pub(crate) trait ConnectionKind: Copy {
    /// Maximum number of received bytes that may be unread on such a connection.
    fn inbox_max(self) -> usize;
}

/// The event loop, and the kind of each connection whose events are handled. A connection without a kind is being closed: it is
/// only flushed, and data that still arrives on it is ignored.
pub(crate) struct Connections<Kind> {
    event_loop: EventLoop,
    listeners: HashMap<ListenerId, Kind>,
    kinds: HashMap<ConnectionId, Kind>,
}

impl<Kind: ConnectionKind> Connections<Kind> {
    /// Creates an empty set. A connection fails if its peer acknowledges no sent bytes for `silence_ms`.
    pub fn new(connections_max: usize, silence_ms: u64) -> Result<Self, ControllerError> {
        let event_loop = EventLoop::new(connections_max, silence_ms as u32);
        Ok(Self {
            event_loop: event_loop.map_err(ControllerError::System)?,
            listeners: HashMap::new(),
            kinds: HashMap::new(),
        })
    }

    /// Listens on an address; connections accepted there are of this kind.
    pub fn listen(&mut self, address: SocketAddr, kind: Kind) -> Result<(), ControllerError> {
        let listener = self
            .event_loop
            .listen(address, kind.inbox_max())
            .map_err(|error| ControllerError::Listen(address, error))?;
        self.listeners.insert(listener, kind);
        Ok(())
    }

    /// Listens for metrics requests. An address that cannot be bound is only logged, since the daemon can serve without
    /// metrics.
    pub fn listen_for_metrics(&mut self, address: Option<SocketAddr>, kind: Kind) {
        let Some(address) = address else {
            return;
        };
        if let Err(error) = self.listen(address, kind) {
            log::warn!("controller: metrics not listened for error={error}");
        }
    }

    /// A handle that wakes the event loop from another thread.
    pub fn waker(&self) -> Result<Arc<Waker>, ControllerError> {
        self.event_loop.waker().map_err(ControllerError::System)
    }

    /// Waits for events, up to the timeout.
    pub fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) {
        self.event_loop.poll(timeout, events);
    }

    /// Assigns its kind to a connection that was accepted by a listener, and returns it.
    pub fn accept(&mut self, listener: ListenerId, connection: ConnectionId) -> Option<Kind> {
        let kind = self.listeners.get(&listener).copied()?;
        self.kinds.insert(connection, kind);
        Some(kind)
    }

    /// Starts to open a connection; none if the system denies it or too many are open.
    pub fn connect(&mut self, address: SocketAddr, kind: Kind) -> Option<ConnectionId> {
        let connection = self.event_loop.connect(address, kind.inbox_max()).ok()?;
        self.kinds.insert(connection, kind);
        Some(connection)
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.event_loop.len()
    }

    /// The kind of a connection; none if its events are no longer handled.
    pub fn kind(&self, connection: ConnectionId) -> Option<Kind> {
        self.kinds.get(&connection).copied()
    }

    /// Stops handling a connection's events. Returns its kind.
    pub fn forget(&mut self, connection: ConnectionId) -> Option<Kind> {
        self.kinds.remove(&connection)
    }

    /// Closes a connection immediately.
    pub fn close(&mut self, connection: ConnectionId) {
        self.kinds.remove(&connection);
        self.event_loop.close(connection);
    }

    /// Resets a connection: sent data that its peer has not received yet is discarded.
    pub fn reset(&mut self, connection: ConnectionId) {
        self.kinds.remove(&connection);
        self.event_loop.reset(connection);
    }

    /// Closes a connection once all queued data has been written.
    pub fn close_after_flush(&mut self, connection: ConnectionId) {
        self.event_loop.close_after_flush(connection);
        self.kinds.remove(&connection);
    }

    /// Whether a connection exists and its peer has not closed it.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.event_loop.is_open(connection)
    }

    /// Received bytes that were not consumed yet; none if the connection does not exist.
    pub fn read_buffer(&mut self, connection: ConnectionId) -> Option<&mut Vec<u8>> {
        self.event_loop.read_buffer(connection)
    }

    /// Closes the operators' connections that hold the most bytes, until the rest together stay within their share of the
    /// process's memory. Returns the closed connections.
    pub fn bound_operator_memory(&mut self, kind: Kind, process_memory: u64) -> Vec<ConnectionId>
    where
        Kind: PartialEq,
    {
        let max_bytes = process_memory / OPERATOR_MEMORY_DIVISOR;
        let listeners = self.listeners.iter();
        let of_kind = listeners.filter(|(_, listener_kind)| **listener_kind == kind);
        let mut held: Vec<(usize, ConnectionId)> = of_kind
            .flat_map(|(listener, _)| self.event_loop.buffer_capacity(*listener))
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

    /// Sends bytes, immediately or as soon as the connection is writable.
    pub fn send(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.event_loop.send(connection, bytes);
    }
}
