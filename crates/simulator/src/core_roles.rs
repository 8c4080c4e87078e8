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
        let (workers, listed) = platform.lists();
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
        let holds = term.is_some_and(|term| term >= in_force.plan.term);
        if !holds || self.is_planning || self.is_blank() {
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
            let time = net.soon(20);
            let sent = Box::new((command, observation.term));
            let call =
                ScheduledEvent::Platform(self.peer.name.clone(), self.peer.incarnation, sent);
            net.at(time, call);
        }
    }

    /// Forgets old claims every second, as a core does every window of retries.
    pub fn age_claims(&mut self, net: &Net, oracle: &mut Oracle) {
        if net.now < self.aged_at + 1_000 || !self.voter.is_open() {
            return;
        }
        self.aged_at = net.now;
        let water = self.voter.acceptor().claim_floors().expired_before;
        let remembered = self.in_force.configuration.bounds.claim_ms;
        self.voter.expire_claims(net.wall, remembered);
        self.voter.sync();
        if self.voter.acceptor().claim_floors().expired_before > water {
            oracle.count_case("ageing");
        }
    }
}
