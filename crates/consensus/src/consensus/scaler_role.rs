//! The scaler role: campaigns, the role lease, and what the local voter grants and backs.

use super::Consensus;
use crate::action::ConsensusAction;
use crate::keys::SCALER_ROLE_KEY;
use crate::message::RoleLeaseAck;
use crate::pending_change::ChangePurpose;
use crate::role_register::{term_of, RoleHolder};
use rand::Rng;
use register::{Ballot, Change, ChangeOutcome};
use speedy::Writable;

/// Delay between the campaigns of adjacent members of the set, in milliseconds, so that they do not compete.
const CAMPAIGN_STAGGER_MS: u64 = 40;
/// Maximum random addition to this delay, in milliseconds.
const CAMPAIGN_JITTER_MS: u64 = 20;
/// Range of the random pause after a lost campaign, in milliseconds.
const LOST_CAMPAIGN_PAUSE_MS: std::ops::Range<u64> = 50..200;

impl Consensus {
    /// Ends contact and this controller's role lease if they have expired. This runs before anything else, so that a
    /// controller that was frozen notices it first.
    pub(super) fn expire_leases(&mut self, now: u64) {
        self.update_contact(now);
        if self.role.is_lease_over(now) {
            self.end_role_lease(now);
        }
    }

    pub(super) fn end_role_lease(&mut self, now: u64) {
        let Some(ended) = self.role.end_lease(now) else {
            return;
        };
        self.heartbeats.request();
        if ended.was_announced {
            log::info!("consensus: scaler role lost term={}", ended.term);
            self.actions.push(ConsensusAction::RoleLost);
        }
    }

    /// Gives up the scaler role permanently because this controller shuts down.
    pub fn resign(&mut self, now: u64) {
        self.role.resign();
        self.end_role_lease(now);
        self.heartbeats.expire(now);
        self.send_due_heartbeats(now);
    }

    /// Whether the local voter would promise the role to the given controller.
    pub(super) fn grants_role(&self, now: u64, to: &str) -> bool {
        let is_idle = !self.role.has_pending_rounds() && !self.sets.has_disk_work();
        let is_current = self.sets.is_voting() && self.sets.is_local_set_newest();
        is_idle && is_current && self.role.may_promise(now, to)
    }

    /// Whether the local voter has accepted this holder's value and has since made no promise by which another value may
    /// still be accepted.
    pub(super) fn backs(&self, holder: &str, incarnation: u64, term: u64) -> bool {
        let is_idle = !self.role.has_pending_rounds() && !self.sets.has_disk_work();
        if !is_idle || !self.sets.is_voting() {
            return false;
        }
        let Some(accepted) = self.values.local(SCALER_ROLE_KEY) else {
            return false;
        };
        let named = accepted.role_holder();
        let is_undisputed =
            accepted.promised == accepted.accepted || self.is_void_campaign(accepted.promised);
        let is_holder = named.address == holder && named.incarnation == incarnation;
        is_undisputed && is_holder && term_of(self.sets.local().epoch, accepted.version) == term
    }

    /// Whether a promised ballot is one of this incarnation's own campaigns, none of which will send an accept request
    /// under that ballot or a higher one.
    fn is_void_campaign(&self, promised: Ballot) -> bool {
        let is_own = promised.proposer == self.incarnation;
        is_own
            && !self.changes.has(ChangePurpose::ScalerRole)
            && self.role.is_above_accept_requests(promised)
    }

    /// Records a heartbeat that claims the role, and the local voter's acknowledgement if it backs the claim. Called
    /// just before the heartbeat is sent.
    pub(super) fn back_own_lease(&mut self, now: u64, number: u64) {
        let Some(term) = self.role.claimed_term() else {
            return;
        };
        let is_backed = self.sets.is_local_set_newest()
            && self.backs(&self.options.address, self.incarnation, term);
        self.role.record_sent(now, number);
        if is_backed {
            self.record_role_ack(now, self.sets.own_disk(), number);
        }
    }

    /// Handles an acknowledgement of the role lease by another controller's voter.
    pub(super) fn on_role_lease_ack(&mut self, now: u64, ack: &RoleLeaseAck) {
        let Some(term) = self.role.claimed_term() else {
            return;
        };
        if ack.set_version == self.sets.version() && ack.term == term {
            self.record_role_ack(now, ack.disk, ack.number);
        }
    }

    /// Records an acknowledgement. The role is announced once a majority backs the claim.
    fn record_role_ack(&mut self, now: u64, disk: u64, number: u64) {
        let set = self.sets.newest();
        if let Some(term) = self.role.record_ack(now, set, disk, number) {
            log::info!("consensus: scaler role acquired term={term}");
            self.actions.push(ConsensusAction::RoleAcquired { term });
        }
    }

    /// Campaigns for the role if it is vacant and a majority would grant it to this controller.
    pub(super) fn poll_campaign(&mut self, now: u64) {
        let is_grantable = self.grants_role(now, &self.options.address);
        if self.role.record_grantable(is_grantable) {
            self.heartbeats.request();
        }
        if !is_grantable || !self.may_campaign(now) {
            return self.role.cancel_campaign();
        }
        let own_disk = self.sets.own_disk();
        let mut voters = self.sets.newest().voters.iter();
        let index = voters.position(|voter| voter.disk == own_disk);
        let jitter = self.random.random_range(0..CAMPAIGN_JITTER_MS);
        // The other voters grant the role to its last holder before anyone else, so it has no competitor to avoid.
        let index = match self.is_last_holder() {
            true => 0,
            false => index.unwrap_or(0) as u64,
        };
        let pause = index * CAMPAIGN_STAGGER_MS + jitter;
        if self.role.poll_campaign(now, pause) {
            self.campaign(now);
        }
    }

    /// Whether the local voter records this controller as the last holder of the role, in this or an earlier
    /// incarnation.
    fn is_last_holder(&self) -> bool {
        let accepted = self.values.local(SCALER_ROLE_KEY);
        accepted.is_some_and(|accepted| accepted.role_holder().address == self.options.address)
    }

    fn may_campaign(&self, now: u64) -> bool {
        self.has_read_required_keys()
            && self.role.may_campaign(now)
            && !self.changes.has(ChangePurpose::ScalerRole)
            && self.is_granted_by_majority(now)
    }

    fn is_granted_by_majority(&self, now: u64) -> bool {
        let version = self.sets.version();
        let set = self.sets.newest();
        let granting = set.voters.iter().filter(|voter| {
            let mut live = self.peers.live(now).map(|(_, heartbeat)| heartbeat);
            voter.disk == self.sets.own_disk()
                || live.any(|heartbeat| {
                    heartbeat.disk == voter.disk
                        && heartbeat.grants_role
                        && heartbeat.own_set == version
                })
        });
        granting.count() >= set.majority()
    }

    fn campaign(&mut self, now: u64) {
        let holder = RoleHolder {
            address: self.options.address.clone(),
            name: self.options.name.clone(),
            incarnation: self.incarnation,
        };
        let expected = self.values.committed_version(SCALER_ROLE_KEY);
        let bytes = holder.write_to_vec().unwrap_or_default();
        let change = Change::Write { expected, bytes };
        self.propose(now, ChangePurpose::ScalerRole, SCALER_ROLE_KEY, change);
    }

    pub(super) fn on_campaign_ended(&mut self, now: u64, outcome: ChangeOutcome) {
        let ChangeOutcome::Committed(stored) = outcome else {
            let pause = self.random.random_range(LOST_CAMPAIGN_PAUSE_MS);
            return self.role.delay_campaigns(now + pause);
        };
        let is_newest = stored.version == self.values.committed_version(SCALER_ROLE_KEY);
        let epoch = self.sets.newest().epoch;
        if is_newest && self.role.record_win(now, epoch, stored.version) {
            self.heartbeats.request_at_once();
        }
    }

    /// Handles a newly committed role holder. It is given time to claim the role.
    pub(super) fn on_role_holder(&mut self, now: u64, version: u64, bytes: &[u8]) {
        let won_version = self.role.won_version();
        if won_version.is_some_and(|won| won < version) {
            self.end_role_lease(now);
        }
        if RoleHolder::decode(bytes).address != self.options.address {
            self.role.yield_to_winner(now);
        }
    }
}
