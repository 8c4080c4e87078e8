//! Messages queued for sending on one connection.

use crate::controller_connections::ControllerConnections;
use event_loop::ConnectionId;
use protocol::frame;
use speedy::{LittleEndian, Writable};

/// Maximum capacity in bytes that an empty buffer keeps.
const EMPTY_BUFFER_MAX: usize = 4 << 10;

/// Collects the frames of a loop iteration and sends them with one write, which saves system calls.
pub(crate) struct Outbox {
    connection: ConnectionId,
    unsent: Vec<u8>,
}

impl Outbox {
    /// Creates an empty outbox for a connection.
    pub fn new(connection: ConnectionId) -> Self {
        Self {
            connection,
            unsent: Vec::new(),
        }
    }

    /// The connection on which the messages are sent.
    pub fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// Queues a message.
    pub fn queue<Message: Writable<LittleEndian>>(&mut self, message: &Message) {
        self.queue_frame(&frame(message));
    }

    /// Queues an encoded frame, so that a message to several receivers is encoded only once.
    pub fn queue_frame(&mut self, frame: &[u8]) {
        self.unsent.extend_from_slice(frame);
    }

    /// Sends all queued messages.
    pub fn flush(&mut self, connections: &mut ControllerConnections) {
        if self.unsent.is_empty() {
            return;
        }
        connections.send(self.connection, &self.unsent);
        self.unsent.clear();
        self.unsent.shrink_to(EMPTY_BUFFER_MAX);
    }
}
