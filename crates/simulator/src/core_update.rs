use crate::core_node::CoreNode;
use crate::net::{Net, Packet};
use configuration::{parse, Plan, Version};
use leader_election::Leadership;
use register::{ChangeOutcome, VersionedValue};
use request_queue::{FrontMessage, FrontReport};
use speedy::Readable;
use std::sync::Arc;
use transport::PeerMessage;

impl CoreNode {
    /// Responds to a front's heartbeat with the versions held here.
    pub fn respond_to_heartbeat(&self, net: &mut Net, heartbeat: &Packet, stamp: u64) {
        if !self.is_certain || self.awaits_restored_values() {
            return;
        }
        let answer = FrontMessage::HeartbeatResponse {
            stamp,
            plan: self.in_force.plan_version,
            configuration: self.in_force.configuration_version,
        };
        let packet = self.packet(0, PeerMessage::Front(answer));
        net.send(&self.peer.name, &heartbeat.from.name, packet);
    }

    /// Reports to all cores which versions this one holds.
    pub fn report_versions(&self, net: &mut Net) {
        if !self.is_certain || self.awaits_restored_values() {
            return;
        }
        let report = FrontReport {
            is_witness: true,
            plan: self.in_force.plan_version,
            configuration: self.in_force.configuration_version,
            ..FrontReport::default()
        };
        for core in &self.seeds {
            let packet = self.packet(0, PeerMessage::Report(report.clone()));
            net.send(&self.peer.name, core, packet);
        }
    }

    pub fn on_role_result(
        &mut self,
        now: u64,
        began: u64,
        tenure: Option<Leadership>,
        outcome: ChangeOutcome,
    ) {
        match (outcome, tenure) {
            (ChangeOutcome::Committed(stored), Some(tenure)) => {
                self.scaler_role
                    .on_elected(now, began, stored.version, tenure);
            }
            (ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored), _) => {
                let seen = Leadership::read_from_buffer(&stored.bytes).unwrap_or_default();
                self.scaler_role.observe(now, stored.version, seen);
            }
            _ => {}
        }
    }

    pub fn apply_committed_value(&mut self, key: &str, epoch: u64, stored: &VersionedValue) {
        let version = Version {
            epoch,
            no: stored.version,
        };
        if stored.version == 0 {
            return;
        }
        if key == "plan" && version > self.in_force.plan_version {
            if let Ok(plan) = Plan::read_from_buffer(&stored.bytes) {
                self.in_force.plan = Arc::new(plan);
                self.in_force.plan_version = version;
            }
        }
        if key == "blueprint" && version > self.in_force.configuration_version {
            let text = String::from_utf8_lossy(&stored.bytes).into_owned();
            if let Ok(configuration) = parse(&text) {
                self.in_force.configuration = Arc::new(configuration);
                self.in_force.text = text;
                self.in_force.configuration_version = version;
            }
        }
    }
}
