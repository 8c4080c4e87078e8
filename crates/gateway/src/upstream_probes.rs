//! Probes whether starting runners accept connections. The connection of a probe that succeeded is pooled.

use crate::connections::{ConnectionRole, ProbedRunner};
use crate::gateway::{Gateway, TimerEvent};
use crate::large_responses::LARGEST_RESPONSE_BYTES;
use crate::upstream_connection::UpstreamConnection;
use crate::upstream_responses::DEFAULT_IDLE_MS;
use event_loop::ConnectionId;

/// Most connections of probes that are pooled for one runner.
const POOLED_MAX: usize = 2;

impl Gateway {
    /// Connects to a runner that is starting.
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

    /// The connection of a probe came up.
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

    /// Tells the owner of the function's seats, which is this gateway, what came of a probe.
    pub fn probe_finished(&mut self, probed: &ProbedRunner, is_up: bool) {
        self.lease_owner
            .record_probe(self.now, &probed.function, &probed.runner, is_up);
    }
}
