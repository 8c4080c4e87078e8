//! Events that the event loop reports to its owner.

use crate::connection::{CloseReason, ConnectionId};
use crate::listeners::ListenerId;

/// Something that happened on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer opened a connection to a listener.
    Accepted(ListenerId, ConnectionId),
    /// A connection opened by this daemon is established.
    Connected(ConnectionId),
    /// Bytes were added to the connection's read buffer.
    Readable(ConnectionId),
    /// All bytes queued on the connection have been written to the socket.
    Drained(ConnectionId),
    /// The connection ended. Its read buffer stays available until the owner closes the connection.
    Closed(ConnectionId, CloseReason),
}
