//! The voter sets known to a controller, and the set of the local voter.

use crate::message::VoterSetUpdate;
use register::{SetVersion, VoterSet};

/// Relation of a controller to the voter set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipState {
    /// No set is known yet.
    Bootstrapping,
    /// The voter is empty and not in the newest set.
    Joining,
    /// The newest set contains the voter's disk, but the voter is still empty.
    Installing,
    /// The voter is installed and a member of the newest set.
    Voting,
    /// The newest set no longer contains the voter's disk. The replica is kept until enough members
    /// of that set have installed it.
    Leaving,
    /// The disk is being reset.
    Resetting,
}

/// The newest committed voter set, the previous one, and the set of the local voter.
///
/// The newest set is only replaced by newer ones. The local voter's set changes only when the disk reports it.
#[derive(Clone, Debug)]
pub(crate) struct VoterSets {
    own_disk: u64,
    /// The newest set that is known to be committed.
    newest: VoterSet,
    /// The immediate predecessor of the newest set, if known.
    previous: Option<VoterSet>,
    /// The set that the local voter is durably in; epoch 0 if the voter is empty.
    local: VoterSet,
    /// Whether this controller's disk is usable. False after a disk failure.
    is_disk_trusted: bool,
    /// Number of set changes of the local voter that the disk has not completed.
    pending_disk_work: usize,
    /// Since when a live member has not installed the newest set.
    uninstalled_since: Option<u64>,
}

impl VoterSets {
    /// Starts with the set stored on the disk.
    pub fn new(own_disk: u64, local: VoterSet, is_disk_trusted: bool) -> Self {
        Self {
            own_disk,
            newest: local.clone(),
            previous: None,
            local,
            is_disk_trusted,
            pending_disk_work: 0,
            uninstalled_since: None,
        }
    }

    /// The newest set that is known to be committed; epoch 0 if none is.
    pub fn newest(&self) -> &VoterSet {
        &self.newest
    }

    /// The immediate predecessor of the newest set, if known.
    pub fn previous(&self) -> Option<&VoterSet> {
        self.previous.as_ref()
    }

    /// The set that the local voter is durably in.
    pub fn local(&self) -> &VoterSet {
        &self.local
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

    /// Whether this controller's disk is usable. False after a disk failure.
    pub fn is_disk_trusted(&self) -> bool {
        self.is_disk_trusted
    }

    /// Whether the newest set contains this controller's disk.
    pub fn is_member(&self) -> bool {
        self.is_member_disk(self.own_disk)
    }

    /// Whether the newest set contains a disk.
    pub fn is_member_disk(&self, disk: u64) -> bool {
        self.newest.voters.iter().any(|voter| voter.disk == disk)
    }

    /// Whether the newest set contains an address.
    pub fn is_member_address(&self, address: &str) -> bool {
        let mut voters = self.newest.voters.iter();
        voters.any(|voter| voter.address == address)
    }

    /// Whether the local voter is empty.
    pub fn is_voter_empty(&self) -> bool {
        self.local.epoch == 0
    }

    /// Whether the local voter may vote.
    pub fn is_voting(&self) -> bool {
        self.is_disk_trusted && !self.is_voter_empty() && self.is_member()
    }

    /// Whether the local voter is in the newest set.
    pub fn is_local_set_newest(&self) -> bool {
        self.local.version() == self.newest.version()
    }

    /// Whether the local voter has yet to move to the newest set.
    pub fn needs_adoption(&self) -> bool {
        let has_same_epoch = !self.is_voter_empty() && self.local.epoch == self.newest.epoch;
        self.is_disk_trusted && has_same_epoch && self.local.number < self.newest.number
    }

    /// Relation of this controller to the voter set, not considering a pending reset.
    pub fn membership_state(&self) -> MembershipState {
        match (!self.is_voter_empty(), self.is_member()) {
            _ if !self.has_set() => MembershipState::Bootstrapping,
            (true, true) => MembershipState::Voting,
            (true, false) => MembershipState::Leaving,
            (false, true) => MembershipState::Installing,
            (false, false) => MembershipState::Joining,
        }
    }

    /// The newest set and its predecessor, as sent to other controllers.
    pub fn update(&self) -> VoterSetUpdate {
        VoterSetUpdate {
            set: self.newest.clone(),
            previous: self.previous.clone(),
        }
    }

    /// Records a committed set. Returns whether it is newer than the newest known one; older sets are ignored.
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

    /// Records the predecessor of the newest set from another controller, if it is not known yet.
    pub fn learn_previous(&mut self, update: VoterSetUpdate) {
        if update.set.version() != self.version() || self.previous.is_some() {
            return;
        }
        let newest = &self.newest;
        self.previous = update
            .previous
            .filter(|previous| is_directly_before(previous, newest));
    }

    /// Records whether the disk is usable.
    pub fn set_disk_trusted(&mut self, is_disk_trusted: bool) {
        self.is_disk_trusted = is_disk_trusted;
    }

    /// Records the local voter's set as reported by the disk. Returns whether it has changed. A set that a failed
    /// disk has taken only in memory is ignored.
    pub fn record_local(&mut self, set: VoterSet) -> bool {
        if !self.is_disk_trusted || set.version() == self.local.version() {
            return false;
        }
        self.local = set;
        true
    }

    /// Records that the disk was reset and has a new identity.
    pub fn reset_local(&mut self, identity: u64) {
        self.own_disk = identity;
        self.local = VoterSet::default();
        self.is_disk_trusted = true;
    }

    /// Records that a change of the local voter's set was submitted to the disk.
    pub fn start_disk_work(&mut self) {
        self.pending_disk_work += 1;
    }

    /// Records that the disk has completed a change of the local voter's set.
    pub fn end_disk_work(&mut self) {
        self.pending_disk_work = self.pending_disk_work.saturating_sub(1);
    }

    /// Whether the disk has not completed all changes of the local voter's set.
    pub fn has_disk_work(&self) -> bool {
        self.pending_disk_work > 0
    }

    /// Records whether a live member has not installed the newest set. Returns whether the next change must wait for
    /// it. The wait ends after a timeout, because a member that never installs the set must not block repair.
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
