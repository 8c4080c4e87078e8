//! Handling of pauses of the owner's process.

use super::LeaseOwner;
use process_pause::ProcessPause;

impl LeaseOwner {
    /// Handles a pause of the process. State from before the pause is not used for leases until the scaler confirms it.
    /// Pending handovers get a new timeout, because they may have arrived during the pause.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        // Without other gateways, none can have taken over its functions.
        if self.ownership.is_standalone() {
            return;
        }
        self.rules.pause_recovery.begin(pause);
        self.ownership.restart_timeouts(pause);
        self.unconfirmed.restart_timeouts(pause);
    }

    /// Handles the scaler's confirmation, given since the last pause, that the current ownership table is the newest and
    /// that all changes of runner lists were sent over the same link.
    pub fn confirm_after_pause(&mut self, now: u64) {
        if self.rules.pause_recovery.confirm() {
            self.issue_all_leases(now);
        }
    }

    /// Handles the scaler's confirmation that the current ownership table is the newest, given over a link opened since the
    /// pause. The runner lists are requested again, and those from before the pause are not used until then.
    pub fn confirm_table_after_pause(&mut self, now: u64) {
        if !self.rules.pause_recovery.await_lists(now) {
            return;
        }
        for (function, seats) in &mut self.functions {
            seats.invalidate_list_from_before_pause(now, &self.rules);
            self.unreported.insert(function.clone());
        }
    }

    /// Detects a pause before any lease is issued, whichever event comes first after it.
    pub(super) fn observe_clock(&mut self, now: u64) {
        if !self.ownership.is_standalone() {
            self.rules.pause_recovery.observe(now);
        }
    }

    /// Resumes without the scaler's confirmation if it does not arrive in time.
    pub(super) fn expire_pause(&mut self, now: u64) {
        if !self.ownership.is_standalone() {
            self.rules.pause_recovery.tick(now);
        }
        if self.rules.pause_recovery.take_expired(now) {
            log::warn!("gateway: scaler silent after a pause");
        }
    }
}
