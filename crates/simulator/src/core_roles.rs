use crate::core_node::{CoreNode, Purpose};
use crate::net::{Net, ScheduledEvent};
use crate::oracle::Oracle;
use crate::platform::SimulatedPlatform;
use configuration::Version;
use register::Change;
use scaler::Observation;
use speedy::Writable;

impl CoreNode {
    pub fn scale(&mut self, net: &mut Net, platform: &SimulatedPlatform) {
        let (workers, listed) = platform.delayed_lists();
        let in_force = self.in_force.clone();
        let term = self.scaler_role.term(net.now);
        let observation = Observation {
            now: net.now,
            next: Version {
                epoch: self.set.epoch,
                no: in_force.plan_version.no + 1,
            },
            term: term.unwrap_or_default(),
            configuration: &in_force.configuration,
            plan: &in_force.plan,
            workers: &workers,
            listed: &listed,
            fronts: &self.fronts,
        };
        let is_scaler = term.is_some_and(|term| term >= in_force.plan.term);
        if !is_scaler || self.is_planning || self.awaits_restored_values() {
            return self.scaler.observe(&observation);
        }
        if let Some(plan) = self.scaler.run(&observation, &self.commands) {
            let bytes = plan.write_to_vec().unwrap_or_default();
            let expected = in_force.plan_version.no;
            self.is_planning = true;
            return self.propose(
                net,
                "plan",
                Change::Write { expected, bytes },
                Purpose::Plan,
            );
        }
        let due = self
            .commands
            .due(net.now, &in_force.plan, &listed, 1_500, 6_000);
        for command in due {
            let time = net.random_time_within(20);
            let command_and_term = Box::new((command, observation.term));
            let scheduled_event = ScheduledEvent::Platform(
                self.peer.name.clone(),
                self.peer.incarnation,
                command_and_term,
            );
            net.schedule(time, scheduled_event);
        }
    }

    /// Expires old claims every second; a real core does so once per retry window.
    pub fn expire_claims(&mut self, net: &Net, oracle: &mut Oracle) {
        if net.now < self.claims_expired_at + 1_000 || !self.voter.is_open() {
            return;
        }
        self.claims_expired_at = net.now;
        let floor_before = self.voter.acceptor().claim_floors().expired_before;
        let retention_ms = self.in_force.configuration.bounds.claim_ms;
        self.voter.expire_claims(net.wall, retention_ms);
        self.voter.sync();
        if self.voter.acceptor().claim_floors().expired_before > floor_before {
            oracle.count_case("ageing");
        }
    }
}
