use crate::action::ConsensusAction;
use crate::consensus::{Consensus, SCALER_ROLE_KEY};
use crate::duty::{term_of, Claim, RoleHolder};
use crate::job::Purpose;
use rand::Rng;
use register::{Change, ChangeOutcome};
use speedy::{Readable, Writable};

/// Time between the tries of two neighbours in the set, so that they don't race.
const STAGGER_MS: u64 = 40;

impl Consensus {
    /// Ends contact and drops a claim where their lease is over. A controller that was frozen does so before anything else.
    pub(crate) fn expire(&mut self, now: u64) {
        self.tend_contact(now);
        let lease = self.options.lease_ms;
        let is_over = self.duty.claim.as_ref().is_some_and(|claim| {
            let is_young = !claim.is_announced && now < claim.won_at + lease / 2;
            now >= claim.held_until && !is_young
        });
        if is_over {
            self.drop_claim(now);
        }
    }

    pub(crate) fn drop_claim(&mut self, now: u64) {
        let Some(claim) = self.duty.claim.take() else {
            return;
        };
        self.wants_heartbeat = true;
        self.duty.quiet_until = self.duty.quiet_until.max(now + self.options.lease_ms / 10);
        if claim.is_announced {
            log::info!(
                "consensus: this controller gave up the duty, term {}",
                claim.term
            );
            self.actions.push(ConsensusAction::RoleLost);
        }
    }

    /// Gives the duty up for good, since this controller leaves.
    pub fn resign(&mut self, now: u64) {
        self.duty.is_resigned = true;
        self.drop_claim(now);
        self.next_heartbeat_at = now;
        self.send_due_heartbeats(now);
    }

    /// Whether this controller's voter would let a controller have the duty.
    pub(crate) fn may_grant(&self, now: u64, to: &str) -> bool {
        let is_calm = self.duty_rounds == 0 && self.set_works == 0;
        let is_current = self.is_voting() && self.own_set.version() == self.set.version();
        is_calm && is_current && self.duty.may_promise(now, to, self.options.lease_ms)
    }

    /// Whether this controller's voter has accepted a claim's value and has promised nothing since.
    pub(crate) fn backs(&self, holder: &str, incarnation: u64, term: u64) -> bool {
        if self.duty_rounds > 0 || self.set_works > 0 || !self.is_voting() {
            return false;
        }
        let Some(held) = self.held.get(SCALER_ROLE_KEY) else {
            return false;
        };
        let bytes = held.bytes.as_ref().map_or(&[][..], |bytes| bytes);
        let term_holder = RoleHolder::read_from_buffer(bytes).unwrap_or_default();
        let is_firm = held.promised == held.accepted;
        let is_holder = term_holder.address == holder && term_holder.incarnation == incarnation;
        is_firm && is_holder && term_of(self.own_set.epoch, held.version) == term
    }

    /// A heartbeat is about to leave: it claims the duty where this controller has won it.
    pub(crate) fn back_own_claim(&mut self, now: u64) {
        let Some(term) = self.duty.claim.as_ref().map(|claim| claim.term) else {
            return;
        };
        let is_current = self.own_set.version() == self.set.version();
        let is_backed = is_current && self.backs(&self.options.address, self.incarnation, term);
        let (number, lease, disk) = (
            self.heartbeat_number,
            self.options.lease_ms,
            self.options.disk_id,
        );
        if let Some(claim) = self.duty.claim.as_mut() {
            claim.sending(now, number);
            if is_backed {
                claim.on_ack(&self.set, disk, number, lease);
            }
        }
        self.announce(now);
    }

    /// Contends for the duty where it is vacant and a majority would let this controller have it.
    pub(crate) fn tend_duty(&mut self, now: u64) {
        let is_free = self.may_grant(now, &self.options.address);
        if is_free != self.duty.was_free {
            self.duty.was_free = is_free;
            self.wants_heartbeat |= is_free;
        }
        let is_vacant = is_free
            && self.has_read_required_keys()
            && !self.duty.is_resigned
            && now >= self.duty.quiet_until
            && !self.jobs.values().any(|job| job.purpose == Purpose::Duty)
            && self.has_consent(now);
        if !is_vacant {
            self.duty.contend_at = None;
            return;
        }
        let mut voters = self.set.voters.iter();
        let place = voters.position(|voter| voter.disk == self.options.disk_id);
        let pause = place.unwrap_or(0) as u64 * STAGGER_MS + self.random.random_range(0..20);
        let at = *self.duty.contend_at.get_or_insert(now + pause);
        if now >= at {
            self.duty.contend_at = None;
            self.contend(now);
        }
    }

    fn has_consent(&self, now: u64) -> bool {
        let set_version = self.set.version();
        let voters = self.set.voters.iter();
        let consenting = voters.filter(|voter| {
            let mut fresh = self.fresh(now).map(|(_, heartbeat)| heartbeat);
            voter.disk == self.options.disk_id
                || fresh.any(|heartbeat| {
                    heartbeat.disk == voter.disk
                        && heartbeat.grants_role
                        && heartbeat.own_set == set_version
                })
        });
        consenting.count() >= self.set.majority()
    }

    fn contend(&mut self, now: u64) {
        let term_holder = RoleHolder {
            address: self.options.address.clone(),
            name: self.options.name.clone(),
            incarnation: self.incarnation,
        };
        let expected = self.settled_mark(SCALER_ROLE_KEY).0;
        let bytes = term_holder.write_to_vec().unwrap_or_default();
        let change = Change::Write { expected, bytes };
        self.propose(now, Purpose::Duty, SCALER_ROLE_KEY, change);
    }

    pub(crate) fn on_contended(&mut self, now: u64, outcome: ChangeOutcome) {
        let ChangeOutcome::Committed(stored) = outcome else {
            let pause = self.random.random_range(50..200);
            self.duty.quiet_until = self.duty.quiet_until.max(now + pause);
            return;
        };
        let is_newest = stored.version == self.settled_mark(SCALER_ROLE_KEY).0;
        if is_newest && !self.duty.is_resigned {
            self.duty.claim = Some(Claim::new(now, self.set.epoch, stored.version));
            self.wants_heartbeat = true;
            self.heartbeat_sent_at = None;
        }
    }

    /// A newer term_holder is settled. Its holder is left time to claim it.
    pub(crate) fn on_term_holder(&mut self, now: u64, version: u64, bytes: &[u8]) {
        let claim = self.duty.claim.as_ref();
        if claim.is_some_and(|claim| claim.version < version) {
            self.drop_claim(now);
        }
        let term_holder = RoleHolder::read_from_buffer(bytes).unwrap_or_default();
        if term_holder.address != self.options.address {
            let pause = self.options.lease_ms / 2;
            self.duty.quiet_until = self.duty.quiet_until.max(now + pause);
        }
    }
}
