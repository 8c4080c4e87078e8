//! Identifiers and versions that messages carry.

use speedy::{Readable, Writable};
use std::fmt;

/// Number that a gateway gives to one of its requests. It is unique within the gateway's incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Version of what the controller that scales publishes: updates of functions and the membership of gateways.
///
/// Versions are ordered by term first, so that an update of a later scaler replaces every one of its predecessor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct UpdateVersion {
    /// Term of the controller that scales; 0 where nothing was received yet.
    pub term: u64,
    /// Number of the update within the term.
    pub number: u64,
}

impl fmt::Display for UpdateVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}
