//! Limits how many large responses are read from runners at the same time. A response is buffered completely before
//! it is forwarded, so that it can be classified; many large ones at once would exceed the process's memory.
//!
//! Up to [`SMALL_RESPONSE_BYTES`], every response is read as it arrives. A larger one needs one of a few permits,
//! which are granted in the order of the requests; until then nothing more is read from its runner. A permit ends
//! with its response, at the latest at the request's deadline.

use crate::connections::Connections;
use crate::upstream_session::{BODY_MAX, HEAD_MAX};
use event_loop::ConnectionId;
use std::collections::VecDeque;

/// Number of bytes of a response that are read without a permit.
pub(crate) const SMALL_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum size of a response, in bytes.
pub(crate) const LARGEST_RESPONSE_BYTES: usize = BODY_MAX + HEAD_MAX;
/// Number of copies of a response in memory on its way from the runner to the client.
const COPIES: u64 = 3;
/// Large responses may take the process's memory limit divided by this number.
const MEMORY_DIVISOR: u64 = 4;

/// Connections that hold a permit to read a large response, and those that wait for one.
pub(crate) struct LargeResponses {
    permits: usize,
    holders: Vec<ConnectionId>,
    waiting: VecDeque<ConnectionId>,
}

impl LargeResponses {
    /// Creates the permits for a process with this memory limit, in bytes.
    pub fn new(process_memory: u64) -> Self {
        let largest = LARGEST_RESPONSE_BYTES as u64 * COPIES;
        let permits = process_memory / MEMORY_DIVISOR / largest;
        Self {
            permits: permits.max(1) as usize,
            holders: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Number of connections that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Releases a connection's permit, because the next request is sent on it.
    pub fn release(&mut self, id: ConnectionId) {
        self.holders.retain(|holder| *holder != id);
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// Requests a permit for a connection. Returns whether it has to wait.
    pub fn request(&mut self, id: ConnectionId) -> bool {
        if self.holders.contains(&id) {
            return false;
        }
        if !self.waiting.contains(&id) {
            self.waiting.push_back(id);
        }
        true
    }

    /// Releases the permits of connections that no longer read a response. Returns the connections that were granted
    /// a permit and may continue reading.
    pub fn resume(&mut self, connections: &mut Connections) -> Vec<ConnectionId> {
        let mut is_reading = |id: &ConnectionId| {
            let upstream = connections.upstream(*id);
            upstream.is_some_and(|upstream| upstream.request.is_some())
        };
        self.holders.retain(&mut is_reading);
        self.waiting.retain(&mut is_reading);
        let free = self.permits.saturating_sub(self.holders.len());
        let resumed: Vec<ConnectionId> =
            self.waiting.drain(..free.min(self.waiting.len())).collect();
        self.holders.extend(&resumed);
        resumed
    }
}
