//! Bounds the memory that all clients together make the gateway hold: bytes received and not yet read, responses that
//! the clients have not read, and the bodies of their requests in flight.
//!
//! Each connection has limits of its own, but there may be as many connections as file descriptors. While more is
//! held than allowed, new requests are rejected, and the connections that hold the most are closed until the bound is
//! met. A client that reads its responses holds little, so mainly clients that do not read are closed.

/// Clients may take the process's memory limit divided by this number.
const MEMORY_DIVISOR: u64 = 4;

/// Memory held for clients, as of the last measurement.
pub(crate) struct ClientMemory {
    max: u64,
    held: u64,
    evicted: u64,
}

impl ClientMemory {
    /// Creates the bound for a process with this memory limit, in bytes.
    pub fn new(process_memory: u64) -> Self {
        Self {
            max: process_memory / MEMORY_DIVISOR,
            held: 0,
            evicted: 0,
        }
    }

    /// Sets the number of bytes held.
    pub fn set_held(&mut self, bytes: u64) {
        self.held = bytes;
    }

    /// Adds to the number of bytes held.
    pub fn add_held(&mut self, bytes: u64) {
        self.held += bytes;
    }

    /// Records that a connection that held this many bytes was closed.
    pub fn record_eviction(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
        self.evicted += 1;
    }

    /// Maximum number of bytes that may be held.
    pub fn max(&self) -> u64 {
        self.max
    }

    /// Number of bytes held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Whether the bound is exceeded.
    pub fn is_exceeded(&self) -> bool {
        self.held > self.max
    }

    /// Number of connections closed because the bound was exceeded.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
