//! One TCP connection: its socket, the bytes read and not yet taken, and the bytes queued and not yet written.

use crate::listeners::ListenerId;
use mio::net::TcpStream;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::time::Duration;

/// Most bytes of an empty buffer that are kept allocated, so that an idle connection costs little memory.
const MAX_IDLE_BUFFER_BYTES: usize = 4 << 10;

/// Most bytes that may be queued on one connection. More than this means that the peer does not read.
const MAX_UNSENT_BYTES: usize = 24 << 20;

/// Written bytes at the front of a write buffer from which on they are worth moving the rest.
const MIN_COMPACTED_BYTES: usize = 64 << 10;

/// A connection of this daemon. A slot is used again after a close, so the id also counts the uses: an id that was kept
/// too long names no connection rather than another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was never established, so none of the queued bytes has left.
    ConnectFailed,
    /// The peer closed its side in order (FIN).
    PeerClosed,
    /// It was reset or timed out, or more was queued than it may hold.
    Broken,
}

/// A socket with its buffers. The event loop owns it and is the only one to change it.
pub(crate) struct Connection {
    pub stream: TcpStream,
    pub generation: u32,
    state: State,
    is_writable: bool,
    /// Reading stopped because the read buffer is full; the loop reads on once the owner has taken bytes.
    pub is_read_paused: bool,
    closes_after_flush: bool,
    pub read_buffer: Vec<u8>,
    /// Where reading stops.
    pub read_limit: usize,
    /// The listener that accepted it, if one did.
    pub listener: Option<ListenerId>,
    write_buffer: Vec<u8>,
    /// Bytes at the front of the write buffer that were written already.
    written: usize,
}

/// Where a connection is between its opening and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Established,
    /// Writing failed, or too much was queued: nothing more is written, and the end is about to be reported.
    Failed,
    /// The end was reported.
    Closed,
}

/// What came of reading a socket until it had no more or the read buffer was full.
pub(crate) struct ReadOutcome {
    pub has_bytes: bool,
    pub closed: Option<CloseReason>,
}

/// What became of bytes that were to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// All were written, or will be as soon as the socket takes them.
    Accepted,
    /// The connection broke before any of them was written.
    NothingWritten,
    /// The connection broke when some of them had been written.
    PartlyWritten,
}

/// How far the opening of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectProgress {
    Pending,
    Established,
    Failed,
}

impl Connection {
    pub fn new(
        stream: TcpStream,
        generation: u32,
        listener: Option<ListenerId>,
        read_limit: usize,
    ) -> Self {
        let is_accepted = listener.is_some();
        Self {
            stream,
            generation,
            state: if is_accepted {
                State::Established
            } else {
                State::Connecting
            },
            is_writable: is_accepted,
            is_read_paused: false,
            closes_after_flush: false,
            read_buffer: Vec::new(),
            read_limit,
            listener,
            write_buffer: Vec::new(),
            written: 0,
        }
    }

    /// Sets how long sent bytes may stay unacknowledged before the system breaks the connection (`TCP_USER_TIMEOUT`).
    pub fn set_user_timeout(&self, timeout: Duration) {
        // A system without the option keeps its own time-out, so a failure changes nothing that is promised.
        let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout));
    }

    pub fn is_connecting(&self) -> bool {
        self.state == State::Connecting
    }

    /// Whether the connection can still carry bytes, now or once it is established.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Connecting | State::Established)
    }

    /// Whether its end was reported.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    pub fn mark_closed(&mut self) {
        self.state = State::Closed;
    }

    pub fn close_after_flush(&mut self) {
        self.closes_after_flush = true;
    }

    /// Whether it is to be closed as soon as all queued bytes have been written.
    pub fn is_closing(&self) -> bool {
        self.closes_after_flush
    }

    /// Whether more may be queued.
    pub fn takes_bytes(&self) -> bool {
        self.is_open() && !self.closes_after_flush
    }

    pub fn is_read_buffer_full(&self) -> bool {
        self.read_buffer.len() >= self.read_limit
    }

    /// Bytes that are queued and not yet written.
    pub fn unsent_bytes(&self) -> usize {
        self.write_buffer.len() - self.written
    }

    /// Memory that its buffers take, in bytes.
    pub fn buffer_capacity(&self) -> usize {
        self.read_buffer.capacity() + self.write_buffer.capacity()
    }

    /// Drops the written part of the write buffer, where that frees at least half of it: a peer that reads slowly may never let it
    /// become empty.
    fn compact(&mut self) {
        if self.written >= MIN_COMPACTED_BYTES && self.written >= self.write_buffer.len() / 2 {
            self.write_buffer.drain(..self.written);
            self.write_buffer.shrink_to(self.write_buffer.len() * 2);
            self.written = 0;
        }
    }

    /// Looks, after an event for a connection that is being opened, what came of it.
    pub fn check_connect(&mut self, ready: &mio::event::Event) -> ConnectProgress {
        let has_error = self.stream.take_error().ok().flatten().is_some();
        if has_error || ready.is_error() {
            return ConnectProgress::Failed;
        }
        if !ready.is_writable() || self.stream.peer_addr().is_err() {
            return ConnectProgress::Pending;
        }
        self.state = State::Established;
        ConnectProgress::Established
    }

    /// Reads until the socket has no more or the read buffer is full. Unless `reads_to_end` is set, a read that does not
    /// fill `scratch` counts as the last one: the next bytes raise another event, but an end that was reported already
    /// would not.
    pub fn read(&mut self, scratch: &mut [u8], reads_to_end: bool) -> ReadOutcome {
        let mut has_bytes = false;
        let closed = loop {
            if self.is_read_buffer_full() {
                self.is_read_paused = true;
                break None;
            }
            match self.stream.read(scratch) {
                Ok(0) => break Some(CloseReason::PeerClosed),
                Ok(count) => {
                    self.read_buffer.extend_from_slice(&scratch[..count]);
                    has_bytes = true;
                    if count < scratch.len() && !reads_to_end {
                        break None;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break None,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break Some(CloseReason::Broken),
            }
        };
        ReadOutcome { has_bytes, closed }
    }

    /// Whether the system holds no bytes and no end for an open connection at this moment.
    pub fn has_no_pending_input(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Queues bytes and writes as many as the socket takes.
    pub fn write(&mut self, bytes: &[u8]) -> WriteOutcome {
        if self.unsent_bytes() + bytes.len() > MAX_UNSENT_BYTES {
            self.state = State::Failed;
            return WriteOutcome::NothingWritten;
        }
        self.compact();
        let queued_before = self.write_buffer.len();
        self.write_buffer.extend_from_slice(bytes);
        if self.is_connecting() || self.flush() {
            return WriteOutcome::Accepted;
        }
        self.state = State::Failed;
        if self.written > queued_before {
            return WriteOutcome::PartlyWritten;
        }
        WriteOutcome::NothingWritten
    }

    /// Writes on after the socket became writable; false where the connection broke.
    pub fn flush_writable(&mut self) -> bool {
        self.is_writable = true;
        let is_open = self.flush();
        self.compact();
        is_open
    }

    fn flush(&mut self) -> bool {
        while self.is_writable && self.written < self.write_buffer.len() {
            match self.stream.write(&self.write_buffer[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_writable = false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        if self.written == self.write_buffer.len() {
            self.write_buffer.clear();
            self.written = 0;
            release_idle_memory(&mut self.write_buffer);
        }
        true
    }

    /// Gives back the memory of a read buffer that the owner has emptied.
    pub fn release_read_memory(&mut self) {
        if self.read_buffer.is_empty() {
            release_idle_memory(&mut self.read_buffer);
        }
    }
}

fn release_idle_memory(empty: &mut Vec<u8>) {
    if empty.capacity() > MAX_IDLE_BUFFER_BYTES {
        *empty = Vec::new();
    }
}
