//! The values of a controller's metrics.

use super::Controller;
use metrics::Snapshot;

impl Controller {
    /// All metrics with their current values.
    pub(super) fn exported_metrics(&self) -> Snapshot {
        let mut snapshot = Snapshot::new();
        self.add_version_metrics(&mut snapshot);
        let term = self.consensus.role_term(self.now).unwrap_or(0);
        snapshot.gauge(
            "scaler_term",
            "Term under which it scales; 0 where it does not",
            term,
        );
        let is_current = self.consensus.is_current(self.now);
        snapshot.gauge(
            "contact",
            "Whether it is in contact with a majority",
            u64::from(is_current),
        );
        self.add_membership_metrics(&mut snapshot);
        self.add_platform_metrics(&mut snapshot);
        let commands = self.operators.commands_in_progress() as u64;
        snapshot.gauge(
            "operator_commands",
            "Operators' commands in progress",
            commands,
        );
        let connections = self.connections.len() as u64;
        snapshot.gauge("connections", "Open connections", connections);
        snapshot.labelled_counter(
            "bytes_to_gateways",
            "Bytes sent to gateways, by kind of message",
            "kind",
            self.gateways.sent().by_kind(),
        );
        snapshot
    }

    fn add_version_metrics(&self, snapshot: &mut Snapshot) {
        let versions = [
            ("configuration", self.configuration.version()),
            ("evacuations", self.configuration.evacuations_version()),
        ];
        snapshot.labelled_gauge(
            "committed_version",
            "Newest committed version that is known, by register",
            "register",
            versions.into_iter(),
        );
    }

    fn add_platform_metrics(&self, snapshot: &mut Snapshot) {
        let lists = self.scaler.lists();
        snapshot.gauge(
            "runner_list_age_ms",
            "Milliseconds since the newest complete list of runners was asked for; 0 without one",
            lists.runners_age_ms(self.now),
        );
        snapshot.counter(
            "runner_list_failures",
            "Lists of runners that failed",
            lists.failures(),
        );
    }

    fn add_membership_metrics(&self, snapshot: &mut Snapshot) {
        let set = self.consensus.voter_set();
        snapshot.gauge(
            "voter_set_epoch",
            "Epoch of the newest voter set",
            set.epoch,
        );
        snapshot.gauge(
            "voters",
            "Voters of the newest set",
            set.voters.len() as u64,
        );
        let controllers = self.consensus.known_controllers().len() as u64;
        snapshot.gauge("controllers", "Controllers that are known", controllers);
        snapshot.gauge(
            "gateways",
            "Gateways with a link",
            self.gateways.len() as u64,
        );
    }
}
