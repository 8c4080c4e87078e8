use speedy::{Readable, Writable};
use std::fmt;

/// A ballot: the higher one wins, and no two proposers share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Ballot {
    /// Counted up by each proposer past all it has seen.
    pub counter: u64,
    /// Random id of the proposer's incarnation.
    pub proposer: u64,
}

/// A value in a register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VersionedValue {
    /// Counted up by one with each change; 0 is a register that was never written.
    pub version: u64,
    /// Random tag of the write, by which a writer knows its own value again.
    pub tag: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// A voter: the id made with its disk, and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VoterRef {
    /// Random id made with the disk.
    pub disk: u64,
    /// Wire address.
    pub address: String,
}

/// The voters that count in an epoch.
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
}

/// A question to a voter, with the mark of the set that the asker believes in.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VoterRequest {
    /// Version of the voter set that the proposer uses.
    pub set_version: SetVersion,
    /// What the voter is to do.
    pub operation: VoterOperation,
}

/// Questions to a voter.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterOperation {
    /// What has been accepted? Promises nothing.
    Query {
        /// Key of the register.
        key: String,
    },
    /// First round: promise to take nothing below the ballot.
    Prepare {
        /// Key of the register.
        key: String,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Second round: accept the value unless a higher ballot was promised.
    Accept {
        /// Key of the register.
        key: String,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The value.
        value: VersionedValue,
    },
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterResponse {
    /// To a peek or a promise: what was accepted, and under which ballot.
    LastAccepted {
        /// Ballot under which the value was accepted.
        ballot: Ballot,
        /// The value; version 0 where there is none.
        value: VersionedValue,
    },
    /// The value was accepted and synced.
    Accepted,
    /// A higher ballot was promised.
    Rejected {
        /// That ballot.
        promised: Ballot,
    },
    /// The asker believes in another set; this is the voter's.
    SetMismatch {
        /// The voter's own set, epoch 0 where it has none.
        set: VoterSet,
    },
    /// The key was issued before a time whose claims the voter no longer knows.
    Expired,
    /// The voter cannot answer: its disk failed or its table is full.
    Unavailable {
        /// Why, in a short sentence.
        reason: String,
    },
}
