//! Keeps the gateway within its memory limit: bounds the memory held for clients and the number of large responses
//! that are read at the same time.

use crate::connections::ConnectionRole;
use crate::gateway::Gateway;
use crate::large_responses::{LARGEST_RESPONSE_BYTES, SMALL_RESPONSE_BYTES};
use event_loop::ConnectionId;
use invariants::{check, Invariant};

/// Memory held for one client connection, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClientUsage {
    connection: ConnectionId,
    bytes: u64,
}

impl Gateway {
    /// Measures the memory held for clients, and closes the connections that hold the most while the bound is
    /// exceeded.
    pub fn bound_client_memory(&mut self) {
        let mut usage = self.client_usage();
        let held = usage.iter().map(|usage| usage.bytes).sum();
        self.client_memory.set_held(held);
        if !self.client_memory.is_exceeded() {
            return;
        }
        usage.sort_unstable_by_key(|usage| usage.bytes);
        while let Some(heaviest) = usage.pop().filter(|_| self.client_memory.is_exceeded()) {
            self.evict_client(heaviest);
        }
        let (held, max) = (self.client_memory.held(), self.client_memory.max());
        check(Invariant::QueueIsBounded, held <= max, || {
            format!("client_bytes={held} max={max}")
        });
    }

    /// Accounts for a response that its client has not fully read yet. Many large responses can be queued within one
    /// interval of the periodic work, so the bound is checked here too.
    pub fn response_queued(&mut self, id: ConnectionId) {
        let unsent = self.connections.unsent_bytes(id);
        if unsent == 0 {
            return;
        }
        self.client_memory.add_held(unsent as u64);
        if self.client_memory.is_exceeded() {
            self.bound_client_memory();
        }
    }

    fn client_usage(&mut self) -> Vec<ClientUsage> {
        let buffers = self.connections.buffer_capacity(self.listeners.downstream);
        let usage = buffers.map(|(connection, buffered)| {
            let role = self.connections.role(connection);
            let request = match role {
                Some(ConnectionRole::Downstream(downstream)) => downstream.request,
                _ => None,
            };
            let request = request.and_then(|id| self.requests.get(id));
            let body = request.map_or(0, |request| request.request.body.len());
            ClientUsage {
                connection,
                bytes: (buffered + body) as u64,
            }
        });
        usage.collect()
    }

    fn evict_client(&mut self, usage: ClientUsage) {
        let ClientUsage { connection, bytes } = usage;
        let (held, max) = (self.client_memory.held(), self.client_memory.max());
        log::warn!("gateway: client closed, memory exceeded bytes={bytes} held={held} max={max}");
        self.downstream_closed(connection);
        self.connections.close(connection);
        self.client_memory.record_eviction(bytes);
    }

    /// Handles a partial response. A large one is not read further until it has a permit.
    pub fn throttle_large_response(&mut self, id: ConnectionId) {
        let buffered = self.connections.unread_bytes(id);
        let taken = self.connections.upstream(id);
        let taken = taken.map_or(0, |upstream| upstream.session.consumed_bytes());
        if buffered + taken >= SMALL_RESPONSE_BYTES && self.large_responses.request(id) {
            self.connections.set_read_limit(id, 0);
            self.resume_large_responses();
        }
    }

    /// Resumes reading from the connections that were granted a permit.
    pub fn resume_large_responses(&mut self) {
        for id in self.large_responses.resume(&mut self.connections) {
            self.connections.set_read_limit(id, LARGEST_RESPONSE_BYTES);
        }
    }
}
