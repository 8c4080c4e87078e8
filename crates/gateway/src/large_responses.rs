//! How many large responses are read from runners at a time. A response is held whole before it goes to its client, so that it can be
//! judged; many large ones at once would take more memory than the process has.
//!
//! Up to [`SMALL_RESPONSE_BYTES`] every response is read as it comes. What is larger needs one of a few permits, in the order in which they
//! were asked for; until then nothing more is read from its runner. A permit ends with its response, at the request's deadline at the latest.

use crate::connections::Connections;
use crate::upstream_session::{BODY_MAX, HEAD_MAX};
use event_loop::ConnectionId;
use std::collections::VecDeque;

/// Bytes of a response that are read without a permit.
pub(crate) const SMALL_RESPONSE_BYTES: usize = 64 << 10;
/// Most bytes of a response.
pub(crate) const LARGEST_RESPONSE_BYTES: usize = BODY_MAX + HEAD_MAX;
/// A response takes its bytes several times over while it goes from its runner to its client.
const COPIES: u64 = 3;
/// Part of the process's memory that large responses may take.
const MEMORY_DIVISOR: u64 = 4;

/// Connections to runners that may read a large response, and those that wait for that.
pub(crate) struct LargeResponses {
    permits: usize,
    holders: Vec<ConnectionId>,
    waiting: VecDeque<ConnectionId>,
}

impl LargeResponses {
    /// Nobody reads a large response yet; the process may take so many bytes.
    pub fn new(process_memory: u64) -> Self {
        let largest = LARGEST_RESPONSE_BYTES as u64 * COPIES;
        let permits = process_memory / MEMORY_DIVISOR / largest;
        Self {
            permits: permits.max(1) as usize,
            holders: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Connections that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// A connection has no large response any more: the next request is sent on it.
    pub fn release(&mut self, id: ConnectionId) {
        self.holders.retain(|holder| *holder != id);
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// A connection asks for a permit; whether it has to wait for one.
    pub fn request(&mut self, id: ConnectionId) -> bool {
        if self.holders.contains(&id) {
            return false;
        }
        if !self.waiting.contains(&id) {
            self.waiting.push_back(id);
        }
        true
    }

    /// Ends the permits of connections that read no response any more, and returns those that may read on now.
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
