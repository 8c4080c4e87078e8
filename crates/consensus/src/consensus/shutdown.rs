//! Shutdown: a member that shuts down tells spare controllers, one of which replaces it by an agreed change while its
//! voter still votes and its replica can still be copied.

use super::Consensus;
use crate::message::ConsensusMessage;
use crate::shutdown::{Shutdown, ShutdownTimes};
use crate::voter_sets::MembershipState;
use register::{VoterRef, VoterSet};

impl Consensus {
    /// Gives up the scaler role and asks a spare controller to take this controller's place in the voter set.
    /// [`Consensus::may_end`] tells when the process may end.
    pub fn begin_shutdown(&mut self, now: u64, times: ShutdownTimes) {
        self.resign(now);
        self.shutdown = Some(Shutdown::new(now, times));
        self.poll_shutdown(now);
    }

    /// Whether this controller shuts down and may end now: another controller has taken over its place, none can, or
    /// its time is up.
    pub fn may_end(&self, now: u64) -> bool {
        let shutdown = self.shutdown.as_ref();
        shutdown.is_some_and(|shutdown| shutdown.may_end(now, self.is_dispensable(now)))
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether nothing is lost for the voter set if this controller ends.
    fn is_dispensable(&self, now: u64) -> bool {
        match self.membership_state() {
            MembershipState::Bootstrapping
            | MembershipState::Joining
            | MembershipState::Resetting => true,
            MembershipState::Installing | MembershipState::Voting => !self.hears_spare(now),
            MembershipState::Leaving => self.is_replica_dispensable(now),
        }
    }

    /// Whether a majority of the newest set has installed it, and every live member has.
    fn is_replica_dispensable(&self, now: u64) -> bool {
        let Some(departure) = self.departure.as_ref() else {
            return false;
        };
        let set = self.sets.newest();
        let missing = departure.missing(set);
        let mut live = self.peers.live(now);
        let is_missing_heard = live.any(|(_, heartbeat)| missing.contains(&heartbeat.disk));
        set.voters.len() - missing.len() >= set.majority() && !is_missing_heard
    }

    /// Whether a controller outside the newest set is live.
    fn hears_spare(&self, now: u64) -> bool {
        let mut live = self.peers.live(now);
        live.any(|(_, heartbeat)| !self.sets.is_member_disk(heartbeat.disk))
    }

    /// Tells live spare controllers of the shutdown while this controller is a member.
    pub(super) fn poll_shutdown(&mut self, now: u64) {
        let interval_ms = self.options.heartbeat_interval_ms;
        let Some(shutdown) = self.shutdown.as_mut() else {
            return;
        };
        if !shutdown.poll_notice(now, interval_ms) || !self.sets.is_member() {
            return;
        }
        let live = self.peers.live(now);
        let spares = live.filter(|(_, heartbeat)| !self.sets.is_member_disk(heartbeat.disk));
        let spares: Vec<String> = spares.map(|(address, _)| address.clone()).collect();
        let notice = ConsensusMessage::ShuttingDown {
            disk: self.sets.own_disk(),
            incarnation: self.incarnation,
        };
        for spare in spares {
            self.send(&spare, notice.clone());
        }
    }

    /// Records that another controller shuts down.
    pub(super) fn on_shutdown_notice(&mut self, from: &str, disk: u64, incarnation: u64) {
        self.peers.record_shutdown(from, disk, incarnation);
    }

    /// The next set if this controller takes the place of a member that shuts down. A member that has not installed
    /// the newest set goes first: no replica is lost with it.
    pub(super) fn set_after_shutdown(&self, now: u64, own_ref: &VoterRef) -> Option<VoterSet> {
        let set = self.sets.newest();
        if self.sets.is_member_address(&own_ref.address) {
            // This controller's own former disk is still a member, and is replaced before any other.
            return None;
        }
        let ending = self.peers.shutting_down(now);
        let ending = ending.filter(|heartbeat| set.contains_disk(heartbeat.disk));
        let first = ending.min_by_key(|heartbeat| heartbeat.own_set == set.version())?;
        set.with_replacement(first.disk, own_ref.clone())
    }

    /// Whether the next set change must not wait for this member to install the newest set, because it shuts down.
    pub(super) fn is_ending_member(&self, now: u64, disk: u64) -> bool {
        let mut ending = self.peers.shutting_down(now);
        ending.any(|heartbeat| heartbeat.disk == disk)
    }
}
