//! Changes of a voter's state, as they are written to its journal. The order of variants and fields is the form on the disk.

use crate::value::RegisterState;
use crate::voter_set::VoterSet;
use speedy::{Readable, Writable};

/// A change of an [`Acceptor`](crate::Acceptor) that must be durable before the answer that goes with it is given.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Record {
    /// A key's new state.
    Register(String, RegisterState),
    /// The voter's set.
    VoterSet(VoterSet),
    /// See [`ClaimFloors::forgotten_before`](crate::ClaimFloors::forgotten_before).
    ForgottenBefore(u64),
    /// See [`ClaimFloors::refused_before`](crate::ClaimFloors::refused_before).
    RefusedBefore(u64),
}
