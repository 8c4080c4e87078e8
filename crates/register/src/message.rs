use speedy::{Readable, Writable};

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
pub struct Stored {
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

/// The voters that count in an era.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VoterSet {
    /// Grows only when all state was lost and was gathered anew.
    pub era: u64,
    /// Grows with each change of the set within an era.
    pub no: u64,
    /// The voters themselves.
    pub voters: Vec<VoterRef>,
}

impl VoterSet {
    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Era and number together, by which messages are told apart.
    pub fn mark(&self) -> (u64, u64) {
        (self.era, self.no)
    }
}

/// A question to a voter, with the mark of the set that the asker believes in.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VoterMessage {
    /// Era and number of the set.
    pub mark: (u64, u64),
    /// The question.
    pub ask: VoterAsk,
}

/// Questions to a voter.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterAsk {
    /// What has been accepted? Promises nothing.
    Peek {
        /// Key of the register.
        key: String,
    },
    /// First round: promise to take nothing below the ballot.
    Promise {
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
        stored: Stored,
    },
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterReply {
    /// To a peek or a promise: what was accepted, and under which ballot.
    Holds {
        /// Ballot under which the value was accepted.
        ballot: Ballot,
        /// The value; version 0 where there is none.
        stored: Stored,
    },
    /// The value was accepted and synced.
    Accepted,
    /// A higher ballot was promised.
    Refused {
        /// That ballot.
        promised: Ballot,
    },
    /// The asker believes in another set; this is the voter's.
    OtherSet {
        /// The voter's own set, era 0 where it has none.
        set: VoterSet,
    },
    /// The key was issued before a time whose claims the voter no longer knows.
    AgedOut,
    /// The voter cannot answer: its disk failed or its table is full.
    Closed {
        /// Why, in a short sentence.
        reason: String,
    },
}
