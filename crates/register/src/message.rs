//! Requests from proposers to voters, and the responses. The order of fields and variants is the wire format.

use crate::value::{Ballot, VersionedValue};
use crate::voter_set::{SetVersion, VoterSet};
use speedy::{Readable, Writable};

/// A request to a voter, which serves it only if both use the same voter set.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VoterRequest {
    /// Version of the voter set that the proposer uses.
    pub set_version: SetVersion,
    /// The requested operation.
    pub operation: VoterOperation,
}

/// An operation that a proposer requests from a voter.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterOperation {
    /// Return the value accepted last, without a promise.
    Query {
        /// Key of the register.
        key: String,
    },
    /// First phase: promise to accept no ballot below this one.
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
        /// The proposed value.
        value: VersionedValue,
    },
}

/// A voter's response.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum VoterResponse {
    /// Response to a query or a prepare: the value accepted last, and its ballot.
    LastAccepted {
        /// Ballot under which the value was accepted.
        ballot: Ballot,
        /// The value; version 0 if there is none.
        value: VersionedValue,
    },
    /// The value was accepted and is durable.
    Accepted,
    /// A higher ballot was promised.
    Rejected {
        /// The promised ballot.
        promised: Ballot,
    },
    /// The proposer uses a different voter set than the voter.
    SetMismatch {
        /// The voter's own set; epoch 0 if it belongs to none.
        set: VoterSet,
    },
    /// The key is a claim that is too old: the voter may have deleted its value already.
    Expired,
    /// The voter cannot serve the request, for example because its disk failed or its table is full.
    Unavailable {
        /// The reason, as a short sentence.
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

    /// The proposer's ballot; `None` for a query, which makes no promise.
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
