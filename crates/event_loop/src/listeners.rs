//! The listening sockets of a daemon.

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;

/// First token of listeners; lower tokens identify connections.
const FIRST_TOKEN: usize = usize::MAX / 2;

/// Identifies a listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ListenerId(pub(crate) usize);

/// All listening sockets, in the order in which they were opened.
#[derive(Default)]
pub(crate) struct Listeners {
    slots: Vec<Option<Listener>>,
}

struct Listener {
    socket: TcpListener,
    read_limit: usize,
}

impl ListenerId {
    /// The listener that the token of a readiness event identifies, or `None` if it belongs to a connection.
    pub fn from_token(token: Token) -> Option<Self> {
        token.0.checked_sub(FIRST_TOKEN).map(Self)
    }

    fn token(self) -> Token {
        Token(FIRST_TOKEN + self.0)
    }
}

impl Listeners {
    pub fn open(
        &mut self,
        registry: &Registry,
        address: SocketAddr,
        read_limit: usize,
    ) -> io::Result<ListenerId> {
        let mut socket = TcpListener::bind(address)?;
        let id = ListenerId(self.slots.len());
        registry.register(&mut socket, id.token(), Interest::READABLE)?;
        self.slots.push(Some(Listener { socket, read_limit }));
        Ok(id)
    }

    pub fn close(&mut self, registry: &Registry, id: ListenerId) {
        let Some(slot) = self.slots.get_mut(id.0) else {
            return;
        };
        if let Some(mut listener) = slot.take() {
            // Errors don't matter: dropping the socket here removes it from the poll in any case.
            let _ = registry.deregister(&mut listener.socket);
        }
    }

    /// Accepts the next pending connection of a listener and returns it with the listener's read limit. `None` if the
    /// listener is closed or no connection is pending.
    pub fn accept(&self, id: ListenerId) -> Option<io::Result<(TcpStream, usize)>> {
        let listener = self.slots.get(id.0)?.as_ref()?;
        match listener.socket.accept() {
            Ok((stream, _)) => Some(Ok((stream, listener.read_limit))),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(error) => Some(Err(error)),
        }
    }

    /// Requests another readiness event, since more connections may be pending than were accepted: events are edge-triggered.
    pub fn rearm(&mut self, registry: &Registry, id: ListenerId) {
        if let Some(Some(listener)) = self.slots.get_mut(id.0) {
            let _ = registry.reregister(&mut listener.socket, id.token(), Interest::READABLE);
        }
    }
}
