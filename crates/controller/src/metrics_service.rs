//! Connections over which a daemon of the control plane tells its figures.

use crate::connections::{ConnectionKind, Connections};
use event_loop::ConnectionId;
use metrics::{EndpointInput, MetricsReader, Snapshot};
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

    /// Answers what has arrived on a connection.
    pub fn handle_readable<Kind: ConnectionKind>(
        &mut self,
        connection: ConnectionId,
        connections: &mut Connections<Kind>,
        snapshot: impl FnOnce() -> Snapshot,
    ) {
        let Some(reader) = self.readers.get_mut(&connection) else {
            return;
        };
        let Some(buffer) = connections.read_buffer(connection) else {
            return;
        };
        match reader.read(buffer) {
            EndpointInput::Incomplete => {}
            EndpointInput::Request(request) => {
                connections.send(connection, &metrics::respond(&request, snapshot));
                if !request.keeps_alive {
                    self.close(connection, connections);
                }
            }
            EndpointInput::Malformed(_) => self.close(connection, connections),
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
