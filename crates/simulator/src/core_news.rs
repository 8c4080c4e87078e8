use crate::core_node::CoreNode;
use crate::net::{Net, Parcel};
use configuration::{parse, Plan, Version};
use leader_election::Leadership;
use register::{ChangeOutcome, VersionedValue};
use request_queue::{DeskMessage, FrontReport};
use speedy::Readable;
use std::sync::Arc;
use transport::Message;

impl CoreNode {
    /// Answers a front's heartbeat.
    pub fn bear_witness(&self, net: &mut Net, beat: &Parcel, stamp: u64) {
        if !self.is_certain || self.is_blank() {
            return;
        }
        let answer = DeskMessage::BeatAnswer {
            stamp,
            plan: self.in_force.plan_version,
            blueprint: self.in_force.blueprint_version,
        };
        let parcel = self.parcel(0, Message::Desk(answer));
        net.send(&self.peer.name, &beat.from.name, parcel);
    }

    /// Tells all cores which versions this one holds.
    pub fn report_witness(&self, net: &mut Net) {
        if !self.is_certain || self.is_blank() {
            return;
        }
        let report = FrontReport {
            is_witness: true,
            plan: self.in_force.plan_version,
            blueprint: self.in_force.blueprint_version,
            ..FrontReport::default()
        };
        for core in &self.seeds {
            let parcel = self.parcel(0, Message::Report(report.clone()));
            net.send(&self.peer.name, core, parcel);
        }
    }

    pub fn duty_ended(
        &mut self,
        now: u64,
        began: u64,
        tenure: Option<Leadership>,
        outcome: ChangeOutcome,
    ) {
        match (outcome, tenure) {
            (ChangeOutcome::Committed(stored), Some(tenure)) => {
                self.duty.on_elected(now, began, stored.version, tenure);
            }
            (ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored), _) => {
                let seen = Leadership::read_from_buffer(&stored.bytes).unwrap_or_default();
                self.duty.observe(now, stored.version, seen);
            }
            _ => {}
        }
    }

    pub fn put_in_force(&mut self, key: &str, era: u64, stored: &VersionedValue) {
        let version = Version {
            era,
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
        if key == "blueprint" && version > self.in_force.blueprint_version {
            let text = String::from_utf8_lossy(&stored.bytes).into_owned();
            if let Ok(blueprint) = parse(&text) {
                self.in_force.blueprint = Arc::new(blueprint);
                self.in_force.text = text;
                self.in_force.blueprint_version = version;
            }
        }
    }
}
