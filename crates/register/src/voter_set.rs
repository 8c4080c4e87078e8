//! The set of voters. Its changes are themselves committed in a register.

use speedy::{Readable, Writable};
use std::fmt;

/// Key of the register in which each next voter set is committed.
pub const VOTERS_KEY: &str = "voters";

/// A voter, identified by its disk, and its address.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VoterRef {
    /// Random id, generated when the disk was initialized.
    pub disk: u64,
    /// Address for the wire protocol.
    pub address: String,
}

/// The voters, a majority of which commits a change. Each set differs from its predecessor in a single member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VoterSet {
    /// Increases only when all state was lost and has been rebuilt.
    pub epoch: u64,
    /// Increases with each change of the set within an epoch.
    pub number: u64,
    /// Members of the set.
    pub voters: Vec<VoterRef>,
}

/// Version of a voter set, ordered by epoch, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct SetVersion {
    /// See [`VoterSet::epoch`].
    pub epoch: u64,
    /// See [`VoterSet::number`].
    pub number: u64,
}

impl SetVersion {
    /// Version of the set with this epoch and number.
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
    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Version of this set, by which a proposer and a voter check that they use the same set.
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

    /// The next set, in which a new voter replaces a member. `None` if the new voter is already a member or the old one is
    /// not.
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

    /// The next set, in which a member has a new address. `None` if nothing would change.
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

    /// The next set, with one more member. `None` if a member already has its disk or its address.
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
