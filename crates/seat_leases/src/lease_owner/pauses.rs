//! What an owner does about pauses of its process.

use super::LeaseOwner;
use process_pause::ProcessPause;

impl LeaseOwner {
    /// The process stood still. Nothing is leased by what was known before until the scaler has confirmed it, and members that owe a
    /// hand-over, which may have come meanwhile, get their time anew.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        // Without other gateways nobody can have taken its place.
        if self.ownership.is_standalone() {
            return;
        }
        self.rules.pause_recovery.begin(pause);
        self.ownership.restart_timeouts(pause);
        self.unconfirmed.restart_timeouts(pause);
    }

    /// The scaler has said since the last pause of the process that the table in force here is the newest, and has told over the same link
    /// all that changed in the lists.
    pub fn confirm_after_pause(&mut self, now: u64) {
        if self.rules.pause_recovery.confirm() {
            self.issue_all_leases(now);
        }
    }

    /// The scaler has said that the table in force here is the newest, over a link that was opened since the pause. The lists are asked for
    /// anew, and those from before the pause are not used meanwhile.
    pub fn confirm_table_after_pause(&mut self, now: u64) {
        if !self.rules.pause_recovery.await_lists(now) {
            return;
        }
        for (function, seats) in &mut self.functions {
            seats.invalidate_list_from_before_pause(now, &self.rules);
            self.unreported.insert(function.clone());
        }
    }

    /// Notices a pause before anything is leased, whatever comes first after it.
    pub(super) fn observe_clock(&mut self, now: u64) {
        if !self.ownership.is_standalone() {
            self.rules.pause_recovery.observe(now);
        }
    }

    /// Goes on without the scaler's word where that does not come in time.
    pub(super) fn expire_pause(&mut self, now: u64) {
        if !self.ownership.is_standalone() {
            self.rules.pause_recovery.tick(now);
        }
        if self.rules.pause_recovery.take_expired(now) {
            log::warn!("gateway: scaler silent after a pause");
        }
    }
}
