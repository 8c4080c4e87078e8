//! Reaction to pauses of the gateway's process: messages received during the pause are handled before any silence is
//! evaluated, and nothing is leased from earlier state until the scaler has confirmed it.

use crate::gateway::Gateway;
use crate::pause_confirmation::Confirmation;
use process_pause::ProcessPause;
use protocol::{Message, UpdateVersion};

impl Gateway {
    /// Sets the time of this turn, and detects a pause before it.
    pub fn read_clock(&mut self, now: u64) {
        self.now = now;
        if let Some(pause) = self.pauses.observe(now) {
            self.process_paused(pause);
        }
    }

    /// Handles a pause of the process, whatever its cause.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        log::warn!(
            "gateway: process paused duration_ms={}",
            pause.duration_ms()
        );
        self.peers.process_paused(pause);
        self.controllers.process_paused(pause);
        self.lease_owner.process_paused(pause);
        self.jobs.process_paused(pause);
        self.ask_for_confirmation();
    }

    /// Requests a heartbeat with the current term from each controller, and a pong that follows everything it has
    /// sent so far.
    fn ask_for_confirmation(&mut self) {
        let linked = self.controllers.linked_addresses();
        let number = self
            .pauses
            .confirmation
            .record_pause(linked.iter().cloned());
        for address in linked {
            self.send_to_controller(&address, &Message::RequestHeartbeat);
            self.send_to_controller(&address, &Message::Ping(number));
        }
    }

    /// Handles a controller's pong.
    pub fn controller_answered_ping(&mut self, address: &str, number: u64) {
        let term = self.controllers.term(address);
        let confirmation = self
            .pauses
            .confirmation
            .ping_answered(address, number, term);
        self.confirmed_after_pause(confirmation);
    }

    /// Handles an ownership table, or a change of one, published by the scaler and applied if possible.
    pub fn table_published(&mut self, address: &str, version: UpdateVersion) {
        if version == self.configuration.ownership_version() {
            let confirmation = self.pauses.confirmation.table_published(address);
            self.confirmed_after_pause(confirmation);
        }
    }

    fn confirmed_after_pause(&mut self, confirmation: Option<Confirmation>) {
        let Some(confirmation) = confirmation else {
            return;
        };
        log::info!("gateway: confirmed after a pause what={confirmation:?}");
        match confirmation {
            Confirmation::TableAndLists => self.lease_owner.confirm_after_pause(self.now),
            Confirmation::Table => self.lease_owner.confirm_table_after_pause(self.now),
        }
    }
}
