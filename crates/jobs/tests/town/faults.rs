use super::{Event, Told, Town, MS};
use rand::Rng;

impl Town {
    /// Kills a gateway, with all that it keeps.
    pub fn kill(&mut self, place: usize) {
        if !self.nodes[place].is_up {
            return;
        }
        self.nodes[place].is_up = false;
        let now = self.now;
        for (_, ticket) in std::mem::take(&mut self.nodes[place].tickets) {
            if ticket.has_client {
                self.oracle.tell(ticket.asked, now, Told::Silence);
            }
        }
        for peer in 0..self.nodes.len() {
            if peer == place {
                continue;
            }
            self.end_link(place, peer);
            let life = self.nodes[peer].life;
            let delay = self.random.random_range(0..60 * MS);
            self.later(delay, Event::LinkEnded(peer, life, place));
        }
        self.later(1_000 * MS, Event::Roster);
    }

    /// Ends a link between two that live. Each learns it in its own time.
    pub fn break_link(&mut self, one: usize, other: usize) {
        self.end_link(one, other);
        for (place, peer) in [(one, other), (other, one)] {
            let life = self.nodes[place].life;
            let delay = self.random.random_range(0..400 * MS);
            self.later(delay, Event::LinkEnded(place, life, peer));
        }
    }

    /// Lets something befall the town.
    pub fn befall(&mut self) {
        let place = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..10) {
            0..=3 => {
                self.kill(place);
                let delay = self.random.random_range(50..2_500) * MS;
                self.later(delay, Event::Boot(place));
            }
            4..=6 => {
                let other = (place + 1 + self.random.random_range(0..self.nodes.len() - 1))
                    % self.nodes.len();
                self.break_link(place, other);
            }
            7 => {
                let controller = self.random.random_range(0..self.controllers.len());
                self.kill_controller(controller);
                let delay = self.random.random_range(50..4_000) * MS;
                self.later(delay, Event::ControllerBoot(controller));
            }
            8 => {
                for controller in 0..self.controllers.len() {
                    self.kill_controller(controller);
                    let delay = self.random.random_range(50..1_500) * MS;
                    self.later(delay, Event::ControllerBoot(controller));
                }
            }
            _ => {
                for place in 0..self.nodes.len() {
                    self.kill(place);
                    let delay = self.random.random_range(50..800) * MS;
                    self.later(delay, Event::Boot(place));
                }
            }
        }
    }

    /// Ends all troubles.
    pub fn heal(&mut self) {
        self.weather.turns_away = 0.0;
        self.weather.breaks_off = 0.0;
        self.weather.leaves = 0.0;
        for place in 0..self.nodes.len() {
            self.later(0, Event::Boot(place));
        }
        for controller in 0..self.controllers.len() {
            self.later(0, Event::ControllerBoot(controller));
        }
        self.run(2_500);
    }
}
