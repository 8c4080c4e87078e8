//! What a proposer asks of a voter, and what the voter answers. Both travel on the wire: the order of fields and variants is
//! their form.

use crate::value::{Ballot, VersionedValue};
use crate::voter_set::{SetVersion, VoterSet};
use speedy::{Readable, Writable};

/// A request to a voter, with the version of the set that the proposer uses.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VoterRequest {
    /// Version of the voter set that the proposer uses.
    pub set_version: SetVersion,
    /// What the voter is to do.
    pub operation: VoterOperation,
}

/// What a proposer asks of a voter.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterOperation {
    /// What has been accepted? Promises nothing.
    Query {
        /// Key of the register.
        key: String,
    },
    /// First phase: promise to accept nothing below the ballot.
    Prepare {
        /// Key of the register.
        key: String,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Second phase: accept the value unless a higher ballot was promised.
    Accept {
        /// Key of the register.
        key: String,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The value.
        value: VersionedValue,
    },
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterResponse {
    /// To a query or a prepare: what was accepted last, and under which ballot.
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
    /// The proposer uses another set than the voter.
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

impl VoterOperation {
    /// Key of the register.
    pub fn key(&self) -> &str {
        match self {
            Self::Query { key } | Self::Prepare { key, .. } | Self::Accept { key, .. } => key,
        }
    }

    /// The proposer's ballot; none for a query, which promises nothing.
    pub fn ballot(&self) -> Option<Ballot> {
        match self {
            Self::Query { .. } => None,
            Self::Prepare { ballot, .. } | Self::Accept { ballot, .. } => Some(*ballot),
        }
    }
}

impl VoterResponse {
    pub(crate) fn unavailable(reason: &str) -> Self {
        Self::Unavailable {
            reason: reason.into(),
        }
    }
}
