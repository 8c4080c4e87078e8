//! The membership of the voters and its changes, which are themselves committed in a register.

use speedy::{Readable, Writable};
use std::fmt;

/// Key of the register that commits which set follows.
pub const VOTERS_KEY: &str = "voters";

/// A voter: the id made with its disk, and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VoterRef {
    /// Random id made with the disk.
    pub disk: u64,
    /// Wire address.
    pub address: String,
}

/// The members whose majority commits a change. Each set differs from the one before it in a single member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VoterSet {
    /// Grows only when all state was lost and was gathered anew.
    pub epoch: u64,
    /// Grows with each change of the set within an epoch.
    pub number: u64,
    /// The voters themselves.
    pub voters: Vec<VoterRef>,
}

/// Version of a voter set: a later epoch wins, then a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct SetVersion {
    /// See [`VoterSet::epoch`].
    pub epoch: u64,
    /// See [`VoterSet::number`].
    pub number: u64,
}

impl SetVersion {
    /// Version of the set with this number in an epoch.
    pub const fn new(epoch: u64, number: u64) -> Self {
        Self { epoch, number }
    }
}

impl fmt::Display for SetVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "({}, {})", self.epoch, self.number)
    }
}

impl VoterSet {
    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Version of this set, with which a proposer and a voter check that they mean the same set.
    pub fn version(&self) -> SetVersion {
        SetVersion {
            epoch: self.epoch,
            number: self.number,
        }
    }

    /// Whether a voter with this disk is a member.
    pub fn contains_disk(&self, disk: u64) -> bool {
        self.voters.iter().any(|voter| voter.disk == disk)
    }

    /// The next set, in which a new voter takes the place of one member. None where the new voter is a member already or
    /// the old one is not.
    #[must_use]
    pub fn with_replacement(&self, old_disk: u64, new_voter: VoterRef) -> Option<Self> {
        if self.contains_disk(new_voter.disk) {
            return None;
        }
        let mut next = self.successor();
        let mut members = next.voters.iter_mut();
        *members.find(|voter| voter.disk == old_disk)? = new_voter;
        Some(next)
    }

    /// The next set, in which a member is reached at another address. None where nothing would change.
    #[must_use]
    pub fn with_address(&self, disk: u64, address: &str) -> Option<Self> {
        let mut next = self.successor();
        let mut members = next.voters.iter_mut();
        let member = members.find(|voter| voter.disk == disk)?;
        if member.address == address {
            return None;
        }
        member.address = address.to_string();
        Some(next)
    }

    /// The next set, with one more member. None where its disk or its address is a member's already.
    #[must_use]
    pub fn with_member(&self, new_voter: VoterRef) -> Option<Self> {
        let is_known =
            |voter: &VoterRef| voter.disk == new_voter.disk || voter.address == new_voter.address;
        if self.voters.iter().any(is_known) {
            return None;
        }
        let mut next = self.successor();
        next.voters.push(new_voter);
        Some(next)
    }

    /// The same members under the next number.
    fn successor(&self) -> Self {
        Self {
            number: self.number + 1,
            ..self.clone()
        }
    }
}
