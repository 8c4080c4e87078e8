//! Connections between an event loop and peers on loopback.

mod common;

use common::{accepted, connected, free_address, pattern, TestLoop, READ_LIMIT};
use event_loop::{CloseReason, ConnectionId, Event, Timers};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn carries_bytes_both_ways_and_reports_a_close() {
    let (mut test, mut peer, connection) = accepted(READ_LIMIT);
    peer.write_all(b"ping").unwrap();
    assert_eq!(test.wait_for_bytes(connection, 4), b"ping");
    assert!(test.has(Event::Readable(connection)));
    test.event_loop.send(connection, b"pong");
    let mut answer = [0; 4];
    peer.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"pong");
    drop(peer);
    assert_eq!(test.wait_closed(connection), CloseReason::PeerClosed);
    assert!(!test.event_loop.is_open(connection));
    test.event_loop.close(connection);
    assert!(test.event_loop.is_empty());
}

#[test]
fn an_opened_connection_carries_bytes() {
    let (mut test, mut peer, connection) = connected(READ_LIMIT);
    test.event_loop.send(connection, b"ping");
    let mut question = [0; 4];
    peer.read_exact(&mut question).unwrap();
    peer.write_all(b"pong").unwrap();
    assert_eq!(test.wait_for_bytes(connection, 4), b"pong");
}

#[test]
fn bytes_sent_before_the_connection_is_established_arrive() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut test = TestLoop::new();
    let connection = test
        .event_loop
        .connect(listener.local_addr().unwrap(), READ_LIMIT)
        .unwrap();
    test.event_loop.send(connection, b"early");
    test.wait_for("a connection", |test| {
        test.has(Event::Connected(connection)).then_some(())
    });
    let mut peer = listener.accept().unwrap().0;
    let mut bytes = [0; 5];
    peer.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"early");
}

#[test]
fn close_after_flush_writes_all_queued_bytes_first() {
    let (mut test, mut peer, connection) = accepted(READ_LIMIT);
    let bytes = pattern(8 << 20);
    test.event_loop.send(connection, &bytes);
    assert!(test.event_loop.unsent_bytes(connection) > 0);
    assert!(!test.event_loop.is_flushing());
    test.event_loop.close_after_flush(connection);
    assert!(test.event_loop.is_flushing());
    let reader = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.read_to_end(&mut all).unwrap();
        all
    });
    test.wait_for("the last byte", |test| {
        test.event_loop.is_empty().then_some(())
    });
    assert!(reader.join().unwrap() == bytes);
}

#[test]
fn a_connection_with_too_many_queued_bytes_breaks() {
    let (mut test, _peer, connection) = accepted(READ_LIMIT);
    let bytes = vec![0; 9 << 20];
    for _ in 0..4 {
        test.event_loop.send(connection, &bytes);
    }
    assert_eq!(test.wait_closed(connection), CloseReason::Broken);
}

#[test]
fn reading_stops_at_the_read_limit_until_the_buffer_is_drained() {
    let bound = 32 << 10;
    let (mut test, mut peer, connection) = accepted(bound);
    let bytes = pattern(4 << 20);
    let sent = bytes.clone();
    let writer = std::thread::spawn(move || peer.write_all(&sent).map(|()| peer).unwrap());
    let scratch = 64 << 10;
    let mut all = Vec::new();
    while all.len() < bytes.len() {
        let missing = bytes.len() - all.len();
        let piece = test.wait_for_bytes(connection, bound.min(missing));
        assert!(
            piece.len() <= bound + scratch,
            "{} bytes are too many",
            piece.len()
        );
        all.extend(piece);
    }
    assert!(all == bytes);
    drop(writer.join().unwrap());
    assert_eq!(test.wait_closed(connection), CloseReason::PeerClosed);
}

#[test]
fn a_full_read_buffer_pushes_back_on_the_peer() {
    let bound = 16 << 10;
    let (mut test, mut peer, connection) = accepted(bound);
    peer.set_nonblocking(true).unwrap();
    let bytes = vec![1; 64 << 10];
    let mut sent = 0;
    // The peer is blocked once its writes have failed in many successive polls.
    let mut idle = 0;
    while idle < 20 {
        match peer.write(&bytes) {
            Ok(count) => {
                sent += count;
                idle = 0;
            }
            Err(_) => idle += 1,
        }
        test.poll(Duration::from_millis(1));
        assert!(sent < 64 << 20, "no back-pressure on the peer");
    }
    let held = test
        .event_loop
        .read_buffer(connection)
        .map_or(0, |buffer| buffer.len());
    assert!(
        held >= bound && held <= bound + (64 << 10),
        "{held} bytes are buffered"
    );
}

#[test]
fn a_refused_connect_is_reported() {
    let mut test = TestLoop::new();
    let connection = test.event_loop.connect(free_address(), READ_LIMIT).unwrap();
    assert_eq!(test.wait_closed(connection), CloseReason::ConnectFailed);
    assert!(!test.has(Event::Connected(connection)));
}

#[test]
fn bytes_sent_before_a_close_can_be_read() {
    let (mut test, mut peer, connection) = connected(READ_LIMIT);
    peer.write_all(b"last words").unwrap();
    peer.shutdown(Shutdown::Write).unwrap();
    assert_eq!(test.wait_closed(connection), CloseReason::PeerClosed);
    let arrived = test
        .events
        .iter()
        .position(|event| *event == Event::Readable(connection));
    let ended = test
        .events
        .iter()
        .position(|event| *event == Event::Closed(connection, CloseReason::PeerClosed));
    assert!(arrived.is_some() && arrived < ended, "{:?}", test.events);
    assert_eq!(
        test.event_loop.read_buffer(connection).unwrap(),
        b"last words"
    );
}

#[test]
fn bytes_beyond_the_read_limit_before_a_close_are_all_read() {
    let bound = 8 << 10;
    let (mut test, mut peer, connection) = connected(bound);
    let bytes = pattern(300 << 10);
    let sent = bytes.clone();
    let writer = std::thread::spawn(move || {
        peer.write_all(&sent).unwrap();
        peer.shutdown(Shutdown::Write).unwrap();
        peer
    });
    let mut all = Vec::new();
    test.wait_for("the end", |test| {
        if let Some(buffer) = test.event_loop.read_buffer(connection) {
            all.append(buffer);
        }
        test.has(Event::Closed(connection, CloseReason::PeerClosed))
            .then_some(())
    });
    all.append(test.event_loop.read_buffer(connection).unwrap());
    assert!(all == bytes, "{} of {} bytes", all.len(), bytes.len());
    drop(writer.join().unwrap());
}

#[test]
fn a_reset_is_reported_as_broken() {
    let (mut test, peer, connection) = accepted(READ_LIMIT);
    test.event_loop.send(connection, b"nobody reads this");
    // Closing a socket with unread bytes resets the connection.
    let mut first = [0; 1];
    assert_eq!(peer.peek(&mut first).unwrap(), 1);
    drop(peer);
    assert_eq!(test.wait_closed(connection), CloseReason::Broken);
}

#[test]
fn a_reused_slot_has_another_id() {
    let (mut test, _peer, first) = connected(READ_LIMIT);
    test.event_loop.close(first);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let second = test.event_loop.connect(address, READ_LIMIT).unwrap();
    assert_ne!(first, second);
    test.wait_for("a connection", |test| {
        test.has(Event::Connected(second)).then_some(())
    });
    let mut peer = listener.accept().unwrap().0;
    // Calls with the stale id have no effect.
    test.event_loop.send(first, b"stale");
    test.event_loop.close_after_flush(first);
    test.event_loop.close(first);
    assert!(test.event_loop.read_buffer(first).is_none() && !test.event_loop.is_open(first));
    test.event_loop.send(second, b"fresh");
    let mut bytes = [0; 5];
    peer.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"fresh");
    assert!(test.event_loop.is_open(second));
}

#[test]
fn a_closed_listener_refuses_connections() {
    let mut test = TestLoop::new();
    let address = free_address();
    let listener = test.event_loop.listen(address, READ_LIMIT).unwrap();
    test.event_loop.stop_listening(listener);
    assert!(TcpStream::connect(address).is_err());
}

#[test]
fn many_peers_at_once_are_all_accepted() {
    let mut test = TestLoop::new();
    let address = free_address();
    test.event_loop.listen(address, READ_LIMIT).unwrap();
    let peers: Vec<TcpStream> = (0..50)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let connections: std::collections::BTreeSet<ConnectionId> =
        peers.iter().map(|_| test.wait_accepted().1).collect();
    assert_eq!((connections.len(), test.event_loop.len()), (50, 50));
}

#[test]
fn a_waker_ends_a_poll() {
    let mut test = TestLoop::new();
    let waker = test.event_loop.waker().unwrap();
    let other = Arc::clone(&waker);
    let began = Instant::now();
    let thread = std::thread::spawn(move || other.wake().unwrap());
    test.poll(Duration::from_secs(30));
    assert!(
        began.elapsed() < Duration::from_secs(20),
        "the waker did not end the poll"
    );
    thread.join().unwrap();
}

#[test]
fn timers_fire_in_order_and_not_before_they_are_due() {
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
