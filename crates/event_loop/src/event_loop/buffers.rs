//! Access to the connections' buffers, and limits on their size.

use super::{id_of, EventLoop};
use crate::connection::{Connection, ConnectionId};
use crate::listeners::ListenerId;

impl EventLoop {
    /// Frees the memory of read buffers that their owner has emptied since the last poll, as these connections may stay idle.
    pub(super) fn release_read_memory(&mut self) {
        for id in std::mem::take(&mut self.recently_read) {
            if let Some(connection) = self.connection_mut(id) {
                connection.release_read_memory();
            }
        }
    }

    /// Changes the number of untaken bytes in the read buffer at which reading from the connection pauses.
    pub fn set_read_limit(&mut self, id: ConnectionId, read_limit: usize) {
        if let Some(connection) = self.connection_mut(id) {
            connection.read_limit = read_limit;
        }
    }

    /// Allocated buffer memory, in bytes, of each connection that the listener accepted. Includes connections that are only
    /// being flushed before they close.
    pub fn buffer_capacity(
        &self,
        listener: ListenerId,
    ) -> impl Iterator<Item = (ConnectionId, usize)> + '_ {
        let accepted = self
            .connections
            .iter()
            .filter(move |(_, connection)| connection.listener == Some(listener));
        accepted
            .map(|(slot, connection)| (id_of(slot, connection.generation), connection.heap_bytes()))
    }

    /// Bytes that were received and not taken yet; `None` if the connection no longer exists. The owner drains what it takes.
    pub fn read_buffer(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        self.connection_mut(id)
            .map(|connection| &mut connection.read_buffer)
    }

    /// Number of bytes that are queued and not yet written to the socket; 0 if the connection no longer exists.
    pub fn unsent_bytes(&self, id: ConnectionId) -> usize {
        self.connection(id).map_or(0, Connection::unsent_bytes)
    }
}
