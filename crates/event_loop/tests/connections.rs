//! Lines between this daemon and peers on loopback. Every wait is for a condition, with a bounded number of looks.

use event_loop::{CloseReason, ConnectionId, Event, EventLoop, ListenerId, Timers};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

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

    fn look(&mut self, patience: Duration) {
        let mut events = Vec::new();
        self.event_loop.poll(patience, &mut events);
        self.told.extend(events);
    }

    fn until<T>(&mut self, what: &str, mut found: impl FnMut(&mut Self) -> Option<T>) -> T {
        for _ in 0..LOOKS {
            if let Some(found) = found(self) {
                return found;
            }
            self.look(LOOK);
        }
        panic!("{what} did not come: {:?}", self.told);
    }

    fn opened(&mut self) -> (ListenerId, ConnectionId) {
        self.until("a line", |daemon| {
            let place = daemon
                .told
                .iter()
                .position(|event| matches!(event, Event::Accepted(..)))?;
            let Event::Accepted(listener, line) = daemon.told.remove(place) else {
                return None;
            };
            Some((listener, line))
        })
    }

    fn ended(&mut self, line: ConnectionId) -> CloseReason {
        self.until("an end", |daemon| {
            daemon.told.iter().find_map(|event| match event {
                Event::Closed(one, end) if *one == line => Some(*end),
                _ => None,
            })
        })
    }

    fn has(&self, event: Event) -> bool {
        self.told.contains(&event)
    }

    fn holds(&mut self, line: ConnectionId, length: usize) -> Vec<u8> {
        self.until("bytes", |daemon| {
            let inbox = daemon.event_loop.read_buffer(line)?;
            (inbox.len() >= length).then(|| std::mem::take(inbox))
        })
    }
}

/// A daemon that listens, a peer's socket, and the line between them.
fn accepted(inbox: usize) -> (Daemon, TcpStream, ConnectionId) {
    let mut daemon = Daemon::new();
    let address = free_address();
    let listener = daemon.event_loop.listen(address, inbox).unwrap();
    let peer = TcpStream::connect(address).unwrap();
    let (at, line) = daemon.opened();
    assert_eq!(at, listener);
    (daemon, peer, line)
}

fn connected(inbox: usize) -> (Daemon, TcpStream, ConnectionId) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut daemon = Daemon::new();
    let address = listener.local_addr().unwrap();
    let line = daemon.event_loop.connect(address, inbox).unwrap();
    daemon.until("a connection", |daemon| {
        daemon.has(Event::Connected(line)).then_some(())
    });
    (daemon, listener.accept().unwrap().0, line)
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|place| (place % 251) as u8).collect()
}

#[test]
fn bytes_go_both_ways_and_a_close_is_told() {
    let (mut daemon, mut peer, line) = accepted(INBOX);
    peer.write_all(b"ping").unwrap();
    assert_eq!(daemon.holds(line, 4), b"ping");
    assert!(daemon.has(Event::Readable(line)));
    daemon.event_loop.send(line, b"pong");
    let mut answer = [0; 4];
    peer.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"pong");
    drop(peer);
    assert_eq!(daemon.ended(line), CloseReason::PeerClosed);
    assert!(!daemon.event_loop.is_open(line));
    daemon.event_loop.close(line);
    assert!(daemon.event_loop.is_empty());
}

#[test]
fn a_line_that_is_opened_here_comes_up_and_carries_bytes() {
    let (mut daemon, mut peer, line) = connected(INBOX);
    daemon.event_loop.send(line, b"ping");
    let mut question = [0; 4];
    peer.read_exact(&mut question).unwrap();
    peer.write_all(b"pong").unwrap();
    assert_eq!(daemon.holds(line, 4), b"pong");
}

#[test]
fn bytes_that_are_sent_before_the_line_is_up_arrive() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut daemon = Daemon::new();
    let line = daemon
        .event_loop
        .connect(listener.local_addr().unwrap(), INBOX)
        .unwrap();
    daemon.event_loop.send(line, b"early");
    daemon.until("a connection", |daemon| {
        daemon.has(Event::Connected(line)).then_some(())
    });
    let mut peer = listener.accept().unwrap().0;
    let mut bytes = [0; 5];
    peer.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"early");
}

#[test]
fn a_big_send_arrives_whole_before_the_line_is_closed() {
    let (mut daemon, mut peer, line) = accepted(INBOX);
    let bytes = pattern(8 << 20);
    daemon.event_loop.send(line, &bytes);
    assert!(daemon.event_loop.unsent_bytes(line) > 0);
    assert!(!daemon.event_loop.is_flushing());
    daemon.event_loop.close_after_flush(line);
    assert!(daemon.event_loop.is_flushing());
    let reader = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.read_to_end(&mut all).unwrap();
        all
    });
    daemon.until("the last byte", |daemon| {
        daemon.event_loop.is_empty().then_some(())
    });
    assert!(reader.join().unwrap() == bytes);
}

#[test]
fn a_line_that_holds_too_much_breaks() {
    let (mut daemon, _peer, line) = accepted(INBOX);
    let bytes = vec![0; 9 << 20];
    for _ in 0..4 {
        daemon.event_loop.send(line, &bytes);
    }
    assert_eq!(daemon.ended(line), CloseReason::Broken);
}

#[test]
fn an_inbox_takes_no_more_than_its_bound_until_it_is_emptied() {
    let bound = 32 << 10;
    let (mut daemon, mut peer, line) = accepted(bound);
    let bytes = pattern(4 << 20);
    let sent = bytes.clone();
    let writer = std::thread::spawn(move || peer.write_all(&sent).map(|()| peer).unwrap());
    let scratch = 64 << 10;
    let mut all = Vec::new();
    while all.len() < bytes.len() {
        let missing = bytes.len() - all.len();
        let piece = daemon.holds(line, bound.min(missing));
        assert!(
            piece.len() <= bound + scratch,
            "{} bytes are too many",
            piece.len()
        );
        all.extend(piece);
    }
    assert!(all == bytes);
    drop(writer.join().unwrap());
    assert_eq!(daemon.ended(line), CloseReason::PeerClosed);
}

#[test]
fn a_full_inbox_holds_the_peer_back() {
    let bound = 16 << 10;
    let (mut daemon, mut peer, line) = accepted(bound);
    peer.set_nonblocking(true).unwrap();
    let bytes = vec![1; 64 << 10];
    let mut sent = 0;
    // The peer is stuck once neither side takes anything in many looks.
    let mut idle = 0;
    while idle < 20 {
        match peer.write(&bytes) {
            Ok(count) => {
                sent += count;
                idle = 0;
            }
            Err(_) => idle += 1,
        }
        daemon.look(Duration::from_millis(1));
        assert!(sent < 64 << 20, "nothing holds the peer back");
    }
    let held = daemon
        .event_loop
        .read_buffer(line)
        .map_or(0, |inbox| inbox.len());
    assert!(
        held >= bound && held <= bound + (64 << 10),
        "{held} bytes are held"
    );
}

#[test]
fn nobody_at_an_address_is_told() {
    let mut daemon = Daemon::new();
    let line = daemon.event_loop.connect(free_address(), INBOX).unwrap();
    assert_eq!(daemon.ended(line), CloseReason::ConnectFailed);
    assert!(!daemon.has(Event::Connected(line)));
}

#[test]
fn what_a_peer_sent_before_it_closed_can_be_read() {
    let (mut daemon, mut peer, line) = connected(INBOX);
    peer.write_all(b"last words").unwrap();
    peer.shutdown(Shutdown::Write).unwrap();
    assert_eq!(daemon.ended(line), CloseReason::PeerClosed);
    let arrived = daemon
        .told
        .iter()
        .position(|event| *event == Event::Readable(line));
    let ended = daemon
        .told
        .iter()
        .position(|event| *event == Event::Closed(line, CloseReason::PeerClosed));
    assert!(arrived.is_some() && arrived < ended, "{:?}", daemon.told);
    assert_eq!(daemon.event_loop.read_buffer(line).unwrap(), b"last words");
}

#[test]
fn more_than_an_inbox_before_a_close_is_read_whole() {
    let bound = 8 << 10;
    let (mut daemon, mut peer, line) = connected(bound);
    let bytes = pattern(300 << 10);
    let sent = bytes.clone();
    let writer = std::thread::spawn(move || {
        peer.write_all(&sent).unwrap();
        peer.shutdown(Shutdown::Write).unwrap();
        peer
    });
    let mut all = Vec::new();
    daemon.until("the end", |daemon| {
        if let Some(inbox) = daemon.event_loop.read_buffer(line) {
            all.append(inbox);
        }
        daemon
            .has(Event::Closed(line, CloseReason::PeerClosed))
            .then_some(())
    });
    all.append(daemon.event_loop.read_buffer(line).unwrap());
    assert!(all == bytes, "{} of {} bytes", all.len(), bytes.len());
    drop(writer.join().unwrap());
}

#[test]
fn a_reset_is_told_as_a_broken_line() {
    let (mut daemon, peer, line) = accepted(INBOX);
    daemon.event_loop.send(line, b"nobody reads this");
    // A close with unread bytes resets the connection.
    let mut first = [0; 1];
    assert_eq!(peer.peek(&mut first).unwrap(), 1);
    drop(peer);
    assert_eq!(daemon.ended(line), CloseReason::Broken);
}

#[test]
fn a_place_that_is_used_again_has_another_id() {
    let (mut daemon, _peer, first) = connected(INBOX);
    daemon.event_loop.close(first);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let second = daemon.event_loop.connect(address, INBOX).unwrap();
    assert_ne!(first, second);
    daemon.until("a connection", |daemon| {
        daemon.has(Event::Connected(second)).then_some(())
    });
    let mut peer = listener.accept().unwrap().0;
    // What is meant for the former line touches nothing.
    daemon.event_loop.send(first, b"stale");
    daemon.event_loop.close_after_flush(first);
    daemon.event_loop.close(first);
    assert!(daemon.event_loop.read_buffer(first).is_none() && !daemon.event_loop.is_open(first));
    daemon.event_loop.send(second, b"fresh");
    let mut bytes = [0; 5];
    peer.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"fresh");
    assert!(daemon.event_loop.is_open(second));
}

#[test]
fn a_hatch_that_is_shut_takes_nobody() {
    let mut daemon = Daemon::new();
    let address = free_address();
    let listener = daemon.event_loop.listen(address, INBOX).unwrap();
    daemon.event_loop.stop_listening(listener);
    assert!(TcpStream::connect(address).is_err());
}

#[test]
fn many_peers_at_once_are_all_taken() {
    let mut daemon = Daemon::new();
    let address = free_address();
    daemon.event_loop.listen(address, INBOX).unwrap();
    let peers: Vec<TcpStream> = (0..50)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let lines: std::collections::BTreeSet<ConnectionId> =
        peers.iter().map(|_| daemon.opened().1).collect();
    assert_eq!((lines.len(), daemon.event_loop.len()), (50, 50));
}

#[test]
fn another_thread_ends_a_wait() {
    let mut daemon = Daemon::new();
    let waker = daemon.event_loop.waker().unwrap();
    let other = Arc::clone(&waker);
    let began = Instant::now();
    let thread = std::thread::spawn(move || other.wake().unwrap());
    daemon.look(Duration::from_secs(30));
    assert!(
        began.elapsed() < Duration::from_secs(20),
        "nobody ended the wait"
    );
    thread.join().unwrap();
}

#[test]
fn timers_come_in_their_order_and_not_before_their_time() {
    let mut timers = Timers::default();
    for (at, what) in [(30, 'c'), (10, 'a'), (20, 'b')] {
        timers.schedule(at, what);
    }
    assert_eq!(timers.next_deadline(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    assert_eq!(timers.pop_due(20), Some('a'));
    assert_eq!(timers.pop_due(20), Some('b'));
    assert_eq!(timers.pop_due(20), None);
    assert_eq!((timers.len(), timers.is_empty()), (1, false));
}
