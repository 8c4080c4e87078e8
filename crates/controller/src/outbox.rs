//! Messages that wait to be sent on one connection.

use crate::controller_connections::ControllerConnections;
use event_loop::ConnectionId;
use protocol::frame;
use speedy::{LittleEndian, Writable};

/// Most bytes of an empty buffer that are kept for the next use.
const EMPTY_BUFFER_MAX: usize = 4 << 10;

/// Frames that are collected during a turn and leave in one piece, which spares system calls.
pub(crate) struct Outbox {
    connection: ConnectionId,
    unsent: Vec<u8>,
}

impl Outbox {
    /// An empty outbox of a connection.
    pub fn new(connection: ConnectionId) -> Self {
        Self {
            connection,
            unsent: Vec::new(),
        }
    }

    /// The connection on which it is sent.
    pub fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// Queues a message.
    pub fn queue<Message: Writable<LittleEndian>>(&mut self, message: &Message) {
        self.queue_frame(&frame(message));
    }

    /// Queues a message that was framed once for several receivers.
    pub fn queue_frame(&mut self, frame: &[u8]) {
        self.unsent.extend_from_slice(frame);
    }

    /// Sends what was queued since the last flush.
    pub fn flush(&mut self, connections: &mut ControllerConnections) {
        if self.unsent.is_empty() {
            return;
        }
        connections.send(self.connection, &self.unsent);
        self.unsent.clear();
        self.unsent.shrink_to(EMPTY_BUFFER_MAX);
    }
}
