//! Open connections of the gateway. Each has one role; a connection without a role is closed or about to be closed.

use crate::downstream_connection::DownstreamConnection;
use crate::upstream_connection::UpstreamConnection;
use event_loop::{ConnectionId, Event, EventLoop, ListenerId};
use http1::RequestReader;
use metrics::MetricsReader;
use protocol::RequestId;
use std::collections::HashMap;
use std::time::Duration;

/// The runner that a probe connects to.
#[derive(Clone, Debug)]
pub(crate) struct ProbedRunner {
    pub function: String,
    pub runner: String,
}

/// What a connection is for.
pub(crate) enum ConnectionRole {
    /// Carries a client's requests.
    Downstream(DownstreamConnection),
    /// Carries readiness checks sent to their own address.
    Readiness(RequestReader),
    /// Carries requests for metrics.
    Metrics(MetricsReader),
    /// Carries requests to a runner.
    Upstream(UpstreamConnection),
    /// Link to another gateway, by name; `None` until it has sent its name.
    Peer(Option<String>),
    /// Link to a controller, by address.
    Controller(String),
    /// Probes whether a starting runner accepts connections.
    Probe(ProbedRunner),
}

/// The event loop's connections, each with its role.
pub(crate) struct Connections {
    event_loop: EventLoop,
    roles: HashMap<ConnectionId, ConnectionRole>,
}

impl Connections {
    /// Wraps an event loop that has its listeners and no connections yet.
    pub fn new(event_loop: EventLoop) -> Self {
        Self {
            event_loop,
            roles: HashMap::new(),
        }
    }

    /// Stops accepting connections at a listener.
    pub fn stop_listening(&mut self, listener: ListenerId) {
        self.event_loop.stop_listening(listener);
    }

    /// Waits for events.
    pub fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) {
        self.event_loop.poll(timeout, events);
    }

    /// Starts connecting to an address (IP and port). Returns `None` if the address is invalid or the system call
    /// fails.
    pub fn connect(
        &mut self,
        address: &str,
        buffer_max: usize,
        role: ConnectionRole,
    ) -> Option<ConnectionId> {
        let address = address.parse().ok()?;
        let id = self.event_loop.connect(address, buffer_max).ok()?;
        self.roles.insert(id, role);
        Some(id)
    }

    /// Sets the role of a connection, replacing any former one.
    pub fn set_role(&mut self, id: ConnectionId, role: ConnectionRole) {
        self.roles.insert(id, role);
    }

    /// The role of an open connection.
    pub fn role(&self, id: ConnectionId) -> Option<&ConnectionRole> {
        self.roles.get(&id)
    }

    /// A client's connection.
    pub fn downstream(&mut self, id: ConnectionId) -> Option<&mut DownstreamConnection> {
        match self.roles.get_mut(&id) {
            Some(ConnectionRole::Downstream(connection)) => Some(connection),
            _ => None,
        }
    }

    /// A client's connection with its unread bytes.
    pub fn downstream_input(
        &mut self,
        id: ConnectionId,
    ) -> Option<(&mut DownstreamConnection, &mut Vec<u8>)> {
        let Some(ConnectionRole::Downstream(connection)) = self.roles.get_mut(&id) else {
            return None;
        };
        Some((connection, self.event_loop.read_buffer(id)?))
    }

    /// The reader and the unread bytes of a connection for readiness checks.
    pub fn readiness_input(
        &mut self,
        id: ConnectionId,
    ) -> Option<(&mut RequestReader, &mut Vec<u8>)> {
        let Some(ConnectionRole::Readiness(reader)) = self.roles.get_mut(&id) else {
            return None;
        };
        Some((reader, self.event_loop.read_buffer(id)?))
    }

    /// The reader and the unread bytes of a connection for metrics.
    pub fn metrics_input(
        &mut self,
        id: ConnectionId,
    ) -> Option<(&mut MetricsReader, &mut Vec<u8>)> {
        let Some(ConnectionRole::Metrics(reader)) = self.roles.get_mut(&id) else {
            return None;
        };
        Some((reader, self.event_loop.read_buffer(id)?))
    }

    /// A connection to a runner.
    pub fn upstream(&mut self, id: ConnectionId) -> Option<&mut UpstreamConnection> {
        match self.roles.get_mut(&id) {
            Some(ConnectionRole::Upstream(connection)) => Some(connection),
            _ => None,
        }
    }

    /// Whether a connection goes to a runner, and a request with this id may be sent on it.
    pub fn may_carry(&self, id: ConnectionId, request_id: &[u8]) -> bool {
        matches!(self.roles.get(&id),
            Some(ConnectionRole::Upstream(connection)) if connection.session.may_send(request_id))
    }

    /// A connection to a runner with its unread bytes.
    pub fn upstream_input(
        &mut self,
        id: ConnectionId,
    ) -> Option<(&mut UpstreamConnection, &mut Vec<u8>)> {
        let Some(ConnectionRole::Upstream(connection)) = self.roles.get_mut(&id) else {
            return None;
        };
        Some((connection, self.event_loop.read_buffer(id)?))
    }

    /// Unread bytes of a connection; `None` if it is closed.
    pub fn read_buffer(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        self.event_loop.read_buffer(id)
    }

    /// Number of received bytes that have not been read.
    pub fn unread_bytes(&mut self, id: ConnectionId) -> usize {
        let buffer = self.event_loop.read_buffer(id);
        buffer.map_or(0, |buffer| buffer.len())
    }

    /// Whether received bytes have not been read.
    pub fn has_unread_bytes(&mut self, id: ConnectionId) -> bool {
        self.unread_bytes(id) > 0
    }

    /// Whether a connection is open and all its received bytes have been read.
    pub fn has_no_unread_bytes(&mut self, id: ConnectionId) -> bool {
        let buffer = self.event_loop.read_buffer(id);
        buffer.is_some_and(|buffer| buffer.is_empty())
    }

    /// Queries the socket whether an open connection has nothing to read and was not closed by its peer up to this
    /// moment.
    pub fn has_no_pending_input(&mut self, id: ConnectionId) -> bool {
        self.event_loop.has_no_pending_input(id)
    }

    /// Whether the connection was open as of the last poll.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.event_loop.is_open(id)
    }

    /// Memory taken by the buffers of each connection that a listener has accepted, in bytes.
    pub fn buffer_capacity(
        &self,
        listener: ListenerId,
    ) -> impl Iterator<Item = (ConnectionId, usize)> + '_ {
        self.event_loop.buffer_capacity(listener)
    }

    /// Sets the number of unread bytes at which reading from a connection stops.
    pub fn set_read_limit(&mut self, id: ConnectionId, read_limit: usize) {
        self.event_loop.set_read_limit(id, read_limit);
    }

    /// Number of bytes queued for sending.
    pub fn unsent_bytes(&self, id: ConnectionId) -> usize {
        self.event_loop.unsent_bytes(id)
    }

    /// Sets how long, in milliseconds, the peer may leave sent bytes unacknowledged.
    pub fn set_user_timeout(&mut self, id: ConnectionId, silence_ms: u64) {
        self.event_loop.set_user_timeout(id, silence_ms);
    }

    /// Sends bytes. Returns false if none of them was sent or ever will be.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) -> bool {
        self.event_loop.send(id, bytes)
    }

    /// Closes a connection immediately.
    pub fn close(&mut self, id: ConnectionId) {
        self.roles.remove(&id);
        self.event_loop.close(id);
    }

    /// Closes a connection after all queued bytes are sent; bytes received until then are ignored.
    pub fn close_after_flush(&mut self, id: ConnectionId) {
        self.event_loop.close_after_flush(id);
        self.roles.remove(&id);
    }

    /// Whether a connection that is about to be closed still has bytes to send.
    pub fn is_flushing(&self) -> bool {
        self.event_loop.is_flushing()
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.event_loop.len()
    }

    /// Clients' connections without a request in flight or arriving.
    pub fn idle_downstream(&self) -> Vec<ConnectionId> {
        let idle = self.roles.iter().filter(|(_, role)| {
            matches!(role, ConnectionRole::Downstream(connection) if connection.is_idle())
        });
        idle.map(|(id, _)| *id).collect()
    }

    /// Clients' connections that wait for a response, with their requests.
    pub fn waiting_downstream(&self) -> Vec<(ConnectionId, RequestId)> {
        let roles = self.roles.iter();
        let waiting = roles.filter_map(|(id, role)| match role {
            ConnectionRole::Downstream(connection) => Some((*id, connection.request?)),
            _ => None,
        });
        waiting.collect()
    }

    /// Whether a client is connected.
    pub fn has_downstream(&self) -> bool {
        let mut roles = self.roles.values();
        roles.any(|role| matches!(role, ConnectionRole::Downstream(_)))
    }

    /// Connections to the gateway of this name.
    pub fn with_peer(&self, name: &str) -> Vec<ConnectionId> {
        let with_peer = self
            .roles
            .iter()
            .filter(|(_, role)| matches!(role, ConnectionRole::Peer(Some(known)) if known == name));
        with_peer.map(|(id, _)| *id).collect()
    }

    /// Whether a pooled connection to a runner has not expired.
    pub fn is_fresh_upstream(&self, id: ConnectionId, now: u64) -> bool {
        matches!(self.roles.get(&id),
            Some(ConnectionRole::Upstream(connection)) if connection.expires_at > now)
    }
}
