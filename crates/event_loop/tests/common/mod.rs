//! Test fixture: an event loop with peers on loopback. Every wait is for a condition, with a bounded number of polls.
#![allow(dead_code)]

use event_loop::{CloseReason, ConnectionId, Event, EventLoop, ListenerId};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

pub const MAX_POLLS: usize = 500;
pub const POLL_TIMEOUT: Duration = Duration::from_millis(20);
pub const READ_LIMIT: usize = 64 << 10;

/// An event loop and all events that it has reported so far.
pub struct TestLoop {
    pub event_loop: EventLoop,
    pub events: Vec<Event>,
}

impl TestLoop {
    pub fn new() -> Self {
        Self {
            event_loop: EventLoop::new(64, 2_000).unwrap(),
            events: Vec::new(),
        }
    }

    pub fn poll(&mut self, timeout: Duration) {
        let mut events = Vec::new();
        self.event_loop.poll(timeout, &mut events);
        self.events.extend(events);
    }

    pub fn wait_for<T>(&mut self, what: &str, mut found: impl FnMut(&mut Self) -> Option<T>) -> T {
        for _ in 0..MAX_POLLS {
            if let Some(found) = found(self) {
                return found;
            }
            self.poll(POLL_TIMEOUT);
        }
        panic!("{what} did not arrive: {:?}", self.events);
    }

    pub fn wait_for_event(&mut self, event: Event) {
        let what = format!("{event:?}");
        self.wait_for(&what, |one| one.has(event).then_some(()));
    }

    pub fn wait_accepted(&mut self) -> (ListenerId, ConnectionId) {
        self.wait_for("a connection", |one| {
            let place = one
                .events
                .iter()
                .position(|event| matches!(event, Event::Accepted(..)))?;
            let Event::Accepted(listener, connection) = one.events.remove(place) else {
                return None;
            };
            Some((listener, connection))
        })
    }

    pub fn wait_closed(&mut self, connection: ConnectionId) -> CloseReason {
        self.wait_for("a close", |one| {
            one.events.iter().find_map(|event| match event {
                Event::Closed(id, reason) if *id == connection => Some(*reason),
                _ => None,
            })
        })
    }

    pub fn wait_for_bytes(&mut self, connection: ConnectionId, length: usize) -> Vec<u8> {
        self.wait_for("bytes", |one| {
            let buffer = one.event_loop.read_buffer(connection)?;
            (buffer.len() >= length).then(|| std::mem::take(buffer))
        })
    }

    pub fn has(&self, event: Event) -> bool {
        self.events.contains(&event)
    }

    /// Waits, without polling the event loop, until the kernel has bytes or an end of stream for the connection.
    pub fn wait_for_pending_input(&mut self, connection: ConnectionId) {
        let has_pending_input = (0..MAX_POLLS * MAX_POLLS).any(|_| {
            std::thread::yield_now();
            !self.event_loop.has_no_pending_input(connection)
        });
        assert!(has_pending_input, "no input arrived");
    }

    /// Opens a connection to a new peer and waits until it is established.
    pub fn connect_to_peer(&mut self, read_limit: usize) -> (TcpStream, ConnectionId) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connection = self.event_loop.connect(address, read_limit).unwrap();
        let (peer, _) = listener.accept().unwrap();
        self.wait_for_event(Event::Connected(connection));
        (peer, connection)
    }
}

/// A listening event loop, a peer's socket, and the connection accepted from that peer.
pub fn accepted(read_limit: usize) -> (TestLoop, TcpStream, ConnectionId) {
    let (test, peer, _, connection) = accepted_with_listener(read_limit);
    (test, peer, connection)
}

/// Like [`accepted`], with the listener.
pub fn accepted_with_listener(
    read_limit: usize,
) -> (TestLoop, TcpStream, ListenerId, ConnectionId) {
    let mut test = TestLoop::new();
    let address = free_address();
    let listener = test.event_loop.listen(address, read_limit).unwrap();
    let peer = TcpStream::connect(address).unwrap();
    let (at, connection) = test.wait_accepted();
    assert_eq!(at, listener);
    (test, peer, listener, connection)
}

/// An event loop, a peer's socket, and the connection opened to that peer.
pub fn connected(read_limit: usize) -> (TestLoop, TcpStream, ConnectionId) {
    let mut test = TestLoop::new();
    let (peer, connection) = test.connect_to_peer(read_limit);
    (test, peer, connection)
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|place| (place % 251) as u8).collect()
}
