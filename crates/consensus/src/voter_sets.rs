//! Which voter sets a controller knows, and which one its own voter is in.

use crate::message::VoterSetUpdate;
use register::{SetVersion, VoterSet};

/// Where a controller stands with the voter set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipState {
    /// No set is known yet.
    Bootstrapping,
    /// The voter is empty and has no place in the newest set.
    Joining,
    /// The newest set names the voter's disk, and the voter is still empty.
    Installing,
    /// The voter counts.
    Voting,
    /// The newest set names the voter's disk no more. It keeps its replica until the set is installed.
    Leaving,
    /// The disk is being emptied.
    Resetting,
}

/// The newest committed voter set, the one before it, and the set that this controller's own voter is in.
///
/// The newest set only ever becomes newer. The own voter's set changes where its disk reports so and nowhere else.
#[derive(Clone, Debug)]
pub(crate) struct VoterSets {
    own_disk: u64,
    /// The newest set that is known to be committed.
    newest: VoterSet,
    /// The set directly before the newest, where it is known.
    previous: Option<VoterSet>,
    /// The set that this controller's voter is durably in; epoch 0 where the voter is empty.
    own: VoterSet,
    /// Whether this controller's disk can be trusted.
    is_disk_trusted: bool,
    /// Changes of the own voter's set that the disk has not ended yet.
    pending_disk_work: usize,
    /// Since when a live member has not installed the newest set.
    uninstalled_since: Option<u64>,
}

impl VoterSets {
    /// As the disk holds it at the start.
    pub fn new(own_disk: u64, own: VoterSet, is_disk_trusted: bool) -> Self {
        Self {
            own_disk,
            newest: own.clone(),
            previous: None,
            own,
            is_disk_trusted,
            pending_disk_work: 0,
            uninstalled_since: None,
        }
    }

    /// The newest set that is known to be committed; epoch 0 where none is.
    pub fn newest(&self) -> &VoterSet {
        &self.newest
    }

    /// The set directly before the newest, where it is known.
    pub fn previous(&self) -> Option<&VoterSet> {
        self.previous.as_ref()
    }

    /// The set that this controller's voter is durably in.
    pub fn own(&self) -> &VoterSet {
        &self.own
    }

    /// Identity of this controller's disk.
    pub fn own_disk(&self) -> u64 {
        self.own_disk
    }

    /// Version of the newest set.
    pub fn version(&self) -> SetVersion {
        self.newest.version()
    }

    /// Whether any set is known.
    pub fn has_set(&self) -> bool {
        self.newest.epoch > 0
    }

    /// Whether this controller's disk can be trusted.
    pub fn is_disk_trusted(&self) -> bool {
        self.is_disk_trusted
    }

    /// Whether the newest set names this controller's disk.
    pub fn is_member(&self) -> bool {
        self.is_member_disk(self.own_disk)
    }

    /// Whether the newest set names a disk.
    pub fn is_member_disk(&self, disk: u64) -> bool {
        self.newest.voters.iter().any(|voter| voter.disk == disk)
    }

    /// Whether the newest set names an address.
    pub fn is_member_address(&self, address: &str) -> bool {
        let mut voters = self.newest.voters.iter();
        voters.any(|voter| voter.address == address)
    }

    /// Whether this controller's voter holds nothing.
    pub fn is_voter_empty(&self) -> bool {
        self.own.epoch == 0
    }

    /// Whether this controller's voter counts.
    pub fn is_voting(&self) -> bool {
        self.is_disk_trusted && !self.is_voter_empty() && self.is_member()
    }

    /// Whether this controller's voter is in the newest set.
    pub fn is_own_newest(&self) -> bool {
        self.own.version() == self.newest.version()
    }

    /// Whether this controller's voter has yet to follow into the newest set.
    pub fn needs_adoption(&self) -> bool {
        let has_same_epoch = !self.is_voter_empty() && self.own.epoch == self.newest.epoch;
        self.is_disk_trusted && has_same_epoch && self.own.number < self.newest.number
    }

    /// Where this controller stands, but for a reset under way.
    pub fn membership_state(&self) -> MembershipState {
        match (!self.is_voter_empty(), self.is_member()) {
            _ if !self.has_set() => MembershipState::Bootstrapping,
            (true, true) => MembershipState::Voting,
            (true, false) => MembershipState::Leaving,
            (false, true) => MembershipState::Installing,
            (false, false) => MembershipState::Joining,
        }
    }

    /// The newest set and the one before it, as it is sent to other controllers.
    pub fn update(&self) -> VoterSetUpdate {
        VoterSetUpdate {
            set: self.newest.clone(),
            previous: self.previous.clone(),
        }
    }

    /// Takes a committed set. Returns whether it is newer than the newest known; an older one is ignored.
    pub fn learn(&mut self, set: &VoterSet) -> bool {
        if set.version() <= self.newest.version() || set.voters.is_empty() {
            return false;
        }
        let is_successor = is_directly_before(&self.newest, set);
        let old = std::mem::replace(&mut self.newest, set.clone());
        self.previous = is_successor.then_some(old);
        self.uninstalled_since = None;
        true
    }

    /// Takes the set before the newest from another controller, where it is not known yet.
    pub fn learn_previous(&mut self, update: VoterSetUpdate) {
        if update.set.version() != self.version() || self.previous.is_some() {
            return;
        }
        let newest = &self.newest;
        self.previous = update
            .previous
            .filter(|previous| is_directly_before(previous, newest));
    }

    /// The disk reports whether it can be trusted.
    pub fn set_disk_trusted(&mut self, is_disk_trusted: bool) {
        self.is_disk_trusted = is_disk_trusted;
    }

    /// The disk reports the set that its voter is in. Returns whether it is another one than before. What a failed disk
    /// has taken in memory alone does not count.
    pub fn record_own(&mut self, set: VoterSet) -> bool {
        if !self.is_disk_trusted || set.version() == self.own.version() {
            return false;
        }
        self.own = set;
        true
    }

    /// The disk was emptied and has a new identity.
    pub fn reset_own(&mut self, identity: u64) {
        self.own_disk = identity;
        self.own = VoterSet::default();
        self.is_disk_trusted = true;
    }

    /// The disk is given a change of the own voter's set.
    pub fn start_disk_work(&mut self) {
        self.pending_disk_work += 1;
    }

    /// The disk has ended a change of the own voter's set.
    pub fn end_disk_work(&mut self) {
        self.pending_disk_work = self.pending_disk_work.saturating_sub(1);
    }

    /// Whether the disk has not ended a change of the own voter's set.
    pub fn has_disk_work(&self) -> bool {
        self.pending_disk_work > 0
    }

    /// Notes whether a live member has not installed the newest set, and returns whether the next change has to leave
    /// it time. A member that never gets there must not block repair, so the wait ends after a time-out.
    pub fn awaits_installation(
        &mut self,
        now: u64,
        has_uninstalled_member: bool,
        timeout_ms: u64,
    ) -> bool {
        if !has_uninstalled_member {
            self.uninstalled_since = None;
            return false;
        }
        let since = *self.uninstalled_since.get_or_insert(now);
        now < since + timeout_ms
    }
}

fn is_directly_before(old: &VoterSet, new: &VoterSet) -> bool {
    old.epoch == new.epoch && old.number + 1 == new.number
}
