//! The gateway's metrics for operators, served at a separate address.

use crate::connections::ConnectionRole;
use crate::gateway::Gateway;
use event_loop::ConnectionId;
use metrics::{MetricsReader, Snapshot};
use routing::TenantDirectory;

impl Gateway {
    /// Handles a connection accepted at the metrics address.
    pub fn metrics_accepted(&mut self, id: ConnectionId) {
        let role = ConnectionRole::Metrics(MetricsReader::default());
        self.connections.set_role(id, role);
    }

    /// Handles bytes received at the metrics address.
    pub fn metrics_readable(&mut self, id: ConnectionId) {
        let Some((reader, buffer)) = self.connections.metrics_input(id) else {
            return;
        };
        match reader.read(buffer) {
            Ok(None) => {}
            Ok(Some(request)) => {
                let response = metrics::respond(&request, || self.snapshot());
                self.connections.send(id, &response);
                if !request.keeps_alive {
                    self.connections.close_after_flush(id);
                }
            }
            Err(error) => self.reject_bytes(id, &error),
        }
    }

    /// Collects the current values of all metrics.
    fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::new();
        self.add_request_metrics(&mut snapshot);
        self.add_seat_metrics(&mut snapshot);
        self.add_connection_metrics(&mut snapshot);
        self.add_version_metrics(&mut snapshot);
        self.add_message_metrics(&mut snapshot);
        snapshot
    }

    fn add_request_metrics(&self, snapshot: &mut Snapshot) {
        let counts = self.requests.counts();
        let ended = [
            ("answered", counts.answered),
            ("rejected", counts.rejected),
            ("client_left", counts.client_left),
        ];
        snapshot.counter("requests_admitted", "Requests admitted", counts.admitted);
        snapshot.labelled_counter(
            "requests_ended",
            "Requests that ended, by how",
            "end",
            ended.into_iter(),
        );
        snapshot.labelled_counter(
            "request_failures",
            "Requests that failed, were rejected or left by their client",
            "reason",
            self.failures.by_reason(),
        );
        snapshot.counter(
            "failure_lines_suppressed",
            "Failed requests without a log line, which is bounded in rate",
            self.failures.suppressed_lines(),
        );
        let in_flight = self.requests.len() as u64;
        snapshot.gauge("requests_in_flight", "Requests in flight", in_flight);
        snapshot.gauge("jobs", "Jobs coordinated here", self.jobs.len() as u64);
    }

    fn add_seat_metrics(&self, snapshot: &mut Snapshot) {
        let usage = self.lease_owner.usage();
        let functions = self.lease_owner.len() as u64;
        snapshot.gauge(
            "functions_owned",
            "Functions whose seats are leased here",
            functions,
        );
        snapshot.gauge("seats_leased", "Seats that are leased here", usage.leased);
        snapshot.gauge(
            "requests_waiting",
            "Requests that wait for a seat here",
            usage.waiting,
        );
    }

    fn add_connection_metrics(&self, snapshot: &mut Snapshot) {
        let connections = self.connections.len() as u64;
        snapshot.gauge("connections", "Open connections", connections);
        let held = self.client_memory.held();
        snapshot.gauge(
            "client_bytes",
            "Memory that clients make the gateway hold",
            held,
        );
        let evicted = self.client_memory.evicted();
        snapshot.counter(
            "clients_evicted",
            "Clients closed for want of memory",
            evicted,
        );
        let waiting = self.large_responses.waiting() as u64;
        snapshot.gauge(
            "large_responses_waiting",
            "Large responses that wait to be read on",
            waiting,
        );
        let pooled = self.upstream_pool.len() as u64;
        snapshot.gauge(
            "upstream_connections_idle",
            "Idle connections to runners",
            pooled,
        );
        let peers = self.peers.len() as u64;
        snapshot.gauge("peer_links", "Links with other gateways", peers);
        let controllers = self.controllers.linked() as u64;
        snapshot.gauge("controller_links", "Links with controllers", controllers);
    }

    fn add_message_metrics(&self, snapshot: &mut Snapshot) {
        snapshot.labelled_counter(
            "bytes_to_gateways",
            "Bytes sent to other gateways, by kind of message",
            "kind",
            self.peers.sent().by_kind(),
        );
        snapshot.labelled_counter(
            "bytes_to_controllers",
            "Bytes sent to controllers, by kind of message",
            "kind",
            self.controllers.sent().by_kind(),
        );
    }

    fn add_version_metrics(&self, snapshot: &mut Snapshot) {
        let versions = self.configuration.versions();
        snapshot.gauge(
            "configuration_version",
            "Committed version of the configuration in force",
            versions.configuration,
        );
        snapshot.gauge(
            "evacuations_version",
            "Committed version of the evacuated zones in force",
            versions.evacuations,
        );
        let tenants = self.configuration.tenants();
        let tenants = tenants.as_ref();
        let tenant_count = tenants.map_or(0, TenantDirectory::len) as u64;
        snapshot.gauge("tenants", "Tenants in the configuration", tenant_count);
        let keys = tenants.map_or(0, TenantDirectory::key_count) as u64;
        snapshot.gauge("tenant_keys", "Keys of all tenants", keys);
        let unknown_parts = self.configuration.unknown_parts() as u64;
        snapshot.gauge(
            "configuration_unknown_parts",
            "Parts of the configuration that are without effect, since this version does not understand them",
            unknown_parts,
        );
        let membership = self.configuration.ownership_version();
        snapshot.gauge("membership_term", "Term of the membership", membership.term);
        snapshot.gauge(
            "membership_number",
            "Number of the membership within its term",
            membership.number,
        );
        let members = self.configuration.members().len() as u64;
        snapshot.gauge("members", "Gateways that own functions", members);
        let is_ready = u64::from(self.is_ready());
        snapshot.gauge("ready", "Whether clients are served", is_ready);
    }
}
