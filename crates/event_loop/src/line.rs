use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// A line of this daemon: its place and how often the place was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineId {
    pub(crate) place: u32,
    pub(crate) use_no: u32,
}

/// Why a line ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It never came to be: nobody is there.
    Unreached,
    /// The peer closed it in order.
    Closed,
    /// It broke, or more was sent to it than it may hold.
    Broken,
}

pub(crate) struct Line {
    pub stream: TcpStream,
    pub use_no: u32,
    pub is_connected: bool,
    pub is_writable: bool,
    pub is_paused: bool,
    pub closes_after_flush: bool,
    pub has_ended: bool,
    /// Nothing more is written: writing failed, and the line's end is about to be told.
    pub has_failed: bool,
    pub inbox: Vec<u8>,
    pub inbox_max: usize,
    pub outbox: Vec<u8>,
    pub sent: usize,
}

/// What came of reading.
pub(crate) enum Taken {
    Nothing,
    Bytes,
    Ended(End),
    BytesAndEnded(End),
}

/// What came of writing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// All of it was written, or will be as soon as the line takes it.
    Accepted,
    /// The line broke, and none of these bytes was taken.
    Nothing,
    /// The line broke when some of these bytes had been taken.
    Broke,
}

impl Line {
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

    pub fn read(&mut self, scratch: &mut [u8], is_at_end: bool) -> Taken {
        let mut has_bytes = false;
        loop {
            if self.inbox.len() >= self.inbox_max {
                self.is_paused = true;
                return if has_bytes {
                    Taken::Bytes
                } else {
                    Taken::Nothing
                };
            }
            let end = match self.stream.read(scratch) {
                Ok(0) => End::Closed,
                Ok(count) => {
                    self.inbox.extend_from_slice(&scratch[..count]);
                    has_bytes = true;
                    if count < scratch.len() && !is_at_end {
                        return Taken::Bytes;
                    }
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return if has_bytes {
                        Taken::Bytes
                    } else {
                        Taken::Nothing
                    };
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => End::Broken,
            };
            return if has_bytes {
                Taken::BytesAndEnded(end)
            } else {
                Taken::Ended(end)
            };
        }
    }

    /// Whether an open line has nothing to read and is not ended by its peer, as the system knows it at this moment.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Queues bytes and writes what it can.
    pub fn write(&mut self, bytes: &[u8]) -> Written {
        let before = self.outbox.len();
        self.outbox.extend_from_slice(bytes);
        if !self.is_connected || self.flush() {
            return Written::Accepted;
        }
        self.has_failed = true;
        if self.sent > before {
            Written::Broke
        } else {
            Written::Nothing
        }
    }

    /// Writes what it can; false where the line broke.
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
