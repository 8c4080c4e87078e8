//! Faults injected into the simulated fleet.

use super::gateway::{Gateway, Health};
use super::network::Event;
use super::{gateway_name, Fleet, TICK_MS};

impl Fleet {
    /// Ends a gateway's process. Its peers and the scaler notice shortly after.
    pub fn kill(&mut self, index: usize) {
        self.gateways[index].health = Health::Down;
        self.gateways[index].incarnation += 1;
        for peer in 0..self.gateways.len() {
            if peer == index || self.gateways[peer].health == Health::Down {
                continue;
            }
            self.network.lose_link(index, peer);
            self.network.observe_link(index, peer);
            self.schedule_link_lost(peer, index);
        }
        let event = Event::ScalerLink {
            gateway: index,
            is_linked: false,
        };
        self.network.schedule(self.now + 5, event);
    }

    /// Starts a gateway's process again, as a new incarnation without state.
    pub fn restart(&mut self, index: usize) {
        assert_eq!(self.gateways[index].health, Health::Down);
        let incarnation = self.gateways[index].incarnation;
        self.gateways[index] = Gateway::new(index);
        self.gateways[index].incarnation = incarnation;
        self.gateways[index].has_scaler = self.scaler.is_up;
        for peer in 0..self.gateways.len() {
            self.network.observe_link(index, peer);
        }
        let tick = Event::Tick(index, incarnation);
        self.network.schedule(self.now + TICK_MS, tick);
        let event = Event::ScalerLink {
            gateway: index,
            is_linked: true,
        };
        self.network.schedule(self.now + 20, event);
    }

    /// Asks a gateway to stop: it informs the scaler and finishes its requests.
    pub fn terminate(&mut self, index: usize) {
        self.gateways[index].is_leaving = true;
        self.announce_leaving(index);
    }

    /// Pauses a gateway's process.
    pub fn pause(&mut self, index: usize) {
        self.gateways[index].health = Health::Paused;
    }

    /// Resumes a gateway's process. It first handles messages from other daemons that arrived during the pause, then
    /// clients' requests.
    pub fn resume(&mut self, index: usize) {
        self.gateways[index].health = Health::Up;
        self.handle_deferred(index);
        if !self.is_published(index) {
            self.reopen_scaler_link(index);
        }
    }

    /// Reopens the scaler's link with a gateway that the scaler has given up.
    pub fn reopen_scaler_link(&mut self, index: usize) {
        let event = Event::ScalerLink {
            gateway: index,
            is_linked: true,
        };
        self.network.schedule(self.now + 30, event);
    }

    fn handle_deferred(&mut self, index: usize) {
        let deferred = std::mem::take(&mut self.gateways[index].deferred);
        let (tables, rest): (Vec<Event>, Vec<Event>) = deferred
            .into_iter()
            .partition(|event| matches!(event, Event::Table { .. }));
        for event in tables.into_iter().chain(rest) {
            match event {
                Event::WorkDone {
                    gateway,
                    incarnation,
                    request,
                    ..
                } => self.response_read(gateway, incarnation, request),
                event => self.handle(event),
            }
        }
    }

    /// Partitions a gateway from all other gateways and the scaler. Its clients and runners still reach it.
    pub fn cut_off(&mut self, index: usize) {
        self.gateways[index].is_cut_off = true;
        for peer in 0..self.gateways.len() {
            self.network.cut(index, peer);
            self.network.cut(peer, index);
        }
        let event = Event::ScalerLink {
            gateway: index,
            is_linked: false,
        };
        self.network.schedule(self.now + 1_000, event);
    }

    /// Ends the partition of a gateway.
    pub fn reconnect(&mut self, index: usize) {
        self.gateways[index].is_cut_off = false;
        for peer in 0..self.gateways.len() {
            self.heal(index, peer);
            self.heal(peer, index);
        }
        self.handle_deferred(index);
        self.reopen_scaler_link(index);
    }

    /// Stops traffic between two gateways, in one direction or both.
    pub fn cut_link(&mut self, one: usize, other: usize, both: bool) {
        self.network.cut(one, other);
        if both {
            self.network.cut(other, one);
        }
    }

    pub fn heal_link(&mut self, one: usize, other: usize) {
        self.heal(one, other);
        self.heal(other, one);
    }

    fn heal(&mut self, from: usize, to: usize) {
        self.network.heal(self.now, from, to);
        if self.network.take_pending_close(from, to) {
            self.schedule_link_lost(to, from);
        }
    }

    /// Stops or restarts the scaler.
    pub fn set_scaler(&mut self, is_up: bool) {
        self.scaler.is_up = is_up;
        for gateway in &mut self.gateways {
            gateway.has_scaler = is_up;
        }
        if !is_up {
            return;
        }
        self.begin_term();
        for index in 0..self.gateways.len() {
            if self.gateways[index].answers_scaler() {
                self.handle_deferred(index);
            }
        }
    }

    /// Gateways that currently serve clients.
    pub fn up(&self) -> Vec<usize> {
        let all = 0..self.gateways.len();
        all.filter(|index| self.gateways[*index].serves_clients())
            .collect()
    }

    pub fn name_of(&self, index: usize) -> String {
        gateway_name(index)
    }
}
