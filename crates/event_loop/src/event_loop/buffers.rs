//! What connections hold in their buffers, and how much they may.

use super::{id_of, EventLoop};
use crate::connection::{Connection, ConnectionId};
use crate::listeners::ListenerId;

impl EventLoop {
    /// Gives back the memory of the buffers whose owner has emptied them since the last poll: a connection may be idle from here on.
    pub(super) fn release_read_memory(&mut self) {
        for id in std::mem::take(&mut self.read_lately) {
            if let Some(connection) = self.connection_mut(id) {
                connection.release_read_memory();
            }
        }
    }

    /// Reading a connection stops at so many bytes that the owner has not taken, from now on.
    pub fn set_read_limit(&mut self, id: ConnectionId, read_limit: usize) {
        if let Some(connection) = self.connection_mut(id) {
            connection.read_limit = read_limit;
        }
    }

    /// Memory, in bytes, that the buffers of each connection take that a listener has accepted; also of those that are only
    /// flushed before they are closed.
    pub fn buffer_capacity(
        &self,
        listener: ListenerId,
    ) -> impl Iterator<Item = (ConnectionId, usize)> + '_ {
        let accepted = self
            .connections
            .iter()
            .filter(move |(_, connection)| connection.listener == Some(listener));
        accepted.map(|(slot, connection)| {
            (
                id_of(slot, connection.generation),
                connection.buffer_capacity(),
            )
        })
    }

    /// Bytes that arrived and were not taken yet; `None` where the connection is gone. The owner drains what it takes.
    pub fn read_buffer(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        self.connection_mut(id)
            .map(|connection| &mut connection.read_buffer)
    }

    /// Bytes that are queued and not yet written to the socket.
    pub fn unsent_bytes(&self, id: ConnectionId) -> usize {
        self.connection(id).map_or(0, Connection::unsent_bytes)
    }
}
