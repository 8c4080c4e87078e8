//! Identifiers and versions used in messages.

use speedy::{Readable, Writable};
use std::fmt;

/// Number that a gateway assigns to one of its requests, unique within the gateway's incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Version of what the scaler publishes: function updates, the gateway membership and the ownership table.
///
/// Versions are ordered by term first, so that every update of a newer scaler supersedes all updates of its predecessors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct UpdateVersion {
    /// Term of the scaler; 0 if no update has been received yet.
    pub term: u64,
    /// Sequence number of the update within the term.
    pub number: u64,
}

impl fmt::Display for UpdateVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}
