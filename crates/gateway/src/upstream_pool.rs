//! Pool of idle connections to runners.

use crate::connections::Connections;
use event_loop::ConnectionId;
use std::collections::HashMap;

/// Maximum number of idle connections over all runners.
const IDLE_MAX: usize = 1_024;

/// Idle connections by runner; `count` is their total number.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: HashMap<String, Vec<ConnectionId>>,
    count: usize,
}

impl UpstreamPool {
    /// Takes the most recently used idle connection to a runner that may carry the request. The others stay.
    pub fn take(
        &mut self,
        runner: &str,
        may_carry: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let connections = self.idle.get_mut(runner)?;
        let index = connections.iter().rposition(|one| may_carry(*one))?;
        let connection = connections.remove(index);
        if connections.is_empty() {
            self.idle.remove(runner);
        }
        self.count -= 1;
        Some(connection)
    }

    /// Adds a connection. Returns false if the runner already has `max_idle` of them or the pool is full.
    pub fn put(&mut self, runner: &str, connection: ConnectionId, max_idle: usize) -> bool {
        let connections = self.idle.entry(runner.into()).or_default();
        if connections.len() >= max_idle || self.count >= IDLE_MAX {
            return false;
        }
        connections.push(connection);
        self.count += 1;
        true
    }

    /// Removes a connection that is about to be closed, if it is pooled.
    pub fn remove(&mut self, runner: &str, connection: ConnectionId) {
        let Some(connections) = self.idle.get_mut(runner) else {
            return;
        };
        let before = connections.len();
        connections.retain(|one| *one != connection);
        self.count -= before - connections.len();
        if connections.is_empty() {
            self.idle.remove(runner);
        }
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Closes connections that have expired.
    pub fn expire(&mut self, connections: &mut Connections, now: u64) {
        let mut count = self.count;
        self.idle.retain(|_, idle| {
            idle.retain(|connection| {
                let is_fresh = connections.is_fresh_upstream(*connection, now);
                if !is_fresh {
                    connections.close(*connection);
                    count -= 1;
                }
                is_fresh
            });
            !idle.is_empty()
        });
        self.count = count;
    }
}
