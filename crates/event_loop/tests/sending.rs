//! Detection of a closed or unusable connection when bytes are sent on it.

mod common;

use common::{TestLoop, READ_LIMIT};
use event_loop::{CloseReason, Event};
use std::io::{Read, Write};

#[test]
fn pending_bytes_and_a_close_are_detected_before_any_event() {
    let mut test = TestLoop::new();
    let (mut peer, connection) = test.connect_to_peer(READ_LIMIT);
    assert!(test.event_loop.has_no_pending_input(connection));
    peer.write_all(b"surplus").unwrap();
    test.wait_for_pending_input(connection);
    assert!(test.event_loop.read_buffer(connection).unwrap().is_empty());

    let (peer, connection) = test.connect_to_peer(READ_LIMIT);
    drop(peer);
    test.wait_for_pending_input(connection);
    assert!(
        test.event_loop.is_open(connection),
        "no event has reported it yet"
    );
}

#[test]
fn send_fails_only_if_no_byte_was_written() {
    let mut test = TestLoop::new();
    let (mut peer, connection) = test.connect_to_peer(READ_LIMIT);
    assert!(test.event_loop.send(connection, b"request"));
    let mut got = [0; 7];
    peer.read_exact(&mut got).unwrap();
    // Closing a socket with unread bytes resets the connection, as does a write to a closed one.
    assert!(test.event_loop.send(connection, b"unread"));
    drop(peer);
    test.wait_for_pending_input(connection);
    assert!(!test.event_loop.send(connection, b"never leaves"));
    assert!(!test.event_loop.send(connection, b"nor does this"));
    assert!(!test.event_loop.is_open(connection));
    test.wait_for_event(Event::Closed(connection, CloseReason::Broken));
    assert!(!test.event_loop.send(connection, b"nor this"));

    let (_peer, connection) = test.connect_to_peer(READ_LIMIT);
    let much = vec![7; 8 << 20];
    assert!(
        test.event_loop.send(connection, &much),
        "part of it was accepted"
    );
    assert!(test.event_loop.unsent_bytes(connection) > 0);
}
