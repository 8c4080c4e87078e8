//! Connections over which a daemon of the control plane tells its figures.

use crate::connections::{ConnectionKind, Connections};
use event_loop::ConnectionId;
use http1::Request;
use metrics::MetricsReader;
use std::collections::HashMap;

/// Most unread bytes of a connection for figures.
pub(crate) const METRICS_INBOX_MAX: usize = 16 << 10;

/// Open connections for figures.
#[derive(Default)]
pub(crate) struct MetricsService {
    readers: HashMap<ConnectionId, MetricsReader>,
}

impl MetricsService {
    /// A connection was accepted.
    pub fn accept(&mut self, connection: ConnectionId) {
        self.readers.insert(connection, MetricsReader::default());
    }

    /// A connection has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.readers.remove(&connection);
    }

    /// Takes a request off a connection once it has arrived; one that sends no request is closed.
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

    /// Sends the response to a request that was taken off a connection.
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
