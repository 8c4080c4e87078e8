use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// A connection of this daemon: its place and how often the place was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    pub(crate) place: u32,
    pub(crate) use_no: u32,
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It never came to be: nobody is there.
    ConnectFailed,
    /// The peer closed it in order.
    PeerClosed,
    /// It broke, or more was sent to it than it may hold.
    Broken,
}

pub(crate) struct Connection {
    pub stream: TcpStream,
    pub use_no: u32,
    pub is_connected: bool,
    pub is_writable: bool,
    pub is_paused: bool,
    pub closes_after_flush: bool,
    pub has_ended: bool,
    /// Nothing more is written: writing failed, and the connection's end is about to be told.
    pub has_failed: bool,
    pub inbox: Vec<u8>,
    pub inbox_max: usize,
    pub outbox: Vec<u8>,
    pub sent: usize,
}

/// What came of reading.
pub(crate) enum ReadOutcome {
    Nothing,
    Bytes,
    Ended(CloseReason),
    BytesAndEnded(CloseReason),
}

/// What came of writing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// All of it was written, or will be as soon as the connection takes it.
    Accepted,
    /// The connection broke, and none of these bytes was taken.
    Nothing,
    /// The connection broke when some of these bytes had been taken.
    Broke,
}

impl Connection {
    pub fn new(stream: TcpStream, use_no: u32, is_connected: bool, inbox_max: usize) -> Self {
        Self {
            stream,
            use_no,
            is_connected,
            is_writable: is_connected,
            is_paused: false,
            closes_after_flush: false,
            has_ended: false,
            has_failed: false,
            inbox: Vec::new(),
            inbox_max,
            outbox: Vec::new(),
            sent: 0,
        }
    }

    pub fn read(&mut self, scratch: &mut [u8], is_at_end: bool) -> ReadOutcome {
        let mut has_bytes = false;
        loop {
            if self.inbox.len() >= self.inbox_max {
                self.is_paused = true;
                return if has_bytes {
                    ReadOutcome::Bytes
                } else {
                    ReadOutcome::Nothing
                };
            }
            let end = match self.stream.read(scratch) {
                Ok(0) => CloseReason::PeerClosed,
                Ok(count) => {
                    self.inbox.extend_from_slice(&scratch[..count]);
                    has_bytes = true;
                    if count < scratch.len() && !is_at_end {
                        return ReadOutcome::Bytes;
                    }
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return if has_bytes {
                        ReadOutcome::Bytes
                    } else {
                        ReadOutcome::Nothing
                    };
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => CloseReason::Broken,
            };
            return if has_bytes {
                ReadOutcome::BytesAndEnded(end)
            } else {
                ReadOutcome::Ended(end)
            };
        }
    }

    /// Whether an open connection has nothing to read and is not ended by its peer, as the system knows it at this moment.
    pub fn has_nothing_to_read(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Queues bytes and writes what it can.
    pub fn write(&mut self, bytes: &[u8]) -> WriteOutcome {
        let before = self.outbox.len();
        self.outbox.extend_from_slice(bytes);
        if !self.is_connected || self.flush() {
            return WriteOutcome::Accepted;
        }
        self.has_failed = true;
        if self.sent > before {
            WriteOutcome::Broke
        } else {
            WriteOutcome::Nothing
        }
    }

    /// Writes what it can; false where the connection broke.
    pub fn flush(&mut self) -> bool {
        while self.is_writable && self.sent < self.outbox.len() {
            match self.stream.write(&self.outbox[self.sent..]) {
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_writable = false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        if self.sent == self.outbox.len() {
            self.outbox.clear();
            self.sent = 0;
            if self.outbox.capacity() > KEPT_MAX {
                self.outbox = Vec::new();
            }
        }
        true
    }

    pub fn waits_to_send(&self) -> usize {
        self.outbox.len() - self.sent
    }

    pub fn spare(&mut self) {
        if self.inbox.is_empty() && self.inbox.capacity() > KEPT_MAX {
            self.inbox = Vec::new();
        }
    }
}

/// Most bytes of an empty buffer that are kept for the next use.
const KEPT_MAX: usize = 4 << 10;
