use super::{ClientOutcome, Cluster, Event, MS};
use rand::Rng;

impl Cluster {
    /// Crashes a gateway, which loses all of its state.
    pub fn kill(&mut self, index: usize) {
        if !self.nodes[index].is_up {
            return;
        }
        self.nodes[index].is_up = false;
        let now = self.now;
        for (_, request) in std::mem::take(&mut self.nodes[index].requests) {
            if request.has_client {
                self.oracle
                    .record_outcome(request.client_request, now, ClientOutcome::NoResponse);
            }
        }
        for peer in 0..self.nodes.len() {
            if peer == index {
                continue;
            }
            self.end_link(index, peer);
            let incarnation = self.nodes[peer].incarnation;
            let delay = self.random.random_range(0..60 * MS);
            self.schedule(delay, Event::LinkEnded(peer, incarnation, index));
        }
        self.schedule(1_000 * MS, Event::MembershipChanged);
    }

    /// Breaks the link between two gateways. Each of them notices after a random delay of its own.
    pub fn break_link(&mut self, one: usize, other: usize) {
        self.end_link(one, other);
        for (index, peer) in [(one, other), (other, one)] {
            let incarnation = self.nodes[index].incarnation;
            let delay = self.random.random_range(0..400 * MS);
            self.schedule(delay, Event::LinkEnded(index, incarnation, peer));
        }
    }

    /// Injects a random fault.
    pub fn inject_fault(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..10) {
            0..=3 => {
                self.kill(index);
                let delay = self.random.random_range(50..2_500) * MS;
                self.schedule(delay, Event::Boot(index));
            }
            4..=6 => {
                let other = (index + 1 + self.random.random_range(0..self.nodes.len() - 1))
                    % self.nodes.len();
                self.break_link(index, other);
            }
            7 => {
                let controller = self.random.random_range(0..self.controllers.len());
                self.kill_controller(controller);
                let delay = self.random.random_range(50..4_000) * MS;
                self.schedule(delay, Event::ControllerBoot(controller));
            }
            8 => {
                for controller in 0..self.controllers.len() {
                    self.kill_controller(controller);
                    let delay = self.random.random_range(50..1_500) * MS;
                    self.schedule(delay, Event::ControllerBoot(controller));
                }
            }
            _ => {
                for index in 0..self.nodes.len() {
                    self.kill(index);
                    let delay = self.random.random_range(50..800) * MS;
                    self.schedule(delay, Event::Boot(index));
                }
            }
        }
    }

    /// Stops injecting faults, restarts all crashed nodes, and waits for the cluster to recover.
    pub fn end_faults(&mut self) {
        self.fault_rates.rejected = 0.0;
        self.fault_rates.connection_lost = 0.0;
        self.fault_rates.client_left = 0.0;
        for index in 0..self.nodes.len() {
            self.schedule(0, Event::Boot(index));
        }
        for controller in 0..self.controllers.len() {
            self.schedule(0, Event::ControllerBoot(controller));
        }
        self.run(2_500);
    }
}
