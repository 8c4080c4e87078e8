//! A TCP connection: its socket, a read buffer of bytes not yet taken, and a write buffer of bytes not yet sent.

use crate::listeners::ListenerId;
use mio::net::TcpStream;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::time::Duration;

/// Largest allocation, in bytes, that an empty buffer keeps, so that an idle connection uses little memory.
const MAX_IDLE_BUFFER_BYTES: usize = 4 << 10;

/// Maximum number of unsent bytes queued on one connection. More than this means that the peer does not read.
const MAX_UNSENT_BYTES: usize = 24 << 20;

/// Minimum number of written bytes at the front of a write buffer for which moving the rest to the front pays off.
const MIN_COMPACTED_BYTES: usize = 64 << 10;

/// Identifies a connection of this daemon. Slots are reused after a close, so the id also holds a generation: a stale id
/// refers to no connection instead of to a different one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was never established, so none of the queued bytes was sent.
    ConnectFailed,
    /// The peer closed its side in an orderly way (FIN).
    PeerClosed,
    /// It was reset or timed out, or its write queue exceeded the limit.
    Broken,
}

/// A socket with its buffers, owned and modified only by the event loop.
pub(crate) struct Connection {
    pub stream: TcpStream,
    pub generation: u32,
    state: State,
    is_writable: bool,
    /// Reading is paused because the read buffer is full; the loop resumes once the owner has taken bytes.
    pub is_read_paused: bool,
    closes_after_flush: bool,
    pub read_buffer: Vec<u8>,
    /// Size of the read buffer, in bytes, at which reading pauses.
    pub read_limit: usize,
    /// The listener that accepted the connection; `None` if this daemon opened it.
    pub listener: Option<ListenerId>,
    write_buffer: Vec<u8>,
    /// Number of bytes at the front of the write buffer that were already written.
    written: usize,
}

/// Lifecycle state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Established,
    /// Writing failed, or too much was queued: nothing more is written, and the close is still to be reported.
    Failed,
    /// The close was reported.
    Closed,
}

/// Result of reading a socket until it had no more bytes or the read buffer was full.
pub(crate) struct ReadOutcome {
    pub has_bytes: bool,
    pub closed: Option<CloseReason>,
}

/// Result of sending bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// All were written or queued until the socket is writable.
    Accepted,
    /// The connection broke before any of them was written.
    NothingWritten,
    /// The connection broke after some of them had been written.
    PartlyWritten,
}

/// Progress of a non-blocking connect.
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

    /// Sets how long sent bytes may stay unacknowledged before the kernel aborts the connection (`TCP_USER_TIMEOUT`).
    pub fn set_user_timeout(&self, timeout: Duration) {
        // A system without this option applies its own timeout, which no caller's guarantee depends on, so the error is ignored.
        let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout));
    }

    pub fn is_connecting(&self) -> bool {
        self.state == State::Connecting
    }

    /// Whether the connection can still transfer bytes, now or once it is established.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Connecting | State::Established)
    }

    /// Whether its close was reported.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    pub fn mark_closed(&mut self) {
        self.state = State::Closed;
    }

    pub fn close_after_flush(&mut self) {
        self.closes_after_flush = true;
    }

    /// Whether it will be closed as soon as all queued bytes have been written.
    pub fn is_closing(&self) -> bool {
        self.closes_after_flush
    }

    /// Whether more bytes may be queued.
    pub fn can_queue(&self) -> bool {
        self.is_open() && !self.closes_after_flush
    }

    pub fn is_read_buffer_full(&self) -> bool {
        self.read_buffer.len() >= self.read_limit
    }

    /// Number of bytes that are queued and not yet written.
    pub fn unsent_bytes(&self) -> usize {
        self.write_buffer.len() - self.written
    }

    /// Allocated memory of its buffers, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.read_buffer.capacity() + self.write_buffer.capacity()
    }

    /// Drops the written part of the write buffer if that frees at least half of it. Without this the buffer would grow, because
    /// with a slow reader it may never become empty.
    fn compact(&mut self) {
        if self.written >= MIN_COMPACTED_BYTES && self.written >= self.write_buffer.len() / 2 {
            self.write_buffer.drain(..self.written);
            self.write_buffer.shrink_to(self.write_buffer.len() * 2);
            self.written = 0;
        }
    }

    /// Checks, after a readiness event for a connecting socket, whether the connect succeeded.
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

    /// Reads until the socket has no more bytes or the read buffer is full. Unless `reads_to_end` is set, a read that does
    /// not fill `scratch` is taken as the last one, because further bytes raise another event. An end of stream that was
    /// already reported raises none, so `reads_to_end` must be set after it.
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

    /// Whether the kernel currently has neither bytes nor an end of stream to read from the socket.
    pub fn has_no_pending_input(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Queues bytes and writes as many as the socket accepts.
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

    /// Continues writing after the socket became writable; false if the connection broke.
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

    /// Frees the memory of the read buffer if the owner has emptied it.
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
