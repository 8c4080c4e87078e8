//! Invariants over the gateway's tables as a whole, checked once a second. Invariants of a single step are checked
//! where the step is performed.

use crate::gateway::Gateway;
use invariants::{check, Invariant};

/// Interval of the checks, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

impl Gateway {
    /// Checks the invariants that hold between any two turns of the loop, if the interval has passed.
    pub fn check_invariants(&mut self) {
        if self.now < self.invariants_checked_at + INTERVAL_MS {
            return;
        }
        self.invariants_checked_at = self.now;
        self.check_request_counts();
        self.check_waiting_clients();
        self.check_bounds();
        self.lease_owner.check_lease_accounting();
    }

    fn check_request_counts(&self) {
        let (counts, in_flight) = (self.requests.counts(), self.requests.len());
        let is_conserved = counts.in_flight() == Some(in_flight as u64);
        check(Invariant::RequestsAreConserved, is_conserved, || {
            format!("counts={counts:?} in_flight={in_flight}")
        });
    }

    /// Checks that every client that waits for a response waits for a request in flight.
    fn check_waiting_clients(&mut self) {
        for (connection, id) in self.connections.waiting_downstream() {
            let request = self.requests.get(id);
            let downstream = request.and_then(|request| request.downstream);
            let is_awaited = downstream == Some(connection);
            check(Invariant::RequestsAreConserved, is_awaited, || {
                format!(
                    "connection={connection:?} request={} downstream={downstream:?}",
                    id.0
                )
            });
        }
    }

    fn check_bounds(&self) {
        let (connections, max) = (self.connections.len(), self.options.max_connections);
        check(Invariant::QueueIsBounded, connections <= max, || {
            format!("connections={connections} max={max}")
        });
    }
}
