//! The listening sockets of a daemon.

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;

/// Tokens from this one on name listeners; those below name connections.
const FIRST_TOKEN: usize = usize::MAX / 2;

/// A listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ListenerId(pub(crate) usize);

/// All listening sockets, in the order in which they were opened.
#[derive(Default)]
pub(crate) struct Listeners {
    open: Vec<Option<Listener>>,
}

struct Listener {
    socket: TcpListener,
    read_limit: usize,
}

impl ListenerId {
    /// The listener that a token of a readiness event names, if it names one.
    pub fn of(token: Token) -> Option<Self> {
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
        let id = ListenerId(self.open.len());
        registry.register(&mut socket, id.token(), Interest::READABLE)?;
        self.open.push(Some(Listener { socket, read_limit }));
        Ok(id)
    }

    pub fn close(&mut self, registry: &Registry, id: ListenerId) {
        let Some(place) = self.open.get_mut(id.0) else {
            return;
        };
        if let Some(mut listener) = place.take() {
            // The socket is dropped here, which takes it out of the poll in any case.
            let _ = registry.deregister(&mut listener.socket);
        }
    }

    /// The next connection that waits at a listener, with the read limit of its connections. `None` where the listener
    /// is closed or nobody waits; an error concerns this one connection alone.
    pub fn accept(&self, id: ListenerId) -> Option<io::Result<(TcpStream, usize)>> {
        let listener = self.open.get(id.0)?.as_ref()?;
        match listener.socket.accept() {
            Ok((stream, _)) => Some(Ok((stream, listener.read_limit))),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(error) => Some(Err(error)),
        }
    }

    /// Asks for another event where more connections may wait than were accepted at one: events are edge-triggered.
    pub fn rearm(&mut self, registry: &Registry, id: ListenerId) {
        if let Some(Some(listener)) = self.open.get_mut(id.0) {
            let _ = registry.reregister(&mut listener.socket, id.token(), Interest::READABLE);
        }
    }
}
