//! The metrics endpoint of a control plane daemon.

use crate::connections::{ConnectionKind, Connections};
use event_loop::ConnectionId;
use http1::Request;
use metrics::MetricsReader;
use std::collections::HashMap;

/// Maximum unread bytes on a connection to the metrics endpoint.
pub(crate) const METRICS_INBOX_MAX: usize = 16 << 10;

/// Open connections to the metrics endpoint.
#[derive(Default)]
pub(crate) struct MetricsService {
    readers: HashMap<ConnectionId, MetricsReader>,
}

impl MetricsService {
    /// Registers an accepted connection.
    pub fn accept(&mut self, connection: ConnectionId) {
        self.readers.insert(connection, MetricsReader::default());
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.readers.remove(&connection);
    }

    /// Takes the next complete request from a connection. A connection that sends anything else is closed.
    pub fn take_request<Kind: ConnectionKind>(
        &mut self,
        connection: ConnectionId,
        connections: &mut Connections<Kind>,
    ) -> Option<Request> {
        let reader = self.readers.get_mut(&connection)?;
        let buffer = connections.read_buffer(connection)?;
        let request = reader.read(buffer);
        request.unwrap_or_else(|_| {
            self.close(connection, connections);
            None
        })
    }

    /// Sends the response to a request, and closes the connection unless it is kept alive.
    pub fn respond<Kind: ConnectionKind>(
        &mut self,
        connection: ConnectionId,
        connections: &mut Connections<Kind>,
        response: &[u8],
        keeps_alive: bool,
    ) {
        connections.send(connection, response);
        if !keeps_alive {
            self.close(connection, connections);
        }
    }

    fn close<Kind: ConnectionKind>(
        &mut self,
        connection: ConnectionId,
        connections: &mut Connections<Kind>,
    ) {
        self.remove(connection);
        connections.close_after_flush(connection);
    }
}
