//! What is known of a line at the moment when bytes are sent on it. Every wait is for a condition, with a bounded number
//! of looks.

use event_loop::{CloseReason, ConnectionId, Event, EventLoop};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const LOOKS: usize = 500;
const LOOK: Duration = Duration::from_millis(20);
const INBOX: usize = 64 << 10;

/// An event loop and all that it told so far.
struct Daemon {
    event_loop: EventLoop,
    told: Vec<Event>,
}

impl Daemon {
    fn new() -> Self {
        Self {
            event_loop: EventLoop::new(64, 2_000).unwrap(),
            told: Vec::new(),
        }
    }

    fn until(&mut self, event: Event) {
        for _ in 0..LOOKS {
            if self.told.contains(&event) {
                return;
            }
            let mut events = Vec::new();
            self.event_loop.poll(LOOK, &mut events);
            self.told.extend(events);
        }
        panic!("{event:?} did not come: {:?}", self.told);
    }

    /// Looks, without a wait for events, until the system knows that something came.
    fn stirs(&mut self, line: ConnectionId) {
        let is_stirred = (0..LOOKS * LOOKS).any(|_| {
            std::thread::yield_now();
            !self.event_loop.has_nothing_to_read(line)
        });
        assert!(is_stirred, "nothing came");
    }
}

/// A line that this daemon opened, and its peer.
fn joined(daemon: &mut Daemon) -> (ConnectionId, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let line = daemon.event_loop.connect(address, INBOX).unwrap();
    let (peer, _) = listener.accept().unwrap();
    daemon.until(Event::Connected(line));
    (line, peer)
}

#[test]
fn a_line_with_unread_bytes_or_an_end_is_not_quiet_before_events_tell() {
    let mut daemon = Daemon::new();
    let (line, mut peer) = joined(&mut daemon);
    assert!(daemon.event_loop.has_nothing_to_read(line));
    peer.write_all(b"surplus").unwrap();
    daemon.stirs(line);
    assert!(daemon.event_loop.read_buffer(line).unwrap().is_empty());

    let (line, peer) = joined(&mut daemon);
    drop(peer);
    daemon.stirs(line);
    assert!(daemon.event_loop.is_open(line), "no event has told yet");
}

#[test]
fn bytes_are_told_as_not_sent_only_if_none_was_taken() {
    let mut daemon = Daemon::new();
    let (line, mut peer) = joined(&mut daemon);
    assert!(daemon.event_loop.send(line, b"request"));
    let mut got = [0; 7];
    peer.read_exact(&mut got).unwrap();
    // Closing with unread bytes resets the line; so does a write to a closed one.
    assert!(daemon.event_loop.send(line, b"unread"));
    drop(peer);
    daemon.stirs(line);
    assert!(!daemon.event_loop.send(line, b"never leaves"));
    assert!(!daemon.event_loop.send(line, b"nor does this"));
    assert!(!daemon.event_loop.is_open(line));
    daemon.until(Event::Closed(line, CloseReason::Broken));
    assert!(!daemon.event_loop.send(line, b"nor this"));

    let (line, _peer) = joined(&mut daemon);
    let much = vec![7; 8 << 20];
    assert!(
        daemon.event_loop.send(line, &much),
        "a part of it was taken"
    );
    assert!(daemon.event_loop.unsent_bytes(line) > 0);
}
