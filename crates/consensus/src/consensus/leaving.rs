//! Leaving: a replaced controller leaves the voter set and rejoins as an empty one without a restart.

use super::{new_incarnation, Consensus};
use crate::departure::Departure;
use crate::disk_work::DiskWork;
use crate::message::ConsensusMessage;
use rand::Rng;
use register::SetVersion;
use voter::MembershipChange;

impl Consensus {
    pub(super) fn is_resetting(&self) -> bool {
        let departure = self.departure.as_ref();
        departure.is_some_and(Departure::is_resetting)
    }

    /// Keeps this controller's replica until the newest set no longer depends on it, then resets the disk.
    pub(super) fn poll_departure(&mut self, now: u64) {
        let departure = self.departure.get_or_insert_with(|| Departure::new(now));
        let is_request_due = departure.poll_request(now);
        // The replica of a controller that shuts down is kept: the process may be started again before it is copied.
        if !self.is_shutting_down() && self.may_leave(now) {
            return self.start_reset();
        }
        if is_request_due {
            self.request_confirmations();
        }
    }

    fn request_confirmations(&mut self) {
        let set_version = self.sets.version();
        for voter in self.sets.newest().voters.clone() {
            let to = self.locate(&voter);
            if to != self.options.address {
                self.send(&to, ConsensusMessage::ConfirmInstalled { set_version });
            }
        }
    }

    pub(super) fn on_confirmation_request(&mut self, from: &str, set_version: SetVersion) {
        let to = from.to_string();
        self.submit_disk_work(DiskWork::ConfirmInstalled { to, set_version });
    }

    /// Records that a member has durably installed a set.
    pub(super) fn on_installed(&mut self, disk: u64, set_version: SetVersion) {
        let is_newest = set_version == self.sets.version();
        if let Some(departure) = self.departure.as_mut().filter(|_| is_newest) {
            departure.record_installed(disk);
        }
    }

    fn may_leave(&self, now: u64) -> bool {
        let Some(departure) = self.departure.as_ref() else {
            return false;
        };
        let set = self.sets.newest();
        let missing = departure.missing(set);
        let mut live = self.peers.live(now);
        let is_missing_heard = live.any(|(_, heartbeat)| missing.contains(&heartbeat.disk));
        let timeout_ms = self.options.replacement_timeout_ms;
        departure.may_leave(now, set, is_missing_heard, timeout_ms)
    }

    fn start_reset(&mut self) {
        log::warn!("consensus: replaced by another controller, resetting the disk to rejoin");
        if let Some(departure) = self.departure.as_mut() {
            departure.start_reset();
        }
        let identity = self.random.random();
        self.change_local_set(DiskWork::Reset(identity));
    }

    /// Handles the end of a disk reset. The controller continues under a new identity that has never voted. Its
    /// knowledge of peers and of committed values stays valid. No identity means that the disk failed.
    pub(super) fn on_reset_ended(&mut self, now: u64, identity: Option<u64>) {
        self.sets.end_disk_work();
        self.departure = None;
        let Some(identity) = identity else {
            return;
        };
        self.end_role_lease(now);
        self.options.is_first_start = false;
        self.incarnation = new_incarnation(&mut self.random);
        self.sets.reset_local(identity);
        self.values.clear_local();
        self.update_unsettled(now);
        self.reads.reset(now);
        self.membership_change = MembershipChange::default();
        self.next_set_proposal_at = now;
        self.copies.clear();
        self.heartbeats.request();
        log::info!("consensus: disk reset, rejoining as a new member");
    }
}
