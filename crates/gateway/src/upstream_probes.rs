//! Probes whether starting runners accept connections. The connection of a successful probe is pooled.

use crate::connections::{ConnectionRole, ProbedRunner};
use crate::gateway::{Gateway, TimerEvent};
use crate::large_responses::LARGEST_RESPONSE_BYTES;
use crate::upstream_connection::UpstreamConnection;
use crate::upstream_responses::DEFAULT_IDLE_MS;
use event_loop::ConnectionId;

/// Maximum number of idle connections of a runner up to which a probe's connection is pooled.
const POOLED_MAX: usize = 2;

impl Gateway {
    /// Starts a probe of a starting runner.
    pub fn probe_runner(&mut self, probed: ProbedRunner, address: &str) {
        let role = ConnectionRole::Probe(probed.clone());
        let connection = self
            .connections
            .connect(address, LARGEST_RESPONSE_BYTES, role);
        let Some(connection) = connection else {
            self.probe_finished(&probed, false);
            return;
        };
        let timeout_ms = self.options.connect_timeout_ms();
        self.timers.schedule(
            self.now + timeout_ms,
            TimerEvent::ConnectTimeout(connection),
        );
    }

    /// Handles the established connection of a probe.
    pub fn probe_connected(&mut self, id: ConnectionId, probed: &ProbedRunner) {
        let mut upstream = UpstreamConnection::new(&probed.runner);
        upstream.expires_at = self.now + DEFAULT_IDLE_MS;
        self.connections
            .set_role(id, ConnectionRole::Upstream(upstream));
        if !self.upstream_pool.put(&probed.runner, id, POOLED_MAX) {
            self.connections.close(id);
        }
        self.probe_finished(probed, true);
    }

    /// Reports the result of a probe to the owner of the function's seats, which is this gateway.
    pub fn probe_finished(&mut self, probed: &ProbedRunner, is_up: bool) {
        self.lease_owner
            .record_probe(self.now, &probed.function, &probed.runner, is_up);
    }
}
