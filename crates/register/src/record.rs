//! Changes of a voter's state as written to its journal. The order of variants and fields is the on-disk format.

use crate::value::RegisterState;
use crate::voter_set::VoterSet;
use speedy::{Readable, Writable};

/// A change of an [`Acceptor`](crate::Acceptor) that must be durable before the response that goes with it is sent.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Record {
    /// The new state of a key.
    Register(String, RegisterState),
    /// The voter set that the voter now belongs to.
    VoterSet(VoterSet),
    /// See [`ClaimFloors::expired_before`](crate::ClaimFloors::expired_before).
    ExpiredBefore(u64),
    /// See [`ClaimFloors::refused_before`](crate::ClaimFloors::refused_before).
    RefusedBefore(u64),
}
