//! A bound on the memory that all clients together may make the gateway hold: what they have sent and nobody has read, what was
//! answered and they have not read, and the bodies of their requests in flight.
//!
//! Each connection has bounds of its own, but there may be as many connections as descriptors. While more is held than allowed, new
//! requests are rejected, and the connections that hold most are closed, until no more is held. A client that reads what it asked for
//! holds little, so the ones that are closed are those that do not.

/// Part of the process's memory that clients may take.
const MEMORY_DIVISOR: u64 = 4;

/// What clients hold, as of the last look.
pub(crate) struct ClientMemory {
    max: u64,
    held: u64,
    evicted: u64,
}

impl ClientMemory {
    /// Nothing is held yet; the process may take so many bytes.
    pub fn new(process_memory: u64) -> Self {
        Self {
            max: process_memory / MEMORY_DIVISOR,
            held: 0,
            evicted: 0,
        }
    }

    /// So many bytes are held.
    pub fn set_held(&mut self, bytes: u64) {
        self.held = bytes;
    }

    /// So many bytes more are held.
    pub fn add_held(&mut self, bytes: u64) {
        self.held += bytes;
    }

    /// A connection that held so many bytes was closed.
    pub fn record_eviction(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
        self.evicted += 1;
    }

    /// Bytes that may be held.
    pub fn max(&self) -> u64 {
        self.max
    }

    /// Bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Whether more is held than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.held > self.max
    }

    /// Connections that were closed because too much was held.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
